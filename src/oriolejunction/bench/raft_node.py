"""One core with a fake disk, driven step by step."""

import dataclasses
import random

from oriolejunction.consensus import core as cores
from oriolejunction.consensus import core_state
from oriolejunction.consensus import log as logs
from oriolejunction.consensus import storage as storages
from oriolejunction.consensus import types
from oriolejunction.consensus import wire


@dataclasses.dataclass
class Disk:
    """Batches of records; those not synced may be lost in a crash."""

    synced: list[types.Record | storages.Base] = dataclasses.field(
        default_factory=list
    )
    unsynced: list[types.Record] = dataclasses.field(default_factory=list)
    snapshot: types.Snapshot | None = None

    def sync(self) -> None:
        """Make the batch that was written durable."""
        for record in self.unsynced:
            if isinstance(record, types.Snapshot):
                self.snapshot = record
            self.synced.append(record)
        self.unsynced = []

    def crash(self, batch_survives: bool) -> None:
        """Lose the batch, unless it reached the disk before the crash."""
        if batch_survives:
            self.sync()
        self.unsynced = []

    def replay(self) -> tuple[types.HardState, logs.Log]:
        """Return what a restart finds."""
        hard_state = types.HardState(0, None)
        log = logs.Log(storages.EMPTY_MEMBERSHIP)
        for record in self.synced:
            match record:
                case storages.Base():
                    log = logs.Log(
                        record.membership,
                        record.membership_index,
                        record.index,
                        record.term,
                    )
                case types.HardState():
                    hard_state = record
                case types.AppendEntries():
                    log.append(record.entries)
                case types.TruncateLog():
                    log.truncate(record.index)
                case types.Snapshot():
                    log.reset(record)
        return hard_state, log


@dataclasses.dataclass
class PendingRead:
    """A read and the highest index committed when it was asked."""

    token: int
    min_index: int


class Node:
    """A replica on one instance; a wiped disk gives it a new identity."""

    def __init__(self, name: str, rng: random.Random) -> None:
        self.name = name
        self.rng = rng
        self.disk = Disk()
        self.disk_generation = 0
        self.core: cores.Core | None = None
        self.is_paused = False
        self.outgoing: list[wire.Message] = []
        self.reads: dict[int, PendingRead] = {}
        self.read_results: list[tuple[PendingRead, int | None]] = []
        self.applied = 0
        self._pending: core_state.Output | None = None

    @property
    def replica(self) -> types.ReplicaId:
        """Return the identity of the present disk."""
        return types.ReplicaId(f"{self.name}.{self.disk_generation}")

    @property
    def member(self) -> types.Member:
        """Return the member that this replica would be."""
        return types.Member(self.replica, self.name, self.name, self.name)

    @property
    def is_running(self) -> bool:
        """Return whether the process runs and is not paused."""
        return self.core is not None and not self.is_paused

    def start(self, now_ms: float) -> None:
        """Start the process from what the disk holds."""
        hard_state, log = self.disk.replay()
        commit = self.disk.snapshot.index if self.disk.snapshot else 0
        self.applied = commit
        self.is_paused = False
        self.core = cores.Core(
            self.replica, log, hard_state, commit, now_ms, self.rng
        )

    def crash(self, batch_survives: bool) -> None:
        """End the process without notice."""
        self.disk.crash(batch_survives)
        self.core = None
        self._pending = None
        self.outgoing.clear()
        self.reads.clear()

    def wipe(self) -> None:
        """Lose the disk of a process that has ended."""
        self.disk = Disk()
        self.disk_generation += 1

    def process_output(self) -> None:
        """Take the core's output; its writes wait for `sync`."""
        if self._pending is not None:
            return
        output = self.core.take_output()
        self.outgoing += output.before_sync
        for replica in output.snapshot_to:
            self._send_snapshot(replica)
        self._pending = output
        if output.writes:
            self.disk.unsynced = list(output.writes)
        else:
            self._finish()

    def sync(self) -> None:
        """Complete the write that is under way."""
        if self._pending is None:
            return
        self.disk.sync()
        for record in self._pending.writes:
            if isinstance(record, types.AppendEntries):
                last = record.entries[-1]
                self.core.on_synced(last.index, last.term)
        self._finish()

    def _finish(self) -> None:
        output = self._pending
        self._pending = None
        self.outgoing += output.messages
        for result in output.reads:
            pending = self.reads.pop(result.read_id, None)
            if pending is not None:
                self.read_results.append((pending, result.index))

    def _send_snapshot(self, replica: types.ReplicaId) -> None:
        if self.disk.snapshot is not None:
            state = self.core.state
            self.outgoing.append(
                wire.InstallSnapshot(
                    state.self_id,
                    replica,
                    state.term,
                    self.disk.snapshot,
                    state.round,
                )
            )

    def compact(self) -> None:
        """Write a snapshot of what is applied and drop the log before."""
        state = self.core.state
        if self._pending is not None or state.output.writes:
            return
        if self.applied <= state.log.base_index:
            return
        place, membership = state.log.membership_at(self.applied)
        term = state.log.term_at(self.applied)
        self.disk.snapshot = types.Snapshot(
            self.applied, term, membership, place, b""
        )
        self.core.compact(self.applied)
        self.disk.synced = [
            storages.Base(self.applied, term, membership, place),
            types.HardState(state.term, state.vote),
            types.AppendEntries(state.log.entries_after(self.applied)),
        ]
