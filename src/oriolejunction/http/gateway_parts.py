"""What the gateway's shells share: one request on its way, and the parts."""

import asyncio
import dataclasses
import functools
import hashlib
import random

from aiohttp import web
import multidict
import structlog

from oriolejunction import backends
from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction.controllers import answer_lengths
from oriolejunction.controllers import backend_health
from oriolejunction.controllers import backend_view
from oriolejunction.controllers import crash_guard
from oriolejunction.controllers import engine_speeds
from oriolejunction.controllers import resend_budget
from oriolejunction.controllers import run_table
from oriolejunction.controllers import stalls
from oriolejunction.controllers import waiting
from oriolejunction import errors
from oriolejunction import gateway_messages
from oriolejunction.http import engine_pool
from oriolejunction.http import engine_wire
from oriolejunction.http import waiting_room
from oriolejunction import ids
from oriolejunction import routing_table
from oriolejunction import telemetry

# A zone's engines are back, and listed, in about this time.
RETRY_AFTER_MS = 1_000
# "Misdirected": the address is another incarnation's now.
REPLACED_STATUS = 421
# Waits from this length on are worth a line.
WAIT_TOLD_MS = 20.0
_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class GatewayParts:
    """The state and the clients that requests are served with."""

    clock: clocks.Clock
    blackboard: blackboards.Blackboard
    dialect: gateway_messages.Dialect
    pool: engine_pool.EnginePool
    view: backend_view.BackendView
    runs: run_table.RunTable
    speeds: engine_speeds.EngineSpeeds
    health: backend_health.BackendHealth
    budget: resend_budget.ResendBudget
    guard: crash_guard.CrashGuard
    lengths: answer_lengths.AnswerLengths
    telemetry: telemetry.GatewayTelemetry
    room: waiting_room.WaitingRoom
    background: set[asyncio.Task] = dataclasses.field(default_factory=set)


def new_parts(
    clock: clocks.Clock,
    blackboard: blackboards.Blackboard,
    dialect: gateway_messages.Dialect,
    terms: resend_budget.BudgetTerms,
    zone: ids.ZoneId,
    rng: random.Random,
) -> GatewayParts:
    """Return the parts of one instance, which knows nothing yet."""
    runs = run_table.RunTable()
    speeds = engine_speeds.EngineSpeeds()
    health = backend_health.BackendHealth(clock)
    return GatewayParts(
        clock=clock,
        blackboard=blackboard,
        dialect=dialect,
        pool=engine_pool.EnginePool(clock),
        view=backend_view.BackendView(
            blackboard, runs, speeds, health, zone, rng
        ),
        runs=runs,
        speeds=speeds,
        health=health,
        budget=resend_budget.ResendBudget(clock, terms),
        guard=crash_guard.CrashGuard(clock),
        lengths=answer_lengths.AnswerLengths(),
        telemetry=telemetry.GatewayTelemetry(),
        room=waiting_room.WaitingRoom(clock),
    )


@dataclasses.dataclass(frozen=True)
class Admitted:
    """A request that a route and a workspace were found for.

    `deadline_ms` is the caller's or that of the route's timeout, whichever
    comes first, on this process's clock.
    """

    request: gateway_messages.CallerRequest
    route: routing_table.Route
    service: routing_table.Service
    workspace: ids.WorkspaceId | None
    rank: int
    deadline_ms: float
    web: web.Request

    @functools.cached_property
    def fingerprint(self) -> ids.Fingerprint:
        """Return what a request has in common with its repetitions."""
        digest = hashlib.sha256()
        for part in (
            (self.workspace or "").encode(),
            self.request.target.encode(),
            self.request.body,
        ):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return ids.Fingerprint(digest.hexdigest()[:16])


class Attempts:
    """What one request has spent.

    `ran` counts the servers that were sent the request and did not say
    that they have not run it.
    """

    def __init__(self, parts: GatewayParts, admitted: Admitted) -> None:
        self._parts = parts
        self._admitted = admitted
        self.sent = 0
        self.ran = 0
        self.excluded: set[ids.BackendId] = set()

    @property
    def left_ms(self) -> float:
        """Return the time until the request's deadline."""
        return self._admitted.deadline_ms - self._parts.clock.now_ms()

    def allowed(self) -> bool:
        """Return whether the request may go to one more server."""
        if self.ran >= self._admitted.route.max_attempts:
            return False
        if not self.sent:
            return True
        if is_barred(self._parts, self._admitted):
            return False
        entries = self._parts.blackboard.fleet.read().entries
        return self._parts.budget.allows(self._admitted.service.name, entries)

    def may_wait(self) -> bool:
        """Return whether waiting for a server still makes sense."""
        return self.left_ms > 0 and self.allowed()

    def count_sent(self) -> None:
        """Count an arrival at a server."""
        service = self._admitted.service.name
        if self.sent:
            self._parts.budget.spend(service)
        else:
            self._parts.budget.count_request(service)
        self.sent += 1
        self.ran += 1
        self._count("sent")

    def count_not_run(self) -> None:
        """Take back a run that the server says did not happen."""
        self.ran -= 1
        self._count("not_run")

    def count_lost(self) -> None:
        """Count an answer that broke off or never came."""
        self._count("lost")

    def _count(self, event: str) -> None:
        service = self._admitted.service.name
        self._parts.telemetry.attempts.inc(
            {"service": service, "event": event}
        )

    def failure(self, message: str) -> errors.ServingError:
        """Return what the caller may conclude when no answer is to come."""
        if self.left_ms <= 0:
            if self.ran:
                return errors.AnswerTimedOut(message)
            return errors.NoCapacity(message)
        if self.ran:
            return errors.AnswerUnknown(message)
        return errors.NoCapacity(message, retry_after_ms=RETRY_AFTER_MS)


def is_barred(parts: GatewayParts, admitted: Admitted) -> bool:
    """Return whether a request has crashed too many engines.

    A body is hashed only while any request has crashed one.
    """
    told = parts.blackboard.fleet.read().crashes_by_request
    if not told and not parts.guard.has_crashes:
        return False
    return parts.guard.is_barred(admitted.fingerprint, told)


async def wait_for_place(
    parts: GatewayParts,
    admitted: Admitted,
    attempts: Attempts,
    wait_ms: float,
    bid: waiting_room.Bid,
    tokens: int = 0,
    began: bool = False,
):
    """Return what the bid got, None where nothing was had in time."""
    now_ms = parts.clock.now_ms()
    waiter = waiting.Waiter(
        service=admitted.service.name,
        workspace=admitted.workspace or waiting.NO_WORKSPACE,
        began=began,
        rank=admitted.rank,
        tokens=tokens,
        since_ms=now_ms,
        until_ms=now_ms + min(wait_ms, attempts.left_ms),
        choosy=bool(attempts.excluded),
        item=bid,
    )
    place = await parts.room.wait(waiter)
    waited_ms = parts.clock.now_ms() - now_ms
    if place is None or waited_ms >= WAIT_TOLD_MS:
        log_decision(
            admitted,
            "waited for a backend server",
            placed=place is not None,
            waited_ms=round(waited_ms),
            rank=admitted.rank,
            workspace=admitted.workspace,
        )
    return place


def log_decision(admitted: Admitted, decision: str, **inputs: object) -> None:
    """Write the line of a decision that touches a request."""
    _log.info(
        decision,
        request=admitted.request.request_id,
        route=admitted.route.name,
        **inputs,
    )


async def open_and_send(
    parts: GatewayParts,
    admitted: Admitted,
    dispatch: gateway_messages.Dispatch,
    attempts: Attempts,
    connect_ms: float,
    connect_tries: int,
    max_idle_ms: float,
) -> engine_wire.WireConnection:
    """Send a request to a backend server.

    Raise `NotReached` where no byte of it was sent.
    """
    connection = await parts.pool.lend(
        dispatch.backend.address, connect_ms, connect_tries, max_idle_ms
    )
    connection.send(
        admitted.request.method,
        admitted.request.target,
        parts.dialect.dispatch_headers(admitted.request, dispatch),
        admitted.request.body,
    )
    attempts.count_sent()
    return connection


def note_lost(
    parts: GatewayParts, backend: backends.Backend, why: str
) -> None:
    """Hold a backend server for lost and close what leads to it."""
    _log.warning(
        "backend server lost",
        backend=backend.backend_id,
        address=backend.address,
        zone=backend.zone,
        why=why,
    )
    parts.health.lost(backend.backend_id)
    parts.guard.note_loss(backend.backend_id, backend.zone)
    parts.pool.drop(backend.address)


def judge_break(
    parts: GatewayParts,
    admitted: Admitted,
    backend: backends.Backend,
    why: str,
    began: bool,
) -> None:
    """Find out, beside the request, whether a broken answer was a crash.

    A server that takes a new connection lost an answer and no more. One
    that does not is lost, and the request is noted as its last where it
    had brought nothing yet.
    """

    async def judge() -> None:
        if await is_reachable(parts, backend):
            return
        note_lost(parts, backend, why)
        if not began:
            parts.guard.note_crash(
                admitted.fingerprint, backend.backend_id, backend.zone
            )

    task = asyncio.create_task(judge())
    parts.background.add(task)
    task.add_done_callback(parts.background.discard)


async def is_reachable(parts: GatewayParts, backend: backends.Backend) -> bool:
    """Return whether a server's machine takes a new connection."""
    try:
        connection = await engine_wire.connect(
            backend.address, stalls.TEST_TIMEOUT_MS, stalls.TEST_TRIES
        )
    except engine_wire.NotReached:
        return False
    parts.pool.give_back(connection)
    return True


def require_own(head: gateway_messages.AnswerHead) -> None:
    """Raise `ConnectionBroken` for an answer that is not the request's."""
    if not head.own or (head.success and not head.signed):
        raise engine_wire.ConnectionBroken("answer of another request")


def note_replaced(
    parts: GatewayParts,
    backend: backends.Backend,
    head: gateway_messages.AnswerHead,
) -> None:
    """Hold for lost what another incarnation has answered for."""
    if head.status == REPLACED_STATUS:
        parts.health.lost(backend.backend_id, backend_health.REPLACED_MS)


def answer_headers(
    head: gateway_messages.AnswerHead,
) -> multidict.CIMultiDict[str]:
    """Return the headers that the caller gets."""
    return multidict.CIMultiDict(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
    )


def engine_answer(
    head: gateway_messages.AnswerHead, body: bytes
) -> web.Response:
    """Return a backend server's answer to the caller, unchanged."""
    return web.Response(
        status=head.status, headers=answer_headers(head), body=body
    )
