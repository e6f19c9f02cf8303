"""Relays one streamed answer, across the engines that it takes.

The caller sees a single answer: the head of the first engine, then each
event once and in order, whichever engine it comes from. While an engine
works, its run's memory is copied to an engine of another availability zone,
so that the answer goes on there without reading the prompt again.
"""

import enum
import functools

from aiohttp import web

from oriolejunction.controllers import event_answer
from oriolejunction.controllers import stalls
from oriolejunction import errors
from oriolejunction import gateway_messages
from oriolejunction.http import engine_wire
from oriolejunction.http import gateway_parts
from oriolejunction.http import patient_reader
from oriolejunction.http import stream_plan
from oriolejunction import states

# A machine of the same region answers a connection within a few ms; the
# tries cover the loss of single packets.
CONNECT_MS = 90.0
CONNECT_TRIES = 3
# A connection idle for longer may lead to an engine that is gone.
MAX_IDLE_MS = 1_000.0
# Streams that go on are admitted before new ones, whose urgency is 5.
RESUMED_URGENCY = 2
MAX_EVENT_BYTES = 1 << 20


class _Ended(enum.Enum):
    COMPLETE = "complete"
    LOST = "lost"
    REFUSED = "refused"


class StreamRelay:
    """One streamed answer on its way to a caller."""

    def __init__(
        self,
        parts: gateway_parts.GatewayParts,
        admitted: gateway_parts.Admitted,
    ) -> None:
        self._parts = parts
        self._admitted = admitted
        self._attempts = gateway_parts.Attempts(parts, admitted)
        self._answer = event_answer.EventAnswer(admitted.request.last_event)
        self._response: web.StreamResponse | None = None
        self._planner = stream_plan.StreamPlanner(
            parts, admitted, self._attempts, self._answer
        )
        self._last_event_ms: float | None = None
        self._first_ms = 0.0
        self._longest_pause_ms = 0.0
        self._failure: tuple[gateway_messages.AnswerHead, bytes] | None = None

    async def run(self) -> web.StreamResponse:
        """Serve the answer; raise `Failure` where none has begun."""
        while True:
            began = self._response is not None
            plan = await self._planner.plan(began)
            if plan is None:
                return self._give_up()
            ended = await self._attempt(plan)
            if ended is _Ended.COMPLETE:
                await self._response.write_eof()
                return self._response

    async def _attempt(self, plan: stream_plan.StreamPlan) -> _Ended:
        gateway_parts.log_decision(
            self._admitted,
            "stream placed",
            backend=plan.backend.backend_id,
            zone=plan.backend.zone,
            copy=plan.copy and plan.copy.backend_id,
            from_copy=plan.copy_from is not None,
            after_event=self._answer.last_event,
            streams=plan.candidate.streams,
            prefill=plan.candidate.prefill_tokens,
        )
        attempt = self._answer.begin_attempt()
        self._planner.copy = None
        try:
            return await self._run_on(plan, attempt)
        finally:
            self._answer.abandon(attempt)
            self._planner.give_back(plan)

    async def _run_on(self, plan: stream_plan.StreamPlan, attempt) -> _Ended:
        try:
            connection = await gateway_parts.open_and_send(
                self._parts,
                self._admitted,
                self._dispatch(plan),
                self._attempts,
                CONNECT_MS,
                CONNECT_TRIES,
                MAX_IDLE_MS,
            )
        except engine_wire.NotReached as error:
            why = f"not reached: {error}"
            gateway_parts.note_lost(self._parts, plan.backend, why)
            return self._lost(plan, why)
        held = self._answer.last_event
        try:
            return await self._read_answer(plan, connection, attempt)
        except (
            engine_wire.ConnectionBroken,
            patient_reader.EngineSilent,
        ) as error:
            connection.close()
            gateway_parts.judge_break(
                self._parts,
                self._admitted,
                plan.backend,
                str(error),
                began=self._answer.last_event > held,
            )
            return self._lost(plan, str(error))
        except patient_reader.DeadlineReached:
            return _Ended.LOST
        finally:
            # Closing stops the engine's work; after a clean end the
            # connection has been given back and is no longer this run's.
            if not connection.usable:
                connection.close()

    def _dispatch(
        self, plan: stream_plan.StreamPlan
    ) -> gateway_messages.Dispatch:
        began = self._answer.last_event > 0 or plan.copy_from is not None
        return gateway_messages.Dispatch(
            backend=plan.backend,
            left_ms=self._attempts.left_ms,
            workspace=self._admitted.workspace,
            last_event=self._answer.last_event,
            weights=self._answer.weights,
            copy_to=plan.copy and plan.copy.address,
            copy_from=plan.copy_from,
            urgency=RESUMED_URGENCY if began else None,
        )

    async def _read_answer(
        self,
        plan: stream_plan.StreamPlan,
        connection: engine_wire.WireConnection,
        attempt,
    ) -> _Ended:
        clock = self._parts.clock
        sent_ms = clock.now_ms()
        reader = patient_reader.PatientReader(
            self._parts, self._attempts, plan.backend
        )
        limits = patient_reader.limits_before_first(
            self._parts, self._admitted, plan, self._last_event_ms is not None
        )
        events_limits = functools.partial(
            stalls.between_events,
            self._parts.speeds.gaps(plan.backend.backend_id),
            self._admitted.route.max_pause_ms,
        )
        head = self._parts.dialect.read_head(
            await reader.read(connection.head, limits),
            self._admitted.request,
        )
        refused = await self._refused(plan, connection, head)
        if refused is not None:
            return refused
        self._parts.health.answered(plan.backend.backend_id)
        if self._answer.weights is None:
            self._answer.weights = head.weights
        await self._begin(head)
        rest = b""
        first = True
        last_ms = sent_ms
        while True:
            piece = await reader.read(connection.data, limits)
            if piece is None:
                break
            *blocks, rest = (rest + piece).split(b"\n\n")
            if len(rest) > MAX_EVENT_BYTES:
                raise engine_wire.ConnectionBroken("event too large")
            if not blocks:
                continue
            now_ms = clock.now_ms()
            if first:
                # A copy is begun with the first event, not with the prompt.
                self._planner.copy = plan.copy
                self._note_first(plan, now_ms - sent_ms)
                first = False
            else:
                self._parts.speeds.add_gap(
                    plan.backend.backend_id, now_ms - last_ms
                )
            last_ms = now_ms
            await self._deliver(plan, attempt, blocks)
            limits = events_limits
        if rest.strip():
            raise engine_wire.ConnectionBroken("ended within an event")
        self._parts.pool.give_back(connection)
        self._parts.lengths.add(
            self._admitted.route.name, self._answer.last_event
        )
        gateway_parts.log_decision(
            self._admitted,
            "stream complete",
            backend=plan.backend.backend_id,
            events=self._answer.delivered,
            prompt_tokens=self._admitted.request.prompt_tokens,
            attempts=self._attempts.sent,
            first_ms=round(self._first_ms),
            longest_pause_ms=round(self._longest_pause_ms),
            took_ms=round(clock.now_ms() - self._admitted.request.received_ms),
        )
        return _Ended.COMPLETE

    def _note_first(
        self, plan: stream_plan.StreamPlan, took_ms: float
    ) -> None:
        self._parts.runs.prefilled(plan.run_key)
        if plan.has_idle_engine and plan.copy_from is None:
            self._parts.speeds.add_prefill(
                plan.backend.backend_id, plan.unread, took_ms
            )

    async def _deliver(
        self, plan: stream_plan.StreamPlan, attempt, blocks: list[bytes]
    ) -> None:
        out = []
        for block in blocks:
            event = self._parts.dialect.read_event(block)
            if event is None:
                continue
            outcome = self._answer.commit(attempt, event)
            if outcome is states.CommitOutcome.COMMITTED:
                out.append(event.data + b"\n\n")
            elif outcome is not states.CommitOutcome.REPEATED:
                raise engine_wire.ConnectionBroken(
                    f"event {event.number} after {self._answer.last_event}"
                )
        if out:
            self._note_resumed()
            await self._response.write(b"".join(out))

    def _note_resumed(self) -> None:
        now_ms = self._parts.clock.now_ms()
        telemetry = self._parts.telemetry
        labels = {"service": self._admitted.service.name}
        if self._last_event_ms is None:
            took_ms = now_ms - self._admitted.request.received_ms
            telemetry.first_ms.observe(labels, took_ms)
            self._first_ms = took_ms
        elif self._attempts.sent > 1:
            telemetry.resume_ms.observe(labels, now_ms - self._last_event_ms)
        if self._last_event_ms is not None:
            pause_ms = now_ms - self._last_event_ms
            self._longest_pause_ms = max(self._longest_pause_ms, pause_ms)
        self._last_event_ms = now_ms

    async def _begin(self, head: gateway_messages.AnswerHead) -> None:
        """Send the head of the first engine that answers."""
        if self._response is not None:
            return
        response = web.StreamResponse(
            status=head.status, headers=gateway_parts.answer_headers(head)
        )
        response.enable_chunked_encoding()
        await response.prepare(self._admitted.web)
        self._response = response

    async def _refused(
        self,
        plan: stream_plan.StreamPlan,
        connection: engine_wire.WireConnection,
        head: gateway_messages.AnswerHead,
    ) -> _Ended | None:
        """Return how an attempt ended without a stream, None with one."""
        if head.not_run:
            self._attempts.count_not_run()
            self._not_run(plan, head)
            connection.close()
            return _Ended.REFUSED
        gateway_parts.require_own(head)
        if head.success:
            return None
        body = await engine_wire.whole_body(connection)
        self._parts.pool.give_back(connection)
        self._parts.health.outcome(plan.backend.backend_id, failed=True)
        self._attempts.excluded.add(plan.backend.backend_id)
        self._planner.copy = None
        self._failure = (head, body)
        return _Ended.LOST

    def _not_run(
        self, plan: stream_plan.StreamPlan, head: gateway_messages.AnswerHead
    ) -> None:
        gateway_parts.log_decision(
            self._admitted,
            "engine did not run it",
            backend=plan.backend.backend_id,
            status=head.status,
            from_copy=plan.copy_from is not None,
        )
        self._planner.copy = None
        if plan.copy_from is not None:
            # The copy is gone, which says nothing against the engine.
            return
        self._attempts.excluded.add(plan.backend.backend_id)
        gateway_parts.note_replaced(self._parts, plan.backend, head)

    def _lost(self, plan: stream_plan.StreamPlan, why: str) -> _Ended:
        self._attempts.count_lost()
        gateway_parts.log_decision(
            self._admitted,
            "attempt lost",
            backend=plan.backend.backend_id,
            why=why,
            delivered=self._answer.last_event,
            copy=self._planner.copy and self._planner.copy.backend_id,
        )
        self._attempts.excluded.add(plan.backend.backend_id)
        return _Ended.LOST

    def _give_up(self) -> web.StreamResponse:
        """End an answer that cannot go on, at once."""
        gateway_parts.log_decision(
            self._admitted,
            "stream given up",
            sent=self._attempts.sent,
            ran=self._attempts.ran,
            delivered=self._answer.last_event,
            left_ms=round(self._attempts.left_ms),
        )
        if self._response is not None:
            # Without the last chunk the answer cannot look complete.
            transport = self._admitted.web.transport
            if transport is not None:
                transport.close()
            return self._response
        if self._failure is not None:
            return gateway_parts.engine_answer(*self._failure)
        raise errors.Failure(
            self._attempts.failure("no engine could answer in time")
        )
