"""Replication: append, match and commit entries, and confirm reads."""

from oriolejunction.consensus import core_state
from oriolejunction.consensus import types
from oriolejunction.consensus import wire
from oriolejunction import invariants

MAX_ENTRIES_PER_APPEND = 256
MAX_BYTES_PER_APPEND = 1 << 20
MAX_ENTRIES_IN_FLIGHT = 4_096
SNAPSHOT_RETRY_MS = 3_000.0


def become_leader(state: core_state.CoreState) -> None:
    """Lead the term and append its first entry, so that reads can start."""
    state.role = types.Role.LEADER
    state.leader = state.self_id
    state.progress_by_id.clear()
    state.reads.clear()
    state.transfer_to = None
    state.term_start_index = state.log.last_index + 1
    _add_progress(state)
    append_entry(state, None, None)
    state.heartbeat_due_ms = state.now_ms


def _add_progress(state: core_state.CoreState) -> None:
    members = state.log.membership.member_ids()
    for replica in members | {state.self_id}:
        if replica not in state.progress_by_id:
            state.progress_by_id[replica] = core_state.Progress(
                next=state.log.last_index + 1, last_reply_ms=state.now_ms
            )
    for replica in list(state.progress_by_id):
        if replica not in members and replica != state.self_id:
            del state.progress_by_id[replica]


def append_entry(
    state: core_state.CoreState,
    command: bytes | None,
    membership: types.Membership | None,
) -> int:
    """Append an entry as the leader and return its index."""
    entry = types.Entry(
        state.log.last_index + 1, state.term, command, membership
    )
    _append_to_log(state, (entry,))
    if membership is not None:
        _add_progress(state)
    state.has_new_entries = True
    return entry.index


def _append_to_log(
    state: core_state.CoreState, entries: tuple[types.Entry, ...]
) -> None:
    state.log.append(entries)
    state.output.writes.append(types.AppendEntries(entries))


def broadcast(state: core_state.CoreState) -> None:
    """Start a round: send missing entries, or a heartbeat, to each member."""
    state.round += 1
    state.progress_by_id[state.self_id].round = state.round
    state.heartbeat_due_ms = state.now_ms + state.timing.heartbeat_ms
    state.has_new_entries = False
    state.has_new_reads = False
    for replica in sorted(state.log.membership.member_ids()):
        if replica != state.self_id:
            send_append(state, replica)
    confirm_reads(state)


def send_append(state: core_state.CoreState, replica: types.ReplicaId) -> None:
    """Send a member its missing entries, or request a snapshot for it."""
    progress = state.progress_by_id[replica]
    if progress.next <= state.log.base_index:
        _send_snapshot(state, replica, progress)
        _send_heartbeat(state, replica)
        return
    prev_index = progress.next - 1
    entries: tuple[types.Entry, ...] = ()
    if prev_index - progress.match < MAX_ENTRIES_IN_FLIGHT:
        entries = state.log.entries_from(
            progress.next, MAX_ENTRIES_PER_APPEND, MAX_BYTES_PER_APPEND
        )
    state.output.before_sync.append(
        wire.AppendRequest(
            sender=state.self_id,
            to=replica,
            term=state.term,
            prev_index=prev_index,
            prev_term=state.log.term_at(prev_index),
            entries=entries,
            commit=state.commit,
            round=state.round,
        )
    )
    progress.next += len(entries)


def _send_snapshot(
    state: core_state.CoreState,
    replica: types.ReplicaId,
    progress: core_state.Progress,
) -> None:
    if state.now_ms - progress.snapshot_sent_ms < SNAPSHOT_RETRY_MS:
        return
    progress.snapshot_sent_ms = state.now_ms
    state.output.snapshot_to.append(replica)


def _send_heartbeat(
    state: core_state.CoreState, replica: types.ReplicaId
) -> None:
    state.output.before_sync.append(
        wire.AppendRequest(
            sender=state.self_id,
            to=replica,
            term=state.term,
            prev_index=0,
            prev_term=0,
            entries=(),
            commit=0,
            round=state.round,
        )
    )


def on_append_request(
    state: core_state.CoreState, request: wire.AppendRequest
) -> None:
    """Match the log with the leader's, append, and advance `commit`."""
    log = state.log
    if request.prev_index > log.last_index:
        _send_append_reply(state, request, False, log.last_index)
        return
    if request.prev_index < log.base_index:
        _send_append_reply(state, request, False, state.commit)
        return
    if log.term_at(request.prev_index) != request.prev_term:
        _send_append_reply(state, request, False, state.commit)
        return
    _append_missing(state, request.entries)
    match = request.prev_index + len(request.entries)
    advance_commit(state, min(request.commit, match))
    _send_append_reply(state, request, True, match)


def _append_missing(
    state: core_state.CoreState, entries: tuple[types.Entry, ...]
) -> None:
    log = state.log
    for position, entry in enumerate(entries):
        if entry.index <= log.last_index:
            if log.term_at(entry.index) == entry.term:
                continue
            invariants.require(
                "committed_entry_never_lost",
                entry.index > state.commit,
                commit=state.commit,
                index=entry.index,
            )
            log.truncate(entry.index)
            state.output.writes.append(types.TruncateLog(entry.index))
        _append_to_log(state, entries[position:])
        return


def _send_append_reply(
    state: core_state.CoreState,
    request: wire.AppendRequest | wire.InstallSnapshot,
    success: bool,
    match: int,
) -> None:
    state.output.messages.append(
        wire.AppendReply(
            sender=state.self_id,
            to=request.sender,
            term=state.term,
            success=success,
            match=match,
            round=request.round,
        )
    )


def on_append_reply(
    state: core_state.CoreState, reply: wire.AppendReply
) -> None:
    """Record a member's progress and send it its missing entries."""
    progress = state.progress_by_id.get(reply.sender)
    if progress is None:
        return
    progress.last_reply_ms = state.now_ms
    progress.round = max(progress.round, reply.round)
    confirm_reads(state)
    if not reply.success:
        progress.next = max(progress.match, reply.match) + 1
        progress.next = min(progress.next, state.log.last_index + 1)
        if progress.next > state.log.base_index:
            send_append(state, reply.sender)
        return
    progress.match = max(progress.match, reply.match)
    progress.next = max(progress.next, progress.match + 1)
    progress.snapshot_sent_ms = core_state.NEVER_MS
    commit_matched(state)
    _continue_transfer(state, reply.sender, progress)
    if state.log.base_index < progress.next <= state.log.last_index:
        send_append(state, reply.sender)


def commit_matched(state: core_state.CoreState) -> None:
    """Commit what a majority has synced, of the current term only."""
    matches = sorted(
        (
            state.progress_by_id[replica].match
            for replica in state.log.membership.voter_ids()
        ),
        reverse=True,
    )
    index = matches[state.quorum() - 1]
    if index > state.commit and state.log.term_at(index) == state.term:
        advance_commit(state, index)


def advance_commit(state: core_state.CoreState, index: int) -> None:
    """Raise the commit index; it never falls."""
    state.commit = max(state.commit, index)


def on_install_snapshot(
    state: core_state.CoreState, message: wire.InstallSnapshot
) -> None:
    """Replace the log with a snapshot that is ahead of the commit index."""
    snapshot = message.snapshot
    if snapshot.index > state.commit:
        state.log.reset(snapshot)
        state.commit = snapshot.index
        state.output.writes.append(snapshot)
        _send_append_reply(state, message, True, snapshot.index)
        return
    _send_append_reply(state, message, True, state.commit)


def request_read(state: core_state.CoreState, read_id: int) -> None:
    """Register a read; it is released once a majority confirms a round."""
    if not state.is_leader():
        state.output.reads.append(core_state.ReadResult(read_id, None))
        return
    index = max(state.commit, state.term_start_index)
    state.reads.append(core_state.PendingRead(read_id, state.round + 1, index))
    state.has_new_reads = True


def confirm_reads(state: core_state.CoreState) -> None:
    """Release the reads whose round a majority has confirmed."""
    if not state.reads:
        return
    rounds = sorted(
        (
            state.progress_by_id[replica].round
            for replica in state.log.membership.voter_ids()
        ),
        reverse=True,
    )
    confirmed = rounds[state.quorum() - 1]
    for pending in state.reads:
        if pending.round <= confirmed:
            state.output.reads.append(
                core_state.ReadResult(pending.read_id, pending.index)
            )
    state.reads = [r for r in state.reads if r.round > confirmed]


def fail_reads(state: core_state.CoreState) -> None:
    """Fail the pending reads; this replica is no longer the leader."""
    for pending in state.reads:
        state.output.reads.append(core_state.ReadResult(pending.read_id, None))
    state.reads.clear()


def start_transfer(
    state: core_state.CoreState, target: types.ReplicaId
) -> None:
    """Start a leadership transfer; commands are refused meanwhile."""
    state.transfer_to = target
    state.transfer_deadline_ms = state.now_ms + state.timing.election_max_ms
    _continue_transfer(state, target, state.progress_by_id[target])


def _continue_transfer(
    state: core_state.CoreState,
    replica: types.ReplicaId,
    progress: core_state.Progress,
) -> None:
    caught_up = progress.match == state.log.last_index
    if replica == state.transfer_to and caught_up:
        state.output.messages.append(
            wire.TimeoutNow(state.self_id, replica, state.term)
        )
