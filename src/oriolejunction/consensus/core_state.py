"""State of one replica's core, and the actions it asks its driver for."""

import random

import msgspec

from oriolejunction.consensus import log as logs
from oriolejunction.consensus import types
from oriolejunction.consensus import wire

NEVER_MS = float("-inf")


class Timing(msgspec.Struct, frozen=True):
    """Intervals in ms; an election timeout is random within its range.

    Before its first contact with a leader since its start, a replica's
    election timeout is at most `first_election_ms`: after a shutdown of
    all replicas there is no leader, and a pre-vote does not disturb a live
    one. A voter silent for `lost_after_ms` is replaced by a caught-up
    learner; the value is long where a paused replica should keep its vote.
    """

    heartbeat_ms: float = 100.0
    election_min_ms: float = 700.0
    election_max_ms: float = 1_400.0
    first_election_ms: float = 1_400.0
    lost_after_ms: float = 60_000.0
    replaced_after_ms: float = 3_000.0
    learner_lost_after_ms: float = 60_000.0


class Progress(msgspec.Struct):
    """Replication progress of one member, the leader included."""

    next: int
    match: int = 0
    round: int = 0
    last_reply_ms: float = NEVER_MS
    snapshot_sent_ms: float = NEVER_MS


class PendingRead(msgspec.Struct, frozen=True):
    """A read that waits until a majority confirms a round."""

    read_id: int
    round: int
    index: int


class ReadResult(msgspec.Struct, frozen=True):
    """Index to apply before serving a read; None if not the leader."""

    read_id: int
    index: int | None


class Output(msgspec.Struct):
    """Actions for the driver, in order: `before_sync`, `writes`, the rest.

    `writes` are synced before the rest; the messages in `before_sync` are
    safe to send earlier.
    """

    before_sync: list[wire.Message] = msgspec.field(default_factory=list)
    writes: list[types.Record] = msgspec.field(default_factory=list)
    messages: list[wire.Message] = msgspec.field(default_factory=list)
    reads: list[ReadResult] = msgspec.field(default_factory=list)
    snapshot_to: list[types.ReplicaId] = msgspec.field(default_factory=list)

    def is_empty(self) -> bool:
        """Return whether there is nothing to do."""
        return not (
            self.before_sync
            or self.writes
            or self.messages
            or self.reads
            or self.snapshot_to
        )


class CoreState(msgspec.Struct):
    """All state of the core; term, vote and log survive a restart."""

    self_id: types.ReplicaId
    rng: random.Random
    timing: Timing
    log: logs.Log
    term: int = 0
    vote: types.ReplicaId | None = None
    now_ms: float = 0.0
    role: types.Role = types.Role.FOLLOWER
    leader: types.ReplicaId | None = None
    commit: int = 0
    removed: bool = False
    leader_contact_ms: float = NEVER_MS
    election_due_ms: float = 0.0
    votes: set[types.ReplicaId] = msgspec.field(default_factory=set)
    progress_by_id: dict[types.ReplicaId, Progress] = msgspec.field(
        default_factory=dict
    )
    term_start_index: int = 0
    round: int = 0
    heartbeat_due_ms: float = 0.0
    reads: list[PendingRead] = msgspec.field(default_factory=list)
    has_new_reads: bool = False
    has_new_entries: bool = False
    transfer_to: types.ReplicaId | None = None
    transfer_deadline_ms: float = NEVER_MS
    output: Output = msgspec.field(default_factory=Output)

    def is_leader(self) -> bool:
        """Return whether this replica leads its term."""
        return self.role is types.Role.LEADER

    def is_voter(self) -> bool:
        """Return whether the latest membership gives this replica a vote."""
        return self.self_id in self.log.membership.voter_ids()

    def next_deadline_ms(self) -> float:
        """Return when the next heartbeat or election is due."""
        if self.is_leader():
            return self.heartbeat_due_ms
        return self.election_due_ms

    def quorum(self) -> int:
        """Return how many voters are a majority."""
        return len(self.log.membership.voters) // 2 + 1

    def is_quorum(self, replicas: set[types.ReplicaId]) -> bool:
        """Return whether the replicas include a majority of the voters."""
        voters = self.log.membership.voter_ids()
        return len(voters & replicas) >= self.quorum()

    def has_recent_quorum(self, silence_ms: float) -> bool:
        """Return whether a majority replied within `silence_ms`."""
        oldest_ms = self.now_ms - silence_ms
        return self.is_quorum(
            {
                replica
                for replica, progress in self.progress_by_id.items()
                if replica == self.self_id
                or progress.last_reply_ms >= oldest_ms
            }
        )

    def persist_hard_state(self) -> None:
        """Queue term and vote to be written before later messages."""
        self.output.writes.append(types.HardState(self.term, self.vote))
