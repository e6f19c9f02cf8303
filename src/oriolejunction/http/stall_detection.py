"""Reads an engine's answer, and replaces an engine that has stalled.

A silent engine is probed. If it is unreachable or silent for too long, another
engine is searched for while the connection stays open: an engine that is only
silent for a while completes an answer that no other engine can take.

A closed connection ends an engine's work only if its process runs. So one that
accepts connections is replaced once it has answered something, or was silent
for longer than a sound engine stands still.
"""

import asyncio
import collections.abc
import math
import typing

import msgspec

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers import run_progress
from oriolejunction.controllers import stalls
from oriolejunction.http import admitted_request
from oriolejunction.http import backend_checks
from oriolejunction.http import gateway_common
from oriolejunction.http import repeated_task
from oriolejunction.http import shared_timer
from oriolejunction.http import stream_attempt

LimitsSource = collections.abc.Callable[[], stalls.StallLimits]
Piece = typing.TypeVar("Piece")
PieceReader = collections.abc.Callable[[], collections.abc.Awaitable[Piece]]


# The last events of a finished run may still be on their way for as long as
# a lost packet takes to be sent again.
GONE_GRACE_MS = 3_000.0


class EngineStalled(Exception):
    """An engine sent nothing for too long, or failed a probe.

    `has_events` is set if the engine reports events that did not arrive,
    `gone` if it reports that it does not run the request, `may_stand_still`
    if it accepts connections and has not answered a report.
    """

    def __init__(
        self,
        why: str,
        has_events: bool = False,
        gone: bool = False,
        may_stand_still: bool = False,
    ) -> None:
        super().__init__(why)
        self.has_events = has_events
        self.gone = gone
        self.may_stand_still = may_stand_still


class EngineReplaced(Exception):
    """Another engine continues the answer of a stalled one, by `plan`."""

    def __init__(self, why: str, plan: stream_attempt.StreamPlan) -> None:
        super().__init__(why)
        self.plan = plan


class RequestGone(Exception):
    """A stalled engine does not run the request any more."""


class DeadlineReached(Exception):
    """The caller's deadline or the route's timeout was reached."""


class StallHandlers(msgspec.Struct, frozen=True):
    """What happens when an engine stalls.

    `on_stalled` excludes the engine from further placements,
    `on_continued` takes that back. `search` returns the plan of an attempt
    on another engine, None if there is none; `release` undoes a plan.
    """

    on_stalled: collections.abc.Callable[[EngineStalled], None]
    on_continued: collections.abc.Callable[[], None]
    search: collections.abc.Callable[
        [], collections.abc.Awaitable[stream_attempt.StreamPlan | None]
    ]
    release: collections.abc.Callable[[stream_attempt.StreamPlan], None]


class StallDetectingReader:
    """Reads one attempt's answer and detects a stalled engine."""

    def __init__(
        self,
        deps: gateway_common.GatewayDependencies,
        admitted: admitted_request.AdmittedRequest,
        attempts: gateway_common.AttemptTracker,
        backend: backends.Backend,
        first_event: int,
        handlers: StallHandlers,
    ) -> None:
        self._deps = deps
        self._admitted = admitted
        self._attempts = attempts
        self._backend = backend
        self._first_event = first_event
        self._handlers = handlers
        self._timer = shared_timer.SharedTimer()
        # Whether the engine would not notice now that its connection is
        # closed, since its process has shown no sign of life.
        self._may_stand_still = False

    async def read(
        self, read_piece: PieceReader[Piece], limits: LimitsSource
    ) -> Piece:
        """Return the next piece, probing the engine while it is silent.

        Raise `EngineReplaced` once another engine is found for the answer of
        a stalled one, `RequestGone` if the engine does not run the request,
        and `DeadlineReached` at the deadline.
        """
        since_ms = self._deps.clock.now_ms()
        try:
            return await self._read_in_time(read_piece, limits, since_ms)
        except EngineStalled as stall:
            return await self._read_or_replace(
                read_piece, limits, stall, since_ms
            )

    async def _read_or_replace(
        self,
        read_piece: PieceReader[Piece],
        limits: LimitsSource,
        stall: EngineStalled,
        since_ms: float,
    ) -> Piece:
        """Return the next piece if it comes before another engine is found."""
        clock = self._deps.clock
        self._log_stall("engine stalled", since_ms, why=str(stall))
        self._handlers.on_stalled(stall)
        self._may_stand_still = stall.may_stand_still
        piece_task = asyncio.ensure_future(read_piece())
        search = repeated_task.RepeatedTask(
            clock, self._handlers.search, stalls.SEARCH_INTERVAL_MS
        )
        check = repeated_task.RepeatedTask(
            clock,
            lambda: self._gone_grace_ms(clock.now_ms() - since_ms),
            stalls.REPORT_INTERVAL_MS,
            first_ms=(
                0.0 if stall.may_stand_still else stalls.REPORT_INTERVAL_MS
            ),
        )
        grace_ms = GONE_GRACE_MS if stall.gone else math.inf
        gone_since_ms = clock.now_ms()
        try:
            while not piece_task.done():
                if self._attempts.remaining_ms <= 0:
                    raise DeadlineReached
                hold_ms = since_ms + limits().unresponsive_ms - clock.now_ms()
                if self._may_stand_still and hold_ms > 0:
                    await self._wait_for_any(hold_ms, piece_task, check)
                else:
                    await self._wait_for_any(
                        GONE_GRACE_MS, piece_task, search, check
                    )
                plan = search.take()
                if plan is not None:
                    if not piece_task.done():
                        raise EngineReplaced(str(stall), plan)
                    self._handlers.release(plan)
                checked_ms = check.take()
                if checked_ms is not None:
                    if math.isinf(grace_ms):
                        gone_since_ms = clock.now_ms()
                    grace_ms = checked_ms
                gone_ms = clock.now_ms() - gone_since_ms
                if gone_ms >= grace_ms and not piece_task.done():
                    raise RequestGone("the engine does not run the request")
                silent_ms = clock.now_ms() - since_ms
                if (
                    self._attempts.may_forward()
                    and silent_ms >= limits().give_up_ms
                    and not piece_task.done()
                ):
                    raise RequestGone("this instance reaches no server")
            piece = piece_task.result()
        finally:
            piece_task.cancel()
            await check.cancel()
            if (plan := await search.cancel()) is not None:
                self._handlers.release(plan)
        self._log_stall("stalled engine continued", since_ms)
        self._handlers.on_continued()
        return piece

    async def _wait_for_any(
        self,
        max_ms: float,
        piece_task: asyncio.Future,
        *repeated: repeated_task.RepeatedTask,
    ) -> None:
        """Wait for the piece, a repeated task, `max_ms` or the deadline."""
        tasks = {piece_task}
        wait_ms = min(self._attempts.remaining_ms, max_ms)
        for each in repeated:
            wait_ms = min(wait_ms, each.start_if_due())
            if each.task is not None:
                tasks.add(each.task)
        await asyncio.wait(
            tasks,
            timeout=max(0.0, wait_ms) / 1e3,
            return_when=asyncio.FIRST_COMPLETED,
        )

    async def _gone_grace_ms(self, silent_ms: float) -> float:
        """Return how much longer an answer may come.

        It is infinite unless the engine reports that it does not run the
        request, and 0 if it is neither listed nor reachable.
        """
        try:
            await self._check_report(silent_ms)
        except EngineStalled as stall:
            return GONE_GRACE_MS if stall.gone else math.inf
        if self._may_stand_still:
            self._may_stand_still = await backend_checks.is_reachable(
                self._deps, self._backend
            )
        listed = self._deps.blackboard.backends.read().by_id
        if self._backend.backend_id in listed:
            return math.inf
        reachable = await backend_checks.is_reachable(
            self._deps, self._backend
        )
        return math.inf if reachable else 0.0

    def _log_stall(
        self, decision: str, since_ms: float, **inputs: object
    ) -> None:
        gateway_common.log_decision(
            self._admitted,
            decision,
            backend=self._backend.backend_id,
            silent_ms=round(self._deps.clock.now_ms() - since_ms),
            attempts_left=self._attempts.may_send(),
            **inputs,
        )

    async def _read_in_time(
        self,
        read_piece: PieceReader[Piece],
        limits: LimitsSource,
        since_ms: float,
    ) -> Piece:
        """Return the next piece; raise `EngineStalled`.

        The engine has stalled if a probe fails, it reports that the answer
        will not come, or the silence reaches its limit while it does not
        report that it works on the request.
        """
        clock = self._deps.clock
        now_ms = since_ms
        current = limits()
        probe_at_ms = current.probe_ms
        next_report_ms = 0.0
        is_working = False
        while True:
            silent_ms = now_ms - since_ms
            report_at_ms = max(next_report_ms, current.report_ms)
            give_up_ms = report_at_ms if is_working else current.give_up_ms
            wait_ms = min(probe_at_ms, report_at_ms, give_up_ms) - silent_ms
            wait_ms = max(0.0, min(wait_ms, self._attempts.remaining_ms))
            due_ms = now_ms + wait_ms
            try:
                return await self._timer.bound(read_piece, wait_ms)
            except TimeoutError:
                now_ms = clock.now_ms()
                late_ms = now_ms - due_ms
            current = limits()
            if self._attempts.remaining_ms <= 0:
                raise DeadlineReached
            if late_ms > clocks.LATE_TIMER_MS:
                # What arrived while this process was paused is read first.
                since_ms += late_ms
                continue
            silent_ms = now_ms - since_ms
            if silent_ms >= max(next_report_ms, current.report_ms):
                is_working = await self._check_report(silent_ms)
                next_report_ms = silent_ms + stalls.REPORT_INTERVAL_MS
            if silent_ms >= current.give_up_ms and not is_working:
                raise EngineStalled(
                    f"silent for {silent_ms:.0f} ms", may_stand_still=True
                )
            if not await backend_checks.is_reachable(
                self._deps, self._backend
            ):
                raise EngineStalled(
                    f"silent for {silent_ms:.0f} ms and not reached"
                )
            now_ms = clock.now_ms()
            current = limits()
            probe_at_ms = now_ms - since_ms + current.reprobe_ms

    async def _check_report(self, silent_ms: float) -> bool:
        """Return whether the engine reports that it works on the request.

        Raise `EngineStalled` if it reports events that did not arrive, or
        that it does not run the request.
        """
        now_ms = self._deps.clock.now_ms()
        known_ms = now_ms - silent_ms + stalls.MIN_REPORT_SILENCE_MS
        reading = await self._deps.reports.read(
            self._backend, not_before_ms=min(now_ms, known_ms)
        )
        progress = run_progress.progress_of(
            reading.report,
            self._admitted.request.request_id,
            self._first_event,
        )
        gateway_common.log_decision(
            self._admitted,
            "engine reported",
            backend=self._backend.backend_id,
            progress=progress.value,
            silent_ms=round(silent_ms),
            asked_ms_ago=round(self._deps.clock.now_ms() - reading.asked_ms),
            answered=reading.has_answered,
        )
        if reading.has_answered:
            self._may_stand_still = False
        if progress is run_progress.RunProgress.ANSWER_LOST:
            raise EngineStalled("the engine's events were lost", True)
        if progress is run_progress.RunProgress.GONE:
            raise EngineStalled("the engine does not run it", gone=True)
        return progress is run_progress.RunProgress.WORKING


def first_event_limits(
    deps: gateway_common.GatewayDependencies,
    admitted: admitted_request.AdmittedRequest,
    plan: stream_attempt.StreamPlan,
    has_events: bool,
) -> LimitsSource:
    """Return the limits before the first event, computed for each probe.

    Other instances may have sent prompts to the same engine at the same
    moment; their reports arrive a little later. With `has_events`, the
    caller has events already and the latency goal no longer applies.
    """
    goal_at_ms = 0.0
    if not has_events:
        goal_at_ms = (
            admitted.request.received_ms + admitted.route.latency_goal_ms
        )
    sent_ms = deps.clock.now_ms()
    backend_id = plan.backend.backend_id
    max_tokens_ahead = plan.candidate.prefill_tokens

    def limits() -> stalls.StallLimits:
        nonlocal max_tokens_ahead
        tokens_ahead = deps.view.others_prefill_tokens(backend_id)
        max_tokens_ahead = max(max_tokens_ahead, tokens_ahead)
        prompt_k = admitted.request.prompt_tokens / 1_000
        return stalls.limits_before_first(
            (max_tokens_ahead + plan.tokens_to_prefill)
            / 1_000
            * deps.speeds.prefill_ms_per_k(backend_id),
            goal_at_ms - sent_ms,
            prompt_k * deps.speeds.typical_prefill_ms_per_k(),
        )

    return limits
