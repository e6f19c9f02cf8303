"""Typed messages between the system's own processes.

Encoded as MessagePack by ``msgspec``; unions are told apart by a tag.
"""

import msgspec

from oriolejunction import configuration
from oriolejunction import ids
from oriolejunction import routing_table
from oriolejunction import states


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base of all messages that may stand in a union."""


class SubmitDraft(Message, frozen=True):
    """Store the configuration generated from answers as a draft."""

    operation_id: ids.OperationId
    draft_id: ids.DraftId
    base_revision: ids.Revision
    configuration: configuration.Configuration
    answers_toml: str
    differences: tuple[str, ...]
    operator: str
    at_ms: int


class AcceptDraft(Message, frozen=True):
    """Put a draft in force if its base revision is still current."""

    operation_id: ids.OperationId
    draft_id: ids.DraftId
    operator: str
    at_ms: int


class WithdrawChange(Message, frozen=True):
    """Drop a draft, or bring back what stood before a revision."""

    operation_id: ids.OperationId
    target: str
    operator: str
    at_ms: int


class ClaimCall(Message, frozen=True):
    """Claim the single right to dispatch a never-twice call."""

    workspace: ids.WorkspaceId
    service: ids.ServiceName
    key: ids.IdempotencyKey
    body_digest: str
    owner: ids.InstanceId
    claim_id: str
    at_ms: int


class RecordCallOutcome(Message, frozen=True):
    """Store the answer of a claimed call."""

    workspace: ids.WorkspaceId
    service: ids.ServiceName
    key: ids.IdempotencyKey
    claim_id: str
    owner: ids.InstanceId
    state: states.CallState
    answer: "StoredAnswer | None"
    at_ms: int


class VoidCall(Message, frozen=True):
    """Bar a key for good if it was never claimed."""

    workspace: ids.WorkspaceId
    service: ids.ServiceName
    key: ids.IdempotencyKey
    owner: ids.InstanceId
    at_ms: int


class ResolveCall(Message, frozen=True):
    """Store what the service's own look-up tells of an unknown call."""

    workspace: ids.WorkspaceId
    service: ids.ServiceName
    key: ids.IdempotencyKey
    answer: "StoredAnswer"
    at_ms: int


class OrderTarget(msgspec.Struct, frozen=True):
    """What an order is about; an empty adapter means the model itself.

    An order that sets a role gives it in `role`.
    """

    model: ids.ModelName
    version: ids.ModelVersion
    adapter: str = ""
    role: str = ""


class OrderIntent(msgspec.Struct, frozen=True):
    """An order that was committed and whose end is not known."""

    fence: int
    engine_id: ids.EngineId
    action: states.OrderAction
    target: OrderTarget


class TakeExecutor(Message, frozen=True):
    """Become the one executor if the epoch is still `seen_epoch`.

    `at_ms` is on the monotonic clock of the new executor.
    """

    owner: ids.InstanceId
    seen_epoch: int
    at_ms: float


class RenewExecutor(Message, frozen=True):
    """Renew the executor's lease."""

    owner: ids.InstanceId
    epoch: int


class PlaceOrder(Message, frozen=True):
    """Commit the intent of an order; `in_use` guards what runs."""

    epoch: int
    engine_id: ids.EngineId
    action: states.OrderAction
    target: OrderTarget
    in_use: bool
    at_ms: float


class RetryOrder(Message, frozen=True):
    """Ask to send an outstanding order again."""

    epoch: int
    engine_id: ids.EngineId
    fence: int
    at_ms: float


class ResolveOrder(Message, frozen=True):
    """Record what an engine holds, and the end of an order if any."""

    epoch: int
    engine_id: ids.EngineId
    fence: int
    loaded: tuple[OrderTarget, ...]


class PublishTable(Message, frozen=True):
    """Put a routing table in force; the document is the operator's."""

    version: routing_table.TableVersion
    document: bytes
    digest: str


class StoredAnswer(Message, frozen=True):
    """The answer of a plain service, kept for resends."""

    status: int
    content_type: str
    body: bytes


Command = (
    SubmitDraft
    | AcceptDraft
    | WithdrawChange
    | ClaimCall
    | RecordCallOutcome
    | VoidCall
    | ResolveCall
    | TakeExecutor
    | RenewExecutor
    | PlaceOrder
    | RetryOrder
    | ResolveOrder
    | PublishTable
)


class ChangeAccepted(Message, frozen=True):
    """A configuration change was committed."""

    draft_id: ids.DraftId
    revision: ids.Revision
    differences: tuple[str, ...] = ()


class ChangeRefused(Message, frozen=True):
    """A configuration change was refused."""

    code: str
    message: str


class CallClaim(Message, frozen=True):
    """Result of a claim or void: where the call stands.

    `granted` is true only for the claim that may dispatch. `refusal` tells
    why a key that is not in the ledger cannot enter it.
    """

    granted: bool
    state: states.CallState
    body_matches: bool
    answer: StoredAnswer | None = None
    refusal: states.KeyRefusal | None = None


class OrderResult(Message, frozen=True):
    """Whether an order's command was accepted, and under which fence."""

    accepted: bool
    epoch: int
    fence: int = 0
    refusal: states.OrderRefusal | None = None


class Recorded(Message, frozen=True):
    """A command without a result of its own was applied."""


class TablePublished(Message, frozen=True):
    """A routing table is committed; `version` is the one in force now."""

    version: routing_table.TableVersion


class TableRefused(Message, frozen=True):
    """A routing table was refused; `version` is the one in force."""

    version: routing_table.TableVersion
    reason: str


CommandResult = (
    ChangeAccepted
    | ChangeRefused
    | CallClaim
    | OrderResult
    | Recorded
    | TablePublished
    | TableRefused
)


class ProposeRequest(Message, frozen=True):
    """Ask a control replica to commit a command."""

    command: Command


class ProposeReply(Message, frozen=True):
    """The committed result, or a hint where the leader is.

    `not_leader` is a proof that this replica did not commit the command;
    `unknown` says that it may have. `in_force` tells of an accepted change
    whether each lease-holder applies it already.
    """

    result: CommandResult | None = None
    not_leader: bool = False
    leader_hint: str | None = None
    unknown: bool = False
    in_force: bool = True


class AwaitInForceRequest(Message, frozen=True):
    """Wait, for a bounded time, until a revision is in force everywhere."""

    revision: ids.Revision


class AwaitInForceReply(Message, frozen=True):
    """Whether each lease-holder applies the revision or a later one."""

    in_force: bool
    not_leader: bool = False
    leader_hint: str | None = None


class RenewRequest(Message, frozen=True):
    """Renew a configuration lease and tell the revision applied.

    `known_peers` is the digest of the lease-holders known to the sender.
    """

    instance: ids.InstanceId
    zone: ids.ZoneId
    incarnation: str
    applied: ids.Revision
    leaving: bool = False
    peer_address: str = ""
    known_peers: int = 0


class PeerInstance(Message, frozen=True):
    """A lease-holder as the others reach it; `peer_address` is IP:PORT."""

    instance: ids.InstanceId
    zone: ids.ZoneId
    incarnation: str
    peer_address: str
    leaving: bool = False


class RenewReply(Message, frozen=True):
    """Confirmed latest revision; its content where the caller is behind.

    `lease_ms` counts from the moment at which the request was sent. `peers`
    holds the lease-holders where they differ from the digest given.
    """

    revision: ids.Revision
    configuration: configuration.Configuration | None
    lease_ms: int
    not_leader: bool = False
    leader_hint: str | None = None
    peers: tuple[PeerInstance, ...] | None = None
    peers_digest: int = 0


class StatusRequest(Message, frozen=True):
    """Ask for the revision in force on each instance."""


class InstanceStatus(Message, frozen=True):
    """One instance as the control leader knows it."""

    instance: ids.InstanceId
    zone: ids.ZoneId
    applied: ids.Revision
    lease_left_ms: int
    leaving: bool


class ReplicaStatus(Message, frozen=True):
    """One control replica; a lost disk came back with a new id."""

    instance: ids.InstanceId
    zone: ids.ZoneId
    replica: str
    votes: bool


class StatusReply(Message, frozen=True):
    """The current revision, each lease-holder and the control replicas."""

    revision: ids.Revision
    leader: ids.InstanceId
    instances: tuple[InstanceStatus, ...]
    not_leader: bool = False
    leader_hint: str | None = None
    replicas: tuple[ReplicaStatus, ...] = ()


class AuditRequest(Message, frozen=True):
    """Ask for the trail of changes, from an entry number on."""

    start: int = 0


class AuditEntry(Message, frozen=True):
    """One change: who, when, what, from which answers."""

    number: int
    at_ms: int
    operator: str
    action: states.ChangeAction
    draft_id: ids.DraftId
    revision: ids.Revision
    answers_digest: str
    differences: tuple[str, ...]
    answers_toml: str = ""


class AuditReply(Message, frozen=True):
    """A part of the trail."""

    entries: tuple[AuditEntry, ...]
    not_leader: bool = False
    leader_hint: str | None = None


class InForceRequest(Message, frozen=True):
    """Ask for the content in force or of a draft, for differences."""


class InForceReply(Message, frozen=True):
    """The configuration in force, confirmed by a majority."""

    revision: ids.Revision
    configuration: configuration.Configuration | None
    not_leader: bool = False
    leader_hint: str | None = None
