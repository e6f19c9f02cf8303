"""Types of the replicated log: members, entries and records on disk."""

import enum
import typing

import msgspec

ReplicaId = typing.NewType("ReplicaId", str)
GroupId = typing.NewType("GroupId", str)


class Role(enum.Enum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Member(msgspec.Struct, frozen=True):
    """One replica; a replica whose disk was lost returns with a new id."""

    replica: ReplicaId
    instance: str
    zone: str
    address: str


class Membership(msgspec.Struct, frozen=True):
    """The voters, the learners and the intended number of voters."""

    voters: tuple[Member, ...]
    learners: tuple[Member, ...] = ()
    voter_target: int = 1

    def members(self) -> tuple[Member, ...]:
        """Return voters and learners."""
        return self.voters + self.learners

    def voter_ids(self) -> frozenset[ReplicaId]:
        """Return the ids of the voters."""
        return frozenset(member.replica for member in self.voters)

    def member_ids(self) -> frozenset[ReplicaId]:
        """Return the ids of voters and learners."""
        return frozenset(member.replica for member in self.members())

    def member(self, replica: ReplicaId) -> Member | None:
        """Return the member with this id, None if there is none."""
        for member in self.members():
            if member.replica == replica:
                return member
        return None


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A log entry: a command, a membership, or a new leader's empty entry."""

    index: int
    term: int
    command: bytes | None = None
    membership: Membership | None = None


class HardState(msgspec.Struct, frozen=True, tag=True):
    """Term and vote; synced before any message that depends on them."""

    term: int
    vote: ReplicaId | None


class AppendEntries(msgspec.Struct, frozen=True, tag=True):
    """Entries that follow the end of the log."""

    entries: tuple[Entry, ...]


class TruncateLog(msgspec.Struct, frozen=True, tag=True):
    """Removal of the entries from `index` on."""

    index: int


class Snapshot(msgspec.Struct, frozen=True, tag=True):
    """State after the entry at `index`, with the membership there."""

    index: int
    term: int
    membership: Membership
    membership_index: int
    body: bytes


Record = HardState | AppendEntries | TruncateLog | Snapshot
