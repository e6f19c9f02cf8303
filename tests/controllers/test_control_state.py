"""Snapshots of the replicated state and its audit log."""

import pytest

from oriolejunction import commands
from oriolejunction.controllers import control_state
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction.questionnaire import generate
from oriolejunction import states

CONTENT = generate.build_configuration(
    answer_files.Answers(
        measure=states.Objective.LATENCY,
        zones=("a",),
        workspaces=(answer_files.WorkspaceAnswer("w", "key"),),
    )
)


def _submit(base=0):
    return commands.SubmitDraft(
        operation_id=ids.OperationId(f"submit:{base}"),
        draft_id=ids.DraftId(f"d-{base}"),
        base_revision=ids.Revision(base),
        configuration=CONTENT,
        answers_toml="",
        differences=(),
        operator="mika",
        at_ms=1,
    )


def _accept(base=0):
    return commands.AcceptDraft(
        ids.OperationId(f"accept:{base}"), ids.DraftId(f"d-{base}"), "mika", 2
    )


def _claim():
    return commands.ClaimCall(
        ids.WorkspaceId("w"),
        ids.ServiceName("s"),
        ids.IdempotencyKey("k"),
        "digest",
        ids.InstanceId("i"),
        "claim",
        3,
    )


def _state():
    state = control_state.ControlState()
    for command in (_submit(), _accept(), _claim()):
        control_state.apply(state, command)
    return state


def test_snapshot_contains_the_complete_state():
    state = _state()
    assert control_state.load(control_state.dump(state)) == state


def test_damaged_snapshot_raises_corrupt_log():
    with pytest.raises(errors.Failure) as caught:
        control_state.load(control_state.dump(_state())[:-1])
    assert isinstance(caught.value.error, errors.CorruptLog)


def test_audit_numbers_continue_after_a_drain():
    state = _state()
    first = control_state.drain_audit(state)
    for command in (_submit(1), _accept(1)):
        control_state.apply(state, command)
    second = control_state.drain_audit(state)
    assert [entry.number for entry in first + second] == [1, 2, 3, 4]
    assert state.history.audit == []
