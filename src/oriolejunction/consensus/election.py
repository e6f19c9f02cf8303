"""Elections: pre-vote, votes, stepping down and check-quorum."""

from oriolejunction.consensus import core_state
from oriolejunction.consensus import replication
from oriolejunction.consensus import types
from oriolejunction.consensus import wire


def reset_timer(state: core_state.CoreState) -> None:
    """Set a new random election timeout."""
    timing = state.timing
    shortest_ms, longest_ms = timing.election_min_ms, timing.election_max_ms
    if state.leader_contact_ms == core_state.NEVER_MS:
        longest_ms = min(longest_ms, timing.first_election_ms)
        shortest_ms = min(shortest_ms, longest_ms / 3)
    state.election_due_ms = state.now_ms + state.rng.uniform(
        shortest_ms, longest_ms
    )


def become_follower(
    state: core_state.CoreState, term: int, leader: types.ReplicaId | None
) -> None:
    """Follow in `term`; a newer term clears the vote."""
    if term > state.term:
        state.term = term
        state.vote = None
        state.persist_hard_state()
    if state.is_leader():
        replication.fail_reads(state)
    state.role = types.Role.FOLLOWER
    state.leader = leader
    state.transfer_to = None
    state.progress_by_id.clear()
    reset_timer(state)


def start_pre_vote(state: core_state.CoreState) -> None:
    """Ask whether an election could be won, without raising the term."""
    reset_timer(state)
    if not state.is_voter() or state.removed:
        return
    state.role = types.Role.PRE_CANDIDATE
    state.leader = None
    state.votes = {state.self_id}
    _request_votes(state, pre=True, transfer=False)
    _count_votes(state)


def campaign(state: core_state.CoreState, transfer: bool = False) -> None:
    """Raise the term, vote for this replica and request votes."""
    state.term += 1
    state.vote = state.self_id
    state.persist_hard_state()
    state.role = types.Role.CANDIDATE
    state.leader = None
    state.votes = {state.self_id}
    reset_timer(state)
    _request_votes(state, pre=False, transfer=transfer)
    _count_votes(state)


def _request_votes(
    state: core_state.CoreState, pre: bool, transfer: bool
) -> None:
    for replica in sorted(state.log.membership.voter_ids()):
        if replica == state.self_id:
            continue
        state.output.messages.append(
            wire.VoteRequest(
                sender=state.self_id,
                to=replica,
                term=state.term + 1 if pre else state.term,
                last_index=state.log.last_index,
                last_term=state.log.last_term,
                pre=pre,
                transfer=transfer,
            )
        )


def _count_votes(state: core_state.CoreState) -> None:
    if not state.is_quorum(state.votes):
        return
    if state.role is types.Role.PRE_CANDIDATE:
        campaign(state)
    elif state.role is types.Role.CANDIDATE:
        replication.become_leader(state)


def _is_leader_alive(state: core_state.CoreState) -> bool:
    if state.is_leader():
        return True
    age_ms = state.now_ms - state.leader_contact_ms
    return age_ms < state.timing.election_min_ms


def _is_up_to_date(
    state: core_state.CoreState, request: wire.VoteRequest
) -> bool:
    own = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= own


def on_vote_request(
    state: core_state.CoreState, request: wire.VoteRequest
) -> None:
    """Grant or refuse a vote.

    While a leader is alive, only a candidate that it named gets a vote.
    """
    index, committed = state.log.membership_at(state.commit)
    if request.sender not in committed.member_ids() and (
        state.log.membership.member(request.sender) is None
    ):
        state.output.messages.append(
            wire.NotMember(state.self_id, request.sender, state.term, index)
        )
        return
    if not request.transfer and _is_leader_alive(state):
        return
    if request.pre:
        granted = request.term > state.term and _is_up_to_date(state, request)
        _send_vote_reply(state, request, granted)
        return
    if request.term > state.term:
        become_follower(state, request.term, None)
    granted = (
        request.term == state.term
        and state.vote in (None, request.sender)
        and _is_up_to_date(state, request)
    )
    if granted and state.vote is None:
        state.vote = request.sender
        state.persist_hard_state()
    if granted:
        state.role = types.Role.FOLLOWER
        reset_timer(state)
    _send_vote_reply(state, request, granted)


def _send_vote_reply(
    state: core_state.CoreState, request: wire.VoteRequest, granted: bool
) -> None:
    state.output.messages.append(
        wire.VoteReply(
            sender=state.self_id,
            to=request.sender,
            term=request.term if granted else state.term,
            granted=granted,
            pre=request.pre,
        )
    )


def on_vote_reply(state: core_state.CoreState, reply: wire.VoteReply) -> None:
    """Count a vote for the current election."""
    if not reply.granted:
        if reply.term > state.term:
            become_follower(state, reply.term, None)
        return
    expected = types.Role.PRE_CANDIDATE if reply.pre else types.Role.CANDIDATE
    requested_term = state.term + 1 if reply.pre else state.term
    if state.role is expected and reply.term == requested_term:
        state.votes.add(reply.sender)
        _count_votes(state)


def on_timeout_now(
    state: core_state.CoreState, message: wire.TimeoutNow
) -> None:
    """Campaign at once, as the leader asked."""
    if message.term == state.term and state.is_voter():
        campaign(state, transfer=True)


def on_not_member(
    state: core_state.CoreState, message: wire.NotMember
) -> None:
    """Stop campaigning if a later committed membership excludes us."""
    if message.membership_index > state.log.membership_index:
        state.removed = True
        state.role = types.Role.FOLLOWER


def check_quorum(state: core_state.CoreState) -> None:
    """Step down after an election timeout without a majority's replies."""
    if not state.has_recent_quorum(state.timing.election_max_ms):
        become_follower(state, state.term, None)
