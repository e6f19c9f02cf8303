"""The expected length of a route's answers, learned from complete ones.

Load pattern: callers allow far more output than their answers take, and the
callers' own estimates are often far off.
"""

SMOOTHING = 0.1
# Fraction of the allowed events to expect before any answer is complete.
INITIAL_FRACTION = 0.75


class AnswerLengths:
    """Smoothed number of events of a complete answer, by route."""

    def __init__(self) -> None:
        self._events_by_route: dict[str, float] = {}

    def add(self, route: str, events: int) -> None:
        """Record the length of a complete answer."""
        mean = self._events_by_route.get(route, float(events))
        self._events_by_route[route] = mean + SMOOTHING * (events - mean)

    def expected(self, route: str, max_events: float) -> float:
        """Return the expected number of events, `max_events` at most."""
        mean = self._events_by_route.get(route)
        return (
            INITIAL_FRACTION * max_events
            if mean is None
            else min(mean, max_events)
        )
