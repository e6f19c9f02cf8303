"""Repair of the group: which membership change is due next, if any."""

import collections.abc

import msgspec

from oriolejunction.consensus import core_state
from oriolejunction.consensus import membership as memberships
from oriolejunction.consensus import types

# Five heartbeats; less than the silence after which a voter is replaced, so
# that a leader that stood still finds no learner to replace the others with.
ALIVE_MS = 500.0
MAX_LEARNERS = 4


class MemberView(msgspec.Struct, frozen=True):
    """A member as seen by the leader: time without a reply, and its lag."""

    member: types.Member
    silence_ms: float
    entries_behind: int


def member_views(state: core_state.CoreState) -> list[MemberView]:
    """Return the leader's view of each member of the latest membership."""
    return [
        MemberView(
            member,
            _silence_ms(state, member.replica),
            state.commit - state.progress_by_id[member.replica].match,
        )
        for member in state.log.membership.members()
    ]


def _silence_ms(
    state: core_state.CoreState, replica: types.ReplicaId
) -> float:
    if replica == state.self_id:
        return 0.0
    return state.now_ms - state.progress_by_id[replica].last_reply_ms


def next_change(
    state: core_state.CoreState,
    leaving: collections.abc.Set[types.ReplicaId] = frozenset(),
) -> types.Membership | None:
    """Return the membership that the leader should propose now, if any.

    One step at a time. With more voters than the target, one is removed,
    those that leave or are lost first. For a leaving, lost or missing voter a
    caught-up learner is promoted before that voter is removed. Lost learners
    are removed.
    """
    current = state.log.membership
    views = member_views(state)
    voters = [v for v in views if v.member in current.voters]
    learners = [v for v in views if v.member in current.learners]
    if len(voters) > current.voter_target:
        surplus = _voter_to_remove(state, voters, leaving)
        if surplus is None:
            return None
        return memberships.without_member(current, surplus.member.replica)
    candidate = _learner_to_promote(
        [v for v in learners if v.member.replica not in leaving], voters
    )
    needs_voter = len(voters) < current.voter_target or any(
        v.member.replica in leaving or is_lost(v, state) for v in voters
    )
    if candidate and needs_voter:
        return memberships.with_promoted(current, candidate.member.replica)
    for view in learners:
        if is_lost(view, state):
            return memberships.without_member(current, view.member.replica)
    return None


def is_lost(view: MemberView, state: core_state.CoreState) -> bool:
    """Return whether a member is silent for so long that it is replaced.

    A new identity on the same instance proves that the old disk is lost;
    otherwise a silent member may be paused or partitioned.
    """
    current, timing = state.log.membership, state.timing
    limit_ms = timing.lost_after_ms
    if view.member in current.learners:
        limit_ms = timing.learner_lost_after_ms
    if _is_replaced(view.member, current):
        limit_ms = min(limit_ms, timing.replaced_after_ms)
    return view.silence_ms > limit_ms


def _is_replaced(member: types.Member, current: types.Membership) -> bool:
    return any(
        other.instance == member.instance
        and other.replica != member.replica
        and _was_added_later(other, member, current)
        for other in current.members()
    )


def _was_added_later(
    member: types.Member, other: types.Member, current: types.Membership
) -> bool:
    order = current.members()
    return order.index(member) > order.index(other)


def _voter_to_remove(
    state: core_state.CoreState,
    voters: list[MemberView],
    leaving: collections.abc.Set[types.ReplicaId],
) -> MemberView | None:
    """Return a voter that leaves, a replaced one, a lost one, or any.

    Of the lost ones it is the longest silent, of any voters one in the zone
    with the most. None is returned while a voter is silent that may be lost,
    or has not replied to a new leader: a live one would be removed instead.
    """
    current = state.log.membership
    others = [v for v in voters if v.member.replica != state.self_id]
    for view in others:
        if view.member.replica in leaving:
            return view
    for view in others:
        if _is_replaced(view.member, current):
            return view
    lost = [v for v in others if is_lost(v, state)]
    if lost:
        return max(lost, key=lambda view: view.silence_ms)
    if all(
        state.progress_by_id[v.member.replica].round
        and v.silence_ms < ALIVE_MS
        for v in others
    ):
        return max(others, key=lambda view: _zone_count(view, voters))
    return None


def _zone_count(view: MemberView, voters: list[MemberView]) -> int:
    return sum(v.member.zone == view.member.zone for v in voters)


def _learner_to_promote(
    learners: list[MemberView], voters: list[MemberView]
) -> MemberView | None:
    alive_zones = {v.member.zone for v in voters if v.silence_ms < ALIVE_MS}
    ready = [
        view
        for view in learners
        if view.entries_behind <= 0 and view.silence_ms < ALIVE_MS
    ]
    if not ready:
        return None
    return min(ready, key=lambda view: view.member.zone in alive_zones)
