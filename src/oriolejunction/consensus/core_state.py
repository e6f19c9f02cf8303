"""State of one replica's core and what it asks its shell to do."""

import dataclasses
import random

from oriolejunction.consensus import log as logs
from oriolejunction.consensus import types
from oriolejunction.consensus import wire

NEVER_MS = float("-inf")


@dataclasses.dataclass(frozen=True)
class Timing:
    """Intervals in ms; an election timeout is drawn from its range.

    Until a replica has heard a leader since its start, its timeout is at
    most `first_election_ms`: after all were stopped nobody leads, and a
    pre-vote disturbs no leader that is alive. A voter silent for
    `lost_after_ms` gives its place to a learner that is
    caught up; it is long where a paused replica should keep its vote.
    """

    heartbeat_ms: float = 100.0
    election_min_ms: float = 700.0
    election_max_ms: float = 1_400.0
    first_election_ms: float = 1_400.0
    lost_after_ms: float = 60_000.0


@dataclasses.dataclass
class Progress:
    """What a leader knows of one member, itself included."""

    next: int
    match: int = 0
    round: int = 0
    last_reply_ms: float = NEVER_MS
    snapshot_sent_ms: float = NEVER_MS


@dataclasses.dataclass(frozen=True)
class PendingRead:
    """A read that waits for a round confirmed by a majority."""

    read_id: int
    round: int
    index: int


@dataclasses.dataclass(frozen=True)
class ReadResult:
    """A read may be served once `index` is applied; else not the leader."""

    read_id: int
    index: int | None


@dataclasses.dataclass
class Output:
    """What the shell does, in order: `early`, `writes` synced, the rest.

    `early` holds messages that are safe before the writes are synced.
    """

    before_sync: list[wire.Message] = dataclasses.field(default_factory=list)
    writes: list[types.Record] = dataclasses.field(default_factory=list)
    messages: list[wire.Message] = dataclasses.field(default_factory=list)
    reads: list[ReadResult] = dataclasses.field(default_factory=list)
    snapshot_to: list[types.ReplicaId] = dataclasses.field(
        default_factory=list
    )

    def is_empty(self) -> bool:
        """Return whether there is nothing to do."""
        return not (
            self.before_sync
            or self.writes
            or self.messages
            or self.reads
            or self.snapshot_to
        )


@dataclasses.dataclass
class CoreState:
    """Everything the core knows; term, vote and log survive a restart."""

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
    votes: set[types.ReplicaId] = dataclasses.field(default_factory=set)
    progress_by_id: dict[types.ReplicaId, Progress] = dataclasses.field(
        default_factory=dict
    )
    term_start_index: int = 0
    round: int = 0
    heartbeat_due_ms: float = 0.0
    reads: list[PendingRead] = dataclasses.field(default_factory=list)
    has_new_reads: bool = False
    has_new_entries: bool = False
    transfer_to: types.ReplicaId | None = None
    transfer_deadline_ms: float = NEVER_MS
    output: Output = dataclasses.field(default_factory=Output)

    def is_leader(self) -> bool:
        """Return whether this replica leads its term."""
        return self.role is types.Role.LEADER

    def is_voter(self) -> bool:
        """Return whether the latest membership gives this replica a vote."""
        return self.self_id in self.log.membership.voter_ids()

    def next_deadline_ms(self) -> float:
        """Return when time alone is next to change anything."""
        if self.is_leader():
            return self.heartbeat_due_ms
        return self.election_due_ms

    def quorum(self) -> int:
        """Return how many voters are a majority."""
        return len(self.log.membership.voters) // 2 + 1

    def is_quorum(self, replicas: set[types.ReplicaId]) -> bool:
        """Return whether the replicas hold a majority of the voters."""
        voters = self.log.membership.voter_ids()
        return len(voters & replicas) >= self.quorum()

    def has_recent_quorum(self, silence_ms: float) -> bool:
        """Return whether a leader heard a majority within a time."""
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
        """Have term and vote written before any message that follows."""
        self.output.writes.append(types.HardState(self.term, self.vote))
