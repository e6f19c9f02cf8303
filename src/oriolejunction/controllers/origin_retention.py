"""How long the origins of streams and past software versions are kept.

Load pattern: callers whose entry instance is lost return until their time is
over, and an operator changes that time while their streams run.
"""

from oriolejunction import clock as clocks
from oriolejunction import routing_table

# Bounds the memory that one route with a long timeout can take.
MAX_RETURN_MS = 600_000.0


class OriginRetention:
    """The time to keep records for, by the tables that were in force.

    `return_ms` is how long after its last event a stream may be taken up.
    Records are kept for twice as long: a stream that is not renewed may run
    for this time too.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._current_ms: float | None = None
        # Longer times of former tables and their ends, the longest first.
        self._former: list[tuple[float, float]] = []

    def follow(self, table: routing_table.RoutingTable | None) -> None:
        """Take over the longest timeout of a new table's resumable routes.

        A longer one of a former table stays while its streams may return.
        """
        if table is None:
            return
        timeouts_ms = (r.timeout_ms for r in table.routes if r.resumable)
        longest_ms = min(MAX_RETURN_MS, max(timeouts_ms, default=0.0))
        previous_ms, self._current_ms = self._current_ms, longest_ms
        if previous_ms is None or previous_ms <= longest_ms:
            return
        now_ms = self._clock.now_ms()
        self._former = [
            (ms, until_ms)
            for ms, until_ms in self._former
            if ms > previous_ms and until_ms >= now_ms
        ]
        self._former.append((previous_ms, now_ms + 2 * previous_ms))

    @property
    def return_ms(self) -> float:
        """Return how long a stream may be taken up, MAX without a table."""
        if self._current_ms is None:
            return MAX_RETURN_MS
        if not self._former:
            return self._current_ms
        now_ms = self._clock.now_ms()
        former_ms = (ms for ms, until_ms in self._former if until_ms >= now_ms)
        return max(self._current_ms, max(former_ms, default=0.0))

    @property
    def kept_ms(self) -> float:
        """Return how long a record is kept after it was last renewed."""
        return 2 * self.return_ms
