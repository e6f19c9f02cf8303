"""Dependencies, attempt accounting and helpers of the gateway's relays."""

import asyncio
import http
import math

import msgspec
import structlog

from oriolejunction import backends
from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction.controllers import answer_lengths
from oriolejunction.controllers import backend_health
from oriolejunction.controllers import backend_view
from oriolejunction.controllers import crash_guard
from oriolejunction.controllers import engine_speeds
from oriolejunction.controllers import load_table
from oriolejunction.controllers.overload import buffer_budget
from oriolejunction.controllers.overload import resend_budget
from oriolejunction.controllers.overload import server_intake
from oriolejunction.controllers.overload import wait_forecast
from oriolejunction.controllers import part_guard
from oriolejunction.controllers import reachability
from oriolejunction.controllers import rollout_gate
from oriolejunction import errors
from oriolejunction import gateway_messages
from oriolejunction.http import admitted_request
from oriolejunction.http import attempt_errors
from oriolejunction.http import backend_connection
from oriolejunction.http import connection_pool
from oriolejunction.http import isolation_check
from oriolejunction.http import load_observation
from oriolejunction.http import placement_queue
from oriolejunction.http import report_probe
from oriolejunction.http import rollout_sends
from oriolejunction.http import stop_admission
from oriolejunction.http import stop_limit
from oriolejunction import ids
from oriolejunction.peers import origin_client
from oriolejunction import states
from oriolejunction import telemetry

# Short, since any other instance can serve the request.
LEAVING_RETRY_AFTER_MS = 20
# Other engines would crash too, so a retry is of no use.
BLOCKED_RETRY_AFTER_MS = 60_000
_log = structlog.get_logger(__name__)


class GatewayDependencies(msgspec.Struct, frozen=True):
    """The state and the clients that requests are served with."""

    clock: clocks.Clock
    blackboard: blackboards.Blackboard
    wire_format: gateway_messages.WireFormat
    pool: connection_pool.ConnectionPool
    peer_pool: connection_pool.ConnectionPool
    isolation: isolation_check.IsolationCheck
    reached: reachability.Reachability
    reports: report_probe.EngineReports
    rollouts: rollout_gate.RolloutGate
    view: backend_view.BackendView
    own_loads: load_table.LoadTable
    speeds: engine_speeds.EngineSpeeds
    health: backend_health.BackendHealth
    budget: resend_budget.ResendBudget
    guard: crash_guard.CrashGuard
    parts: part_guard.PartGuard
    intake: server_intake.ServerIntake
    lengths: answer_lengths.AnswerLengths
    telemetry: telemetry.GatewayTelemetry
    queue: placement_queue.PlacementQueue
    release_intervals: wait_forecast.IntervalCache
    returns: wait_forecast.ReturnSchedule
    stop_limit: stop_limit.StopLimit
    origins: origin_client.OriginClient
    bodies: buffer_budget.BufferBudget
    answers: buffer_budget.BufferBudget
    background_tasks: set[asyncio.Task] = msgspec.field(default_factory=set)


class AttemptTracker:
    """Counts the attempts of one request against its limits.

    `possibly_run` counts the servers that were sent the request and did not
    report that they have not run it. `opening` counts the attempts whose
    connection is being opened. `stopped` is set once the instance stops
    before the request has an answer.
    """

    def __init__(
        self,
        deps: GatewayDependencies,
        admitted: admitted_request.AdmittedRequest,
    ) -> None:
        self._deps = deps
        self._admitted = admitted
        self.rollout = deps.rollouts.open(
            admitted.service.name,
            admitted.route.name,
            is_stream=admitted.route.kind is states.RequestKind.STREAM,
            may_try=not admitted.is_probe,
        )
        self.sent = 0
        self.possibly_run = 0
        self.opening = 0
        self.stopped = False
        self.excluded: set[ids.BackendId] = set()
        # Excluded for their silence only: tried again if no other is left.
        self.stalled: set[ids.BackendId] = set()
        # Whether the next send is charged to the budget already.
        self._reserved = False
        # Last forecast for a backend server with capacity, if there is one.
        self.expected_wait_ms = math.inf
        self.return_interval_ms = math.inf

    @property
    def remaining_ms(self) -> float:
        """Return the time until the request's deadline."""
        return self._admitted.deadline_ms - self._deps.clock.now_ms()

    def send_refusal(self) -> states.SendRefusal | None:
        """Return why the request may go to no more servers, if so."""
        if self.stopped:
            return states.SendRefusal.INSTANCE_STOPS
        if self.remaining_ms <= 0:
            return states.SendRefusal.DEADLINE
        if self._deps.rollouts.is_barred(self.rollout):
            return states.SendRefusal.VERSION_WITHDRAWN
        route = self._admitted.route
        max_attempts = route.max_attempts if route.retryable else 1
        max_attempts = min(max_attempts, self._admitted.request.attempts_left)
        if self.possibly_run + self.opening >= max_attempts:
            return states.SendRefusal.MAX_ATTEMPTS
        is_first = not self.sent and not self.opening
        if is_first and self._ends_after_stop():
            return states.SendRefusal.INSTANCE_STOPS
        if not (is_first and self._admitted.is_probe):
            if is_blocked(self._deps, self._admitted):
                return states.SendRefusal.CRASHED_ENGINES
        if is_first:
            return None
        service = self._admitted.service.name
        fleet = self._deps.blackboard.fleet.read()
        others = fleet.use_by_others(service, self._deps.clock.now_ms())
        if not self._deps.budget.allows(service, fleet.entry_count, others):
            return states.SendRefusal.RESEND_BUDGET
        return None

    def _ends_after_stop(self) -> bool:
        """Return whether to leave the request, which waited, to others."""
        return not stop_admission.may_begin(
            self._deps, self._admitted, self._deps.stop_limit.time_to_exit_ms()
        )

    def may_send(self) -> bool:
        """Return whether the request may go to one more server."""
        return self.send_refusal() is None

    def why_given_up(self) -> str:
        """Return the reason for a log line once no answer will come."""
        return (self.send_refusal() or states.SendRefusal.NO_CAPACITY).value

    def reserve_send(self) -> bool:
        """Charge the next send to the budget, if it is allowed now."""
        if not self.may_send():
            return False
        if self.sent:
            self._deps.budget.spend(self._admitted.service.name)
            self._reserved = True
        return True

    def cancel_reservation(self) -> None:
        """Give back the charge for a send that does not happen."""
        if self._reserved:
            self._deps.budget.give_back(self._admitted.service.name)
            self._reserved = False

    def count_sent(self) -> None:
        """Count a request sent to a server; charge a retry to the budget."""
        service = self._admitted.service.name
        if self._reserved:
            self._reserved = False
        elif self.sent:
            self._deps.budget.spend(service)
        else:
            self._deps.budget.count_request(service)
        self.sent += 1
        self.possibly_run += 1
        self._count("sent")

    def count_not_run(self) -> None:
        """Uncount an attempt that the server reports as not run."""
        self.possibly_run -= 1
        self._count("not_run")

    def count_lost(self) -> None:
        """Count an answer that broke off or never came."""
        self._count("lost")

    def may_wait(self) -> bool:
        """Return whether to wait for a server that takes the request."""
        return self.may_send() and not self.may_forward()

    def may_forward(self) -> bool:
        """Return whether another instance may serve the request now."""
        may_run = self._admitted.route.retryable or not self.possibly_run
        is_free = not self.opening and self.remaining_ms > 0
        return self._deps.isolation.is_isolated and may_run and is_free

    def _count(self, event: str) -> None:
        service = self._admitted.service.name
        self._deps.telemetry.attempts.inc({"service": service, "event": event})

    def final_error(self, message: str) -> errors.ServingError:
        """Return the caller's error once no answer will come."""
        if self.remaining_ms <= 0:
            if self.possibly_run:
                return errors.AnswerTimedOut(message)
            return errors.NoCapacity(message)
        if self.possibly_run:
            return errors.AnswerUnknown(message)
        if self.stopped or self._ends_after_stop():
            return errors.NotReady(
                "this instance stops", retry_after_ms=LEAVING_RETRY_AFTER_MS
            )
        if is_blocked(self._deps, self._admitted):
            return blocked_error()
        return errors.NoCapacity(
            message,
            retry_after_ms=self._deps.returns.return_after_ms(
                self._admitted.service.name,
                self.remaining_ms,
                self.expected_wait_ms,
                self.return_interval_ms,
            ),
        )


def is_blocked(
    deps: GatewayDependencies, admitted: admitted_request.AdmittedRequest
) -> bool:
    """Return whether a request, or a part of its prompt, crashes engines.

    The body is hashed only while any crash is known.
    """
    if deps.parts.is_blocked(admitted.request.shared_parts):
        return True
    return deps.guard.has_crashes and deps.guard.is_blocked(
        admitted.fingerprint
    )


def blocked_error() -> errors.ServingError:
    """Return the caller's error for a request that must not be sent."""
    return errors.NoCapacity(
        "the request, or a part of its prompt, crashed the engines that began"
        " to run it",
        retry_after_ms=BLOCKED_RETRY_AFTER_MS,
    )


def observe_answer(
    deps: GatewayDependencies,
    backend: backends.Backend,
    head: gateway_messages.AnswerHead,
    sent_ms: float,
) -> None:
    """Apply what a server says of itself in an answer to a request."""
    if head.names is not None and not head.echoes_request_id:
        return
    is_replaced = head.status == http.HTTPStatus.MISDIRECTED_REQUEST
    if not is_replaced:
        load_observation.observe(
            deps.view, deps.queue, deps.telemetry, backend, head, sent_ms
        )
    deps.intake.observe(
        backend, head, sent_ms, deps.blackboard.fleet.read().entry_count
    )


def observe_first_piece(
    deps: GatewayDependencies, admitted: admitted_request.AdmittedRequest
) -> float:
    """Record and return the time until the first piece of an answer."""
    took_ms = deps.clock.now_ms() - admitted.request.received_ms
    deps.telemetry.first_piece_ms.observe(
        {"service": admitted.service.name}, took_ms
    )
    return took_ms


def log_decision(
    admitted: admitted_request.AdmittedRequest, decision: str, **inputs: object
) -> None:
    """Log a decision about a request."""
    _log.info(
        decision,
        request=admitted.request.request_id,
        route=admitted.route.name,
        **inputs,
    )


async def open_and_send(
    deps: GatewayDependencies,
    admitted: admitted_request.AdmittedRequest,
    dispatch: gateway_messages.Dispatch,
    attempts: AttemptTracker,
    connect_ms: float,
    connect_tries: int,
    max_idle_ms: float,
) -> tuple[backend_connection.BackendConnection, rollout_sends.RolloutSend]:
    """Send a request to a backend server.

    Raise `RequestNotSent` or `SendWithheld` if no byte of it was sent.
    """
    connection = await deps.pool.acquire(
        dispatch.backend.address,
        connect_ms,
        connect_tries,
        max_idle_ms,
        admitted.request.request_id,
    )
    if deps.intake.refuses(dispatch.backend.backend_id):
        deps.pool.release(connection)
        log_decision(
            admitted,
            "not sent to paused or leaving server",
            backend=dispatch.backend.backend_id,
        )
        raise attempt_errors.ServerPaused
    try:
        rollout_send = rollout_sends.begin(
            deps.rollouts,
            deps.telemetry,
            attempts.rollout,
            dispatch.backend,
            admitted.request.request_id,
        )
    except attempt_errors.VersionWithheld:
        deps.pool.release(connection)
        raise
    connection.send(
        admitted.request.method,
        admitted.request.target,
        deps.wire_format.dispatch_headers(admitted.request, dispatch),
        admitted.request.body,
        admitted.request.request_id,
    )
    attempts.count_sent()
    return connection, rollout_send
