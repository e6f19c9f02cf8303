"""Each change that reduces safety yields a sentence to confirm."""

import msgspec
import pytest

from oriolejunction import errors
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction.questionnaire import generate
from oriolejunction.questionnaire import questions
from oriolejunction.questionnaire import safety_reductions
from oriolejunction import states

BEFORE = answer_files.Answers(
    measure=states.Objective.LATENCY,
    zones=("a",),
    models=(answer_files.ModelAnswer("m", "1"),),
    engines=tuple(
        answer_files.EngineAnswer(f"e{n}", f"http://10.0.0.{n}:1", "a", "m")
        for n in range(1, 5)
    ),
    services=(
        answer_files.ServiceAnswer(
            "s", ("http://10.0.0.9:2",), ("POST /orders", "PUT /orders")
        ),
    ),
    workspaces=(answer_files.WorkspaceAnswer("w", "key"),),
)


def _sentences(**changes):
    after = msgspec.structs.replace(BEFORE, **changes)
    return list(
        safety_reductions.describe_reductions(
            generate.build_configuration(BEFORE),
            generate.build_configuration(after),
            7,
        )
    )


def _service(never_twice):
    return (msgspec.structs.replace(BEFORE.services[0], **never_twice),)


def test_unchanged_and_stricter_answers_need_no_confirmation():
    assert _sentences() == []
    patterns = ("POST /", "PUT /orders", "DELETE /orders")
    assert _sentences(services=_service({"never_twice": patterns})) == []
    assert _sentences(engines=BEFORE.engines[:3]) == []


def test_never_twice_removed():
    services = _service({"never_twice": ("POST /orders",)})
    assert _sentences(services=services) == [
        "PUT /orders of s may run twice (against revision 7)"
    ]
    assert _sentences(services=()) == [
        "service s is removed (against revision 7)"
    ]


def test_half_of_the_engines_removed():
    assert _sentences(engines=BEFORE.engines[:2]) == [
        "2 of 4 engines of m are removed (against revision 7)"
    ]


def test_fencing_and_weight_store():
    engines = (
        msgspec.structs.replace(BEFORE.engines[0], checks_fencing=True),
        *BEFORE.engines[1:],
    )
    assert _sentences(engines=engines, weight_loads_per_minute=7) == [
        "engine e1 now checks fencing numbers (against revision 7)",
        "the weight store now allows 7 loads a minute, not 6"
        " (against revision 7)",
    ]


def test_answer_fields_are_in_the_order_of_the_questions():
    fields = answer_files.Answers.__struct_fields__
    assert [q.field for q in questions.QUESTIONS] == list(fields)


def test_answer_of_the_wrong_type_names_its_question():
    text = answer_files.dump(BEFORE).replace('"e2"', "2")
    with pytest.raises(errors.Failure) as caught:
        answer_files.parse(text)
    message = caught.value.error.message
    assert message == "question 5: entry 2: Expected `str`, got `int`"
