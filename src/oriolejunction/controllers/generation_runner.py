"""Drive a generation through its attempts until the answer is whole."""

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
from oriolejunction.controllers import silence
from oriolejunction.controllers import suspicion as suspicions
from oriolejunction import engine_protocol
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import states
from oriolejunction import telemetry as metrics

MAX_ATTEMPTS = 12
MIN_CHECK_MS = 10.0
MAX_CHECK_MS = 250.0
LATE_TIMER_MS = 50.0
LATE_TIMER_GRACE_MS = 100.0
_log = structlog.get_logger(__name__)

EnginePort = generation_attempt.EnginePort
EventStream = generation_attempt.EventStream
Deliveries = tuple[generations.Delivery, ...]
_LOSS_BY_OUTCOME = {
    states.CommitOutcome.GAP: states.LossCause.GAP,
    states.CommitOutcome.FOREIGN: states.LossCause.FOREIGN,
    states.CommitOutcome.DIVERGED: states.LossCause.DIVERGED,
}
_PROVES_NOT_RUN = (
    states.LossCause.NOT_REACHED,
    states.LossCause.REFUSED,
    states.LossCause.LEAVING,
)


@dataclasses.dataclass(frozen=True)
class RunnerParts:
    """What a run needs from its instance."""

    engines: EnginePort
    choose_engine: route_request.ChooseEngine
    telemetry: metrics.Telemetry
    clock: clocks.Clock
    attempt_losses: subject.Subject
    suspicion: suspicions.Suspicion
    policy: collections.abc.Callable[[], loss_policy.LossPolicy]


async def run(
    generation: generations.Generation, parts: RunnerParts
) -> collections.abc.AsyncIterator[Deliveries]:
    """Yield the deliveries of an answer, whatever engines are lost.

    Raise `Failure` with `NoEngine` where nothing was run, or with
    `GenerationLost` where the answer cannot be finished whole.
    """
    race = _Race(generation, parts)
    try:
        while not generation.complete_at_limit():
            await race.ensure_attempt()
            arrivals = await race.inbox.take()
            deliveries = race.apply_all(arrivals)
            if deliveries:
                yield deliveries
            if not arrivals:
                race.check_silence()
    finally:
        await race.close()


class _Race:
    """The attempts of one generation and what is known of lost ones."""

    def __init__(
        self, generation: generations.Generation, parts: RunnerParts
    ) -> None:
        self.inbox = generation_attempt.Inbox()
        self._generation = generation
        self._parts = parts
        self._policy = parts.policy()
        self._task_by_attempt: dict[generation_attempt.Attempt, asyncio.Task]
        self._task_by_attempt = {}
        self._second: asyncio.Task | None = None
        self._timer: asyncio.Task | None = None
        self._lost: set[ids.EngineId] = set()
        self._begun = 0
        self._may_have_run = False
        self._silence = silence.Silence(
            parts.suspicion, parts.clock, self._policy
        )
        self._attempt_parts = generation_attempt.AttemptParts(
            parts.engines, parts.clock, parts.suspicion, self.inbox
        )

    async def ensure_attempt(self) -> None:
        """Begin an attempt where none is left."""
        if self._task_by_attempt:
            return
        if self._second is not None:
            await asyncio.wait([self._second])
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
        """Return what arrivals made deliverable, journalled in one step."""
        return tuple(
            delivery
            for arrival in arrivals
            for deliveries in self.apply(arrival)
            for delivery in deliveries
        )

    def apply(
        self, arrival: generation_attempt.Arrival
    ) -> collections.abc.Iterator[Deliveries]:
        """Yield what an arrival made deliverable."""
        attempt = arrival.attempt
        if self._generation.finished:
            return
        if attempt not in self._task_by_attempt:
            self._count_dropped(arrival.events, "revoked")
            return
        if arrival.failure is not None:
            self._lose(attempt, _cause_of(arrival.failure))
            return
        self._settle_suspicion(attempt)
        for event in arrival.events:
            cause, deliveries = self._commit(attempt, event)
            if deliveries:
                yield deliveries
            if cause is not None:
                self._lose(attempt, cause)
                return

    def check_silence(self) -> None:
        """Give up or suspect the attempts that were silent too long."""
        if self._generation.finished:
            return
        for attempt in list(self._task_by_attempt):
            if attempt.waits_for_reader:
                continue
            lasted_ms = self._silence.lasted_ms(attempt)
            if lasted_ms >= self._silence.give_up_ms(attempt):
                self._lose(attempt, states.LossCause.SILENT)
            elif lasted_ms >= self._suspect_ms(attempt):
                self._suspect(attempt)

    async def _run_timer(self) -> None:
        """Tick the inbox when a silence may have grown too long."""
        clock = self._parts.clock
        while True:
            wait_ms = self._until_check_ms()
            if wait_ms <= 0:
                self.inbox.tick()
            # The limits change while the timer sleeps.
            wait_ms = min(max(wait_ms, MIN_CHECK_MS), MAX_CHECK_MS)
            due_ms = clock.now_ms() + wait_ms
            await clock.sleep_ms(wait_ms)
            # A timer that is late tells of a pause of this process; what
            # arrived meanwhile is read before any engine is suspected.
            if clock.now_ms() - due_ms > LATE_TIMER_MS:
                await clock.sleep_ms(LATE_TIMER_GRACE_MS)

    async def close(self) -> None:
        """End what is still running."""
        ending = list(self._task_by_attempt.values())
        for task in (self._timer, self._second):
            if task is not None:
                task.cancel()
                ending.append(task)
        for attempt in list(self._task_by_attempt):
            self._end(attempt)
        await asyncio.gather(*ending, return_exceptions=True)

    async def _choose_or_raise(self) -> configuration.Engine:
        try:
            engine = await self._choose(frozenset(self._lost))
            if engine is None and self._lost:
                self._lost.clear()
                engine = await self._choose(frozenset())
        except errors.Failure as failure:
            raise self._honest(failure)
        if engine is None or self._begun >= MAX_ATTEMPTS:
            raise self._honest(
                errors.Failure(
                    errors.NoEngine("no engine is free", retry_after_ms=1_000)
                )
            )
        return engine

    async def _choose(
        self, excluded: frozenset[ids.EngineId]
    ) -> configuration.Engine | None:
        """Choose, if possible not among the engines that seem silent."""
        silent = self._parts.suspicion.silent_engines(
            self._parts.clock.now_ms(), self._policy.give_up
        )
        engine = None
        if silent - excluded:
            engine = await self._routed(excluded | silent)
        return engine or await self._routed(excluded)

    async def _routed(
        self, excluded: frozenset[ids.EngineId]
    ) -> configuration.Engine | None:
        continuation = self._begun > 0 or bool(self._generation.delivered_ids)
        return await self._parts.choose_engine(
            route_request.route_of(self._generation, excluded, continuation)
        )

    def _honest(self, failure: errors.Failure) -> errors.Failure:
        """Return a failure that says `not_run` only where it is proved."""
        untouched = not (self._may_have_run or self._generation.delivered_ids)
        if untouched or failure.error.outcome is not states.Outcome.NOT_RUN:
            return failure
        return errors.Failure(
            errors.GenerationLost(
                "the answer cannot go on, discard the part received:"
                f" {failure.error.message}"
            )
        )

    def _begin(
        self,
        engine: configuration.Engine,
        request: engine_protocol.GenerateRequest,
    ) -> None:
        self._begun += 1
        attempt = generation_attempt.Attempt(
            self._attempt_parts, engine, request, self._policy.reattach
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
            self._revoke_losers()
            return None, commit.deliveries
        self._count_dropped([event], commit.outcome.value)
        return _LOSS_BY_OUTCOME.get(commit.outcome), ()

    def _revoke_losers(self) -> None:
        if len(self._task_by_attempt) == 1 and self._second is None:
            return
        for attempt in list(self._task_by_attempt):
            if self._generation.may_append(attempt.request.attempt):
                continue
            if attempt.suspected:
                self._lose(attempt, states.LossCause.SILENT)
            else:
                self._end(attempt)
        if len(self._task_by_attempt) == 1 and self._second is not None:
            self._second.cancel()
            self._second = None

    def _settle_suspicion(self, attempt: generation_attempt.Attempt) -> None:
        if attempt.suspected:
            attempt.suspected = False
            self._parts.telemetry.false_suspicions.inc({})
        if attempt.reattaches and attempt.reattaching_since_ms is None:
            self._parts.telemetry.reattached.add({}, attempt.reattaches)
            attempt.reattaches = 0

    def _suspect_ms(self, attempt: generation_attempt.Attempt) -> float:
        ready = self._second is None and len(self._task_by_attempt) == 1
        if not ready or attempt.suspected:
            return math.inf
        return self._silence.suspect_ms(attempt)

    def _until_check_ms(self) -> float:
        waits = [
            min(self._silence.give_up_ms(attempt), self._suspect_ms(attempt))
            - self._silence.lasted_ms(attempt)
            for attempt in self._task_by_attempt
            if not attempt.waits_for_reader
        ]
        return min(waits, default=MAX_CHECK_MS)

    def _suspect(self, attempt: generation_attempt.Attempt) -> None:
        attempt.suspected = True
        self._parts.telemetry.second_attempts.inc({})
        self._second = asyncio.create_task(self._begin_second(attempt))

    async def _begin_second(self, first: generation_attempt.Attempt) -> None:
        excluded = self._lost | {first.engine.engine_id}
        try:
            engine = await self._choose(frozenset(excluded))
        except errors.Failure:
            engine = None
        wanted = first.suspected or not self._task_by_attempt
        if engine is not None and wanted and not self._generation.finished:
            self._begin(engine, self._generation.begin_contender())
        self._second = None

    def _lose(
        self,
        attempt: generation_attempt.Attempt,
        cause: states.LossCause,
    ) -> None:
        self._lost.add(attempt.engine.engine_id)
        if cause not in _PROVES_NOT_RUN:
            self._may_have_run = True
        parts = self._parts
        loss = loss_reports.loss_of(
            self._generation,
            attempt,
            cause,
            parts.suspicion,
            parts.clock.now_ms(),
        )
        self._end(attempt)
        self._report(loss)

    def _end(self, attempt: generation_attempt.Attempt) -> None:
        self._task_by_attempt.pop(attempt).cancel()
        self._parts.suspicion.close(attempt.engine.engine_id, attempt.key)
        self._generation.abandon(attempt.request.attempt)

    def _report(self, loss: blackboards.AttemptLoss) -> None:
        cause = loss.cause.value
        self._parts.telemetry.attempts_lost.inc(
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
        self._parts.attempt_losses.on_next(loss)

    def _count_dropped(
        self, events: list[engine_protocol.EngineEvent], why: str
    ) -> None:
        tokens = sum(len(event.ids) for event in events)
        self._parts.telemetry.tokens_dropped.add({"why": why}, tokens)


def _cause_of(failure: Exception) -> states.LossCause:
    lost = isinstance(failure, errors.Failure) and isinstance(
        failure.error, errors.AttemptLost
    )
    if not lost:
        raise failure
    return failure.error.cause
