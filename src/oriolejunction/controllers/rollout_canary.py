"""Decides which requests try the target of a rollout, and at which servers.

Load pattern: many instances may each send a few requests to the target, out
of a few requests a second on routes of unequal demand. A version that is bad
on one route only, or only under load, must be seen with these few: each route
gets its turn, and all instances send to the same few servers. The allowance
is used as soon as it is granted, so that these servers see requests together.
"""

import collections
import collections.abc
import zlib

from oriolejunction import backends

# A part of the servers as large as half of the requests' part that may reach
# the target has about the load of a server after the rollout.
SERVERS_PER_SHARE = 0.5
# Routes without a request for longer are not waited for.
ROUTE_ACTIVE_MS = 5_000.0
# A route that is not next in turn waits this long for the one that is: about
# the time between two requests at an instance with four a second.
TURN_WAIT_MS = 300.0
# Routes remembered for each service.
MAX_ROUTES = 64


def _rank(*parts: object) -> int:
    """Return a number that is the same at all instances."""
    return zlib.crc32("/".join(map(str, parts)).encode())


def canary_servers(
    number: int,
    target_servers: collections.abc.Sequence[backends.Backend],
    share: float,
) -> list[backends.Backend]:
    """Return the servers that a rollout's first requests go to."""
    count = max(1, int(SERVERS_PER_SHARE * share * len(target_servers)))
    ranked = sorted(
        target_servers, key=lambda each: _rank(number, each.backend_id)
    )
    return ranked[:count]


class ActiveRoutes:
    """The routes of one service that had requests lately."""

    def __init__(self) -> None:
        self._seen_ms: collections.OrderedDict[str, float]
        self._seen_ms = collections.OrderedDict()

    def observe(self, route: str, now_ms: float) -> None:
        """Take note of a request."""
        self._seen_ms[route] = now_ms
        self._seen_ms.move_to_end(route)
        while (
            len(self._seen_ms) > MAX_ROUTES
            or now_ms - next(iter(self._seen_ms.values())) > ROUTE_ACTIVE_MS
        ):
            self._seen_ms.popitem(last=False)

    def names(self) -> collections.abc.Collection[str]:
        """Return the names of the routes."""
        return self._seen_ms.keys()


class CanaryTurns:
    """Shares an instance's sends to the target among the routes."""

    def __init__(self, number: int, salt: int, now_ms: float) -> None:
        self._number = number
        self._salt = salt
        self._since_ms = now_ms
        self._sends: collections.Counter[str] = collections.Counter()

    def restart_wait(self, now_ms: float) -> None:
        """Let the routes take turns anew after a grant."""
        self._since_ms = now_ms

    def record_send(self, route: str, now_ms: float) -> None:
        """Count a request that was sent to the target."""
        self._sends[route] += 1
        self._since_ms = now_ms

    def is_due(
        self,
        route: str,
        routes: collections.abc.Collection[str],
        left: int,
        now_ms: float,
    ) -> bool:
        """Return whether a route's request may use one of `left` sends."""
        if now_ms - self._since_ms >= TURN_WAIT_MS:
            return True
        fewest = min((self._sends[each] for each in routes), default=0)
        spare = left // max(1, 2 * len(routes))
        if left >= len(routes):
            return self._sends[route] <= fewest + spare
        first = min(
            (each for each in routes if self._sends[each] == fewest),
            key=lambda each: _rank(self._salt, self._number, each),
            default=route,
        )
        return route == first
