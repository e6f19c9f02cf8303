"""Requests between replicas; `Deliver` carries the log's messages."""

import msgspec

from oriolejunction.consensus import types
from oriolejunction.consensus import wire
from oriolejunction import messages


class Request(msgspec.Struct, frozen=True, tag=True):
    """Base of requests and replies between replicas."""


class Deliver(Request, frozen=True):
    """Messages of the log; `address` is where the sender listens."""

    group: types.GroupId
    address: str
    messages: tuple[wire.Message, ...]


class Delivered(Request, frozen=True):
    """The messages were received; they may still be dropped."""


class Hello(Request, frozen=True):
    """Ask the replica at an address for its identity."""


class Introduction(Request, frozen=True):
    """Identity of the receiver; `group` is None on an empty disk.

    `initial_voters` is that of `identity.Identity`. `protocol` tells which
    commands the receiver can apply (`commands.PROTOCOL`).
    """

    member: types.Member
    group: types.GroupId | None
    initial_voters: tuple[str, ...] = ()
    protocol: int = 0


class Form(Request, frozen=True):
    """Form a group with these voters; the receiver must be one of them."""

    group: types.GroupId
    membership: types.Membership


class Formed(Request, frozen=True):
    """The receiver's group after a `Form`, None if it has none."""

    group: types.GroupId | None


class Leave(Request, frozen=True):
    """Ask the leader to replace a voter whose process is about to stop."""

    replica: types.ReplicaId


class LeaveReply(Request, frozen=True):
    """The sender may stop if `done`; else it asks again, at the leader."""

    done: bool
    leader_address: str | None = None


class Join(Request, frozen=True):
    """Ask the leader to add a learner."""

    member: types.Member


class JoinReply(Request, frozen=True):
    """Whether the learner is in a committed membership.

    `leader_address` is a hint from a receiver that is not the leader.
    """

    accepted: bool
    group: types.GroupId | None = None
    leader_address: str | None = None


class FetchAudit(Request, frozen=True):
    """Ask for audit log entries after number `start`."""

    start: int


class AuditPage(Request, frozen=True):
    """Audit log entries; empty at the end of the log."""

    entries: tuple[messages.AuditEntry, ...]
