"""A control replica: the core driven by a disk, a network and a clock."""

import asyncio
import contextlib
import pathlib
import random
import typing

import msgspec
import structlog

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction.consensus import applier
from oriolejunction.consensus import compaction
from oriolejunction.consensus import core as cores
from oriolejunction.consensus import core_state
from oriolejunction.consensus import disk_recovery
from oriolejunction.consensus import group_changes
from oriolejunction.consensus import identity as identities
from oriolejunction.consensus import pending_reads
from oriolejunction.consensus import replica as replicas
from oriolejunction.consensus import storage as storages
from oriolejunction.consensus import types
from oriolejunction.consensus import wire
from oriolejunction.controllers import control_state
from oriolejunction import listeners
from oriolejunction import messages

# A heartbeat or an election runs at most MIN_TICK_MS late, or MAX_TICK_MS if
# its deadline moves earlier during the wait, as in a new group.
MIN_TICK_MS = 20.0
MAX_TICK_MS = 100.0
_encoder = msgspec.msgpack.Encoder()
_log = structlog.get_logger(__name__)


class RaftReplica:
    """Commits commands through the group and applies them in order."""

    def __init__(
        self,
        folder: pathlib.Path,
        member: typing.Callable[[types.ReplicaId], types.Member],
        transport: replicas.Transport,
        clock: clocks.Clock,
        rng: random.Random,
        timing: core_state.Timing = core_state.Timing(),
        limits: compaction.LogLimits = compaction.LogLimits(),
        initial_voters: tuple[str, ...] = (),
    ) -> None:
        """Open the replica in a folder.

        `initial_voters` are the addresses of the replicas that may form the
        group, given if it may not have been formed before.
        """
        self._limits = limits
        self._folder = folder
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._timing = timing
        self.identity = identities.load(folder, initial_voters)
        self.member = member(self.identity.replica)
        self._core: cores.Core | None = None
        self._storage: storages.Storage | None = None
        self._applier = applier.Applier(folder)
        self._reads = pending_reads.PendingReads()
        self._wake = asyncio.Event()
        self.group_changes = group_changes.GroupChanges(
            lambda: self._core, self._wake.set, clock
        )
        self.on_apply: listeners.OnChange = listeners.no_op
        # The process must end then, so that a new one starts from the disk.
        self.on_failure: listeners.OnChange = listeners.no_op
        # The group to join in place of one that committed nothing.
        self._next_group: types.GroupId | None = None
        self._tasks: list[asyncio.Task] = []
        if self.identity.group is not None:
            self._open_core(storages.Storage.load(folder))

    @property
    def state(self) -> control_state.ControlState:
        """Return the state as applied so far."""
        return self._applier.state

    @property
    def applied_index(self) -> int:
        """Return the index of the last log entry applied to the state."""
        return self._applier.applied_index

    @property
    def last_index(self) -> int:
        """Return the index of the last log entry, applied or not.

        On a leader, all that was ever committed has at most this index.
        """
        return 0 if self._core is None else self._core.state.log.last_index

    @property
    def leader_term(self) -> int | None:
        """Return the term that this replica leads, None on a follower."""
        if self._core is None or not self._core.state.is_leader():
            return None
        return self._core.state.term

    @property
    def group(self) -> types.GroupId | None:
        """Return the group that this replica belongs to, if any."""
        return self.identity.group

    @property
    def membership(self) -> types.Membership:
        """Return the latest membership known here."""
        return self.group_changes.membership

    def start(self) -> None:
        """Start to process messages and deadlines."""
        self._tasks.append(asyncio.create_task(self._run()))
        self._tasks.append(asyncio.create_task(self._run_ticks()))

    def form_group(
        self, group: types.GroupId, membership: types.Membership
    ) -> types.GroupId | None:
        """Become an initial voter of a group; return the replica's group.

        A replica that already has a group stays in it.
        """
        if self.identity.group is None:
            if self.member.replica in membership.voter_ids():
                first = types.Entry(1, 1, membership=membership)
                self._join_group(
                    group,
                    (
                        types.HardState(1, None),
                        types.AppendEntries((first,)),
                    ),
                )
        return self.identity.group

    def campaign_soon(self) -> None:
        """Start an election at once; a new group needs no timeout."""
        if self._core is not None:
            self._core.state.election_due_ms = self._clock.now_ms()
            self._wake.set()

    def join_as_learner(self, group: types.GroupId) -> None:
        """Follow a group that added this replica as a learner.

        A replica leaves its own group only if this committed nothing.
        """
        if self.identity.group is None:
            self._join_group(group, ())
        elif group != self.identity.group:
            if self.group_changes.has_committed_nothing():
                self._next_group = group
                self._wake.set()

    def _join_group(
        self, group: types.GroupId, records: tuple[types.Record, ...]
    ) -> None:
        identity = identities.Identity(self.identity.replica, group)
        storage = storages.Storage.create(self._folder, records)
        try:
            identities.save(self._folder, identity)
        except OSError:
            storage.close()
            raise
        self.identity = identity
        self._open_core(storage)
        self._wake.set()

    def _change_group(self, group: types.GroupId) -> None:
        self._next_group = None
        if not self.group_changes.has_committed_nothing():
            return
        _log.warning("group changes", left=self.identity.group, joins=group)
        self._fail_waiters()
        self._storage.close()
        self._join_group(group, ())

    def _open_core(self, storage: storages.Storage) -> None:
        commit = 0
        if storage.snapshot is not None:
            commit = storage.snapshot.index
            if commit > self._applier.applied_index:
                self._applier.install(storage.snapshot)
        self._storage = storage
        self._core = cores.Core(
            self.identity.replica,
            storage.log,
            storage.hard_state,
            commit,
            self._clock.now_ms(),
            self._rng,
            self._timing,
        )

    def leader_address(self) -> str | None:
        """Return the leader's address, None while it is unknown."""
        return self.group_changes.leader_address()

    def is_connected(self, silence_ms: float) -> bool:
        """Return whether this replica is connected to a majority.

        A follower counts as connected while its last message from the leader
        is at most `silence_ms` old.
        """
        if self._core is None:
            return False
        state = self._core.state
        state.now_ms = max(state.now_ms, self._clock.now_ms())
        if state.is_leader():
            return state.has_recent_quorum(silence_ms)
        return state.now_ms - state.leader_contact_ms <= silence_ms

    async def propose(
        self, command: commands.Command
    ) -> commands.CommandResult:
        """Commit a command durably and return its result."""
        core = self._require_core()
        index_and_term = core.propose(_encoder.encode(command))
        if index_and_term is None:
            raise replicas.NotLeader(self.leader_address())
        self._wake.set()
        return await self._applier.wait_result(*index_and_term)

    async def read_barrier(self) -> None:
        """Wait until `state` is at least as new as this call."""
        core = self._require_core()
        read_id = self._reads.add()
        core.request_read(read_id)
        self._wake.set()
        index = await self._reads.wait(read_id)
        if index is None:
            raise replicas.NotLeader(self.leader_address())
        await self._applier.wait_applied(index)

    async def audit(
        self, start: int, limit: int
    ) -> tuple[messages.AuditEntry, ...]:
        """Return up to `limit` audit log entries after number `start`."""
        return await asyncio.to_thread(
            self._applier.audit_log.read, start, limit
        )

    def deliver(self, received: tuple[wire.Message, ...]) -> None:
        """Process messages of this group."""
        if self._core is None:
            return
        for message in received:
            self._core.step(message)
        self._wake.set()

    @property
    def last_audit_number(self) -> int:
        """Return the number of the last audit log entry on this disk."""
        return self._applier.audit_log.last_number

    def audit_entry_count(self, snapshot: types.Snapshot) -> int:
        """Return how many audit log entries a snapshot requires."""
        return applier.audit_entry_count(snapshot)

    def append_audit(self, entries: tuple[messages.AuditEntry, ...]) -> None:
        """Append audit log entries fetched from another replica."""
        self._applier.audit_log.append_missing(entries)

    async def close(self) -> None:
        """Stop and close the files."""
        for task in self._tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self._fail_waiters()
        if self._storage is not None:
            self._storage.close()
        self._applier.close()

    def _require_core(self) -> cores.Core:
        if self._core is None:
            raise replicas.NotLeader()
        return self._core

    def _fail_waiters(self) -> None:
        self._applier.fail_waiters()
        self._reads.fail()

    async def _run_ticks(self) -> None:
        while True:
            await self._clock.sleep_ms(self._next_tick_delay_ms())
            self._wake.set()

    def _next_tick_delay_ms(self) -> float:
        """Return the time to the next deadline, within the tick limits."""
        if self._core is None:
            return MAX_TICK_MS
        due_ms = self._core.state.next_deadline_ms() - self._clock.now_ms()
        return min(max(due_ms, MIN_TICK_MS), MAX_TICK_MS)

    async def _run(self) -> None:
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                if self._core is None:
                    continue
                try:
                    if self._next_group is not None:
                        self._change_group(self._next_group)
                    await self._process_output(self._core)
                except OSError as error:
                    await self._recover_disk(error)
        except asyncio.CancelledError:
            raise
        except Exception:
            _log.exception("control replica stopped")
            self._core = None
            self._fail_waiters()
            self.on_failure()

    async def _recover_disk(self, error: OSError) -> None:
        """Resume, as after a restart, once the disk can be written again."""
        _log.error("disk lost", why=repr(error))
        self._core = None
        self._fail_waiters()
        self._storage.close()
        self._open_core(
            await disk_recovery.reload(
                self._folder, self._clock, self._applier.audit_log
            )
        )

    async def _process_output(self, core: cores.Core) -> None:
        core.tick(self._clock.now_ms())
        output = core.take_output()
        self._send(output.before_sync)
        for replica in output.snapshot_to:
            self._send_snapshot(core, replica)
        if output.writes:
            await asyncio.to_thread(self._storage.write, output.writes)
            self._report_synced(core, output.writes)
        self._send(output.messages)
        self._reads.finish(output.reads)
        if not core.state.is_leader():
            self._applier.fail_waiters()
        applied = self._applier.applied_index
        self._apply(core)
        if self._applier.applied_index != applied:
            self.on_apply()
        await compaction.compact(
            core, self._applier, self._storage, self._limits
        )
        if not core.state.output.is_empty():
            self._wake.set()

    def _report_synced(
        self, core: cores.Core, writes: list[types.Record]
    ) -> None:
        for record in reversed(writes):
            if isinstance(record, types.AppendEntries):
                last = record.entries[-1]
                core.on_synced(last.index, last.term)
                return

    def _apply(self, core: cores.Core) -> None:
        state = core.state
        snapshot = self._storage.snapshot
        if snapshot and snapshot.index > self._applier.applied_index:
            self._applier.install(snapshot)
        while self._applier.applied_index < state.commit:
            next_index = self._applier.applied_index + 1
            if next_index <= state.log.base_index:
                # The snapshot that covers it is still being written.
                return
            self._applier.apply(state.log.entry(next_index))

    def _send(self, outgoing: list[wire.Message]) -> None:
        for message in outgoing:
            member = self.membership.member(message.to)
            self._transport.send(
                self.identity.group, message, member and member.address
            )

    def _send_snapshot(
        self, core: cores.Core, replica: types.ReplicaId
    ) -> None:
        state, snapshot = core.state, self._storage.snapshot
        if snapshot is not None:
            message = wire.InstallSnapshot(
                state.self_id, replica, state.term, snapshot, state.round
            )
            self._send([message])
