"""Times of a stream's events as its caller sees them."""

from oriolejunction.controllers import part_guard
from oriolejunction.http import gateway_common

# A write that takes longer waits until the caller reads.
MAX_WRITE_MS = 5.0


class AttemptTiming:
    """When one attempt's first and latest events arrived, in ms."""

    def __init__(self) -> None:
        self.first_ms: float | None = None
        self.last_ms = 0.0
        # Whether the engine was not read while the caller was written to.
        self.was_blocked = False

    @property
    def wrote_ms(self) -> float | None:
        """Return how long the engine wrote events, None without one."""
        return None if self.first_ms is None else self.last_ms - self.first_ms

    def record_event(self, now_ms: float) -> bool:
        """Record an event; return whether the beginning is over with it."""
        if self.first_ms is None:
            self.first_ms = now_ms
        had_begun = self.last_ms - self.first_ms >= part_guard.BEGUN_MS
        self.last_ms = now_ms
        return not had_begun and now_ms - self.first_ms >= part_guard.BEGUN_MS

    def record_delivery(self, now_ms: float) -> None:
        """Record when the latest events were written to the caller."""
        self.was_blocked = now_ms - self.last_ms > MAX_WRITE_MS


class StreamTiming:
    """Time to the first event and longest gap between events, in ms."""

    def __init__(
        self,
        deps: gateway_common.GatewayDependencies,
        admitted: gateway_common.AdmittedRequest,
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
