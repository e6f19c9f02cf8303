"""Rates that backend servers name for all instances together.

Load pattern: a server in need states in its answers how many requests a
second it takes from all instances, for as long as it says so. Callers spread
unevenly over the instances, which come and go; some instances send less than
one request between two changes of the limit. Answers on several connections
overtake each other, and some kinds of answers may not state the limit.

A limit that one instance was told of binds all. It holds for a while after the
last answer to any of them that names it, and then rises until it is dropped.

Each instance takes the part of the rate that is its part of the requests for
the service. Counts of others that are missing for a moment make that part too
large, so an increase counts only after `SHARE_DELAY_MS`.
"""

import collections
import collections.abc
import math
import random

import msgspec
import structlog

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction import fleet_messages as fm
from oriolejunction import gateway_messages
from oriolejunction import ids
from oriolejunction import listeners

# A replica that started anew knows the reports of all instances by then.
SHARE_DELAY_MS = 2_000.0
# Requests that may be sent at once after a pause, in seconds of the rate.
BURST_S = 0.25
# A limit holds for this long without being named, and for the time of several
# requests if that is longer.
MIN_HOLD_MS = 4_000.0
MAX_HOLD_MS = 60_000.0
HOLD_REQUESTS = 4.0
# After that it doubles in each of these times, up to the given multiple.
DOUBLING_MS = 1_000.0
MAX_GROWTH = 16.0
# A server that takes hardly any request is asked whether it still does not,
# after the first time and, by one of all instances, about as often.
MIN_PROBE_MS = 10_000.0
MEAN_PROBE_MS = 10_000.0
_log = structlog.get_logger(__name__)


class _Limit(msgspec.Struct):
    """Requests a second that a server last named to any instance.

    It was named to this instance at `named_ms`, and known to be in force at
    `seen_ms`. `level` is how many requests this instance might send at
    `filled_ms`; at `probe_at_ms` it may send one in any case.
    """

    service: ids.ServiceName
    per_s: float
    seen_ms: float
    level: float
    filled_ms: float
    named_ms: float = -math.inf
    named_per_s: float = math.inf
    probe_at_ms: float = math.inf


class ServerLimits:
    """The limits that servers name, and this instance's part of each.

    `share_of` returns this instance's part of the requests for a service,
    above 0 and up to 1, as known now; `hears_others` whether the others
    would tell of a limit that a server names to them.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        share_of: collections.abc.Callable[[ids.ServiceName], float],
        hears_others: collections.abc.Callable[[], bool],
    ) -> None:
        self._hears_others = hears_others
        self._clock = clock
        self._rng = rng
        self._share_of = share_of
        self._limit_by_id: dict[ids.BackendId, _Limit] = {}
        # Recent shares and their times, rising from the left.
        self._shares: dict[
            ids.ServiceName, collections.deque[tuple[float, float]]
        ] = collections.defaultdict(collections.deque)
        self.on_change: listeners.OnChange = listeners.no_op

    @property
    def are_known(self) -> bool:
        """Return whether any server has named a limit that may hold."""
        return bool(self._limit_by_id)

    def observe(
        self,
        backend_id: ids.BackendId,
        service: ids.ServiceName,
        named: gateway_messages.RateLimit | None,
        sent_ms: float,
    ) -> None:
        """Apply the limit in an answer to a request sent at `sent_ms`.

        An answer to a request that was sent before the last limit was named
        may be older than that; it does not raise the limit.
        """
        if named is None:
            return
        if named.per_s is None:
            _log.warning("limit of server not read", backend=backend_id)
            return
        known = self._limit_by_id.get(backend_id)
        if known is not None and (
            sent_ms < known.named_ms and named.per_s > known.named_per_s
        ):
            return
        was_named = self.named()
        limit = self._renew(backend_id, service, named.per_s)
        limit.named_ms, limit.named_per_s = limit.seen_ms, named.per_s
        if self.named() != was_named:
            self.on_change()

    def update_reported(
        self,
        limits: dict[ids.BackendId, float],
        listed: dict[ids.BackendId, backends.Backend],
    ) -> None:
        """Apply the limits that servers name to the other instances."""
        for backend_id, per_s in limits.items():
            backend = listed.get(backend_id)
            if backend is None:
                continue
            known = self._limit_by_id.get(backend_id)
            if known is not None and self._is_named_here(known):
                per_s = min(per_s, known.named_per_s)
            self._renew(backend_id, backend.service, per_s)

    def named(self) -> tuple[fm.NamedLimit, ...]:
        """Return what servers name to this instance, to be reported."""
        return tuple(
            fm.NamedLimit(backend_id, limit.named_per_s)
            for backend_id, limit in sorted(self._limit_by_id.items())
            if self._is_named_here(limit)
        )

    def allows(self, backend_id: ids.BackendId) -> bool:
        """Return whether a server may be sent a request now."""
        limit = self._limit_by_id.get(backend_id)
        if limit is None:
            return True
        if self._has_ended(limit):
            del self._limit_by_id[backend_id]
            _log.info("limit of server lifted", backend=backend_id)
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
        """Drop servers that are no longer listed, once their limit has ended.

        A list may leave a server out for once.
        """
        for backend_id, limit in list(self._limit_by_id.items()):
            if backend_id not in listed and self._has_ended(limit):
                del self._limit_by_id[backend_id]

    def _renew(
        self, backend_id: ids.BackendId, service: ids.ServiceName, per_s: float
    ) -> _Limit:
        """Return the limit of a server, which is known to be in force now."""
        now_ms = self._clock.now_ms()
        limit = self._limit_by_id.get(backend_id)
        if limit is None or limit.per_s != per_s:
            _log.info(
                "limit of server named",
                backend=backend_id,
                per_s=per_s,
                share=round(self._share(service), 3),
            )
        if limit is None:
            # Instances learn of a limit together, but must not send together.
            limit = _Limit(service, per_s, now_ms, self._rng.random(), now_ms)
            self._limit_by_id[backend_id] = limit
        self._fill(limit)
        limit.per_s, limit.seen_ms = per_s, now_ms
        if math.isinf(limit.probe_at_ms):
            self._schedule_probe(limit)
        return limit

    def _schedule_probe(self, limit: _Limit) -> None:
        share = self._share(limit.service)
        wait_ms = self._rng.expovariate(share / MEAN_PROBE_MS)
        limit.probe_at_ms = self._clock.now_ms() + MIN_PROBE_MS + wait_ms

    def _is_named_here(self, limit: _Limit) -> bool:
        return self._clock.now_ms() - limit.named_ms < self._hold_ms(limit)

    def _hold_ms(self, limit: _Limit) -> float:
        """Return for how long a limit holds without being named."""
        per_s = limit.per_s
        if not self._hears_others():
            per_s *= self._share(limit.service)
        hold_ms = HOLD_REQUESTS * 1e3 / per_s if per_s else math.inf
        return min(MAX_HOLD_MS, max(MIN_HOLD_MS, hold_ms))

    def _growth(self, limit: _Limit) -> float:
        """Return the multiple of a limit that was not named for long."""
        seen_ms_ago = self._clock.now_ms() - limit.seen_ms
        stale_ms = seen_ms_ago - self._hold_ms(limit)
        return 2.0 ** max(0.0, min(1e3, stale_ms / DOUBLING_MS))

    def _has_ended(self, limit: _Limit) -> bool:
        return self._growth(limit) >= MAX_GROWTH

    def _rate_per_ms(self, limit: _Limit) -> float:
        rate = limit.per_s / 1e3 * self._share(limit.service)
        return rate * min(MAX_GROWTH, self._growth(limit))

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
