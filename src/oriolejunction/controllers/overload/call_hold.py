"""How long a call is held back after servers turned it away.

Load pattern: when the queues of all plain servers are full, each place that
comes free is taken within a few ms, and a call that goes from one full server
to the next is rejected by all of them. Held back between its attempts, it
finds a place in most cases, and the servers spend less on rejections. One
server may be full while the others are not, so the first time is short.
"""

from oriolejunction import clock as clocks

# The simulation of bursts in docs/design/uneven-load.md compares values: most
# calls that were turned away find a place, and few of them become late.
FIRST_HOLD_MS = 20.0
# A longer one would use up the time in which a call may wait for a server.
MAX_GOAL_FRACTION = 0.25


class CallHold:
    """The hold of one call, doubled with each rejection."""

    def __init__(self, clock: clocks.Clock, latency_goal_ms: float) -> None:
        self._clock = clock
        self._max_ms = MAX_GOAL_FRACTION * latency_goal_ms
        self._next_ms = FIRST_HOLD_MS
        self._until_ms = 0.0

    def begin(self) -> None:
        """Hold the call back from now on."""
        hold_ms = min(self._next_ms, self._max_ms)
        self._until_ms = self._clock.now_ms() + hold_ms
        self._next_ms *= 2

    def remaining_ms(self) -> float:
        """Return for how long the call is held back, 0 if it is not."""
        return max(0.0, self._until_ms - self._clock.now_ms())
