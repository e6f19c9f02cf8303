"""Which backend servers are thought lost or failing, on what evidence.

Load pattern: most engines of an availability zone crash within a second,
some without a sign, and stay on the platform's list for seconds more. What
one instance finds out the others must not find out again.
"""

import collections
import collections.abc

from oriolejunction import clock as clocks
from oriolejunction import ids
from oriolejunction import listeners

# A lost engine is tried again after this time, if it is listed still.
SUSPECT_MS = 2_500.0
# Evidence of others counts less than an own answer younger than this.
OWN_EVIDENCE_MS = 300.0
# An incarnation that another one answered for is not coming back.
REPLACED_MS = 30_000.0
FAILURE_WINDOW_MS = 4_000.0
FAILURE_WEIGHT = 0.3


class BackendHealth:
    """Suspicions of one instance, and its share of failed answers."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._suspected_until_ms: dict[ids.BackendId, float] = {}
        self._answered_at_ms: dict[ids.BackendId, float] = {}
        self._failure_rate_by_id: dict[ids.BackendId, tuple[float, float]] = {}
        self.on_change: listeners.OnChange = listeners.no_op

    def mark_lost(
        self, backend_id: ids.BackendId, for_ms: float = SUSPECT_MS
    ) -> None:
        """Note evidence that a backend server is lost."""
        until_ms = self._clock.now_ms() + for_ms
        held = self._suspected_until_ms.get(backend_id, 0.0)
        self._suspected_until_ms[backend_id] = max(held, until_ms)
        self.on_change()

    def mark_answered(self, backend_id: ids.BackendId) -> None:
        """Note that a backend server has answered or is connected to."""
        self._answered_at_ms[backend_id] = self._clock.now_ms()
        if self._suspected_until_ms.pop(backend_id, None) is not None:
            self.on_change()

    def record_outcome(self, backend_id: ids.BackendId, failed: bool) -> None:
        """Take in whether an answer was a failure of the server's own."""
        share, _ = self._failure_rate_by_id.get(backend_id, (0.0, 0.0))
        share += FAILURE_WEIGHT * (float(failed) - share)
        self._failure_rate_by_id[backend_id] = (share, self._clock.now_ms())

    def failure_rate(self, backend_id: ids.BackendId) -> float:
        """Return the recent share of failed answers, 0 when long ago."""
        share, at_ms = self._failure_rate_by_id.get(backend_id, (0.0, 0.0))
        age_ms = self._clock.now_ms() - at_ms
        return share * max(0.0, 1.0 - age_ms / FAILURE_WINDOW_MS)

    def suspects(self) -> tuple[ids.BackendId, ...]:
        """Return the own suspects, to be told to the others."""
        now_ms = self._clock.now_ms()
        for backend_id, until_ms in list(self._suspected_until_ms.items()):
            if until_ms <= now_ms:
                del self._suspected_until_ms[backend_id]
                self.on_change()
        return tuple(sorted(self._suspected_until_ms))

    def is_suspect(
        self, backend_id: ids.BackendId, reported: frozenset[ids.BackendId]
    ) -> bool:
        """Return whether a backend server is to be avoided now."""
        now_ms = self._clock.now_ms()
        if self._suspected_until_ms.get(backend_id, 0.0) > now_ms:
            return True
        if backend_id not in reported:
            return False
        answered_ms = self._answered_at_ms.get(backend_id, float("-inf"))
        return now_ms - answered_ms > OWN_EVIDENCE_MS

    def retain_only(self, listed: set[ids.BackendId]) -> None:
        """Forget backend servers that are listed no more."""
        tables: tuple[collections.abc.MutableMapping, ...] = (
            self._suspected_until_ms,
            self._answered_at_ms,
            self._failure_rate_by_id,
        )
        for table in tables:
            for backend_id in set(table) - listed:
                del table[backend_id]
