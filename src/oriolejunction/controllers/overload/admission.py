"""Admission of new requests: limits, fair shares and deadlines.

A request that cannot be served in time is refused at once, before any
engine gets it, so `not_run` always holds for a refusal. Admitted requests
wait in fair order until an engine has free capacity. `start_pacing` decides
when a workspace above its share may take it.
"""

import collections
import collections.abc
import dataclasses
import enum
import math

import expression

from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers.overload import fair_queue
from oriolejunction.controllers.overload import start_pacing
from oriolejunction.controllers import token_bucket
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import invariants

BURST_S = 2.0
MAX_WAIT_MS = 2_000.0
MAX_QUEUED = 2_000
MIN_RETRY_AFTER_MS = 100
DEFAULT_ANSWER_TOKENS = 64.0
ANSWER_SMOOTHING = 0.1


class AdmissionPolicy(enum.Enum):
    """Whether limits apply; `NONE` is the baseline of the admission bench."""

    FAIR = "fair"
    NONE = "none"


class TicketState(enum.Enum):
    """Lifecycle of an admitted request."""

    QUEUED = "queued"
    RUNNING = "running"
    REFUSED = "refused"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True)
class AdmissionRequest:
    """A new request.

    `tokens` counts the prompt, `max_tokens` limits the answer, and
    `deadline_ms` is the time from now within which the first token is due.
    """

    workspace: configuration.Workspace
    tokens: int
    max_tokens: int
    deadline_ms: float


@dataclasses.dataclass(eq=False)
class Ticket:
    """An admitted request and the tokens charged to its workspace."""

    request: AdmissionRequest
    charged: float
    queued_at_ms: float
    state: TicketState = TicketState.QUEUED

    @property
    def workspace_id(self) -> ids.WorkspaceId:
        """Return the workspace of the request."""
        return self.request.workspace.workspace_id


@dataclasses.dataclass(frozen=True)
class Capacity:
    """This instance's fraction of the engines, and its request limit."""

    tokens_per_s: float
    instances: int
    max_requests: int


class Admission:
    """Admit, queue and account for the requests of one instance."""

    def __init__(
        self,
        clock: clocks.Clock,
        capacity: collections.abc.Callable[[], Capacity],
    ) -> None:
        self._clock = clock
        self._capacity = capacity
        self._queue: fair_queue.FairQueue[Ticket] = fair_queue.FairQueue()
        self._queued: set[Ticket] = set()
        self._pacer = start_pacing.StartPacer(clock)
        self.running = 0
        self._open_by_workspace: collections.Counter[ids.WorkspaceId]
        self._open_by_workspace = collections.Counter()
        self._bucket_by_workspace: dict[
            ids.WorkspaceId, token_bucket.TokenBucket
        ] = {}
        self._answer_tokens: dict[ids.WorkspaceId, float] = {}

    @property
    def queued(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    def expect_requests(
        self, workspaces: collections.abc.Iterable[configuration.Workspace]
    ) -> None:
        """Count the workspaces as active that are new to this instance."""
        self._pacer.expect_requests(workspaces)

    def submit(
        self, request: AdmissionRequest
    ) -> expression.Result[Ticket, errors.NotRunError]:
        """Queue a request, or refuse it immediately."""
        capacity = self._capacity()
        refusal = (
            self._instance_limit_error(capacity)
            or self._workspace_limit_error(request.workspace, capacity)
            or self._rate_limit_error(request, capacity)
            or self._deadline_error(request, capacity)
        )
        if refusal is not None:
            return expression.Error(refusal)
        return expression.Ok(self._enqueue(request))

    def begin_call(
        self, workspace: configuration.Workspace
    ) -> expression.Result[configuration.Workspace, errors.NotRunError]:
        """Count a call to a plain service, or refuse it immediately."""
        capacity = self._capacity()
        refusal = self._instance_limit_error(
            capacity
        ) or self._workspace_limit_error(workspace, capacity)
        if refusal is not None:
            return expression.Error(refusal)
        self._open_by_workspace[workspace.workspace_id] += 1
        return expression.Ok(workspace)

    def end_call(self, workspace: configuration.Workspace) -> None:
        """Record the end of a call to a plain service."""
        self._open_by_workspace[workspace.workspace_id] -= 1

    def start_allowed(self, free_slots: int) -> list[Ticket]:
        """Start and return the tickets that may take a free slot now."""
        started: list[Ticket] = []
        if not self._queue or free_slots <= 0:
            return started
        tokens_per_s = self._capacity().tokens_per_s
        total = self.running + free_slots
        while free_slots > len(started):
            slots = start_pacing.Slots(total, free_slots - len(started))
            ticket = self.start_next(slots, tokens_per_s)
            if ticket is None:
                break
            started.append(ticket)
        return started

    def start_next(
        self,
        slots: start_pacing.Slots = start_pacing.UNLIMITED,
        tokens_per_s: float = 0.0,
    ) -> Ticket | None:
        """Dequeue the next ticket in fair order and mark it as running.

        Pass over workspaces that must wait before they take a free slot.
        """

        def may_start(ticket: Ticket) -> bool:
            return self._pacer.may_start(
                ticket.request.workspace,
                slots,
                self._release_interval_ms(ticket.request, tokens_per_s),
            )

        ticket = self._queue.pop(may_start)
        if ticket is not None:
            self._queued.discard(ticket)
            ticket.state = TicketState.RUNNING
            self.running += 1
            self._pacer.begin(ticket.request.workspace, slots)
        return ticket

    def refuse_overdue(self) -> list[Ticket]:
        """Refuse and return the tickets that waited longer than allowed.

        Their wait was predicted to be shorter when they were admitted.
        """
        now_ms = self._clock.now_ms()
        overdue = [
            ticket
            for ticket in self._queued
            if now_ms - ticket.queued_at_ms >= _max_wait_ms(ticket.request)
        ]
        for ticket in overdue:
            self.refuse(ticket)
        return overdue

    def refuse(self, ticket: Ticket) -> None:
        """Refuse a queued ticket, which no engine has received."""
        invariants.require_not_run(
            ticket.state is TicketState.QUEUED, ticket.workspace_id
        )
        self._queue.remove(ticket.workspace_id, ticket)
        self._queued.discard(ticket)
        self._release(ticket, 0.0)
        ticket.state = TicketState.REFUSED

    def end(self, ticket: Ticket, answer_tokens: int) -> None:
        """Record the end of a request and settle its token charge."""
        if ticket.state is TicketState.QUEUED:
            self.refuse(ticket)
        if ticket.state is not TicketState.RUNNING:
            return
        ticket.state = TicketState.ENDED
        self.running -= 1
        workspace_id = ticket.workspace_id
        self._pacer.end(workspace_id)
        previous = self._answer_tokens.get(workspace_id, DEFAULT_ANSWER_TOKENS)
        self._answer_tokens[workspace_id] = previous + ANSWER_SMOOTHING * (
            answer_tokens - previous
        )
        used = float(ticket.request.tokens + answer_tokens)
        self._queue.settle(workspace_id, ticket.charged, used)
        self._release(ticket, used)

    def overload_error(self, request: AdmissionRequest) -> errors.Overloaded:
        """Return the error for a request that cannot run in time."""
        wait_ms = self._predicted_wait_ms(request, self._capacity())
        return errors.Overloaded(
            "engines are busy for longer than the deadline allows",
            retry_after_ms=_retry_after_ms(wait_ms),
        )

    def _release(self, ticket: Ticket, used: float) -> None:
        workspace_id = ticket.workspace_id
        self._open_by_workspace[workspace_id] -= 1
        bucket = self._bucket_by_workspace.get(workspace_id)
        if bucket is not None:
            bucket.take(used - ticket.charged)

    def _enqueue(self, request: AdmissionRequest) -> Ticket:
        workspace = request.workspace
        charged = self._expected_tokens(request)
        ticket = Ticket(request, charged, self._clock.now_ms())
        self._queue.push(
            workspace.workspace_id, max(1, workspace.share), charged, ticket
        )
        self._queued.add(ticket)
        self._pacer.record_request(workspace)
        self._open_by_workspace[workspace.workspace_id] += 1
        bucket = self._bucket_by_workspace.get(workspace.workspace_id)
        if bucket is not None:
            bucket.take(charged)
        return ticket

    def _expected_tokens(self, request: AdmissionRequest) -> float:
        return request.tokens + self._expected_answer_tokens(request)

    def _expected_answer_tokens(self, request: AdmissionRequest) -> float:
        average = self._answer_tokens.get(
            request.workspace.workspace_id, DEFAULT_ANSWER_TOKENS
        )
        return max(1.0, min(average, request.max_tokens))

    def _release_interval_ms(
        self, request: AdmissionRequest, tokens_per_s: float
    ) -> float:
        if tokens_per_s <= 0:
            return 0.0
        return self._expected_answer_tokens(request) / tokens_per_s * 1000.0

    def _instance_limit_error(
        self, capacity: Capacity
    ) -> errors.NotRunError | None:
        if self._open_by_workspace.total() < capacity.max_requests:
            return None
        return errors.InstanceFull(
            "this instance has reached its limit of open requests",
            retry_after_ms=MIN_RETRY_AFTER_MS,
        )

    def _workspace_limit_error(
        self, workspace: configuration.Workspace, capacity: Capacity
    ) -> errors.NotRunError | None:
        limit = workspace.concurrent_requests
        open_requests = self._open_by_workspace[workspace.workspace_id]
        instance_limit = math.ceil(limit / capacity.instances)
        if not limit or open_requests < instance_limit:
            return None
        return errors.WorkspaceLimit(
            f"workspace has {open_requests} open requests on this instance,"
            f" with a limit of {limit} over all instances",
            retry_after_ms=MIN_RETRY_AFTER_MS,
        )

    def _rate_limit_error(
        self, request: AdmissionRequest, capacity: Capacity
    ) -> errors.NotRunError | None:
        workspace = request.workspace
        if not workspace.tokens_per_s:
            self._bucket_by_workspace.pop(workspace.workspace_id, None)
            return None
        rate = workspace.tokens_per_s / capacity.instances
        bucket = self._bucket_by_workspace.get(workspace.workspace_id)
        if bucket is None:
            bucket = token_bucket.TokenBucket(
                self._clock, rate, rate * BURST_S
            )
            self._bucket_by_workspace[workspace.workspace_id] = bucket
        bucket.resize(rate, rate * BURST_S)
        wait_ms = bucket.wait_ms(self._expected_tokens(request))
        if wait_ms <= 0:
            return None
        return errors.WorkspaceLimit(
            f"workspace exceeds {workspace.tokens_per_s} tokens per second",
            retry_after_ms=_retry_after_ms(wait_ms),
        )

    def _deadline_error(
        self, request: AdmissionRequest, capacity: Capacity
    ) -> errors.NotRunError | None:
        wait_ms = self._predicted_wait_ms(request, capacity)
        queue_full = len(self._queue) >= MAX_QUEUED
        if wait_ms < _max_wait_ms(request) and not queue_full:
            return None
        return self.overload_error(request)

    def _predicted_wait_ms(
        self, request: AdmissionRequest, capacity: Capacity
    ) -> float:
        if capacity.tokens_per_s <= 0:
            return 0.0
        workspace = request.workspace
        queued_tokens = self._queue.tokens_ahead(
            workspace.workspace_id, max(1, workspace.share)
        )
        return queued_tokens / capacity.tokens_per_s * 1000.0


def _max_wait_ms(request: AdmissionRequest) -> float:
    """Return how long a request may queue: at most half of its deadline.

    A refused caller keeps the other half to retry elsewhere.
    """
    return min(MAX_WAIT_MS, request.deadline_ms / 2.0)


def _retry_after_ms(wait_ms: float) -> int:
    return max(MIN_RETRY_AFTER_MS, math.ceil(wait_ms))
