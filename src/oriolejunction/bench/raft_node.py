"""A Raft core with a fake disk, driven step by step."""

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
    """Durable records and the last batch, which a crash may lose."""

    synced: list[types.Record | storages.Base] = dataclasses.field(
        default_factory=list
    )
    unsynced: list[types.Record] = dataclasses.field(default_factory=list)
    snapshot: types.Snapshot | None = None

    def sync(self) -> None:
        """Make the written batch durable."""
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
        """Return the hard state and log that a restart recovers."""
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
    """A read and the highest index committed when it was requested."""

    read_id: int
    min_index: int


class Node:
    """A replica on one instance; a wiped disk gives it a new identity.

    At most one output of the core is being written at a time.
    """

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
        """Return the identity of the current disk."""
        return types.ReplicaId(f"{self.name}.{self.disk_generation}")

    @property
    def member(self) -> types.Member:
        """Return the membership entry of this replica."""
        return types.Member(self.replica, self.name, self.name, self.name)

    @property
    def is_running(self) -> bool:
        """Return whether the process runs and is not paused."""
        return self.core is not None and not self.is_paused

    def start(self, now_ms: float) -> None:
        """Start the process from the contents of its disk."""
        hard_state, log = self.disk.replay()
        commit = self.disk.snapshot.index if self.disk.snapshot else 0
        self.applied = commit
        self.is_paused = False
        self.core = cores.Core(
            self.replica, log, hard_state, commit, now_ms, self.rng
        )

    def crash(self, batch_survives: bool) -> None:
        """Crash the process; without `batch_survives` lose the batch."""
        self.disk.crash(batch_survives)
        self.core = None
        self._pending = None
        self.outgoing.clear()
        self.reads.clear()

    def wipe(self) -> None:
        """Replace the disk of a crashed process by an empty one."""
        self.disk = Disk()
        self.disk_generation += 1

    def process_output(self) -> None:
        """Take the core's output, unless a write is in progress.

        Its writes wait for `sync`, and its messages wait for the writes.
        """
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
        """Complete the write that is in progress."""
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
        """Replace the applied entries of the log by a snapshot."""
        state = self.core.state
        if self._pending is not None or state.output.writes:
            return
        if self.applied <= state.log.base_index:
            return
        membership_index, membership = state.log.membership_at(self.applied)
        term = state.log.term_at(self.applied)
        self.disk.snapshot = types.Snapshot(
            self.applied, term, membership, membership_index, b""
        )
        self.core.compact(self.applied)
        self.disk.synced = [
            storages.Base(self.applied, term, membership, membership_index),
            types.HardState(state.term, state.vote),
            types.AppendEntries(state.log.entries_after(self.applied)),
        ]
