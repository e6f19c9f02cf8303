"""Checks and marks of backend servers that lost an answer."""

import asyncio

import msgspec
import structlog

from oriolejunction import backends
from oriolejunction.controllers import backend_health
from oriolejunction.controllers import part_guard
from oriolejunction.controllers import stalls
from oriolejunction import gateway_messages
from oriolejunction.http import admitted_request
from oriolejunction.http import backend_connection
from oriolejunction.http import crash_records
from oriolejunction.http import gateway_common

# HTTP "Misdirected Request": another incarnation now has the address.
MISDIRECTED_STATUS = 421
# A lost server is checked once more after this time. One that is back within
# MIN_RESTART_MS of its loss has not restarted, so it did not crash.
RECHECK_DELAY_MS = 400.0
MIN_RESTART_MS = 800.0
MAX_LOGGED_PARTS = 16
# The kernel closes the sockets of an ended process one after the other.
TEARDOWN_MS = 20.0
_log = structlog.get_logger(__name__)


class LostAttempt(msgspec.Struct, frozen=True):
    """An attempt sent at `sent_ms` whose answer broke off or never came.

    `wrote_ms` is the time between its first and its last event, None if there
    was none.
    """

    backend: backends.Backend
    why: str
    sent_ms: float
    wrote_ms: float | None = None

    @property
    def was_beginning(self) -> bool:
        """Return whether it may have crashed by beginning the answer."""
        return self.wrote_ms is None or self.wrote_ms < part_guard.BEGUN_MS


def mark_backend_lost(
    deps: gateway_common.GatewayDependencies,
    backend: backends.Backend,
    why: str,
) -> None:
    """Mark a backend server as lost and close its idle connections."""
    _log.warning(
        "backend server lost",
        backend=backend.backend_id,
        address=backend.address,
        zone=backend.zone,
        why=why,
    )
    deps.health.mark_lost(backend.backend_id)
    deps.view.forget_parts((backend.backend_id,))
    deps.guard.record_loss(backend.backend_id, backend.zone)
    deps.pool.close_address(backend.address)


async def mark_unless_isolated(
    deps: gateway_common.GatewayDependencies,
    backend: backends.Backend,
    why: str,
) -> bool:
    """Mark a server that was not reached as lost; return whether it is.

    An instance that reaches no server at all learns nothing of this one.
    """
    if await deps.isolation.check():
        return False
    mark_backend_lost(deps, backend, why)
    return True


def start_crash_check(
    deps: gateway_common.GatewayDependencies,
    admitted: admitted_request.AdmittedRequest,
    lost: LostAttempt,
    may_continue: bool = False,
) -> asyncio.Event:
    """Check in the background whether a broken answer was a crash.

    The event is set once that is known.

    A server that accepts a new connection has lost only this answer. One
    that does not is marked as lost, and the crash is recorded against the
    request, unless the answer was well under way or `may_continue`. The
    crash is taken back if the server is reachable again too soon for a
    restart.
    """
    backend = lost.backend

    is_known = asyncio.Event()

    async def record() -> bool:
        """Return whether a crash was recorded against the request."""
        if await is_reachable(deps, backend):
            return False
        if not await mark_unless_isolated(deps, backend, lost.why):
            return False
        counts = lost.was_beginning and not may_continue
        gateway_common.log_decision(
            admitted,
            "engine lost with request",
            backend=backend.backend_id,
            parts=admitted.request.shared_parts[:MAX_LOGGED_PARTS],
            wrote_ms=lost.wrote_ms and round(lost.wrote_ms),
            sent_ms_ago=round(deps.clock.now_ms() - lost.sent_ms),
            counts=counts,
        )
        if counts:
            crash_records.record_crash(deps, admitted, backend, lost.sent_ms)
        return counts

    async def check() -> None:
        try:
            is_recorded = await record()
        finally:
            is_known.set()
        if not is_recorded:
            return
        lost_ms = deps.clock.now_ms()
        await deps.clock.sleep_ms(RECHECK_DELAY_MS)
        if not await is_reachable(deps, backend):
            return
        back_ms = deps.clock.now_ms() - lost_ms
        if back_ms <= MIN_RESTART_MS:
            gateway_common.log_decision(
                admitted,
                "crash taken back",
                backend=backend.backend_id,
                back_ms=round(back_ms),
            )
            crash_records.take_back_crash(deps, admitted, backend)

    task = asyncio.create_task(check())
    deps.background_tasks.add(task)
    task.add_done_callback(deps.background_tasks.discard)
    return is_known


async def is_reachable(
    deps: gateway_common.GatewayDependencies, backend: backends.Backend
) -> bool:
    """Return whether a server's machine accepts a new connection."""
    try:
        connection = await deps.pool.connect(
            backend.address, stalls.PROBE_TIMEOUT_MS, stalls.PROBE_ATTEMPTS
        )
    except backend_connection.RequestNotSent:
        return False
    deps.pool.release(connection)
    return True


async def check_unframed_end(
    deps: gateway_common.GatewayDependencies,
    backend: backends.Backend,
) -> None:
    """Raise `ConnectionBroken` if an answer may have been broken off.

    Its server marked the end only by closing the connection, which the kernel
    does for a crashed process too, before it closes the listener.
    """
    await deps.clock.sleep_ms(TEARDOWN_MS)
    if not await is_reachable(deps, backend):
        raise backend_connection.ConnectionBroken(
            "the answer ended with its connection, maybe too early"
        )


def mark_replaced(
    deps: gateway_common.GatewayDependencies,
    backend: backends.Backend,
    head: gateway_messages.AnswerHead,
) -> None:
    """Mark a server as lost if another incarnation has its address.

    Not to be called for a request that expects certain weights if the engine
    states others, since it then turns the request away in the same way.
    """
    if head.status == MISDIRECTED_STATUS:
        deps.health.mark_lost(backend.backend_id, backend_health.REPLACED_MS)
