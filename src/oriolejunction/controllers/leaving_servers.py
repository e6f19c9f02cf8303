"""The backend servers that entry instances found leaving.

Load pattern: the instance that found a server leaving is lost or starts
again while the list still names the server. What it said is kept until no
list can name that server any more.
"""

import collections.abc
import dataclasses

from oriolejunction import clock as clocks
from oriolejunction import fleet_messages as fm
from oriolejunction import ids

# All entry instances may be killed, and report again this much later.
KEPT_MS = 60_000.0
# As many as an entry instance keeps.
MAX_SERVERS = 4_096


@dataclasses.dataclass
class _Leaving:
    born: int
    left_ms: float
    reported_ms: float


class LeavingServers:
    """The newest leaving incarnation of each server."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        # Ordered by the time of the report, the oldest first.
        self._leaving_by_id: dict[ids.BackendId, _Leaving] = {}

    def put(self, servers: collections.abc.Iterable[fm.LeavingServer]) -> bool:
        """Store reported servers; return whether any is new."""
        now_ms = self._clock.now_ms()
        has_new = False
        for server in servers:
            known = self._leaving_by_id.get(server.backend_id)
            if known is not None and server.born < known.born:
                continue
            is_new = known is None or server.born > known.born
            left_ms = now_ms - server.age_ms
            if not is_new:
                left_ms = min(left_ms, known.left_ms)
            has_new |= is_new
            self._leaving_by_id.pop(server.backend_id, None)
            self._leaving_by_id[server.backend_id] = _Leaving(
                server.born, left_ms, now_ms
            )
        self._drop_old(now_ms)
        return has_new

    def all(self) -> tuple[fm.LeavingServer, ...]:
        """Return the leaving servers, with the time since they left."""
        now_ms = self._clock.now_ms()
        self._drop_old(now_ms)
        return tuple(
            fm.LeavingServer(
                backend_id, each.born, round(now_ms - each.left_ms)
            )
            for backend_id, each in self._leaving_by_id.items()
        )

    def _drop_old(self, now_ms: float) -> None:
        while self._leaving_by_id:
            oldest = next(iter(self._leaving_by_id))
            is_recent = (
                now_ms - self._leaving_by_id[oldest].reported_ms <= KEPT_MS
            )
            if is_recent and len(self._leaving_by_id) <= MAX_SERVERS:
                return
            del self._leaving_by_id[oldest]
