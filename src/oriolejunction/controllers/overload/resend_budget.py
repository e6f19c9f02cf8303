"""This instance's part of the budget for sending requests again.

Load pattern: when many requests fail at once, sending each again multiplies
the load. In any window, all instances together may resend to a service
`ratio` times its requests plus `extra`. Each instance counts its own requests
and uses an equal part of `extra`.
"""

import collections
import dataclasses

from oriolejunction import clock as clocks
from oriolejunction import ids

# Leaves a reserve, since instances count requests and windows separately.
SAFETY_FACTOR = 0.8


@dataclasses.dataclass(frozen=True)
class BudgetLimits:
    """The budget of the whole deployment in a sliding window."""

    ratio: float
    extra: float
    window_ms: float


class ResendBudget:
    """Counts requests and resends by service."""

    def __init__(self, clock: clocks.Clock, limits: BudgetLimits) -> None:
        self._clock = clock
        self._limits = limits
        self._requests: dict[ids.ServiceName, collections.deque[float]]
        self._requests = collections.defaultdict(collections.deque)
        self._resends: dict[ids.ServiceName, collections.deque[float]]
        self._resends = collections.defaultdict(collections.deque)

    def count_request(self, service: ids.ServiceName) -> None:
        """Count the first send of a request."""
        self._recent(self._requests[service]).append(self._clock.now_ms())

    def allows(self, service: ids.ServiceName, entries: int) -> bool:
        """Return whether this instance, one of `entries`, may resend."""
        requests = len(self._recent(self._requests[service]))
        resends = len(self._recent(self._resends[service]))
        limit = self._limits.ratio * requests + self._limits.extra / entries
        return resends + 1 <= SAFETY_FACTOR * limit

    def spend(self, service: ids.ServiceName) -> None:
        """Count a resend."""
        self._recent(self._resends[service]).append(self._clock.now_ms())

    def _recent(
        self, times_ms: collections.deque[float]
    ) -> collections.deque[float]:
        oldest_ms = self._clock.now_ms() - self._limits.window_ms
        while times_ms and times_ms[0] < oldest_ms:
            times_ms.popleft()
        return times_ms
