"""Rates that backend servers name for all instances together.

Load pattern: a server in need states in its answers how many requests a
second it takes, for as long as it says so. Answers on several connections
overtake each other.
"""

import collections.abc
import dataclasses

import structlog

from oriolejunction import clock as clocks
from oriolejunction import gateway_messages
from oriolejunction import ids

_log = structlog.get_logger(__name__)


@dataclasses.dataclass
class _Limit:
    """Requests a second that a server last named, at `named_ms`."""

    per_s: float
    named_ms: float


class ServerLimits:
    """The limits that servers name to this instance."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._limit_by_id: dict[ids.BackendId, _Limit] = {}

    def observe(
        self,
        backend_id: ids.BackendId,
        named: gateway_messages.RateLimit | None,
        sent_ms: float,
    ) -> None:
        """Apply the limit in an answer to a request sent at `sent_ms`.

        An answer to a request that was sent before the last limit was named
        may be older than that; it does not raise or lift the limit.
        """
        known = self._limit_by_id.get(backend_id)
        if named is not None and named.per_s is None:
            _log.warning("limit of server not read", backend=backend_id)
            return
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
            )
        self._limit_by_id[backend_id] = _Limit(named.per_s, now_ms)

    def retain_only(
        self, listed: collections.abc.Container[ids.BackendId]
    ) -> None:
        """Drop servers that are no longer listed."""
        for backend_id in list(self._limit_by_id):
            if backend_id not in listed:
                del self._limit_by_id[backend_id]
