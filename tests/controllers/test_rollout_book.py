"""The replicated state of rollouts."""

import msgspec
import pytest

from oriolejunction import commands
from oriolejunction.controllers import control_state
from oriolejunction.controllers import rollout_book
from oriolejunction import states

BEGIN = commands.BeginRollout("desk", "v2", 12_000.0, 1_000)


def apply_all(*given):
    state = control_state.ControlState()
    return state, [control_state.apply(state, each) for each in given]


def grant(*grants, ceiling=10, number=1):
    return commands.GrantExposure(
        "desk",
        number,
        ceiling,
        tuple(commands.ExposureGrant(*g) for g in grants),
    )


def move(phase, number=1):
    return commands.MoveRollout("desk", number, phase, "why", "counts")


def decide(outcome, number=1):
    return commands.DecideRollout("desk", number, outcome, "why", "counts")


def begin_at(at_ms, **changes):
    return msgspec.structs.replace(BEGIN, at_ms=at_ms, **changes)


COMPLETE = (
    BEGIN,
    move(states.RolloutPhase.MOVING),
    decide(states.RolloutState.COMPLETED),
)


@pytest.mark.parametrize("before", [(BEGIN,), COMPLETE])
def test_resent_order_is_acknowledged_without_a_second_rollout(before):
    """Fault: a lost answer made the operator start a rollout twice."""
    state, results = apply_all(
        *before, begin_at(1_000 + rollout_book.RESEND_WINDOW_MS)
    )
    assert results[-1] == commands.RolloutBegun(1)
    assert state.rollouts.last_number == 1


def test_same_order_later_is_a_new_rollout():
    later = begin_at(1_001 + rollout_book.RESEND_WINDOW_MS)
    state, results = apply_all(*COMPLETE, later)
    assert results[-1] == commands.RolloutBegun(2)
    assert state.rollouts.in_force_by_service == {"desk": "v2"}


@pytest.mark.parametrize(
    ("given", "refusal"),
    [
        ((BEGIN, begin_at(1_001, target="v3")), "OTHER_IN_PROGRESS"),
        ((BEGIN, begin_at(1_001, duration_ms=9.0)), "OTHER_IN_PROGRESS"),
        ((decide(states.RolloutState.COMPLETED),), "NOT_IN_PROGRESS"),
        ((BEGIN, grant(number=2)), "NOT_IN_PROGRESS"),
        ((*COMPLETE, grant(("a", "b", 1))), "NOT_IN_PROGRESS"),
        (
            (*COMPLETE, decide(states.RolloutState.ROLLED_BACK)),
            "NOT_IN_PROGRESS",
        ),
        ((BEGIN, decide(states.RolloutState.COMPLETED)), "WRONG_PHASE"),
        (
            (
                BEGIN,
                move(states.RolloutPhase.REVERTED),
                move(states.RolloutPhase.MOVING),
            ),
            "WRONG_PHASE",
        ),
        (
            (BEGIN, move(states.RolloutPhase.MOVING), grant(("a", "b", 1))),
            "WRONG_PHASE",
        ),
        ((BEGIN, grant(("a", "b", 6), ("c", "b", 5))), "OVER_CEILING"),
    ],
)
def test_refused_command_changes_nothing(given, refusal):
    state, results = apply_all(*given)
    assert results[-1].refusal is states.RolloutRefusal[refusal]
    assert state == apply_all(*given[:-1])[0]


def test_allowance_of_a_former_incarnation_counts_as_used():
    """Fault: instances that restart again and again exceed the bound."""
    state, results = apply_all(
        BEGIN,
        grant(("a", "boot-1", 4)),
        grant(("a", "boot-2", 4)),
        grant(("a", "boot-3", 4)),
    )
    rollout = state.rollouts.newest_by_service["desk"]
    assert (rollout.granted, rollout.retired) == (8, 4)
    assert rollout.allowance("a", "boot-2") == 4
    assert rollout.allowance("a", "boot-3") == 0
    assert results[-1].refusal is states.RolloutRefusal.OVER_CEILING


def test_lower_allowance_takes_nothing_back():
    """Fault: the sum fell below what an instance may have sent already."""
    state, _ = apply_all(BEGIN, grant(("a", "b", 4)), grant(("a", "b", 2)))
    assert state.rollouts.newest_by_service["desk"].granted == 4


def test_snapshot_keeps_rollouts_and_old_ones_load():
    state, _ = apply_all(
        *COMPLETE, begin_at(99_000), grant(("a", "b", 1), number=2)
    )
    data = control_state.dump(state)
    assert control_state.load(data) == state
    content = msgspec.msgpack.decode(data)
    del content["rollouts"]
    old = control_state.load(msgspec.msgpack.encode(content))
    assert old.rollouts == rollout_book.RolloutBook()


def test_services_have_rollouts_at_the_same_time():
    state, results = apply_all(BEGIN, begin_at(1_100, service="llm"))
    assert [each.number for each in results] == [1, 2]
    assert len(state.rollouts.in_progress()) == 2
