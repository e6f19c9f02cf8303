"""The software versions that each service's engines had lately.

Load pattern: during a release, engines of two versions serve one service, and
a stream whose version is not known may have begun at either. The engines of
the former version leave the list before all of their streams are over.
"""

import collections.abc

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers import origin_retention
from oriolejunction import ids

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

    def observe(
        self, listed: collections.abc.Iterable[backends.Backend]
    ) -> None:
        """Take note of the current list of backend servers."""
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

    def versions(
        self, service: ids.ServiceName
    ) -> frozenset[ids.SoftwareVersion]:
        """Return a service's versions that streams may have begun at."""
        oldest_ms = self._clock.now_ms() - self._retention.kept_ms
        recent = {
            each
            for each, seen_ms in self._seen_at_ms.items()
            if seen_ms >= oldest_ms
        }
        return frozenset(
            software
            for name, software in self._listed | recent
            if name == service
        )
