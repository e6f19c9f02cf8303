"""Which backend servers are suspected lost or failing, and on what evidence.

Load pattern: most engines of an availability zone crash within a second, some
of them silently, and stay on the platform's list for several more seconds.
What one instance finds out, the others must not have to find out again.
"""

import collections
import collections.abc

from oriolejunction import clock as clocks
from oriolejunction import ids
from oriolejunction import listeners

# A lost backend server that is still listed is tried again after this time.
SUSPECT_MS = 2_500.0
# An own answer younger than this overrides the suspicions of others.
OWN_EVIDENCE_MS = 300.0
# An incarnation is not coming back once another one answers at its address.
REPLACED_MS = 30_000.0
FAILURE_WINDOW_MS = 4_000.0
FAILURE_WEIGHT = 0.3


class BackendHealth:
    """Suspicions of one instance, and the failure rates it observed."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._suspected_until_ms: dict[ids.BackendId, float] = {}
        self._answered_at_ms: dict[ids.BackendId, float] = {}
        self._failure_rate_by_id: dict[ids.BackendId, tuple[float, float]] = {}
        self.on_change: listeners.OnChange = listeners.no_op

    def mark_lost(
        self, backend_id: ids.BackendId, for_ms: float = SUSPECT_MS
    ) -> None:
        """Suspect a backend server of being lost for `for_ms`."""
        until_ms = self._clock.now_ms() + for_ms
        current_ms = self._suspected_until_ms.get(backend_id, 0.0)
        self._suspected_until_ms[backend_id] = max(current_ms, until_ms)
        self.on_change()

    def mark_answered(self, backend_id: ids.BackendId) -> None:
        """Record that a backend server answered or accepted a connection."""
        self._answered_at_ms[backend_id] = self._clock.now_ms()
        if self._suspected_until_ms.pop(backend_id, None) is not None:
            self.on_change()

    def record_outcome(self, backend_id: ids.BackendId, failed: bool) -> None:
        """Record whether a call failed by a fault of the backend server."""
        rate, _ = self._failure_rate_by_id.get(backend_id, (0.0, 0.0))
        rate += FAILURE_WEIGHT * (float(failed) - rate)
        self._failure_rate_by_id[backend_id] = (rate, self._clock.now_ms())

    def failure_rate(self, backend_id: ids.BackendId) -> float:
        """Return the recent failure rate; it decays to 0 without answers."""
        rate, at_ms = self._failure_rate_by_id.get(backend_id, (0.0, 0.0))
        age_ms = self._clock.now_ms() - at_ms
        return rate * max(0.0, 1.0 - age_ms / FAILURE_WINDOW_MS)

    def suspects(self) -> tuple[ids.BackendId, ...]:
        """Return the own suspects, to be reported to the others."""
        now_ms = self._clock.now_ms()
        for backend_id, until_ms in list(self._suspected_until_ms.items()):
            if until_ms <= now_ms:
                del self._suspected_until_ms[backend_id]
                self.on_change()
        return tuple(sorted(self._suspected_until_ms))

    def forget_suspects(self) -> None:
        """Take back all own suspicions."""
        if self._suspected_until_ms:
            self._suspected_until_ms.clear()
            self.on_change()

    def is_suspect(
        self, backend_id: ids.BackendId, reported: frozenset[ids.BackendId]
    ) -> bool:
        """Return whether to avoid a backend server.

        `reported` are the suspects of the other instances.
        """
        now_ms = self._clock.now_ms()
        if self._suspected_until_ms.get(backend_id, 0.0) > now_ms:
            return True
        if backend_id not in reported:
            return False
        answered_ms = self._answered_at_ms.get(backend_id, float("-inf"))
        return now_ms - answered_ms > OWN_EVIDENCE_MS

    def retain_only(self, listed: set[ids.BackendId]) -> None:
        """Drop backend servers that are no longer listed."""
        tables: tuple[collections.abc.MutableMapping, ...] = (
            self._suspected_until_ms,
            self._answered_at_ms,
            self._failure_rate_by_id,
        )
        for table in tables:
            for backend_id in set(table) - listed:
                del table[backend_id]
