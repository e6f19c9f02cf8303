"""Which membership changes a leader may propose, and when."""

import random

from oriolejunction.consensus import core as cores
from oriolejunction.consensus import election
from oriolejunction.consensus import log as logs
from oriolejunction.consensus import membership as memberships
from oriolejunction.consensus import repair
from oriolejunction.consensus import types
from oriolejunction.consensus import wire


def _member(name, instance=None):
    return types.Member(types.ReplicaId(name), instance or name, name, name)


START = types.Membership(tuple(map(_member, "abc")), voter_target=3)


def _leader():
    core = cores.Core(
        types.ReplicaId("a"),
        logs.Log(START),
        types.HardState(0, None),
        0,
        0.0,
        random.Random(1),
    )
    election.campaign(core.state)
    core.step(wire.VoteReply("b", "a", 1, True, False))
    core.take_output()
    return core


def _commit_all(core):
    last = core.state.log.last_index
    core.take_output()
    core.on_synced(last, 1)
    core.step(wire.AppendReply("b", "a", 1, True, last, core.state.round))
    assert core.state.commit == last


def test_change_requires_committed_entry_of_current_term():
    core = _leader()
    change = memberships.with_learner(START, _member("d"))
    assert not core.propose_membership(change)
    _commit_all(core)
    assert core.propose_membership(change)


def test_change_requires_previous_change_to_be_committed():
    core = _leader()
    _commit_all(core)
    first = memberships.with_learner(START, _member("d"))
    second = memberships.with_learner(first, _member("e"))
    assert core.propose_membership(first)
    assert not core.propose_membership(second)
    _commit_all(core)
    assert core.propose_membership(second)


def test_two_voters_are_not_changed_at_once():
    core = _leader()
    _commit_all(core)
    swapped = types.Membership(tuple(map(_member, "abd")), voter_target=3)
    assert not core.propose_membership(swapped)


def _commit_membership(core, membership):
    assert core.propose_membership(membership)
    _commit_all(core)


def test_learner_is_promoted_before_lost_voter_is_removed():
    core = _leader()
    _commit_all(core)
    returned = _member("c2", instance="c")
    _commit_membership(core, memberships.with_learner(START, returned))
    last = core.state.log.last_index
    now_ms = 0.0
    while now_ms <= core.state.timing.replaced_after_ms:
        assert repair.next_change(core.state) is None
        now_ms += 600.0
        core.tick(now_ms)
        for name in ("b", "c2"):
            core.step(wire.AppendReply(name, "a", 1, True, last, 1))
    promoted = repair.next_change(core.state)
    assert promoted.voter_ids() == {"a", "b", "c", "c2"}
    assert core.propose_membership(promoted)
    shrunk = repair.next_change(core.state)
    assert shrunk.voter_ids() == {"a", "b", "c2"}


def test_new_leader_removes_no_voter_before_all_have_replied():
    oversized = types.Membership(tuple(map(_member, "abcd")), voter_target=3)
    core = _leader()
    _commit_all(core)
    assert core.propose_membership(oversized)
    assert repair.next_change(core.state) is None


def _replies(core, now_ms, names):
    core.tick(now_ms)
    core.take_output()
    last, current = core.state.log.last_index, core.state.round
    core.on_synced(last, 1)
    for name in names:
        core.step(wire.AppendReply(name, "a", 1, True, last, current))


def test_no_live_voter_is_removed_while_another_may_be_lost():
    """Fault: a live voter was removed, and the dead one kept its vote."""
    oversized = types.Membership(tuple(map(_member, "abcd")), voter_target=3)
    core = _leader()
    _commit_all(core)
    assert core.propose_membership(oversized)
    _replies(core, 0.0, "bcd")
    for now_ms in (400.0, 800.0):
        _replies(core, now_ms, "bd")
    assert repair.next_change(core.state) is None
    while now_ms <= core.state.timing.lost_after_ms:
        now_ms += 600.0
        _replies(core, now_ms, "bd")
    assert repair.next_change(core.state).voter_ids() == {"a", "b", "d"}


def test_leaving_voter_is_replaced_by_a_learner_at_once():
    core = _leader()
    _commit_all(core)
    _commit_membership(core, memberships.with_learner(START, _member("d")))
    _replies(core, 0.0, "bcd")
    assert repair.next_change(core.state) is None
    promoted = repair.next_change(core.state, {"b"})
    assert promoted.voter_ids() == {"a", "b", "c", "d"}
    assert core.propose_membership(promoted)
    shrunk = repair.next_change(core.state, {"b"})
    assert shrunk.voter_ids() == {"a", "c", "d"}


def test_voter_that_leaves_is_kept_if_no_learner_can_replace_it():
    """It has its vote again when its process is back."""
    core = _leader()
    _commit_all(core)
    _replies(core, 0.0, "bc")
    assert repair.next_change(core.state, {"b"}) is None
