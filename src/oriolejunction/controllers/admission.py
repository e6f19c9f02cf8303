"""Admission of new requests: limits, fair shares and deadlines.

A request that cannot be served in time is refused at once, before it was
given to an engine, so that `not_run` is true by construction. What is
accepted waits in fair order until an engine has room.
"""

import collections
import collections.abc
import dataclasses
import enum
import math

import expression

from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers import fair_queue
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
    """Whether limits apply; without is the baseline of the bench."""

    FAIR = "fair"
    NONE = "none"


class TicketState(enum.Enum):
    """Life of an admitted request."""

    QUEUED = "queued"
    RUNNING = "running"
    REFUSED = "refused"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True)
class AdmissionRequest:
    """A new request; `deadline_ms` is counted from now to its first token.

    `tokens` are those of the prompt and `max_tokens` the most to answer.
    """

    workspace: configuration.Workspace
    tokens: int
    max_tokens: int
    deadline_ms: float


@dataclasses.dataclass(eq=False)
class Ticket:
    """One admitted request with the tokens that it was charged."""

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
    """What this instance may count on: its part of all engines."""

    tokens_per_s: float
    instances: int
    max_requests: int


class Admission:
    """Tickets of one instance."""

    def __init__(
        self,
        clock: clocks.Clock,
        capacity: collections.abc.Callable[[], Capacity],
    ) -> None:
        self._clock = clock
        self._capacity = capacity
        self._queue: fair_queue.FairQueue[Ticket] = fair_queue.FairQueue()
        self._queued: set[Ticket] = set()
        self.running = 0
        self._open_by_workspace: collections.Counter[ids.WorkspaceId]
        self._open_by_workspace = collections.Counter()
        self._bucket_by_workspace: dict[
            ids.WorkspaceId, token_bucket.TokenBucket
        ] = {}
        self._answer_tokens: dict[ids.WorkspaceId, float] = {}

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def submit(
        self, request: AdmissionRequest
    ) -> expression.Result[Ticket, errors.NotRunError]:
        """Queue a request or refuse it at once."""
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
        """Count a call to a plain service or refuse it at once."""
        capacity = self._capacity()
        refusal = self._instance_limit_error(
            capacity
        ) or self._workspace_limit_error(workspace, capacity)
        if refusal is not None:
            return expression.Error(refusal)
        self._open_by_workspace[workspace.workspace_id] += 1
        return expression.Ok(workspace)

    def end_call(self, workspace: configuration.Workspace) -> None:
        """Note the end of a call to a plain service."""
        self._open_by_workspace[workspace.workspace_id] -= 1

    def start_next(self) -> Ticket | None:
        """Take the next ticket in fair order to give it to an engine."""
        ticket = self._queue.pop()
        if ticket is not None:
            self._queued.discard(ticket)
            ticket.state = TicketState.RUNNING
            self.running += 1
        return ticket

    def refuse_overdue(self) -> list[Ticket]:
        """Take out the tickets whose wait came out longer than predicted."""
        now_ms = self._clock.now_ms()
        found = [
            ticket
            for ticket in self._queued
            if now_ms - ticket.queued_at_ms >= _max_wait_ms(ticket.request)
        ]
        for ticket in found:
            self.refuse(ticket)
        return found

    def refuse(self, ticket: Ticket) -> None:
        """Take out a queued ticket, which was never given to an engine."""
        invariants.require_not_run(
            ticket.state is TicketState.QUEUED, ticket.workspace_id
        )
        self._queue.remove(ticket.workspace_id, ticket)
        self._queued.discard(ticket)
        self._release(ticket, 0.0)
        ticket.state = TicketState.REFUSED

    def end(self, ticket: Ticket, answer_tokens: int) -> None:
        """Note the end of a running request and settle its account."""
        if ticket.state is TicketState.QUEUED:
            self.refuse(ticket)
        if ticket.state is not TicketState.RUNNING:
            return
        ticket.state = TicketState.ENDED
        self.running -= 1
        workspace_id = ticket.workspace_id
        former = self._answer_tokens.get(workspace_id, DEFAULT_ANSWER_TOKENS)
        self._answer_tokens[workspace_id] = former + ANSWER_SMOOTHING * (
            answer_tokens - former
        )
        used = float(ticket.request.tokens + answer_tokens)
        self._queue.settle(workspace_id, ticket.charged, used)
        self._release(ticket, used)

    def overload_error(self, request: AdmissionRequest) -> errors.Overloaded:
        """Return the refusal of a request that cannot be run in time."""
        wait_ms = self._predicted_wait_ms(request, self._capacity())
        return errors.Overloaded(
            "engines are busy for longer than the deadline allows",
            retry_after_ms=_retry_after(wait_ms),
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
        self._open_by_workspace[workspace.workspace_id] += 1
        bucket = self._bucket_by_workspace.get(workspace.workspace_id)
        if bucket is not None:
            bucket.take(charged)
        return ticket

    def _expected_tokens(self, request: AdmissionRequest) -> float:
        usual = self._answer_tokens.get(
            request.workspace.workspace_id, DEFAULT_ANSWER_TOKENS
        )
        return request.tokens + max(1.0, min(usual, request.max_tokens))

    def _instance_limit_error(
        self, capacity: Capacity
    ) -> errors.NotRunError | None:
        if self._open_by_workspace.total() < capacity.max_requests:
            return None
        return errors.InstanceFull(
            "this instance runs as many requests as it may",
            retry_after_ms=MIN_RETRY_AFTER_MS,
        )

    def _workspace_limit_error(
        self, workspace: configuration.Workspace, capacity: Capacity
    ) -> errors.NotRunError | None:
        limit = workspace.concurrent_requests
        open_requests = self._open_by_workspace[workspace.workspace_id]
        part = math.ceil(limit / capacity.instances)
        if not limit or open_requests < part:
            return None
        return errors.WorkspaceLimit(
            f"workspace runs {open_requests} requests here, of {limit}",
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
            f"workspace is above {workspace.tokens_per_s} tokens a second",
            retry_after_ms=_retry_after(wait_ms),
        )

    def _deadline_error(
        self, request: AdmissionRequest, capacity: Capacity
    ) -> errors.NotRunError | None:
        wait_ms = self._predicted_wait_ms(request, capacity)
        full = len(self._queue) >= MAX_QUEUED
        if wait_ms < _max_wait_ms(request) and not full:
            return None
        return self.overload_error(request)

    def _predicted_wait_ms(
        self, request: AdmissionRequest, capacity: Capacity
    ) -> float:
        if capacity.tokens_per_s <= 0:
            return 0.0
        workspace = request.workspace
        ahead = self._queue.tokens_ahead(
            workspace.workspace_id, max(1, workspace.share)
        )
        return ahead / capacity.tokens_per_s * 1000.0


def _max_wait_ms(request: AdmissionRequest) -> float:
    """Return how long a request may queue: half of its deadline at most.

    A refused caller keeps the other half to try elsewhere.
    """
    return min(MAX_WAIT_MS, request.deadline_ms / 2.0)


def _retry_after(wait_ms: float) -> int:
    return max(MIN_RETRY_AFTER_MS, math.ceil(wait_ms))
