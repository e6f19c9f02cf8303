"""Run a generation in one or more attempts until it is complete."""

import asyncio
import collections.abc
import dataclasses
import math

from reactivex import subject
import structlog

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import generation_attempt
from oriolejunction.controllers import loss_policy
from oriolejunction.controllers import loss_reports
from oriolejunction.controllers import route_request
from oriolejunction.controllers import silence_detector as detectors
from oriolejunction.controllers import silence_limits
from oriolejunction import engine_protocol
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import states
from oriolejunction import telemetry as metrics

MAX_ATTEMPTS = 12
MIN_CHECK_MS = 10.0
MAX_CHECK_MS = 250.0
LATE_TIMER_GRACE_MS = 100.0
_log = structlog.get_logger(__name__)

EnginePort = generation_attempt.EnginePort
EventStream = generation_attempt.EventStream
Deliveries = tuple[generations.Delivery, ...]
_LOSS_CAUSE_BY_OUTCOME = {
    states.CommitOutcome.GAP: states.LossCause.GAP,
    states.CommitOutcome.FOREIGN: states.LossCause.FOREIGN,
    states.CommitOutcome.DIVERGED: states.LossCause.DIVERGED,
}
_NOT_RUN_CAUSES = (
    states.LossCause.NOT_REACHED,
    states.LossCause.REFUSED,
    states.LossCause.LEAVING,
)


@dataclasses.dataclass(frozen=True)
class RunnerDependencies:
    """Dependencies of the runs of one instance."""

    engines: EnginePort
    choose_engine: route_request.ChooseEngine
    telemetry: metrics.Telemetry
    clock: clocks.Clock
    attempt_losses: subject.Subject
    detector: detectors.SilenceDetector
    policy: collections.abc.Callable[[], loss_policy.LossPolicy]


async def run(
    generation: generations.Generation, deps: RunnerDependencies
) -> collections.abc.AsyncIterator[Deliveries]:
    """Yield the deliveries of a generation, across losses of engines.

    Raise `Failure` with `NoEngine` if no engine ran it, or with
    `GenerationLost` if the answer cannot be completed.
    """
    generation_run = _GenerationRun(generation, deps)
    try:
        while not generation.finish_at_limit():
            await generation_run.ensure_attempt()
            arrivals = await generation_run.inbox.take()
            deliveries = generation_run.apply_all(arrivals)
            if deliveries:
                yield deliveries
            if not arrivals:
                generation_run.check_silence()
    finally:
        await generation_run.close()


class _GenerationRun:
    """The open attempts of one generation and the engines it lost."""

    def __init__(
        self, generation: generations.Generation, deps: RunnerDependencies
    ) -> None:
        self.inbox = generation_attempt.Inbox()
        self._generation = generation
        self._deps = deps
        self._policy = deps.policy()
        self._task_by_attempt: dict[generation_attempt.Attempt, asyncio.Task]
        self._task_by_attempt = {}
        self._second_task: asyncio.Task | None = None
        self._timer: asyncio.Task | None = None
        self._lost_engines: set[ids.EngineId] = set()
        self._attempt_count = 0
        self._may_have_run = False
        self._limits = silence_limits.SilenceLimits(
            deps.detector, deps.clock, self._policy
        )
        self._attempt_deps = generation_attempt.AttemptDependencies(
            deps.engines, deps.clock, deps.detector, self.inbox
        )

    async def ensure_attempt(self) -> None:
        """Begin an attempt if none is open."""
        if self._task_by_attempt:
            return
        if self._second_task is not None:
            await asyncio.wait([self._second_task])
            if self._task_by_attempt:
                return
        engine = await self._choose_or_raise()
        if self._policy.resumption is loss_policy.Resumption.RESTART:
            request = self._generation.begin_attempt(from_start=True)
        else:
            request = self._generation.begin_attempt()
        self._begin(engine, request)

    def apply_all(
        self, arrivals: list[generation_attempt.Arrival]
    ) -> Deliveries:
        """Return the deliveries of all arrivals, to be journalled together."""
        return tuple(
            delivery
            for arrival in arrivals
            for deliveries in self.apply(arrival)
            for delivery in deliveries
        )

    def apply(
        self, arrival: generation_attempt.Arrival
    ) -> collections.abc.Iterator[Deliveries]:
        """Yield the deliveries that an arrival releases."""
        attempt = arrival.attempt
        if self._generation.finished:
            return
        if attempt not in self._task_by_attempt:
            self._count_dropped(arrival.events, "revoked")
            return
        if arrival.failure is not None:
            self._record_loss(attempt, _loss_cause(arrival.failure))
            return
        self._clear_suspicion(attempt)
        for event in arrival.events:
            cause, deliveries = self._commit(attempt, event)
            if deliveries:
                yield deliveries
            if cause is not None:
                self._record_loss(attempt, cause)
                return

    def check_silence(self) -> None:
        """Suspect or give up on the attempts that have stalled."""
        if self._generation.finished:
            return
        for attempt in list(self._task_by_attempt):
            if attempt.blocked_on_inbox:
                continue
            silence_ms = self._limits.elapsed_ms(attempt)
            if silence_ms >= self._limits.give_up_ms(attempt):
                self._record_loss(attempt, states.LossCause.SILENT)
            elif silence_ms >= self._suspect_ms(attempt):
                self._suspect(attempt)

    async def _run_timer(self) -> None:
        """Tick the inbox when an attempt may have reached a silence limit."""
        clock = self._deps.clock
        while True:
            wait_ms = self._ms_until_check()
            if wait_ms <= 0:
                self.inbox.tick()
            # The silence limits may change while the timer sleeps.
            wait_ms = min(max(wait_ms, MIN_CHECK_MS), MAX_CHECK_MS)
            due_ms = clock.now_ms() + wait_ms
            await clock.sleep_ms(wait_ms)
            # A late timer means that this process was paused. Events that
            # arrived meanwhile are read before an engine is suspected.
            if clock.now_ms() - due_ms > clocks.LATE_TIMER_MS:
                await clock.sleep_ms(LATE_TIMER_GRACE_MS)

    async def close(self) -> None:
        """Cancel all open attempts and tasks."""
        ending_tasks = list(self._task_by_attempt.values())
        for task in (self._timer, self._second_task):
            if task is not None:
                task.cancel()
                ending_tasks.append(task)
        for attempt in list(self._task_by_attempt):
            self._end(attempt)
        await asyncio.gather(*ending_tasks, return_exceptions=True)

    async def _choose_or_raise(self) -> configuration.Engine:
        try:
            engine = await self._choose(frozenset(self._lost_engines))
            if engine is None and self._lost_engines:
                self._lost_engines.clear()
                engine = await self._choose(frozenset())
        except errors.Failure as failure:
            raise self._without_false_not_run(failure)
        if engine is None or self._attempt_count >= MAX_ATTEMPTS:
            raise self._without_false_not_run(
                errors.Failure(
                    errors.NoEngine(
                        "no engine is available", retry_after_ms=1_000
                    )
                )
            )
        return engine

    async def _choose(
        self, excluded: frozenset[ids.EngineId]
    ) -> configuration.Engine | None:
        """Choose an engine, if possible one that is not stalled."""
        stalled = self._deps.detector.stalled_engines(
            self._deps.clock.now_ms(), self._policy.give_up
        )
        engine = None
        if stalled - excluded:
            engine = await self._route(excluded | stalled)
        return engine or await self._route(excluded)

    async def _route(
        self, excluded: frozenset[ids.EngineId]
    ) -> configuration.Engine | None:
        continuation = self._attempt_count > 0 or bool(
            self._generation.delivered_ids
        )
        return await self._deps.choose_engine(
            route_request.route_of(self._generation, excluded, continuation)
        )

    def _without_false_not_run(
        self, failure: errors.Failure
    ) -> errors.Failure:
        """Turn an unproven `not_run` failure into `GenerationLost`."""
        never_ran = not (self._may_have_run or self._generation.delivered_ids)
        if never_ran or failure.error.outcome is not states.Outcome.NOT_RUN:
            return failure
        return errors.Failure(
            errors.GenerationLost(
                "the answer cannot continue, discard the part received:"
                f" {failure.error.message}"
            )
        )

    def _begin(
        self,
        engine: configuration.Engine,
        request: engine_protocol.GenerateRequest,
    ) -> None:
        self._attempt_count += 1
        attempt = generation_attempt.Attempt(
            self._attempt_deps, engine, request, self._policy.reattach
        )
        task = asyncio.create_task(attempt.run())
        self._task_by_attempt[attempt] = task
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.create_task(self._run_timer())

    def _commit(
        self,
        attempt: generation_attempt.Attempt,
        event: engine_protocol.EngineEvent,
    ) -> tuple[states.LossCause | None, Deliveries]:
        if event.attempt != attempt.request.attempt:
            self._count_dropped([event], "foreign")
            return states.LossCause.FOREIGN, ()
        commit = self._generation.commit(event)
        if commit.outcome is states.CommitOutcome.COMMITTED:
            self._end_revoked()
            return None, commit.deliveries
        self._count_dropped([event], commit.outcome.value)
        return _LOSS_CAUSE_BY_OUTCOME.get(commit.outcome), ()

    def _end_revoked(self) -> None:
        if len(self._task_by_attempt) == 1 and self._second_task is None:
            return
        for attempt in list(self._task_by_attempt):
            if self._generation.may_append(attempt.request.attempt):
                continue
            if attempt.suspected:
                self._record_loss(attempt, states.LossCause.SILENT)
            else:
                self._end(attempt)
        if len(self._task_by_attempt) == 1 and self._second_task is not None:
            self._second_task.cancel()
            self._second_task = None

    def _clear_suspicion(self, attempt: generation_attempt.Attempt) -> None:
        if attempt.suspected:
            attempt.suspected = False
            self._deps.telemetry.false_suspicions.inc({})
        if attempt.reattaches and attempt.reattaching_since_ms is None:
            self._deps.telemetry.reattached.add({}, attempt.reattaches)
            attempt.reattaches = 0

    def _suspect_ms(self, attempt: generation_attempt.Attempt) -> float:
        may_start_second = (
            self._second_task is None and len(self._task_by_attempt) == 1
        )
        if not may_start_second or attempt.suspected:
            return math.inf
        return self._limits.suspect_ms(attempt)

    def _ms_until_check(self) -> float:
        waits = [
            min(self._limits.give_up_ms(attempt), self._suspect_ms(attempt))
            - self._limits.elapsed_ms(attempt)
            for attempt in self._task_by_attempt
            if not attempt.blocked_on_inbox
        ]
        return min(waits, default=MAX_CHECK_MS)

    def _suspect(self, attempt: generation_attempt.Attempt) -> None:
        attempt.suspected = True
        self._deps.telemetry.second_attempts.inc({})
        self._second_task = asyncio.create_task(
            self._begin_second_attempt(attempt)
        )

    async def _begin_second_attempt(
        self, first: generation_attempt.Attempt
    ) -> None:
        excluded = self._lost_engines | {first.engine.engine_id}
        try:
            engine = await self._choose(frozenset(excluded))
        except errors.Failure:
            engine = None
        still_needed = first.suspected or not self._task_by_attempt
        if (
            engine is not None
            and still_needed
            and not self._generation.finished
        ):
            self._begin(engine, self._generation.begin_contender())
        self._second_task = None

    def _record_loss(
        self,
        attempt: generation_attempt.Attempt,
        cause: states.LossCause,
    ) -> None:
        self._lost_engines.add(attempt.engine.engine_id)
        if cause not in _NOT_RUN_CAUSES:
            self._may_have_run = True
        deps = self._deps
        loss = loss_reports.describe_loss(
            self._generation,
            attempt,
            cause,
            deps.detector,
            deps.clock.now_ms(),
        )
        self._end(attempt)
        self._report(loss)

    def _end(self, attempt: generation_attempt.Attempt) -> None:
        self._task_by_attempt.pop(attempt).cancel()
        self._deps.detector.unwatch(attempt.engine.engine_id, attempt.key)
        self._generation.revoke(attempt.request.attempt)

    def _report(self, loss: blackboards.AttemptLoss) -> None:
        cause = loss.cause.value
        self._deps.telemetry.attempts_lost.inc(
            {"engine": loss.engine_id, "cause": cause}
        )
        _log.warning(
            "attempt lost",
            generation=loss.generation,
            engine=loss.engine_id,
            cause=cause,
            engine_wide=loss.engine_wide,
            delivered=len(self._generation.delivered_ids),
        )
        self._deps.attempt_losses.on_next(loss)

    def _count_dropped(
        self, events: list[engine_protocol.EngineEvent], why: str
    ) -> None:
        tokens = sum(len(event.ids) for event in events)
        self._deps.telemetry.tokens_dropped.add({"why": why}, tokens)


def _loss_cause(failure: Exception) -> states.LossCause:
    is_loss = isinstance(failure, errors.Failure) and isinstance(
        failure.error, errors.AttemptLost
    )
    if not is_loss:
        raise failure
    return failure.error.cause
