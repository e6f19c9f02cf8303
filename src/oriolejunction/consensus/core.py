"""The sans-I/O core: time and messages in, writes and messages out."""

import random

from oriolejunction.consensus import core_state
from oriolejunction.consensus import election
from oriolejunction.consensus import log as logs
from oriolejunction.consensus import membership as memberships
from oriolejunction.consensus import replication
from oriolejunction.consensus import types
from oriolejunction.consensus import wire


class Core:
    """One replica of the log without I/O or a clock of its own."""

    def __init__(
        self,
        self_id: types.ReplicaId,
        log: logs.Log,
        hard_state: types.HardState,
        commit: int,
        now_ms: float,
        rng: random.Random,
        timing: core_state.Timing = core_state.Timing(),
    ) -> None:
        self.state = core_state.CoreState(
            self_id=self_id,
            rng=rng,
            timing=timing,
            log=log,
            term=hard_state.term,
            vote=hard_state.vote,
            commit=commit,
            now_ms=now_ms,
        )
        election.reset_timer(self.state)
        if log.membership.voter_ids() == {self_id}:
            self.state.election_due_ms = now_ms

    def tick(self, now_ms: float) -> None:
        """Advance time: heartbeats, elections and check-quorum."""
        state = self.state
        state.now_ms = max(state.now_ms, now_ms)
        if state.is_leader():
            election.check_quorum(state)
        if state.is_leader():
            if state.now_ms >= state.transfer_deadline_ms:
                state.transfer_to = None
            if state.now_ms >= state.heartbeat_due_ms:
                replication.broadcast(state)
        elif state.now_ms >= state.election_due_ms:
            election.start_pre_vote(state)

    def step(self, message: wire.Message) -> None:
        """Process a message, unless it is for another replica."""
        state = self.state
        if message.to != state.self_id:
            return
        match message:
            case wire.VoteRequest():
                election.on_vote_request(state, message)
            case wire.VoteReply():
                election.on_vote_reply(state, message)
            case wire.NotMember():
                election.on_not_member(state, message)
            case wire.TimeoutNow():
                election.on_timeout_now(state, message)
            case wire.AppendReply():
                self._on_append_reply(message)
            case wire.AppendRequest() | wire.InstallSnapshot():
                self._on_leader_message(message)

    def _on_append_reply(self, reply: wire.AppendReply) -> None:
        state = self.state
        if reply.term > state.term:
            election.become_follower(state, reply.term, None)
        elif state.is_leader() and reply.term == state.term:
            replication.on_append_reply(state, reply)

    def _on_leader_message(
        self, message: wire.AppendRequest | wire.InstallSnapshot
    ) -> None:
        state = self.state
        if message.term < state.term:
            state.output.messages.append(
                wire.AppendReply(
                    sender=state.self_id,
                    to=message.sender,
                    term=state.term,
                    success=False,
                    match=state.commit,
                    round=0,
                )
            )
            return
        if state.leader != message.sender or message.term > state.term:
            election.become_follower(state, message.term, message.sender)
        state.role = types.Role.FOLLOWER
        state.removed = False
        state.leader_contact_ms = state.now_ms
        election.reset_timer(state)
        if isinstance(message, wire.AppendRequest):
            replication.on_append_request(state, message)
        else:
            replication.on_install_snapshot(state, message)

    def propose(self, command: bytes) -> tuple[int, int] | None:
        """Append a command; return its index and term.

        Return None on a follower and during a leadership transfer.
        """
        state = self.state
        if not state.is_leader() or state.transfer_to is not None:
            return None
        return replication.append_entry(state, command, None), state.term

    def propose_membership(self, change: types.Membership) -> bool:
        """Append a membership change; return whether it was allowed."""
        state = self.state
        if not memberships.is_change_allowed(state, change):
            return False
        replication.append_entry(state, None, change)
        return True

    def request_read(self, read_id: int) -> None:
        """Start a linearizable read; `Output.reads` gives its result."""
        replication.request_read(self.state, read_id)

    def request_transfer(self, target: types.ReplicaId) -> None:
        """Start to transfer leadership to a voter."""
        state = self.state
        if state.is_leader() and target in state.log.membership.voter_ids():
            replication.start_transfer(state, target)

    def on_synced(self, index: int, term: int) -> None:
        """Record that the log is synced up to `index`, an entry of `term`."""
        state = self.state
        if state.is_leader() and state.log.term_at(index) == term:
            progress = state.progress_by_id[state.self_id]
            progress.match = max(progress.match, index)
            replication.commit_matched(state)
        self._step_down_if_removed()

    def compact(self, index: int) -> None:
        """Drop the entries up to `index`; a snapshot replaces them."""
        self.state.log.compact(index)

    def take_output(self) -> core_state.Output:
        """Return the actions that have become due since the last call."""
        state = self.state
        self._step_down_if_removed()
        if state.is_leader() and (
            state.has_new_entries or state.has_new_reads
        ):
            replication.broadcast(state)
        output = state.output
        state.output = core_state.Output()
        if any(isinstance(r, types.HardState) for r in output.writes):
            output.messages = output.before_sync + output.messages
            output.before_sync = []
        return output

    def _step_down_if_removed(self) -> None:
        state = self.state
        committed = state.log.membership_index <= state.commit
        if state.is_leader() and committed and not state.is_voter():
            election.become_follower(state, state.term, None)
