"""Reads an engine's answer, and detects by probes that it has stalled.

A silent engine is probed; the reader gives up on one that is unreachable or
silent for too long.
"""

import asyncio
import collections.abc
import typing

from oriolejunction import backends
from oriolejunction.controllers import run_progress
from oriolejunction.controllers import stalls
from oriolejunction.http import backend_checks
from oriolejunction.http import gateway_common
from oriolejunction.http import report_probe
from oriolejunction.http import stream_plan

LimitsSource = collections.abc.Callable[[], stalls.StallLimits]
Piece = typing.TypeVar("Piece")


class EngineStalled(Exception):
    """An engine sent nothing for too long, or failed a probe.

    `has_events` is set if the engine reports events that did not arrive.
    """

    def __init__(self, why: str, has_events: bool = False) -> None:
        super().__init__(why)
        self.has_events = has_events


class DeadlineReached(Exception):
    """The caller's deadline or the route's timeout was reached."""


class StallDetectingReader:
    """Reads one attempt's answer and detects a stalled engine."""

    def __init__(
        self,
        deps: gateway_common.GatewayDependencies,
        admitted: gateway_common.AdmittedRequest,
        attempts: gateway_common.AttemptTracker,
        backend: backends.Backend,
        first_event: int,
    ) -> None:
        self._deps = deps
        self._admitted = admitted
        self._attempts = attempts
        self._backend = backend
        self._first_event = first_event

    async def read(
        self,
        read_piece: collections.abc.Callable[
            [], collections.abc.Awaitable[Piece]
        ],
        limits: LimitsSource,
    ) -> Piece:
        """Return the next piece, probing the engine while it is silent.

        Raise `EngineStalled` if a probe fails, the engine reports that the
        answer will not come, or the silence reaches its limit while the
        engine does not report that it works on the request. Raise
        `DeadlineReached` at the deadline.
        """
        clock = self._deps.clock
        since_ms = clock.now_ms()
        probe_at_ms = limits().probe_ms
        next_report_ms = 0.0
        is_working = False
        while True:
            silent_ms = clock.now_ms() - since_ms
            current = limits()
            report_at_ms = max(next_report_ms, current.report_ms)
            give_up_ms = report_at_ms if is_working else current.give_up_ms
            wait_ms = min(probe_at_ms, report_at_ms, give_up_ms) - silent_ms
            wait_ms = max(0.0, min(wait_ms, self._attempts.remaining_ms))
            try:
                async with asyncio.timeout(wait_ms / 1e3):
                    return await read_piece()
            except TimeoutError:
                silent_ms = clock.now_ms() - since_ms
            if self._attempts.remaining_ms <= 0:
                raise DeadlineReached
            current = limits()
            if silent_ms >= max(next_report_ms, current.report_ms):
                is_working = await self._check_report(silent_ms)
                next_report_ms = silent_ms + stalls.REPORT_INTERVAL_MS
            if silent_ms >= current.give_up_ms and not is_working:
                raise EngineStalled(f"silent for {silent_ms:.0f} ms")
            if not await backend_checks.is_reachable(
                self._deps, self._backend
            ):
                raise EngineStalled(
                    f"silent for {silent_ms:.0f} ms and not reached"
                )
            probe_at_ms = clock.now_ms() - since_ms + stalls.REPROBE_MS

    async def _check_report(self, silent_ms: float) -> bool:
        """Return whether the engine reports that it works on the request.

        Raise `EngineStalled` if it reports that the answer will not come.
        """
        report = await report_probe.fetch_report(
            self._deps.pool, self._deps.wire_format, self._backend
        )
        progress = run_progress.progress_of(
            report, self._admitted.request.request_id, self._first_event
        )
        gateway_common.log_decision(
            self._admitted,
            "engine reported",
            backend=self._backend.backend_id,
            progress=progress.value,
            silent_ms=round(silent_ms),
        )
        if progress is run_progress.RunProgress.ANSWER_LOST:
            raise EngineStalled("the engine's events were lost", True)
        if progress is run_progress.RunProgress.GONE:
            raise EngineStalled("the engine does not run the request")
        return progress is run_progress.RunProgress.WORKING


def first_event_limits(
    deps: gateway_common.GatewayDependencies,
    admitted: gateway_common.AdmittedRequest,
    plan: stream_plan.StreamPlan,
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
