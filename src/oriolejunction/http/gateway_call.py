"""Relays one call to a plain service.

A call that may be repeated goes to a second backend server when the first
fails or is slow. One that must not run twice is sent again only where it is
proved that it was not run.
"""

import asyncio
import dataclasses

from aiohttp import web

from oriolejunction import backends
from oriolejunction import errors
from oriolejunction import gateway_messages
from oriolejunction.http import backend_connection
from oriolejunction.http import gateway_common
from oriolejunction.http import placement_queue

# Tries cover the loss of single packets, within the goal of a call.
CONNECT_TIMEOUT_MS = 50.0
CONNECT_TRIES = 3
# A connection idle for longer may lead to a server that is gone, which a
# call that must not run twice would not survive.
RETRYABLE_MAX_IDLE_MS = 4_000.0
NEVER_TWICE_MAX_IDLE_MS = 500.0
# Part of the goal that a call waits for a server to be had.
QUEUE_WAIT_FRACTION = 0.5
# Part of the goal after which a repeatable call is sent a second time.
HEDGE_DELAY_FRACTION = 0.7
# Times that a call is offered to servers which do not run it.
MAX_DISPATCHES = 4


@dataclasses.dataclass(frozen=True)
class _BackendAnswer:
    """A whole answer of a backend server."""

    head: gateway_messages.AnswerHead
    body: bytes


class CallRelay:
    """One call on its way to a plain service."""

    def __init__(
        self,
        parts: gateway_common.GatewayDependencies,
        admitted: gateway_common.AdmittedRequest,
    ) -> None:
        self._deps = parts
        self._admitted = admitted
        self._attempts = gateway_common.AttemptTracker(parts, admitted)
        self._repeatable = admitted.route.retryable
        self._last_failure: _BackendAnswer | None = None
        self._dispatches = 0

    async def run(self) -> web.StreamResponse:
        """Return the answer; raise `Failure` where there is none."""
        tasks: set[asyncio.Task] = set()
        try:
            async with asyncio.timeout(
                max(0.0, self._attempts.remaining_ms) / 1e3
            ):
                answer = await self._best_answer(tasks)
        except TimeoutError:
            answer = None
        finally:
            for task in tasks:
                task.cancel()
        if answer is None:
            return self._give_up()
        self._record_answer(answer)
        return gateway_common.relayed_response(answer.head, answer.body)

    async def _best_answer(
        self, tasks: set[asyncio.Task]
    ) -> _BackendAnswer | None:
        """Return the first success, else a failure that a server gave."""
        while True:
            if not tasks:
                backend = await self._wait_for_backend()
                if backend is None:
                    return self._last_failure
                tasks.add(self._start_attempt(backend))
            done, _ = await asyncio.wait(
                tasks,
                timeout=self._hedge_delay_s(len(tasks)),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                tasks.discard(task)
                answer = task.result()
                if answer is not None and answer.head.success:
                    return answer
                self._last_failure = answer or self._last_failure
                if answer is not None and not self._repeatable:
                    return answer
            if not done:
                backend = self._choose_backend()
                if backend is not None and self._attempts.may_send():
                    tasks.add(self._start_attempt(backend))
            elif not tasks and not self._may_retry():
                return self._last_failure

    def _may_retry(self) -> bool:
        if self._dispatches >= MAX_DISPATCHES:
            return False
        if not self._repeatable and self._attempts.possibly_run:
            return False
        return self._attempts.may_send()

    def _hedge_delay_s(self, running: int) -> float | None:
        """Return the time after which a second server is asked."""
        if not self._repeatable or running > 1:
            return None
        if not self._attempts.may_send() or self._dispatches >= MAX_DISPATCHES:
            return None
        return (
            HEDGE_DELAY_FRACTION * self._admitted.route.latency_goal_ms / 1e3
        )

    def _start_attempt(self, backend: backends.Backend) -> asyncio.Task:
        self._dispatches += 1
        self._attempts.excluded.add(backend.backend_id)
        return asyncio.create_task(self._run_attempt(backend))

    async def _wait_for_backend(self) -> backends.Backend | None:
        return await gateway_common.wait_for_backend(
            self._deps,
            self._admitted,
            self._attempts,
            QUEUE_WAIT_FRACTION * self._admitted.route.latency_goal_ms,
            placement_queue.PlacementRequest(
                self._choose_backend,
                self._attempts.may_wait,
                lambda place: None,
            ),
        )

    def _choose_backend(self) -> backends.Backend | None:
        """Return a server not asked yet, else any that takes work."""
        name = self._admitted.service.name
        view = self._deps.view
        fresh = view.choose_for_call(name, frozenset(self._attempts.excluded))
        return fresh or view.choose_for_call(name)

    async def _run_attempt(
        self, backend: backends.Backend
    ) -> _BackendAnswer | None:
        """Return the answer of one server, None without a sound one."""
        parts = self._deps
        idle_ms = (
            RETRYABLE_MAX_IDLE_MS
            if self._repeatable
            else NEVER_TWICE_MAX_IDLE_MS
        )
        dispatch = gateway_messages.Dispatch(
            backend=backend,
            remaining_ms=self._attempts.remaining_ms,
            workspace=self._admitted.workspace,
        )
        parts.runs.begin_call(backend.backend_id)
        connection = None
        try:
            connection = await gateway_common.open_and_send(
                parts,
                self._admitted,
                dispatch,
                self._attempts,
                CONNECT_TIMEOUT_MS,
                CONNECT_TRIES,
                idle_ms,
            )
            head = parts.dialect.read_head(
                await connection.read_response_head(), self._admitted.request
            )
            if head.not_run:
                self._note_not_run(backend, head)
                return None
            gateway_common.require_matching_answer(head)
            body = await backend_connection.read_body(connection)
            parts.health.mark_answered(backend.backend_id)
            parts.health.record_outcome(backend.backend_id, not head.success)
            parts.pool.release(connection)
            return _BackendAnswer(head, body)
        except backend_connection.RequestNotSent as error:
            gateway_common.mark_backend_lost(
                parts, backend, f"not reached: {error}"
            )
        except backend_connection.ConnectionBroken as error:
            self._attempts.count_lost()
            gateway_common.log_decision(
                self._admitted,
                "call broken off",
                backend=backend.backend_id,
                why=str(error),
            )
            parts.health.record_outcome(backend.backend_id, failed=True)
            gateway_common.start_crash_check(
                parts, self._admitted, backend, str(error), began=False
            )
        finally:
            parts.runs.end_call(backend.backend_id)
            if connection is not None and not connection.usable:
                connection.close()
        return None

    def _note_not_run(
        self, backend: backends.Backend, head: gateway_messages.AnswerHead
    ) -> None:
        self._attempts.count_not_run()
        gateway_common.log_decision(
            self._admitted,
            "server did not run it",
            backend=backend.backend_id,
            status=head.status,
        )
        gateway_common.mark_replaced(self._deps, backend, head)

    def _record_answer(self, answer: _BackendAnswer) -> None:
        took_ms = (
            self._deps.clock.now_ms() - self._admitted.request.received_ms
        )
        self._deps.telemetry.first_piece_ms.observe(
            {"service": self._admitted.service.name}, took_ms
        )
        late = took_ms > self._admitted.route.latency_goal_ms
        if late or not answer.head.success or self._attempts.sent > 1:
            gateway_common.log_decision(
                self._admitted,
                "call answered",
                status=answer.head.status,
                attempts=self._attempts.sent,
                took_ms=round(took_ms),
                late=late,
            )

    def _give_up(self) -> web.StreamResponse:
        gateway_common.log_decision(
            self._admitted,
            "call given up",
            sent=self._attempts.sent,
            ran=self._attempts.possibly_run,
            left_ms=round(self._attempts.remaining_ms),
        )
        raise errors.Failure(
            self._attempts.final_error("no backend server answered")
        )
