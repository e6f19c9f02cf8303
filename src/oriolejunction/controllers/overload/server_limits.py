"""Rates that backend servers name for all instances together.

Load pattern: a server in need states in its answers how many requests a
second it takes from all instances, for as long as it says so. Callers spread
unevenly over the instances, which come and go; some instances send less than
one request between two changes of the limit. Answers on several connections
overtake each other.

Each instance takes the part of the rate that is its part of the requests for
the service. Counts of others that are missing for a moment make that part too
large, so an increase counts only after `SHARE_DELAY_MS`.
"""

import collections
import collections.abc
import dataclasses
import math
import random

import structlog

from oriolejunction import clock as clocks
from oriolejunction import gateway_messages
from oriolejunction import ids

# A replica that started anew knows the reports of all instances by then.
SHARE_DELAY_MS = 2_000.0
# Requests that may be sent at once after a pause, in seconds of the rate.
BURST_S = 0.25
# A server that takes hardly any request is asked whether it still does not,
# after the first time and, by one of all instances, about as often.
MIN_PROBE_MS = 10_000.0
MEAN_PROBE_MS = 10_000.0
_log = structlog.get_logger(__name__)


@dataclasses.dataclass
class _Limit:
    """Requests a second that a server last named, at `named_ms`.

    `level` is how many requests this instance might send at `filled_ms`. At
    `probe_at_ms` it may send one in any case.
    """

    service: ids.ServiceName
    per_s: float
    named_ms: float
    level: float
    filled_ms: float
    probe_at_ms: float = math.inf


class ServerLimits:
    """The limits that servers name, and this instance's part of each.

    `share_of` returns this instance's part of the requests for a service,
    above 0 and up to 1, as known now.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        share_of: collections.abc.Callable[[ids.ServiceName], float],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._share_of = share_of
        self._limit_by_id: dict[ids.BackendId, _Limit] = {}
        # Recent shares and their times, rising from the left.
        self._shares: dict[
            ids.ServiceName, collections.deque[tuple[float, float]]
        ] = collections.defaultdict(collections.deque)

    def observe(
        self,
        backend_id: ids.BackendId,
        service: ids.ServiceName,
        named: gateway_messages.RateLimit | None,
        sent_ms: float,
    ) -> None:
        """Apply the limit in an answer to a request sent at `sent_ms`.

        An answer to a request that was sent before the last limit was named
        may be older than that; it does not raise or lift the limit.
        """
        if named is not None and named.per_s is None:
            _log.warning("limit of server not read", backend=backend_id)
            return
        known = self._limit_by_id.get(backend_id)
        now_ms = self._clock.now_ms()
        may_be_older = known is not None and sent_ms < known.named_ms
        if named is None:
            if known is not None and not may_be_older:
                del self._limit_by_id[backend_id]
                _log.info("limit of server lifted", backend=backend_id)
            return
        if may_be_older and named.per_s > known.per_s:
            return
        if known is None or known.per_s != named.per_s:
            _log.info(
                "limit of server named",
                backend=backend_id,
                per_s=named.per_s,
                share=round(self._share(service), 3),
            )
        if known is None:
            # Instances learn of a limit together, but must not send together.
            known = _Limit(
                service, named.per_s, now_ms, self._rng.random(), now_ms
            )
            self._limit_by_id[backend_id] = known
        self._fill(known)
        known.per_s, known.named_ms = named.per_s, now_ms
        self._schedule_probe(known)

    def allows(self, backend_id: ids.BackendId) -> bool:
        """Return whether a server may be sent a request now."""
        limit = self._limit_by_id.get(backend_id)
        if limit is None:
            return True
        self._fill(limit)
        return limit.level >= 1.0 or (
            self._clock.now_ms() >= limit.probe_at_ms
        )

    def take(self, backend_id: ids.BackendId) -> None:
        """Count a request that is about to be sent to a server."""
        limit = self._limit_by_id.get(backend_id)
        if limit is not None:
            self._fill(limit)
            limit.level = max(0.0, limit.level - 1.0)
            self._schedule_probe(limit)

    def give_back(self, backend_id: ids.BackendId) -> None:
        """Uncount a request that was not sent after all."""
        limit = self._limit_by_id.get(backend_id)
        if limit is not None:
            limit.level += 1.0

    def expected_wait_ms(
        self,
        backend_ids: collections.abc.Collection[ids.BackendId],
        ahead: int,
    ) -> tuple[float, float]:
        """Return the wait behind `ahead` requests, and that between two.

        Both are 0 if a server may be sent a request now, or none is given.
        """
        limits = []
        for backend_id in backend_ids:
            if self.allows(backend_id):
                return 0.0, 0.0
            limits.append(self._limit_by_id[backend_id])
        rate_per_ms = sum(map(self._rate_per_ms, limits))
        if not limits or not rate_per_ms:
            return (math.inf, math.inf) if limits else (0.0, 0.0)
        first_ms = min(
            (1.0 - limit.level) / rate
            for limit in limits
            if (rate := self._rate_per_ms(limit))
        )
        return first_ms + ahead / rate_per_ms, 1.0 / rate_per_ms

    def retain_only(
        self, listed: collections.abc.Container[ids.BackendId]
    ) -> None:
        """Drop servers that are no longer listed."""
        for backend_id in list(self._limit_by_id):
            if backend_id not in listed:
                del self._limit_by_id[backend_id]

    def _schedule_probe(self, limit: _Limit) -> None:
        share = self._share(limit.service)
        wait_ms = self._rng.expovariate(share / MEAN_PROBE_MS)
        limit.probe_at_ms = self._clock.now_ms() + MIN_PROBE_MS + wait_ms

    def _rate_per_ms(self, limit: _Limit) -> float:
        return limit.per_s / 1e3 * self._share(limit.service)

    def _fill(self, limit: _Limit) -> None:
        """Add what the time since the last call allows."""
        now_ms = self._clock.now_ms()
        rate = self._rate_per_ms(limit)
        burst = max(1.0, rate * BURST_S * 1e3)
        level = limit.level + rate * (now_ms - limit.filled_ms)
        limit.level = min(burst, level)
        limit.filled_ms = now_ms

    def _share(self, service: ids.ServiceName) -> float:
        """Return the smallest share of late."""
        now_ms = self._clock.now_ms()
        share = self._share_of(service)
        recent = self._shares[service]
        while recent and recent[-1][1] >= share:
            recent.pop()
        recent.append((now_ms, share))
        # The last one before the delay held until the next.
        while len(recent) > 1 and recent[1][0] <= now_ms - SHARE_DELAY_MS:
            recent.popleft()
        return recent[0][1]
