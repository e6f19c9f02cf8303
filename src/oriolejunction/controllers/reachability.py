"""Whether this instance reaches any backend server.

Load pattern: an instance loses its links to all backend servers for seconds,
while callers, control replicas and other instances reach it as before. New
connections hang, are reset or refused; connections that exist may hang or
live on. Elsewhere, engines of a whole availability zone crash at once, single
servers come and go, and this process may be paused: none of that is a loss of
this instance's own links.

A failed connection raises the question, and a sample of other servers answers
it: an instance that connects to any server is not isolated.
"""

import collections.abc
import math
import random

import structlog

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction import ids
from oriolejunction import listeners

# A connection younger than this shows that the instance is not isolated.
RECENT_MS = 250.0
SAMPLE_SIZE = 4
_log = structlog.get_logger(__name__)


class Reachability:
    """What the connections of this instance to servers tell of its links."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._connected_ms = -math.inf
        self._failed_ms_by_address: dict[str, float] = {}
        self._isolated_ms: float | None = None
        self.on_change: listeners.OnChange = listeners.no_op

    @property
    def is_isolated(self) -> bool:
        """Return whether this instance was found to reach no server."""
        return self._isolated_ms is not None

    @property
    def is_in_doubt(self) -> bool:
        """Return whether connections failed, and none was made of late."""
        age_ms = self._clock.now_ms() - self._connected_ms
        return bool(self._failed_ms_by_address) and age_ms >= RECENT_MS

    def record_connection(self, address: str, is_open: bool) -> None:
        """Record that a new connection to a server was opened or failed."""
        now_ms = self._clock.now_ms()
        if not is_open:
            self._failed_ms_by_address[address] = now_ms
            return
        self._connected_ms = now_ms
        self._failed_ms_by_address.clear()
        if self._isolated_ms is not None:
            _log.info(
                "backend servers reached again",
                isolated_ms=round(now_ms - self._isolated_ms),
                address=address,
            )
            self._isolated_ms = None
            self.on_change()

    def sample(
        self,
        listed: collections.abc.Iterable[backends.Backend],
        rng: random.Random,
    ) -> list[backends.Backend]:
        """Return servers to connect to, from as many zones as possible.

        Those that a connection failed to come last.
        """
        by_zone: dict[ids.ZoneId, list[backends.Backend]] = {}
        for each in listed:
            by_zone.setdefault(each.zone, []).append(each)
        ranked = []
        for servers in by_zone.values():
            rng.shuffle(servers)
            servers.sort(key=self._has_failed)
            ranked.extend(
                (self._has_failed(each), place, rng.random(), each)
                for place, each in enumerate(servers)
            )
        ranked.sort(key=lambda item: item[:3])
        return [each for *_, each in ranked[:SAMPLE_SIZE]]

    def has_connected_since(self, since_ms: float) -> bool:
        """Return whether a connection to a server was opened since then."""
        return self._connected_ms >= since_ms

    def confirm(self, sampled: int, began_ms: float) -> None:
        """Judge a sample, none of which could be connected to.

        It began at `began_ms`; a connection made since then counts too.
        """
        if not sampled or self.is_isolated:
            return
        if self.has_connected_since(began_ms):
            return
        self._isolated_ms = self._clock.now_ms()
        _log.warning(
            "no backend server reached",
            sampled=sampled,
            failed=len(self._failed_ms_by_address),
            connected_ms_ago=clocks.round_age_ms(
                self._isolated_ms - self._connected_ms
            ),
        )
        self.on_change()

    def retain_only(self, addresses: collections.abc.Container[str]) -> None:
        """Drop servers that are no longer listed."""
        for address in list(self._failed_ms_by_address):
            if address not in addresses:
                del self._failed_ms_by_address[address]

    def _has_failed(self, backend: backends.Backend) -> bool:
        return backend.address in self._failed_ms_by_address
