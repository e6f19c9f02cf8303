"""Messages of the replicated log, each with its sender and receiver."""

import msgspec

from oriolejunction.consensus import types


class Envelope(msgspec.Struct, frozen=True, tag=True):
    """Base of all messages; a replica drops those for another id."""

    sender: types.ReplicaId
    to: types.ReplicaId
    term: int


class VoteRequest(Envelope, frozen=True):
    """Ask for a vote, or whether one would be granted (`pre`).

    `transfer` marks a candidate that the leader itself chose.
    """

    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


class VoteReply(Envelope, frozen=True):
    """Grant or refuse a vote."""

    granted: bool
    pre: bool


class AppendRequest(Envelope, frozen=True):
    """Entries after `prev_index`, or a heartbeat where there are none."""

    prev_index: int
    prev_term: int
    entries: tuple[types.Entry, ...]
    commit: int
    round: int


class AppendReply(Envelope, frozen=True):
    """Report up to which index the log matches and is synced.

    Where `success` is false, the leader retries after index `match`.
    """

    success: bool
    match: int
    round: int


class InstallSnapshot(Envelope, frozen=True):
    """A snapshot for a replica that lacks entries before the log's start."""

    snapshot: types.Snapshot
    round: int


class TimeoutNow(Envelope, frozen=True):
    """Ask the receiver to become the leader at once."""


class NotMember(Envelope, frozen=True):
    """Tell a replica that a committed membership excludes it."""

    membership_index: int


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | InstallSnapshot
    | TimeoutNow
    | NotMember
)
