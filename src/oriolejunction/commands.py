"""Commands of the replicated log, and their results.

They have the encoding of all messages between the system's own processes.
"""

import msgspec

from oriolejunction import configuration
from oriolejunction import ids
from oriolejunction import message_base
from oriolejunction import routing_table
from oriolejunction import states

# Rises with each kind of command that earlier builds can't apply, since their
# replicas stop at it, or whose effect their entry instances don't know. Such a
# command is proposed only once all processes state this protocol.
PROTOCOL = 1
ROLLOUT_PROTOCOL = 1


class SubmitDraft(message_base.Message, frozen=True):
    """Store the configuration generated from answers as a draft."""

    operation_id: ids.OperationId
    draft_id: ids.DraftId
    base_revision: ids.Revision
    configuration: configuration.Configuration
    answers_toml: str
    differences: tuple[str, ...]
    operator: str
    at_ms: int


class AcceptDraft(message_base.Message, frozen=True):
    """Put a draft in force if its base revision is still current."""

    operation_id: ids.OperationId
    draft_id: ids.DraftId
    operator: str
    at_ms: int


class WithdrawChange(message_base.Message, frozen=True):
    """Drop a draft, or restore what was in force before a revision."""

    operation_id: ids.OperationId
    target: str
    operator: str
    at_ms: int


class ClaimCall(message_base.Message, frozen=True):
    """Claim the exclusive right to dispatch a non-idempotent call."""

    workspace: ids.WorkspaceId
    service: ids.ServiceName
    key: ids.IdempotencyKey
    body_digest: str
    owner: ids.InstanceId
    claim_id: str
    at_ms: int


class RecordCallOutcome(message_base.Message, frozen=True):
    """Store the answer of a claimed call."""

    workspace: ids.WorkspaceId
    service: ids.ServiceName
    key: ids.IdempotencyKey
    claim_id: str
    owner: ids.InstanceId
    state: states.CallState
    answer: "StoredAnswer | None"
    at_ms: int


class VoidCall(message_base.Message, frozen=True):
    """Block a key permanently if it was never claimed."""

    workspace: ids.WorkspaceId
    service: ids.ServiceName
    key: ids.IdempotencyKey
    owner: ids.InstanceId
    at_ms: int


class ResolveCall(message_base.Message, frozen=True):
    """Store an answer that the service's lookup gave for an unknown call."""

    workspace: ids.WorkspaceId
    service: ids.ServiceName
    key: ids.IdempotencyKey
    answer: "StoredAnswer"
    at_ms: int


class OrderTarget(msgspec.Struct, frozen=True):
    """The object of an order; an empty adapter means the model itself.

    `role` is set only in an order that sets an engine's role.
    """

    model: ids.ModelName
    version: ids.ModelVersion
    adapter: str = ""
    role: str = ""


class OrderIntent(msgspec.Struct, frozen=True):
    """A committed order whose outcome is not known."""

    fence: int
    engine_id: ids.EngineId
    action: states.OrderAction
    target: OrderTarget


class TakeExecutor(message_base.Message, frozen=True):
    """Become the only order executor if the epoch is still `seen_epoch`.

    `at_ms` is on the monotonic clock of the new executor.
    """

    owner: ids.InstanceId
    seen_epoch: int
    at_ms: float


class RenewExecutor(message_base.Message, frozen=True):
    """Renew the executor's lease."""

    owner: ids.InstanceId
    epoch: int


class PlaceOrder(message_base.Message, frozen=True):
    """Commit the intent of an order.

    While `in_use` is true, the last copy of a target is not unloaded.
    """

    epoch: int
    engine_id: ids.EngineId
    action: states.OrderAction
    target: OrderTarget
    in_use: bool
    at_ms: float


class RetryOrder(message_base.Message, frozen=True):
    """Ask for permission to resend an outstanding order."""

    epoch: int
    engine_id: ids.EngineId
    fence: int
    at_ms: float


class ResolveOrder(message_base.Message, frozen=True):
    """Record what an engine has loaded, and the end of order `fence`."""

    epoch: int
    engine_id: ids.EngineId
    fence: int
    loaded: tuple[OrderTarget, ...]


class PublishTable(message_base.Message, frozen=True):
    """Put a routing table in force; `document` is the operator's text."""

    version: routing_table.TableVersion
    document: bytes
    digest: str


class BeginRollout(message_base.Message, frozen=True):
    """Order that a service's requests move to a software version.

    `at_ms` is the leader's wall time; the deadline is `duration_ms` later.
    """

    service: ids.ServiceName
    target: ids.SoftwareVersion
    duration_ms: float
    at_ms: int


class ExposureGrant(msgspec.Struct, frozen=True, array_like=True):
    """Sends to the target that an incarnation may have made in all."""

    instance: ids.InstanceId
    boot: str
    allowance: int


class GrantExposure(message_base.Message, frozen=True):
    """Raise allowances; all together must stay within `ceiling`."""

    service: ids.ServiceName
    number: int
    ceiling: int
    grants: tuple[ExposureGrant, ...]


class MoveRollout(message_base.Message, frozen=True):
    """Change what entry instances may send; the rollout goes on."""

    service: ids.ServiceName
    number: int
    phase: states.RolloutPhase
    reason: str
    evidence: str


class DecideRollout(message_base.Message, frozen=True):
    """End a rollout."""

    service: ids.ServiceName
    number: int
    state: states.RolloutState
    reason: str
    evidence: str


class StoredAnswer(message_base.Message, frozen=True):
    """The answer of a plain service, stored for resends."""

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
    | BeginRollout
    | GrantExposure
    | MoveRollout
    | DecideRollout
)


class ChangeAccepted(message_base.Message, frozen=True):
    """A configuration change was committed."""

    draft_id: ids.DraftId
    revision: ids.Revision
    differences: tuple[str, ...] = ()


class ChangeRefused(message_base.Message, frozen=True):
    """A configuration change was refused."""

    code: str
    message: str


class CallClaim(message_base.Message, frozen=True):
    """Result of a claim or void: the state of the call.

    `granted` is true only for the claim that may dispatch. `refusal` says
    why a key that is not in the ledger cannot be added.
    """

    granted: bool
    state: states.CallState
    body_matches: bool
    answer: StoredAnswer | None = None
    refusal: states.KeyRefusal | None = None


class OrderResult(message_base.Message, frozen=True):
    """Whether an order's command was accepted, and its fencing token."""

    accepted: bool
    epoch: int
    fence: int = 0
    refusal: states.OrderRefusal | None = None


class Recorded(message_base.Message, frozen=True):
    """A command that returns no data was applied."""


class TablePublished(message_base.Message, frozen=True):
    """A routing table was committed; `version` is now in force."""

    version: routing_table.TableVersion


class TableRefused(message_base.Message, frozen=True):
    """A routing table was refused; `version` remains in force."""

    version: routing_table.TableVersion
    reason: str


class RolloutBegun(message_base.Message, frozen=True):
    """A rollout was ordered, now or by an earlier copy of the order."""

    number: int


class RolloutRefused(message_base.Message, frozen=True):
    """A command about a rollout was refused; nothing changed."""

    refusal: states.RolloutRefusal
    message: str


CommandResult = (
    ChangeAccepted
    | ChangeRefused
    | CallClaim
    | OrderResult
    | Recorded
    | TablePublished
    | TableRefused
    | RolloutBegun
    | RolloutRefused
)
