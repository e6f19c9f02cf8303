"""Run a generation in one or more attempts until it is complete."""

import asyncio
import collections.abc
import dataclasses
import math

from reactivex import subject

from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers import engine_search
from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import generation_attempt
from oriolejunction.controllers import loss_policy
from oriolejunction.controllers import loss_reports
from oriolejunction.controllers import route_request
from oriolejunction.controllers import silence_detector as detectors
from oriolejunction.controllers import silence_limits
from oriolejunction.controllers import stalls
from oriolejunction import engine_protocol
from oriolejunction import states
from oriolejunction import telemetry as metrics

MIN_CHECK_MS = 10.0
MAX_CHECK_MS = 250.0
LATE_TIMER_GRACE_MS = 100.0

EnginePort = generation_attempt.EnginePort
EventStream = generation_attempt.EventStream
Deliveries = tuple[generations.Delivery, ...]
_LOSS_CAUSE_BY_OUTCOME = {
    states.CommitOutcome.GAP: states.LossCause.GAP,
    states.CommitOutcome.FOREIGN: states.LossCause.FOREIGN,
    states.CommitOutcome.DIVERGED: states.LossCause.DIVERGED,
}


@dataclasses.dataclass(frozen=True)
class RunnerDependencies:
    """Dependencies of the runs of one instance.

    `attempt_stalls` gets the attempts whose engine is silent for too long.
    They stay open until another engine is found.
    """

    engines: EnginePort
    choose_engine: route_request.ChooseEngine
    telemetry: metrics.Telemetry
    clock: clocks.Clock
    attempt_losses: subject.Subject
    attempt_stalls: subject.Subject
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
    """The open attempts of one generation."""

    def __init__(
        self, generation: generations.Generation, deps: RunnerDependencies
    ) -> None:
        self.inbox = generation_attempt.Inbox()
        self._generation = generation
        self._deps = deps
        self._policy = deps.policy()
        self._task_by_attempt: dict[generation_attempt.Attempt, asyncio.Task]
        self._task_by_attempt = {}
        self._search_task: asyncio.Task | None = None
        self._next_search_ms = 0.0
        self._timer: asyncio.Task | None = None
        self._search = engine_search.EngineSearch(
            generation,
            deps.choose_engine,
            deps.detector,
            deps.clock,
            self._policy,
        )
        self._reports = loss_reports.LossReporter(
            generation,
            deps.telemetry,
            deps.detector,
            deps.clock,
            deps.attempt_losses,
            deps.attempt_stalls,
        )
        self._limits = silence_limits.SilenceLimits(
            deps.detector, deps.clock, self._policy
        )
        self._attempt_deps = generation_attempt.AttemptDependencies(
            deps.engines, deps.clock, deps.detector, self.inbox
        )

    @property
    def _open(self) -> list[generation_attempt.Attempt]:
        return list(self._task_by_attempt)

    async def ensure_attempt(self) -> None:
        """Begin an attempt if none is open."""
        if self._task_by_attempt:
            return
        if self._search_task is not None:
            await asyncio.wait([self._search_task])
            if self._task_by_attempt:
                return
        self._begin_alone(await self._search.choose_or_raise())

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
            self._reports.count_dropped(arrival.events, "revoked")
            return
        if arrival.failure is not None:
            self._record_loss(
                attempt, generation_attempt.loss_cause(arrival.failure)
            )
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
        """Replace the attempts that have stalled, or give up on them."""
        if self._generation.finished:
            return
        for attempt in self._open:
            if attempt.blocked_on_inbox:
                continue
            silence_ms = self._limits.elapsed_ms(attempt)
            if (
                attempt.stalled_since_ms is not None
                or silence_ms >= self._limits.give_up_ms(attempt)
            ):
                self._check_give_up(attempt)
            elif silence_ms >= self._suspect_ms(attempt):
                self._suspect(attempt)
        if (
            self._may_replace_stalled()
            and self._deps.clock.now_ms() >= self._next_search_ms
        ):
            self._start_search()

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
        for task in (self._timer, self._search_task):
            if task is not None:
                task.cancel()
                ending_tasks.append(task)
        for attempt in self._open:
            self._end(attempt)
        await asyncio.gather(*ending_tasks, return_exceptions=True)

    def _begin_alone(self, engine: configuration.Engine) -> None:
        from_start = self._policy.resumption is loss_policy.Resumption.RESTART
        self._begin(engine, self._generation.begin_attempt(from_start))

    def _begin(
        self,
        engine: configuration.Engine,
        request: engine_protocol.GenerateRequest,
    ) -> None:
        self._search.record_attempt()
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
            self._reports.count_dropped([event], "foreign")
            return states.LossCause.FOREIGN, ()
        commit = self._generation.commit(event)
        if commit.outcome is states.CommitOutcome.COMMITTED:
            self._end_revoked()
            return None, commit.deliveries
        self._reports.count_dropped([event], commit.outcome.value)
        return _LOSS_CAUSE_BY_OUTCOME.get(commit.outcome), ()

    def _end_revoked(self) -> None:
        if len(self._task_by_attempt) == 1 and self._search_task is None:
            return
        for attempt in self._open:
            if self._generation.may_append(attempt.request.attempt):
                continue
            if attempt.suspected_since_ms is not None:
                self._record_loss(attempt, states.LossCause.SILENT)
            else:
                self._end(attempt)
        if len(self._task_by_attempt) == 1 and self._search_task is not None:
            self._search_task.cancel()
            self._search_task = None

    def _clear_suspicion(self, attempt: generation_attempt.Attempt) -> None:
        if attempt.stalled_since_ms is not None:
            self._reports.report_continued(attempt)
            attempt.stalled_since_ms = None
        if attempt.suspected_since_ms is not None:
            attempt.suspected_since_ms = None
            self._deps.telemetry.false_suspicions.inc({})
        if attempt.reattaches and attempt.reattaching_since_ms is None:
            self._deps.telemetry.reattached.add({}, attempt.reattaches)
            attempt.reattaches = 0

    def _suspect_ms(self, attempt: generation_attempt.Attempt) -> float:
        may_start_second = (
            self._search_task is None
            and len(self._task_by_attempt) == 1
            and self._search.may_begin
        )
        if not may_start_second or attempt.suspected_since_ms is not None:
            return math.inf
        return self._limits.suspect_ms(attempt)

    def _ms_until_check(self) -> float:
        waits = [
            self._ms_until_limit(attempt)
            for attempt in self._task_by_attempt
            if not attempt.blocked_on_inbox
        ]
        if self._may_replace_stalled():
            waits.append(self._next_search_ms - self._deps.clock.now_ms())
        return min(waits, default=MAX_CHECK_MS)

    def _ms_until_limit(self, attempt: generation_attempt.Attempt) -> float:
        if (
            attempt.stalled_since_ms is not None
            and attempt.reattaching_since_ms is None
        ):
            stalled_ms = self._deps.clock.now_ms() - attempt.stalled_since_ms
            return self._policy.search_ceiling_ms - stalled_ms
        limit_ms = min(
            self._limits.give_up_ms(attempt), self._suspect_ms(attempt)
        )
        return limit_ms - self._limits.elapsed_ms(attempt)

    def _suspect(self, attempt: generation_attempt.Attempt) -> None:
        attempt.suspected_since_ms = self._deps.clock.now_ms()
        self._start_search()

    def _check_give_up(self, attempt: generation_attempt.Attempt) -> None:
        """Search for a replacement of an attempt that reached its limit.

        The attempt stays open meanwhile, up to the ceiling of the policy,
        since its engine may continue. One whose connection is lost is given
        up on at once.
        """
        now_ms = self._deps.clock.now_ms()
        since_ms = attempt.stalled_since_ms
        if attempt.reattaching_since_ms is not None:
            if self._ms_until_limit(attempt) <= 0:
                self._record_loss(attempt, states.LossCause.SILENT)
        elif since_ms is None:
            attempt.stalled_since_ms = now_ms
            if attempt.suspected_since_ms is None:
                attempt.suspected_since_ms = now_ms
            self._reports.report_stall(attempt)
        elif now_ms - since_ms >= self._policy.search_ceiling_ms:
            self._record_loss(attempt, states.LossCause.SILENT)

    def _may_replace_stalled(self) -> bool:
        return (
            self._search_task is None
            and self._search.may_begin
            and bool(self._task_by_attempt)
            and all(a.stalled_since_ms is not None for a in self._open)
        )

    def _start_search(self) -> None:
        self._next_search_ms = (
            self._deps.clock.now_ms() + stalls.SEARCH_INTERVAL_MS
        )
        self._search_task = asyncio.create_task(self._find_replacement())

    async def _find_replacement(self) -> None:
        """Search once; begin an attempt if the open ones are still silent."""
        busy = frozenset(a.engine.engine_id for a in self._open)
        engine = await self._search.choose_another(busy)
        still_needed = all(map(self._is_still_silent, self._open))
        if (
            engine is not None
            and still_needed
            and not self._generation.finished
        ):
            self._replace(engine)
        self._search_task = None

    def _is_still_silent(self, attempt: generation_attempt.Attempt) -> bool:
        """Return whether a suspected attempt had no event since then.

        An event may have arrived that is still in the inbox.
        """
        since_ms = attempt.suspected_since_ms
        if since_ms is None:
            return False
        silent_since_ms = self._deps.clock.now_ms() - self._limits.elapsed_ms(
            attempt
        )
        return silent_since_ms <= since_ms

    def _replace(self, engine: configuration.Engine) -> None:
        """Begin an attempt, in parallel with one open if the policy says so.

        An attempt beyond these ends, the one that is silent the longest
        first.
        """
        max_open = 0 if self._policy.suspect is None else 1
        by_silence = sorted(self._open, key=self._limits.elapsed_ms)
        for attempt in by_silence[max_open:]:
            self._record_loss(attempt, states.LossCause.SILENT)
        if self._task_by_attempt:
            self._deps.telemetry.second_attempts.inc({})
            self._begin(engine, self._generation.begin_contender())
        else:
            self._begin_alone(engine)

    def _record_loss(
        self,
        attempt: generation_attempt.Attempt,
        cause: states.LossCause,
    ) -> None:
        self._search.record_loss(attempt.engine.engine_id, cause)
        self._reports.report_loss(attempt, cause)
        self._end(attempt)

    def _end(self, attempt: generation_attempt.Attempt) -> None:
        self._task_by_attempt.pop(attempt).cancel()
        self._deps.detector.unwatch(attempt.engine.engine_id, attempt.key)
        self._generation.revoke(attempt.request.attempt)
