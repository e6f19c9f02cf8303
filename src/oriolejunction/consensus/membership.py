"""Single-step membership changes: what may be proposed, and when."""

from oriolejunction.consensus import core_state
from oriolejunction.consensus import types


def is_change_allowed(
    state: core_state.CoreState, change: types.Membership
) -> bool:
    """Return whether the leader may append this membership now.

    The previous change and an entry of this term must be committed, and at
    most one voter is added or removed, so that any two majorities overlap.
    """
    current = state.log.membership
    return (
        state.is_leader()
        and state.transfer_to is None
        and state.commit >= state.term_start_index
        and state.log.membership_index <= state.commit
        and len(current.voter_ids() ^ change.voter_ids()) <= 1
        and len(change.voters) > 0
    )


def with_learner(
    current: types.Membership, member: types.Member
) -> types.Membership:
    """Return the membership with one more learner."""
    return types.Membership(
        current.voters, (*current.learners, member), current.voter_target
    )


def with_promoted(
    current: types.Membership, replica: types.ReplicaId
) -> types.Membership:
    """Return the membership with a learner promoted to voter."""
    member = current.member(replica)
    return types.Membership(
        (*current.voters, member),
        tuple(m for m in current.learners if m.replica != replica),
        current.voter_target,
    )


def without_member(
    current: types.Membership, replica: types.ReplicaId
) -> types.Membership:
    """Return the membership without a replica."""
    return types.Membership(
        tuple(m for m in current.voters if m.replica != replica),
        tuple(m for m in current.learners if m.replica != replica),
        current.voter_target,
    )
