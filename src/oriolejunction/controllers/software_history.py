"""The software versions that each service's engines had lately.

Load pattern: during a release, engines of two versions serve one service, and
a stream whose version is not known may have begun at either. The engines of
the former version leave the list before all of their streams are over.
"""

import collections.abc
import math

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers import origin_retention
from oriolejunction import ids

# A list that was not read for longer may have named a version meanwhile. The
# platform keeps each server on it for longer.
MAX_GAP_MS = 5_000.0
_ServiceVersion = tuple[ids.ServiceName, ids.SoftwareVersion]


class SoftwareHistory:
    """Remembers the software versions that were listed recently."""

    def __init__(
        self,
        clock: clocks.Clock,
        retention: origin_retention.OriginRetention,
    ) -> None:
        self._clock = clock
        self._retention = retention
        self._listed: set[_ServiceVersion] = set()
        self._seen_at_ms: dict[_ServiceVersion, float] = {}
        # Since when the list was read without a gap, and its last read.
        self._covered_since_ms: float | None = None
        self._read_at_ms = 0.0

    def observe(
        self,
        listed: collections.abc.Iterable[backends.Backend],
        read_at_ms: float,
    ) -> None:
        """Take note of the list of backend servers read at `read_at_ms`."""
        self.mark_read(read_at_ms)
        now_ms = self._clock.now_ms()
        for each in self._listed:
            self._seen_at_ms[each] = now_ms
        self._listed = {(each.service, each.software) for each in listed}
        kept_ms = self._retention.kept_ms
        self._seen_at_ms = {
            each: seen_ms
            for each, seen_ms in self._seen_at_ms.items()
            if now_ms - seen_ms <= kept_ms
        }

    def mark_read(self, read_at_ms: float) -> None:
        """Take note that the same list was read again at `read_at_ms`."""
        if not math.isfinite(read_at_ms):
            return
        gap_ms = read_at_ms - self._read_at_ms
        if self._covered_since_ms is None or gap_ms > MAX_GAP_MS:
            self._covered_since_ms = read_at_ms
        self._read_at_ms = max(self._read_at_ms, read_at_ms)

    @property
    def covered_ms(self) -> float:
        """Return for how long all versions on the list are known."""
        now_ms = self._clock.now_ms()
        if (
            self._covered_since_ms is None
            or now_ms - self._read_at_ms > MAX_GAP_MS
        ):
            return 0.0
        return now_ms - self._covered_since_ms

    def versions(
        self, service: ids.ServiceName
    ) -> frozenset[ids.SoftwareVersion]:
        """Return a service's versions that streams may have begun at."""
        return self.versions_by_service().get(service, frozenset())

    def versions_by_service(
        self,
    ) -> dict[ids.ServiceName, frozenset[ids.SoftwareVersion]]:
        """Return the versions that streams may have begun at."""
        oldest_ms = self._clock.now_ms() - self._retention.kept_ms
        recent = {
            each
            for each, seen_ms in self._seen_at_ms.items()
            if seen_ms >= oldest_ms
        }
        found: dict[ids.ServiceName, set[ids.SoftwareVersion]] = {}
        for service, software in self._listed | recent:
            found.setdefault(service, set()).add(software)
        return {name: frozenset(each) for name, each in found.items()}
