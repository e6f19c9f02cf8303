"""Budget for later attempts, so that retries cannot multiply load.

The first continuation of a generation is always allowed, since it completes
an interrupted answer; instead, the dispatcher limits how many of them an
engine prefills at once. Each later attempt spends from a budget that first
attempts refill.
"""

import collections

from oriolejunction.controllers import route_request
from oriolejunction import ids

REFILL_PER_GENERATION = 0.1
MAX_BUDGET = 50.0
FREE_ATTEMPTS = 2


class RetryBudget:
    """Counts attempts by generation, and charges for later ones."""

    def __init__(self) -> None:
        self._budget = MAX_BUDGET
        self._attempts: collections.Counter[ids.GenerationId]
        self._attempts = collections.Counter()

    def allows(self, route: route_request.RouteRequest) -> bool:
        """Return whether a generation may have another attempt."""
        attempts = self._attempts[route.generation]
        return attempts < FREE_ATTEMPTS or self._budget >= 1.0

    def spend(self, route: route_request.RouteRequest) -> None:
        """Record an attempt that was assigned an engine."""
        attempts = self._attempts[route.generation]
        if attempts == 0:
            self._budget = min(
                MAX_BUDGET, self._budget + REFILL_PER_GENERATION
            )
        if attempts >= FREE_ATTEMPTS:
            self._budget -= 1.0
        self._attempts[route.generation] = attempts + 1

    def forget(self, generation: ids.GenerationId) -> None:
        """Drop a generation that ended."""
        self._attempts.pop(generation, None)
