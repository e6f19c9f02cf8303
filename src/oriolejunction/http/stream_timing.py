"""Times of a stream's events as its caller sees them."""

from oriolejunction.controllers import part_guard
from oriolejunction.http import admitted_request
from oriolejunction.http import gateway_common
from oriolejunction.http import rollout_sends

# The time per event is counted once for each attempt, early enough to show a
# slow version while its streams still run. With much fewer events, it is
# mostly that of the network.
COUNTED_EVENTS = 16
MIN_COUNTED_EVENTS = 8
# Shorter prompts count as this long: their prefill takes next to no time.
MIN_PROMPT_TOKENS = 100


class AttemptTiming:
    """When one attempt's first and latest events arrived, in ms.

    `prefill_tokens` is None if the attempt begins with a KV cache copy.
    """

    def __init__(
        self,
        sent_ms: float,
        rollout_send: rollout_sends.RolloutSend,
        prefill_tokens: int | None,
    ) -> None:
        self.first_ms: float | None = None
        self.last_ms = 0.0
        self.rollout_send = rollout_send
        self._sent_ms = sent_ms
        self._prefill_tokens = prefill_tokens
        self._events = 0

    def end(self, replaced_ms: float | None) -> None:
        """Count the attempt for its service's rollout.

        One that was replaced, or ran into its deadline, at `replaced_ms`
        without an event would have taken at least until then.
        """
        if self.first_ms is None and replaced_ms is not None:
            self._count_first(replaced_ms)
        if MIN_COUNTED_EVENTS <= self._events < COUNTED_EVENTS:
            self._count_gap()
        self.rollout_send.end()

    def _count_first(self, first_ms: float) -> None:
        if self._prefill_tokens is not None:
            tokens = max(MIN_PROMPT_TOKENS, self._prefill_tokens)
            self.rollout_send.record_answer(
                (first_ms - self._sent_ms) / tokens * 1_000
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
            self.first_ms = now_ms - self._admitted.request.received_ms
            telemetry.first_piece_ms.observe(labels, self.first_ms)
        else:
            gap_ms = now_ms - self._last_event_ms
            if resumed:
                telemetry.resume_ms.observe(labels, gap_ms)
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self._last_event_ms = now_ms
