"""Typed messages between the system's own processes.

Encoded as MessagePack by ``msgspec``; a tag names the type in a union.
"""

from oriolejunction import commands
from oriolejunction import configuration
from oriolejunction import document_messages
from oriolejunction import ids
from oriolejunction import message_base
from oriolejunction import states


class ProposeRequest(message_base.Message, frozen=True):
    """Ask a control replica to commit a command."""

    command: commands.Command


class ProposeReply(message_base.Message, frozen=True):
    """The committed result, or a hint which replica is the leader.

    `not_leader` proves that this replica did not commit the command;
    `unknown` means that it may have. For an accepted change, `in_force`
    says whether each lease holder already applies it.
    """

    result: commands.CommandResult | None = None
    not_leader: bool = False
    leader_hint: str | None = None
    unknown: bool = False
    in_force: bool = True


class AwaitInForceRequest(message_base.Message, frozen=True):
    """Wait, for a bounded time, until a revision is in force everywhere."""

    revision: ids.Revision


class AwaitInForceReply(message_base.Message, frozen=True):
    """Whether each lease holder applies the revision or a later one."""

    in_force: bool
    not_leader: bool = False
    leader_hint: str | None = None


class RenewRequest(message_base.Message, frozen=True):
    """Renew a configuration lease and report the applied revision.

    `known_peers` is the digest of the lease holders known to the sender. One
    that `fetches_content` asks for the content by calls of their own.
    """

    instance: ids.InstanceId
    zone: ids.ZoneId
    incarnation: str
    applied: ids.Revision
    leaving: bool = False
    peer_address: str = ""
    known_peers: int = 0
    fetches_content: bool = False


class PeerInstance(message_base.Message, frozen=True):
    """A lease holder, for other instances; `peer_address` is IP:PORT."""

    instance: ids.InstanceId
    zone: ids.ZoneId
    incarnation: str
    peer_address: str
    leaving: bool = False


class RenewReply(message_base.Message, frozen=True):
    """The latest revision; its content if the sender takes it here.

    A read barrier confirmed the revision. `lease_ms` counts from the time
    at which the request was sent. `peers` lists the lease holders if their
    digest differs from `known_peers` of the request.
    """

    revision: ids.Revision
    configuration: configuration.Configuration | None
    lease_ms: int
    not_leader: bool = False
    leader_hint: str | None = None
    peers: tuple[PeerInstance, ...] | None = None
    peers_digest: int = 0


class ContentReply(message_base.Message, frozen=True):
    """A piece of the encoded configuration of a newer revision."""

    piece: document_messages.DocumentPiece | None
    not_leader: bool = False
    leader_hint: str | None = None


class StatusRequest(message_base.Message, frozen=True):
    """Ask for the revision in force on each instance."""


class InstanceStatus(message_base.Message, frozen=True):
    """One instance as the control leader knows it."""

    instance: ids.InstanceId
    zone: ids.ZoneId
    applied: ids.Revision
    lease_left_ms: int
    leaving: bool


class ReplicaStatus(message_base.Message, frozen=True):
    """One control replica; after the loss of its disk it has a new id."""

    instance: ids.InstanceId
    zone: ids.ZoneId
    replica: str
    votes: bool


class StatusReply(message_base.Message, frozen=True):
    """The current revision, each lease holder and the control replicas."""

    revision: ids.Revision
    leader: ids.InstanceId
    instances: tuple[InstanceStatus, ...]
    not_leader: bool = False
    leader_hint: str | None = None
    replicas: tuple[ReplicaStatus, ...] = ()


class AuditRequest(message_base.Message, frozen=True):
    """Ask for the audit log of changes, starting at an entry number."""

    start: int = 0


class AuditEntry(message_base.Message, frozen=True):
    """One change: when, by whom, what, and from which answers."""

    number: int
    at_ms: int
    operator: str
    action: states.ChangeAction
    draft_id: ids.DraftId
    revision: ids.Revision
    answers_digest: str
    differences: tuple[str, ...]
    answers_toml: str = ""


class AuditReply(message_base.Message, frozen=True):
    """A page of the audit log."""

    entries: tuple[AuditEntry, ...]
    not_leader: bool = False
    leader_hint: str | None = None


class InForceRequest(message_base.Message, frozen=True):
    """Ask for the configuration in force, to compare answers with it."""


class InForceReply(message_base.Message, frozen=True):
    """The configuration in force, confirmed by a read barrier."""

    revision: ids.Revision
    configuration: configuration.Configuration | None
    not_leader: bool = False
    leader_hint: str | None = None
