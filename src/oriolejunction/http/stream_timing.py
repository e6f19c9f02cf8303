"""Times of a stream's events as its caller sees them."""

import asyncio

from oriolejunction import backends
from oriolejunction.controllers import part_guard
from oriolejunction.http import admitted_request
from oriolejunction.http import gateway_common
from oriolejunction.http import rollout_sends
from oriolejunction.http import stream_attempt

# The time per event is counted once for each attempt, early enough to show a
# slow version while its streams still run. With much fewer events, it is
# mostly that of the network.
COUNTED_EVENTS = 16
MIN_COUNTED_EVENTS = 8
# A first event that takes this many times as long as usual is counted before
# it comes, as if it took twice the time so far: until then, a slow version
# would show by its faster answers only.
OVERDUE_FACTOR = 2.5
OVERDUE_COUNTS = 2.0
# Shorter prompts count as this long: their prefill takes next to no time.
MIN_PROMPT_TOKENS = 100

# A write that takes longer waits until the caller reads.
MAX_WRITE_MS = 5.0


class AttemptTiming:
    """When one attempt's first and latest events arrived, in ms."""

    def __init__(
        self,
        deps: gateway_common.GatewayDependencies,
        rollout_send: rollout_sends.RolloutSend,
        plan: stream_attempt.StreamPlan,
    ) -> None:
        self.first_ms: float | None = None
        self.last_ms = 0.0
        # Whether the engine was not read while the caller was written to.
        self.was_blocked = False
        self.rollout_send = rollout_send
        self._clock = deps.clock
        self._sent_ms = deps.clock.now_ms()
        self._tokens = max(MIN_PROMPT_TOKENS, plan.fresh_tokens or 0)
        self._events = 0
        self._is_first_counted = plan.fresh_tokens is None
        self._overdue: asyncio.TimerHandle | None = None
        if rollout_send.is_counted and not self._is_first_counted:
            usual_ms = (
                (plan.candidate.prefill_tokens + self._tokens)
                / 1_000
                * deps.speeds.typical_prefill_ms_per_k()
            )
            self._overdue = asyncio.get_running_loop().call_later(
                OVERDUE_FACTOR * usual_ms / 1e3, self._count_overdue
            )

    def end(self, replaced_ms: float | None) -> None:
        """Count the attempt for its service's rollout.

        One that was replaced, or ran into its deadline, at `replaced_ms`
        without an event would have taken at least until then.
        """
        if self._overdue is not None:
            self._overdue.cancel()
        if self.first_ms is None and replaced_ms is not None:
            self._count_first(replaced_ms)
        if MIN_COUNTED_EVENTS <= self._events < COUNTED_EVENTS:
            self._count_gap()
        self.rollout_send.end()

    def _count_overdue(self) -> None:
        if self.first_ms is None:
            waited_ms = self._clock.now_ms() - self._sent_ms
            self._count_first(self._sent_ms + OVERDUE_COUNTS * waited_ms)

    def _count_first(self, first_ms: float) -> None:
        if not self._is_first_counted:
            self._is_first_counted = True
            self.rollout_send.record_answer(
                (first_ms - self._sent_ms) / self._tokens * 1_000
            )

    def _count_gap(self) -> None:
        self.rollout_send.record_gap(self.wrote_ms / (self._events - 1))

    @property
    def wrote_ms(self) -> float | None:
        """Return how long the engine wrote events, None without one."""
        return None if self.first_ms is None else self.last_ms - self.first_ms

    def record_event(self, now_ms: float) -> bool:
        """Record an event; return whether the beginning is over with it."""
        self._events += 1
        if self.first_ms is None:
            self.first_ms = now_ms
            self._count_first(now_ms)
        had_begun = self.last_ms - self.first_ms >= part_guard.BEGUN_MS
        self.last_ms = now_ms
        if self._events == COUNTED_EVENTS:
            self._count_gap()
        return not had_begun and now_ms - self.first_ms >= part_guard.BEGUN_MS

    def record_delivery(self, now_ms: float) -> None:
        """Record when the latest events were written to the caller."""
        self.was_blocked = now_ms - self.last_ms > MAX_WRITE_MS


class StreamTiming:
    """Time to the first event and longest gap between events, in ms."""

    def __init__(
        self,
        deps: gateway_common.GatewayDependencies,
        admitted: admitted_request.AdmittedRequest,
    ) -> None:
        self._deps = deps
        self._admitted = admitted
        self._last_event_ms: float | None = None
        self.first_ms = 0.0
        self.longest_gap_ms = 0.0

    @property
    def has_events(self) -> bool:
        """Return whether any event was recorded."""
        return self._last_event_ms is not None

    def record_event(self, resumed: bool) -> None:
        """Record an event; `resumed` means after the first attempt."""
        now_ms = self._deps.clock.now_ms()
        telemetry = self._deps.telemetry
        labels = {"service": self._admitted.service.name}
        if self._last_event_ms is None:
            self.first_ms = gateway_common.observe_first_piece(
                self._deps, self._admitted
            )
        else:
            gap_ms = now_ms - self._last_event_ms
            if resumed:
                telemetry.resume_ms.observe(labels, gap_ms)
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self._last_event_ms = now_ms

    def log_complete(
        self, backend: backends.Backend, events: int, attempts: int
    ) -> None:
        """Log that the caller has the whole answer."""
        request = self._admitted.request
        gateway_common.log_decision(
            self._admitted,
            "stream complete",
            backend=backend.backend_id,
            events=events,
            prompt_tokens=request.prompt_tokens,
            attempts=attempts,
            first_ms=round(self.first_ms),
            longest_pause_ms=round(self.longest_gap_ms),
            took_ms=round(self._deps.clock.now_ms() - request.received_ms),
        )
