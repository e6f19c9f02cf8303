"""Relays one call to a plain service.

A retryable call goes to a second backend server when the first fails or is
slow. A non-idempotent call is sent again only after proof that no server
has run it.
"""

import asyncio
import math

from aiohttp import web

from oriolejunction import backends
from oriolejunction.controllers.overload import call_hold
from oriolejunction import errors
from oriolejunction import gateway_messages
from oriolejunction.http import admitted_request
from oriolejunction.http import attempt_errors
from oriolejunction.http import backend_checks
from oriolejunction.http import backend_connection
from oriolejunction.http import backend_wait
from oriolejunction.http import connection_recycling
from oriolejunction.http import crash_records
from oriolejunction.http import engine_answers
from oriolejunction.http import gateway_common
from oriolejunction.http import large_answer
from oriolejunction.http import load_observation
from oriolejunction.http import own_answer
from oriolejunction.http import placement_queue
from oriolejunction.http import stop_limit
from oriolejunction import ids

# Several tries survive the loss of single packets, within the latency goal.
CONNECT_TIMEOUT_MS = 50.0
CONNECT_TRIES = 3
# A connection idle for longer may lead to a server that is gone. The limit
# is lower for non-idempotent calls: one that is lost on such a connection may
# have run, so it cannot be retried.
RETRYABLE_MAX_IDLE_MS = 4_000.0
NEVER_TWICE_MAX_IDLE_MS = 500.0
# Fraction of the latency goal that a call waits for a server.
QUEUE_WAIT_FRACTION = 0.5
# Fraction of the latency goal after which a retryable call is hedged.
HEDGE_DELAY_FRACTION = 0.7
# Attempts per call, including those that a server does not run.
MAX_DISPATCHES = 4


class CallRelay:
    """Relays one call to a plain service."""

    def __init__(
        self,
        deps: gateway_common.GatewayDependencies,
        admitted: admitted_request.AdmittedRequest,
    ) -> None:
        self._deps = deps
        self._admitted = admitted
        self._attempts = gateway_common.AttemptTracker(deps, admitted)
        self._retryable = admitted.route.retryable
        self._last_failure: large_answer.HeldAnswer | None = None
        self._dispatches = 0
        # Set once a hedged request was due.
        self._may_queue_hedge = False
        self._hold = call_hold.CallHold(
            deps.clock, admitted.route.latency_goal_ms
        )
        # Set once the request has its answer, or none will come in time.
        self._is_decided = False
        # When each server was sent the request; it has not answered since.
        self._unanswered_since_ms: dict[ids.BackendId, float] = {}

    async def run(self) -> web.StreamResponse:
        """Return the answer; raise `Failure` if there is none."""
        tasks: set[asyncio.Task] = set()
        answer = None
        try:
            async with self._deps.stop_limit.bound():
                async with asyncio.timeout(
                    max(0.0, self._attempts.remaining_ms) / 1e3
                ):
                    answer = await self._best_answer(tasks)
            self._is_decided = answer is not None
        except TimeoutError:
            self._is_decided = True
        except stop_limit.StopReached:
            self._attempts.stopped = True
        finally:
            for task in tasks:
                large_answer.give_up(task)
            if self._last_failure not in (None, answer):
                self._last_failure.close()
        if answer is not None and not engine_answers.may_relay(answer.head):
            answer.close()
            return self._give_up()
        if answer is None:
            if self._attempts.may_forward():
                raise attempt_errors.InstanceIsolated(
                    self._attempts.possibly_run
                )
            return self._give_up()
        if answer.head.success:
            crash_records.record_answer(self._deps, self._admitted)
        self._record_answer(answer)
        if answer.rest is not None:
            return await self._pass_on(answer)
        return engine_answers.relayed_response(answer.head, answer.body)

    async def _pass_on(
        self, answer: large_answer.HeldAnswer
    ) -> web.StreamResponse:
        try:
            return await large_answer.pass_on(
                self._admitted, answer, self._attempts.remaining_ms
            )
        finally:
            # Closes it unless its answer has ended.
            self._deps.pool.release(answer.rest)

    async def _best_answer(
        self, tasks: set[asyncio.Task]
    ) -> large_answer.HeldAnswer | None:
        """Return the first success, else the last failed answer."""
        while True:
            if self._attempts.may_forward():
                return None
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
                answer = task.result()
                if answer is not None and answer.head.success:
                    # `run` ends the others.
                    tasks.discard(task)
                    return answer
            for task in done:
                tasks.discard(task)
                answer = task.result()
                self._last_failure = large_answer.newer(
                    self._last_failure, answer
                )
                if answer is not None and not self._retryable:
                    return answer
            if not done:
                if self._attempts.may_send():
                    backend = self._choose_hedge()
                    if backend is not None:
                        tasks.add(self._start_attempt(backend))
            elif not tasks and not self._may_retry():
                return self._last_failure

    def _may_retry(self) -> bool:
        if self._dispatches >= MAX_DISPATCHES:
            return False
        if not self._retryable and self._attempts.possibly_run:
            return False
        return self._attempts.may_send()

    def _hedge_delay_s(self, running: int) -> float | None:
        """Return the delay of a hedged request, None if not allowed."""
        if not self._retryable or running > 1:
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
        return await backend_wait.wait_for_backend(
            self._deps,
            self._admitted,
            self._attempts,
            QUEUE_WAIT_FRACTION * self._admitted.route.latency_goal_ms,
            placement_queue.PlacementRequest(
                self._choose_backend,
                self._attempts.may_wait,
                lambda backend: self._deps.intake.give_back(
                    backend.backend_id
                ),
                self._limited_wait_ms,
            ),
        )

    def _limited_wait_ms(self, ahead: int) -> float:
        """Return the expected wait if no server takes a call now."""
        view, use = self._deps.view, self._attempts.rollout
        wait_ms, interval_ms = view.limited_wait_ms(use, ahead)
        if not wait_ms:
            wait_ms = view.full_wait_ms(use)
            interval_ms = math.inf
        if wait_ms:
            self._attempts.expected_wait_ms = wait_ms
            self._attempts.return_interval_ms = interval_ms
        return wait_ms

    def _choose_backend(self) -> backends.Backend | None:
        """Return a server not tried yet, else any available one.

        The request to it counts against its limit.
        """
        if self._hold.remaining_ms():
            return None
        view = self._deps.view
        use = self._attempts.rollout
        untried = view.choose_for_call(use, frozenset(self._attempts.excluded))
        backend = untried or view.choose_for_call(use)
        if backend is not None:
            self._deps.intake.take(backend.backend_id)
            trial_ms = view.reported.take(backend.backend_id)
            if trial_ms:
                load_observation.notify_later(self._deps.queue, trial_ms)
        return backend

    def _choose_hedge(self) -> backends.Backend | None:
        """Return the server of a hedged request, None for none now.

        A queue at the other server makes the answer no sooner, and hedged
        requests lengthen it. Only a call that is late by far, whose server
        may be lost, is hedged all the same.
        """
        may_queue, self._may_queue_hedge = self._may_queue_hedge, True
        backend = self._choose_backend()
        if backend is None or may_queue:
            return backend
        if self._deps.view.has_free_slot(backend.backend_id):
            return backend
        self._deps.intake.give_back(backend.backend_id)
        gateway_common.log_decision(
            self._admitted,
            "call not hedged",
            backend=backend.backend_id,
            load=self._deps.view.reported.estimate(backend.backend_id),
        )
        return None

    async def _run_attempt(
        self, backend: backends.Backend
    ) -> large_answer.HeldAnswer | None:
        """Return the answer of one server, None without a valid one."""
        deps = self._deps
        max_idle_ms = (
            RETRYABLE_MAX_IDLE_MS
            if self._retryable
            else NEVER_TWICE_MAX_IDLE_MS
        )
        dispatch = gateway_messages.Dispatch(
            backend=backend,
            remaining_ms=self._attempts.remaining_ms,
            workspace=self._admitted.workspace,
        )
        deps.own_loads.begin_call(backend.backend_id)
        connection = rollout_send = None
        try:
            self._attempts.opening += 1
            try:
                connection, rollout_send = await gateway_common.open_and_send(
                    deps,
                    self._admitted,
                    dispatch,
                    self._attempts,
                    CONNECT_TIMEOUT_MS,
                    CONNECT_TRIES,
                    max_idle_ms,
                )
            finally:
                self._attempts.opening -= 1
            sent_ms = deps.clock.now_ms()
            self._unanswered_since_ms[backend.backend_id] = sent_ms
            head = await own_answer.OwnAnswer(
                connection, deps, self._admitted
            ).read_head()
            self._unanswered_since_ms.pop(backend.backend_id, None)
            gateway_common.observe_answer(deps, backend, head, sent_ms)
            if head.not_run:
                self._handle_not_run(backend, head, connection)
                connection_recycling.recycle(deps, connection)
                connection = None
                return None
            engine_answers.require_matching_answer(head)
            answer = await large_answer.read(head, connection, deps.answers)
            if connection.ends_answer and not connection.usable:
                await backend_checks.check_unframed_end(deps, backend)
            if head.success:
                rollout_send.record_answer(deps.clock.now_ms() - sent_ms)
            elif head.signed:
                rollout_send.record_failure()
            deps.health.mark_answered(backend.backend_id)
            deps.health.record_outcome(backend.backend_id, not head.success)
            if answer.rest is None:
                deps.pool.release(connection)
            connection = None
            return answer
        except asyncio.CancelledError:
            if self._is_decided and rollout_send is not None:
                # The answer would have taken at least as long.
                rollout_send.record_answer(deps.clock.now_ms() - sent_ms)
            raise
        except attempt_errors.SendWithheld:
            deps.intake.give_back(backend.backend_id)
        except backend_connection.RequestNotSent as error:
            deps.intake.give_back(backend.backend_id)
            await backend_checks.mark_unless_isolated(
                deps, backend, f"not reached: {error}"
            )
        except backend_connection.ConnectionBroken as error:
            self._attempts.count_lost()
            gateway_common.log_decision(
                self._admitted,
                "call broken off",
                backend=backend.backend_id,
                why=str(error),
            )
            deps.health.record_outcome(backend.backend_id, failed=True)
            backend_checks.start_crash_check(
                deps,
                self._admitted,
                backend_checks.LostAttempt(backend, str(error), sent_ms),
            )
        finally:
            deps.own_loads.end_call(backend.backend_id)
            if rollout_send is not None:
                rollout_send.end()
            if connection is not None and not connection.usable:
                connection.close()
        return None

    def _handle_not_run(
        self,
        backend: backends.Backend,
        head: gateway_messages.AnswerHead,
        connection: backend_connection.BackendConnection,
    ) -> None:
        self._attempts.count_not_run()
        load = self._deps.view.reported.estimate(backend.backend_id)
        if head.has_no_room and load is not None:
            self._hold.begin()
            load_observation.notify_later(
                self._deps.queue, self._hold.remaining_ms()
            )
        gateway_common.log_decision(
            self._admitted,
            "server did not run it",
            backend=backend.backend_id,
            status=head.status,
            pause_ms=head.pause and head.pause.for_ms,
            held_ms=round(self._hold.remaining_ms()),
            load=load,
            connection=connection.number,
        )
        backend_checks.mark_replaced(self._deps, backend, head)

    def _record_answer(self, answer: large_answer.HeldAnswer) -> None:
        took_ms = gateway_common.observe_first_piece(
            self._deps, self._admitted
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
            reason=self._attempts.why_given_up(),
            sent=self._attempts.sent,
            ran=self._attempts.possibly_run,
            left_ms=round(self._attempts.remaining_ms),
            unanswered_ms=self._unanswered_ms(),
        )
        raise errors.Failure(
            self._attempts.final_error("no backend server answered")
        )

    def _unanswered_ms(self) -> dict[ids.BackendId, int]:
        """Return for how long each server has not answered."""
        now_ms = self._deps.clock.now_ms()
        return {
            backend_id: round(now_ms - since_ms)
            for backend_id, since_ms in self._unanswered_since_ms.items()
        }
