"""This instance's part of the budget for sending requests again.

Load patterns: when many requests fail at once, sending each again multiplies
the load. In any window, all instances together may resend to a service
`ratio` times its requests plus `extra`. Where hundreds of instances have few
streams each, an equal part of `extra` is less than one resend, while the loss
of a zone needs several at the instances that it happens to hit. An instance
therefore goes beyond its own part as long as all together have used little of
the budget.
"""

import collections

import msgspec

from oriolejunction import clock as clocks
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import listeners

# Leaves a reserve, since instances count requests and windows separately.
SAFETY_FACTOR = 0.8
# Fraction of the whole budget up to which an instance exceeds its own part;
# the rest covers what others resend before their counts arrive.
SHARED_FRACTION = 0.5


class BudgetLimits(msgspec.Struct, frozen=True):
    """The budget of the whole deployment in a sliding window."""

    ratio: float
    extra: float
    window_ms: float


class ResendBudget:
    """Counts requests and resends by service."""

    def __init__(self, clock: clocks.Clock, limits: BudgetLimits) -> None:
        self._clock = clock
        self._limits = limits
        # Called at each resend, which the others must count soon.
        self.on_change: listeners.OnChange = listeners.no_op
        self._requests: dict[ids.ServiceName, collections.deque[float]]
        self._requests = collections.defaultdict(collections.deque)
        self._resends: dict[ids.ServiceName, collections.deque[float]]
        self._resends = collections.defaultdict(collections.deque)

    def count_request(self, service: ids.ServiceName) -> None:
        """Count the first send of a request."""
        self._recent(self._requests[service]).append(self._clock.now_ms())

    def share(
        self,
        service: ids.ServiceName,
        entries: int,
        others: fm.ServiceUse | None,
    ) -> float:
        """Return this instance's part of the requests to a service.

        Each of the `entries` instances counts as having one more request. If
        it is not known what the others sent, all have equal parts.
        """
        if others is None:
            return 1.0 / entries
        own = len(self._recent(self._requests[service])) + 1
        return own / (own + others.requests + entries - 1)

    def allows(
        self,
        service: ids.ServiceName,
        entries: int,
        others: fm.ServiceUse | None = None,
    ) -> bool:
        """Return whether this instance, one of `entries`, may resend.

        `others` is what the other instances sent; None if that is not known
        or too old.
        """
        requests = len(self._recent(self._requests[service]))
        resends = len(self._recent(self._resends[service]))
        own_limit = self._limits.ratio * requests
        own_limit += self._limits.extra / entries
        if resends + 1 <= SAFETY_FACTOR * own_limit:
            return True
        if others is None:
            return False
        limit = self._limits.ratio * (requests + others.requests)
        limit += self._limits.extra
        return resends + others.resends + 1 <= SHARED_FRACTION * limit

    def spend(self, service: ids.ServiceName) -> None:
        """Count a resend."""
        self._recent(self._resends[service]).append(self._clock.now_ms())
        self.on_change()

    def give_back(self, service: ids.ServiceName) -> None:
        """Uncount the newest resend, which was not sent after all."""
        resends = self._recent(self._resends[service])
        if resends:
            resends.pop()

    def uses(
        self,
        waiting_by_service: dict[ids.ServiceName, int],
        urgent_by_service: (
            dict[ids.ServiceName, tuple[int, int]] | None
        ) = None,
    ) -> tuple[fm.ServiceUse, ...]:
        """Return the counts of the current window, to be reported.

        `urgent_by_service` counts the waiting requests of the two most
        urgent ranks of a service whose requests differ in rank.
        """
        services = {*self._requests, *self._resends, *waiting_by_service}
        uses = (
            fm.ServiceUse(
                service,
                len(self._recent(self._requests[service])),
                len(self._recent(self._resends[service])),
                waiting_by_service.get(service, 0),
                *(urgent_by_service or {}).get(service, ()),
            )
            for service in sorted(services)
        )
        return tuple(
            use for use in uses if use.requests or use.resends or use.waiting
        )

    def _recent(
        self, times_ms: collections.deque[float]
    ) -> collections.deque[float]:
        oldest_ms = self._clock.now_ms() - self._limits.window_ms
        while times_ms and times_ms[0] < oldest_ms:
            times_ms.popleft()
        return times_ms
