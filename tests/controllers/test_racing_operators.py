"""Scenarios of concurrent operators."""

import pytest
import pytest_bdd as bdd

from oriolejunction import commands
from oriolejunction.controllers import control_state
from oriolejunction import ids
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction.questionnaire import generate
from oriolejunction import states

bdd.scenarios("racing_operators.feature")


@pytest.fixture
def state():
    return control_state.ControlState()


@pytest.fixture
def results():
    return []


def _submit(operator):
    content = generate.build_configuration(
        answer_files.Answers(states.Objective.LATENCY, (operator,))
    )
    return commands.SubmitDraft(
        operation_id=ids.OperationId(f"submit:d-{operator}"),
        draft_id=ids.DraftId(f"d-{operator}"),
        base_revision=ids.NO_REVISION,
        configuration=content,
        answers_toml="",
        differences=(),
        operator=operator,
        at_ms=0,
    )


@bdd.given("mika and goro each submitted a draft against revision 0")
def _(state):
    for operator in ("mika", "goro"):
        control_state.apply(state, _submit(operator))


@bdd.when(bdd.parsers.re(r"(?P<operator>\w+) accepts (his|her) draft"))
def _(state, results, operator):
    command = commands.AcceptDraft(
        ids.OperationId(f"accept:d-{operator}"),
        ids.DraftId(f"d-{operator}"),
        operator,
        1,
    )
    results.append(control_state.apply(state, command))


@bdd.then("the refusal names revision 1 by goro as accepted first")
def _(results):
    assert isinstance(results[-1], commands.ChangeRefused)
    assert "revision 1 by goro was accepted first" in results[-1].message


@bdd.then("both results name revision 1")
def _(results):
    assert [result.revision for result in results] == [1, 1]


@bdd.then("revision 1 is in force")
def _(state):
    assert state.history.revision == 1
