"""Decides which requests try the target of a rollout, and at which servers.

Load pattern: many instances may each send a few requests to the target, out
of a request or less a second each, on routes of unequal demand. A version
that is bad on one route only, or only under load, must be seen with these
few. So a rare route may always use the next send, while a frequent one has to
be drawn or to wait, and all instances send to the same few servers. An
allowance is used as soon as its route comes, so that these servers see
requests together.
"""

import collections
import collections.abc
import hashlib
import math

from oriolejunction import backends

# A part of the servers as large as half of the requests' part that may reach
# the target has about the load of a server after the rollout.
SERVERS_PER_SHARE = 0.5
# Demand of a route is forgotten with this time; at an instance with a request
# every two seconds, a route with a tenth of them comes every 20 s.
ROUTE_DECAY_MS = 60_000.0
# After this wait any route may use a send; the one drawn may at once. It is
# less than half of the time in which a version is observed.
TURN_WAIT_MS = 5_000.0
# Routes with this part of the demand are drawn equally often; the leader wants
# answers of each of them. Those with less are drawn less often.
MAJOR_ROUTE_SHARE = 0.1
# Routes remembered for each service.
MAX_ROUTES = 64


def _rank(*parts: object) -> int:
    """Return a number that is the same at all instances."""
    digest = hashlib.blake2b("/".join(map(str, parts)).encode())
    return int.from_bytes(digest.digest()[:4])


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
    """The routes of one service and their demand at this instance."""

    def __init__(self) -> None:
        self._demand: dict[str, tuple[float, float]] = {}

    def observe(self, route: str, now_ms: float) -> None:
        """Count a request; its weight falls with time."""
        weight = self.weight(route, now_ms) + 1.0
        # The routes stay in the order of their last request.
        self._demand.pop(route, None)
        self._demand[route] = weight, now_ms
        if len(self._demand) > MAX_ROUTES:
            del self._demand[next(iter(self._demand))]

    def weight(self, route: str, now_ms: float) -> float:
        """Return the demand of a route."""
        weight, at_ms = self._demand.get(route, (0.0, now_ms))
        return weight * math.exp((at_ms - now_ms) / ROUTE_DECAY_MS)

    def weights(self, now_ms: float) -> dict[str, float]:
        """Return the demand of each route."""
        return {each: self.weight(each, now_ms) for each in self._demand}


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
        weights: dict[str, float],
        left: int,
        now_ms: float,
    ) -> bool:
        """Return whether a route's request may use one of `left` sends.

        `weights` holds the demand of each route.
        """
        fewest = min((self._sends[each] for each in weights), default=0)
        spare = left // max(1, 2 * len(weights))
        if spare and self._sends[route] <= fewest + spare:
            return True
        if weights.get(route, 0.0) * len(weights) <= sum(weights.values()):
            # A route that is rarer than others always has its turn.
            return True
        drawn = sorted(weights, key=lambda each: self._draw(each, weights))
        position = drawn.index(route) if route in weights else 0
        waited_ms = now_ms - self._since_ms
        return waited_ms >= position * TURN_WAIT_MS / max(1, len(drawn))

    def _draw(self, route: str, weights: dict[str, float]) -> float:
        """Return a number that is lower the more likely a route is drawn.

        The first of such numbers is each route's with its weight's share.
        """
        turn = self._sends.total()
        rank = _rank(self._salt, self._number, turn, route)
        chance = (rank + 1) / (1 << 32)
        share = weights[route] / sum(weights.values())
        return -math.log(chance) / min(MAJOR_ROUTE_SHARE, share)
