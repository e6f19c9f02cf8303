"""Checks, TOML form, differences and interactive input of answers."""

import msgspec
import pytest

from oriolejunction import errors
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction.questionnaire import checks
from oriolejunction.questionnaire import differences
from oriolejunction.questionnaire import fill
from oriolejunction.questionnaire import generate
from oriolejunction import states

VALID = answer_files.Answers(
    measure=states.Objective.LATENCY,
    zones=("a",),
    models=(answer_files.ModelAnswer("m", "1"),),
    engines=(answer_files.EngineAnswer("e", "http://10.0.0.1:1", "a", "m"),),
    services=(
        answer_files.ServiceAnswer(
            "s", ("http://10.0.0.1:2",), ("POST /orders",)
        ),
    ),
    workspaces=(answer_files.WorkspaceAnswer("w", "key"),),
)


def test_valid_answers_have_no_faults():
    assert checks.find_faults(VALID) == []


def test_each_fault_names_its_question():
    faulty = answer_files.Answers(
        measure=states.Objective.LATENCY,
        zones=(),
        weight_loads_per_minute=0,
        models=(answer_files.ModelAnswer("m", "1"),),
        engines=(answer_files.EngineAnswer("e", "nowhere", "z", "x"),),
        services=(answer_files.ServiceAnswer("s", (), ("orders",)),),
    )
    numbers = {fault.question for fault in checks.find_faults(faulty)}
    assert numbers == {2, 3, 4, 5, 6, 7}


@pytest.mark.parametrize("text", ["", "measure = 3", "x = ", "zones = []"])
def test_unreadable_answers_raise_typed_error(text):
    with pytest.raises(errors.Failure) as caught:
        answer_files.parse(text)
    assert isinstance(caught.value.error, errors.FaultyAnswers)


def test_answers_round_trip_without_clear_text_keys():
    text = answer_files.dump(answer_files.redact_keys(VALID))
    assert '"key"' not in text
    copy = answer_files.parse(text)
    assert generate.build_configuration(copy) == generate.build_configuration(
        VALID
    )


def test_differences_hide_workspace_keys():
    before = generate.build_configuration(VALID)
    workspace = answer_files.WorkspaceAnswer("w", "other", share=2)
    after = generate.build_configuration(
        msgspec.structs.replace(
            VALID, workspaces=(workspace,), zones=("a", "b")
        )
    )
    assert list(differences.describe_differences(before, after)) == [
        "availability zones become a, b",
        "workspace w gets another key",
        "workspace w: share changes from 1 to 2",
    ]


def test_fill_keeps_known_answers_on_empty_lines():
    lines = iter(
        ["resources", "a, b", "", "", "-e", "f", "http://10.0.0.2:1", "b"]
        + ["m", "yes", "", "", "", "", ""]
    )
    filled = fill.fill(VALID, lambda text: next(lines), lambda text: None)
    assert filled.measure is states.Objective.RESOURCES
    assert filled.zones == ("a", "b")
    assert [engine.name for engine in filled.engines] == ["f"]
    assert filled.models == VALID.models
