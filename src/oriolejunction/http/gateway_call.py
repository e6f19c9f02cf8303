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
from oriolejunction.http import engine_wire
from oriolejunction.http import gateway_parts
from oriolejunction.http import waiting_room

# Tries cover the loss of single packets, within the goal of a call.
CONNECT_MS = 50.0
CONNECT_TRIES = 3
# A connection idle for longer may lead to a server that is gone, which a
# call that must not run twice would not survive.
SAFE_IDLE_MS = 4_000.0
NEVER_TWICE_IDLE_MS = 500.0
# Part of the goal that a call waits for a server to be had.
WAIT_SHARE = 0.5
# Part of the goal after which a repeatable call is sent a second time.
SECOND_SHARE = 0.7
# Times that a call is offered to servers which do not run it.
MAX_OFFERS = 4


@dataclasses.dataclass(frozen=True)
class _Answer:
    """A whole answer of a backend server."""

    head: gateway_messages.AnswerHead
    body: bytes


class CallRelay:
    """One call on its way to a plain service."""

    def __init__(
        self,
        parts: gateway_parts.GatewayParts,
        admitted: gateway_parts.Admitted,
    ) -> None:
        self._parts = parts
        self._admitted = admitted
        self._attempts = gateway_parts.Attempts(parts, admitted)
        self._repeatable = admitted.route.repeatable
        self._failed: _Answer | None = None
        self._offers = 0

    async def run(self) -> web.StreamResponse:
        """Return the answer; raise `Failure` where there is none."""
        tasks: set[asyncio.Task] = set()
        try:
            async with asyncio.timeout(max(0.0, self._attempts.left_ms) / 1e3):
                answer = await self._best_answer(tasks)
        except TimeoutError:
            answer = None
        finally:
            for task in tasks:
                task.cancel()
        if answer is None:
            return self._give_up()
        self._observe(answer)
        return gateway_parts.engine_answer(answer.head, answer.body)

    async def _best_answer(self, tasks: set[asyncio.Task]) -> _Answer | None:
        """Return the first success, else a failure that a server gave."""
        while True:
            if not tasks:
                backend = await self._wait_for_backend()
                if backend is None:
                    return self._failed
                tasks.add(self._start(backend))
            done, _ = await asyncio.wait(
                tasks,
                timeout=self._second_after_s(len(tasks)),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                tasks.discard(task)
                answer = task.result()
                if answer is not None and answer.head.success:
                    return answer
                self._failed = answer or self._failed
                if answer is not None and not self._repeatable:
                    return answer
            if not done:
                backend = self._choose()
                if backend is not None and self._attempts.allowed():
                    tasks.add(self._start(backend))
            elif not tasks and not self._may_go_on():
                return self._failed

    def _may_go_on(self) -> bool:
        if self._offers >= MAX_OFFERS:
            return False
        if not self._repeatable and self._attempts.ran:
            return False
        return self._attempts.allowed()

    def _second_after_s(self, running: int) -> float | None:
        """Return the time after which a second server is asked."""
        if not self._repeatable or running > 1:
            return None
        if not self._attempts.allowed() or self._offers >= MAX_OFFERS:
            return None
        return SECOND_SHARE * self._admitted.route.goal_ms / 1e3

    def _start(self, backend: backends.Backend) -> asyncio.Task:
        self._offers += 1
        self._attempts.excluded.add(backend.backend_id)
        return asyncio.create_task(self._ask(backend))

    async def _wait_for_backend(self) -> backends.Backend | None:
        return await gateway_parts.wait_for_place(
            self._parts,
            self._admitted,
            self._attempts,
            WAIT_SHARE * self._admitted.route.goal_ms,
            waiting_room.Bid(
                self._choose, self._attempts.may_wait, lambda place: None
            ),
        )

    def _choose(self) -> backends.Backend | None:
        """Return a server not asked yet, else any that takes work."""
        name = self._admitted.service.name
        view = self._parts.view
        fresh = view.for_call(name, frozenset(self._attempts.excluded))
        return fresh or view.for_call(name)

    async def _ask(self, backend: backends.Backend) -> _Answer | None:
        """Return the answer of one server, None without a sound one."""
        parts = self._parts
        idle_ms = SAFE_IDLE_MS if self._repeatable else NEVER_TWICE_IDLE_MS
        dispatch = gateway_messages.Dispatch(
            backend=backend,
            left_ms=self._attempts.left_ms,
            workspace=self._admitted.workspace,
        )
        parts.runs.begin_call(backend.backend_id)
        connection = None
        try:
            connection = await gateway_parts.open_and_send(
                parts,
                self._admitted,
                dispatch,
                self._attempts,
                CONNECT_MS,
                CONNECT_TRIES,
                idle_ms,
            )
            head = parts.dialect.read_head(
                await connection.head(), self._admitted.request
            )
            if head.not_run:
                self._note_not_run(backend, head)
                return None
            gateway_parts.require_own(head)
            body = await engine_wire.whole_body(connection)
            parts.health.answered(backend.backend_id)
            parts.health.outcome(backend.backend_id, not head.success)
            parts.pool.give_back(connection)
            return _Answer(head, body)
        except engine_wire.NotReached as error:
            gateway_parts.note_lost(parts, backend, f"not reached: {error}")
        except engine_wire.ConnectionBroken as error:
            self._attempts.count_lost()
            gateway_parts.log_decision(
                self._admitted,
                "call broken off",
                backend=backend.backend_id,
                why=str(error),
            )
            parts.health.outcome(backend.backend_id, failed=True)
            gateway_parts.judge_break(
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
        gateway_parts.log_decision(
            self._admitted,
            "server did not run it",
            backend=backend.backend_id,
            status=head.status,
        )
        gateway_parts.note_replaced(self._parts, backend, head)

    def _observe(self, answer: _Answer) -> None:
        took_ms = (
            self._parts.clock.now_ms() - self._admitted.request.received_ms
        )
        self._parts.telemetry.first_ms.observe(
            {"service": self._admitted.service.name}, took_ms
        )
        late = took_ms > self._admitted.route.goal_ms
        if late or not answer.head.success or self._attempts.sent > 1:
            gateway_parts.log_decision(
                self._admitted,
                "call answered",
                status=answer.head.status,
                attempts=self._attempts.sent,
                took_ms=round(took_ms),
                late=late,
            )

    def _give_up(self) -> web.StreamResponse:
        gateway_parts.log_decision(
            self._admitted,
            "call given up",
            sent=self._attempts.sent,
            ran=self._attempts.ran,
            left_ms=round(self._attempts.left_ms),
        )
        raise errors.Failure(
            self._attempts.failure("no backend server answered")
        )
