"""How long answers of a route get, learned from those that ended.

Load pattern: callers allow far more output than their answers take, and
their own estimates are often far off.
"""

SMOOTHING = 0.1
# Part of what is allowed that an answer takes, before any has ended.
INITIAL_FRACTION = 0.75


class AnswerLengths:
    """Smoothed number of events of a whole answer, by route."""

    def __init__(self) -> None:
        self._events_by_route: dict[str, float] = {}

    def add(self, route: str, events: int) -> None:
        """Take in a whole answer."""
        held = self._events_by_route.get(route, float(events))
        self._events_by_route[route] = held + SMOOTHING * (events - held)

    def expected(self, route: str, most: float) -> float:
        """Return the events to expect of an answer that may have `most`."""
        held = self._events_by_route.get(route)
        return INITIAL_FRACTION * most if held is None else min(held, most)
