"""Relays one streamed answer, across all engines that serve it.

The caller sees a single answer: the head of the first engine, then each
event once and in order, whichever engine it comes from. While an engine runs
a stream, its KV cache is copied to an engine of another availability zone,
so that the answer can resume there without another prefill.
"""

import functools

from aiohttp import web

from oriolejunction.controllers import event_answer
from oriolejunction.controllers import stalls
from oriolejunction import errors
from oriolejunction import gateway_messages
from oriolejunction.http import admitted_request
from oriolejunction.http import answer_body
from oriolejunction.http import attempt_errors
from oriolejunction.http import backend_checks
from oriolejunction.http import backend_connection
from oriolejunction.http import crash_records
from oriolejunction.http import engine_answers
from oriolejunction.http import event_reader
from oriolejunction.http import gateway_common
from oriolejunction.http import own_answer
from oriolejunction.http import peer_forwarding
from oriolejunction.http import stall_detection
from oriolejunction.http import stall_handlers
from oriolejunction.http import stop_limit
from oriolejunction.http import stream_attempt
from oriolejunction.http import stream_plan
from oriolejunction.http import stream_timing
from oriolejunction import states

# A machine of the same region accepts a connection within a few ms; several
# tries survive the loss of single packets.
CONNECT_TIMEOUT_MS = 90.0
CONNECT_TRIES = 3
# A connection idle for longer may lead to an engine that is gone.
MAX_CONNECTION_IDLE_MS = 1_000.0


class StreamRelay:
    """Relays one streamed answer to a caller."""

    def __init__(
        self,
        deps: gateway_common.GatewayDependencies,
        admitted: admitted_request.AdmittedRequest,
    ) -> None:
        self._deps = deps
        self._admitted = admitted
        self._attempts = gateway_common.AttemptTracker(deps, admitted)
        self._answer = event_answer.EventAnswer(admitted.request.last_event)
        self._response: web.StreamResponse | None = None
        self._planner = stream_plan.StreamPlanner(
            deps, admitted, self._attempts, self._answer
        )
        self._stop_bound = deps.stop_limit.bound()
        self._timing = stream_timing.StreamTiming(deps, admitted)
        self._engine_failure: (
            tuple[gateway_messages.AnswerHead, bytes] | None
        ) = None
        self._is_complete = False
        # The next attempt, where it was planned before the last one ended.
        self._next_plan: stream_attempt.StreamPlan | None = None

    async def run(self) -> web.StreamResponse:
        """Serve the answer; raise `Failure` if it cannot begin."""
        try:
            async with self._stop_bound:
                return await self._run_attempts()
        except stop_limit.StopReached:
            self._attempts.stopped = True
            return self._give_up()
        finally:
            self._planner.software.end(self._is_complete)
            self._deps.rollouts.close(self._attempts.rollout)

    async def _run_attempts(self) -> web.StreamResponse:
        await self._planner.software.resume()
        while True:
            plan, self._next_plan = self._next_plan, None
            if plan is None and not self._attempts.may_forward():
                plan = await self._planner.plan(self._response is not None)
            if plan is None:
                return await self._end_without_plan()
            attempt_end = await self._run_attempt(plan)
            if attempt_end is states.StreamAttemptEnd.COMPLETE:
                await self._response.write_eof()
                self._is_complete = True
                return self._response

    async def _end_without_plan(self) -> web.StreamResponse:
        """Let another instance serve the rest if it may, else give up."""
        if not self._attempts.may_forward():
            return self._give_up()
        if self._response is None:
            raise attempt_errors.InstanceIsolated(self._attempts.possibly_run)
        if self._admitted.from_peer:
            return self._give_up()
        return await peer_forwarding.PeerForwarder(
            self._deps,
            self._admitted,
            self._attempts.possibly_run,
            self._answer.last_event,
            self._planner.software.origin_id,
        ).serve(self._response)

    async def _run_attempt(
        self, plan: stream_attempt.StreamPlan
    ) -> states.StreamAttemptEnd:
        stream_attempt.log_placement(
            self._admitted, plan, self._answer.last_event
        )
        self._attempts.stalled.discard(plan.backend.backend_id)
        attempt = self._answer.begin_attempt(plan.backend.software)
        self._planner.last_copy_backend = None
        try:
            if not await self._planner.software.record(plan.backend):
                self._deps.intake.give_back(plan.backend.backend_id)
                return states.StreamAttemptEnd.REFUSED
            self._deps.view.record_sent(
                plan.candidate, self._admitted.request.parts
            )
            return await self._send_and_read(plan, attempt)
        finally:
            self._answer.revoke(attempt)
            self._planner.release(plan)
            if self._next_plan is None:
                self._attempts.cancel_reservation()

    async def _send_and_read(
        self, plan: stream_attempt.StreamPlan, attempt
    ) -> states.StreamAttemptEnd:
        try:
            connection, rollout_send = await gateway_common.open_and_send(
                self._deps,
                self._admitted,
                stream_attempt.dispatch_of(
                    plan, self._admitted, self._attempts, self._answer
                ),
                self._attempts,
                CONNECT_TIMEOUT_MS,
                CONNECT_TRIES,
                MAX_CONNECTION_IDLE_MS,
            )
        except attempt_errors.SendWithheld:
            self._deps.intake.give_back(plan.backend.backend_id)
            return states.StreamAttemptEnd.REFUSED
        except backend_connection.RequestNotSent as error:
            why = f"not reached: {error}"
            self._deps.intake.give_back(plan.backend.backend_id)
            await backend_checks.mark_unless_isolated(
                self._deps, plan.backend, why
            )
            return self._handle_loss(plan, why)
        clock = self._deps.clock
        sent_ms = clock.now_ms()
        timing = stream_timing.AttemptTiming(self._deps, rollout_send, plan)
        replaced_ms = None
        try:
            return await self._read_answer(plan, connection, attempt, timing)
        except stall_detection.EngineReplaced as error:
            self._attempts.stalled.add(plan.backend.backend_id)
            self._next_plan = error.plan
            replaced_ms = clock.now_ms()
            why = str(error)
        except (
            backend_connection.ConnectionBroken,
            stall_detection.RequestGone,
        ) as error:
            why = str(error)
        except stall_detection.DeadlineReached:
            replaced_ms = clock.now_ms()
            return states.StreamAttemptEnd.LOST
        finally:
            # Closing stops the engine's work. After a clean end the
            # connection is back in the pool and must stay open.
            timing.end(replaced_ms)
            if not connection.usable:
                connection.close()
        lost = backend_checks.LostAttempt(
            plan.backend, why, sent_ms, timing.wrote_ms
        )
        is_crash_known = backend_checks.start_crash_check(
            self._deps, self._admitted, lost
        )
        if lost.was_beginning and self._next_plan is None:
            # If the request crashes engines, the next one must not get it.
            await is_crash_known.wait()
        return self._handle_loss(plan, why)

    async def _read_answer(
        self,
        plan: stream_attempt.StreamPlan,
        connection: backend_connection.BackendConnection,
        attempt,
        timing: stream_timing.AttemptTiming,
    ) -> states.StreamAttemptEnd:
        clock = self._deps.clock
        sent_ms = clock.now_ms()
        reader = stall_detection.StallDetectingReader(
            self._deps,
            self._admitted,
            self._attempts,
            plan.backend,
            first_event=self._answer.last_event + 1,
            handlers=stall_handlers.handlers_of(
                self._deps,
                self._admitted,
                self._attempts,
                self._planner,
                plan,
                lambda: self._response is not None,
            ),
        )
        limits = stall_detection.first_event_limits(
            self._deps, self._admitted, plan, self._timing.has_events
        )
        next_event_limits = functools.partial(
            stalls.limits_between_events,
            self._deps.speeds.gaps(plan.backend.backend_id),
            self._admitted.route.max_event_gap_ms,
        )
        answer = own_answer.OwnAnswer(connection, self._deps, self._admitted)
        head = await reader.read(answer.read_head, limits)
        gateway_common.observe_answer(self._deps, plan.backend, head, sent_ms)
        refusal = await self._check_refusal(
            plan,
            connection,
            head,
            lambda: reader.read(connection.read_chunk, next_event_limits),
        )
        if refusal is not None:
            if refusal is states.StreamAttemptEnd.LOST and head.signed:
                timing.rollout_send.record_failure()
            return refusal
        self._deps.health.mark_answered(plan.backend.backend_id)
        read_event = self._deps.wire_format.read_event
        events = event_reader.EventReader(
            connection.read_chunk, read_event, self._answer
        )
        while True:
            received = await reader.read(events.read, limits)
            if received is None:
                break
            now_ms = clock.now_ms()
            if timing.first_ms is None:
                # Engines begin the KV cache copy at the first event, not
                # during the prefill.
                self._planner.last_copy_backend = plan.copy_backend
                self._planner.record_first_event(plan, now_ms - sent_ms)
            elif not timing.was_blocked:
                self._deps.speeds.add_gap(
                    plan.backend.backend_id, now_ms - timing.last_ms
                )
            if timing.record_event(now_ms):
                self._deps.parts.record_answer(
                    self._admitted.request.shared_parts
                )
            # Without an event, the caller can still get another answer.
            await self._send_head(head)
            await self._deliver(attempt, received)
            timing.record_delivery(clock.now_ms())
            limits = next_event_limits
        if events.why_incomplete is not None:
            raise backend_connection.ConnectionBroken(events.why_incomplete)
        if connection.ends_answer:
            if not self._answer.last_event:
                raise backend_connection.ConnectionBroken("no event")
            await backend_checks.check_unframed_end(self._deps, plan.backend)
        await self._send_head(head)
        self._deps.pool.release(connection)
        self._deps.lengths.add(
            self._admitted.route.name, self._answer.last_event
        )
        crash_records.record_answer(self._deps, self._admitted)
        self._timing.log_complete(
            plan.backend, self._answer.delivered, self._attempts.sent
        )
        return states.StreamAttemptEnd.COMPLETE

    async def _deliver(
        self, attempt, events: list[gateway_messages.NumberedEvent]
    ) -> None:
        out = []
        for event in events:
            outcome = self._answer.commit(attempt, event)
            if outcome is states.CommitOutcome.COMMITTED:
                out.append(event.data + b"\n\n")
            elif outcome is not states.CommitOutcome.REPEATED:
                raise backend_connection.ConnectionBroken(
                    f"event {event.number} follows {self._answer.last_event}"
                )
        if out:
            self._timing.record_event(resumed=self._attempts.sent > 1)
            await self._response.write(b"".join(out))

    async def _send_head(self, head: gateway_messages.AnswerHead) -> None:
        """Send the head of the first engine that sends an event."""
        if self._response is not None:
            return
        self._answer.weights = head.weights_version
        self._stop_bound.lift()
        response = web.StreamResponse(
            status=head.status, headers=engine_answers.answer_headers(head)
        )
        response.enable_chunked_encoding()
        # Once its head may have been sent, no other answer may follow.
        self._response = response
        await response.prepare(self._admitted.web_request)

    async def _check_refusal(
        self,
        plan: stream_attempt.StreamPlan,
        connection: backend_connection.BackendConnection,
        head: gateway_messages.AnswerHead,
        read_chunk: stall_detection.PieceReader[bytes | None],
    ) -> states.StreamAttemptEnd | None:
        """Return how an attempt ended, None if its stream begins."""
        if head.not_run:
            self._attempts.count_not_run()
            self._handle_not_run(plan, head, connection)
            connection.close()
            return states.StreamAttemptEnd.REFUSED
        engine_answers.require_matching_answer(head)
        if head.success:
            return None
        body = await answer_body.read(read_chunk)
        self._deps.pool.release(connection)
        self._deps.health.record_outcome(plan.backend.backend_id, failed=True)
        self._attempts.excluded.add(plan.backend.backend_id)
        self._planner.last_copy_backend = None
        self._engine_failure = (head, body)
        return states.StreamAttemptEnd.LOST

    def _handle_not_run(
        self,
        plan: stream_attempt.StreamPlan,
        head: gateway_messages.AnswerHead,
        connection: backend_connection.BackendConnection,
    ) -> None:
        gateway_common.log_decision(
            self._admitted,
            "engine did not run it",
            backend=plan.backend.backend_id,
            status=head.status,
            pause_ms=head.pause and head.pause.for_ms,
            from_copy=plan.copy_source is not None,
            connection=connection.number,
        )
        self._planner.last_copy_backend = None
        if plan.copy_source is not None:
            # The KV cache copy is gone; the engine itself may be healthy.
            return
        self._attempts.excluded.add(plan.backend.backend_id)
        if head.weights_version in (None, self._answer.weights):
            backend_checks.mark_replaced(self._deps, plan.backend, head)

    def _handle_loss(
        self, plan: stream_attempt.StreamPlan, why: str
    ) -> states.StreamAttemptEnd:
        self._attempts.count_lost()
        gateway_common.log_decision(
            self._admitted,
            "attempt lost",
            backend=plan.backend.backend_id,
            why=why,
            delivered=self._answer.last_event,
            copy=self._planner.last_copy_backend
            and self._planner.last_copy_backend.backend_id,
        )
        self._attempts.excluded.add(plan.backend.backend_id)
        return states.StreamAttemptEnd.LOST

    def _give_up(self) -> web.StreamResponse:
        """End at once an answer that cannot continue."""
        gateway_common.log_decision(
            self._admitted,
            "stream given up",
            reason=self._attempts.why_given_up(),
            sent=self._attempts.sent,
            ran=self._attempts.possibly_run,
            delivered=self._answer.last_event,
            left_ms=round(self._attempts.remaining_ms),
        )
        if self._response is not None:
            # Without its last chunk, the answer cannot look complete.
            transport = self._admitted.web_request.transport
            if transport is not None:
                transport.close()
            return self._response
        failure = self._engine_failure
        if failure and engine_answers.may_relay(failure[0]):
            return engine_answers.relayed_response(*failure)
        raise errors.Failure(
            self._attempts.final_error("no engine could answer in time")
        )
