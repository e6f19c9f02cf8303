"""Reads an engine's answer, and tests and leaves an engine that is silent."""

import asyncio
import collections.abc
import typing

from oriolejunction import backends
from oriolejunction.controllers import stalls
from oriolejunction.http import gateway_common
from oriolejunction.http import stream_plan

LimitsSource = collections.abc.Callable[[], stalls.StallLimits]
Piece = typing.TypeVar("Piece")


class EngineStalled(Exception):
    """An engine brought nothing for too long."""


class DeadlineReached(Exception):
    """The caller's deadline or the route's timeout was reached."""


class StallDetectingReader:
    """Waits for pieces of one attempt's answer."""

    def __init__(
        self,
        parts: gateway_common.GatewayDependencies,
        attempts: gateway_common.AttemptTracker,
        backend: backends.Backend,
    ) -> None:
        self._deps = parts
        self._attempts = attempts
        self._backend = backend

    async def read(
        self,
        read_piece: collections.abc.Callable[
            [], collections.abc.Awaitable[Piece]
        ],
        limits: LimitsSource,
    ) -> Piece:
        """Return the next piece, testing an engine that is silent.

        Raise `EngineSilent` where it fails the test or is left, and
        `DeadlineReached`.
        """
        clock = self._deps.clock
        since_ms = clock.now_ms()
        test_ms = limits().probe_ms
        while True:
            silent_ms = clock.now_ms() - since_ms
            wait_ms = min(test_ms, limits().give_up_ms) - silent_ms
            wait_ms = max(0.0, min(wait_ms, self._attempts.remaining_ms))
            try:
                async with asyncio.timeout(wait_ms / 1e3):
                    return await read_piece()
            except TimeoutError:
                silent_ms = clock.now_ms() - since_ms
            if self._attempts.remaining_ms <= 0:
                raise DeadlineReached
            if silent_ms >= limits().give_up_ms:
                raise EngineStalled(f"silent for {silent_ms:.0f} ms")
            if not await gateway_common.is_reachable(
                self._deps, self._backend
            ):
                raise EngineStalled(
                    f"silent for {silent_ms:.0f} ms and not reached"
                )
            test_ms = clock.now_ms() - since_ms + stalls.REPROBE_MS


def first_event_limits(
    parts: gateway_common.GatewayDependencies,
    admitted: gateway_common.AdmittedRequest,
    plan: stream_plan.StreamPlan,
    has_events: bool,
) -> LimitsSource:
    """Return the limits before the first event, as known at each test.

    Other instances may have sent their prompts to the same engine in the
    same moment; the hub tells of them a little later. `has_events` tells
    that the caller holds events, so that the goal is over.
    """
    goal_ms = 0.0
    if not has_events:
        goal_ms = admitted.request.received_ms + admitted.route.latency_goal_ms
    sent_ms = parts.clock.now_ms()
    backend_id = plan.backend.backend_id
    most_ahead = plan.candidate.prefill_tokens

    def limits() -> stalls.StallLimits:
        nonlocal most_ahead
        ahead = parts.view.others_prefill_tokens(backend_id)
        most_ahead = max(most_ahead, ahead)
        elsewhere = admitted.request.prompt_tokens / 1_000
        return stalls.limits_before_first(
            (most_ahead + plan.tokens_to_prefill)
            / 1_000
            * parts.speeds.prefill_ms_per_k(backend_id),
            goal_ms - sent_ms,
            elsewhere * parts.speeds.typical_prefill_ms_per_k(),
        )

    return limits
