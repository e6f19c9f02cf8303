"""Block requests that crash the engines which start them.

Load pattern: one request crashes each engine that starts it, and its caller
sends it again to any instance. A crash counts against a request that had
produced no event yet, unless other engines of the zone were lost at about the
same time. An engine whose crash several instances saw counts once.
"""

import collections

from oriolejunction import clock as clocks
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import listeners

MAX_CRASHES = 3
CRASH_TTL_MS = 60_000.0
# Engines of a zone lost within this time of each other crashed together.
CORRELATED_LOSS_MS = 1_200.0
MAX_FINGERPRINTS = 1_000


class CrashGuard:
    """Counts crashes by request; a fingerprint covers its path and body."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._losses: collections.deque = collections.deque(maxlen=256)
        self._crashes: dict[
            ids.Fingerprint, list[tuple[ids.BackendId, ids.ZoneId, float]]
        ] = {}
        self.on_change: listeners.OnChange = listeners.no_op

    @property
    def has_crashes(self) -> bool:
        """Return whether any request has a recorded crash."""
        return bool(self._crashes)

    def record_loss(self, backend_id: ids.BackendId, zone: ids.ZoneId) -> None:
        """Record that an engine was lost, whatever ran on it."""
        self._losses.append((backend_id, zone, self._clock.now_ms()))

    def record_crash(
        self,
        fingerprint: ids.Fingerprint,
        backend_id: ids.BackendId,
        zone: ids.ZoneId,
    ) -> None:
        """Record that an engine was lost while it started a request."""
        self.record_loss(backend_id, zone)
        crashes = self._crashes.setdefault(fingerprint, [])
        if any(known == backend_id for known, _, _ in crashes):
            return
        crashes.append((backend_id, zone, self._clock.now_ms()))
        self.on_change()
        if len(self._crashes) > MAX_FINGERPRINTS:
            del self._crashes[next(iter(self._crashes))]

    def crashes(self) -> tuple[fm.EngineCrash, ...]:
        """Return the recent, uncorrelated crashes, to be reported.

        Of one request there are at most MAX_CRASHES, which block it.
        """
        return tuple(
            fm.EngineCrash(fingerprint, backend_id)
            for fingerprint in self._crashes
            for backend_id in self._crashed_engines(fingerprint)[:MAX_CRASHES]
        )

    def is_blocked(
        self,
        fingerprint: ids.Fingerprint,
        reported: dict[ids.Fingerprint, tuple[fm.EngineCrash, ...]],
    ) -> bool:
        """Return whether a request crashed too many engines.

        `reported` are the crashes that the other instances saw.
        """
        engines = set(self._crashed_engines(fingerprint))
        engines.update(
            crash.backend_id for crash in reported.get(fingerprint, ())
        )
        return len(engines) >= MAX_CRASHES

    def _crashed_engines(
        self, fingerprint: ids.Fingerprint
    ) -> list[ids.BackendId]:
        """Return the engines of a request's own, uncorrelated crashes."""
        oldest_ms = self._clock.now_ms() - CRASH_TTL_MS
        return [
            backend_id
            for backend_id, zone, at_ms in self._crashes.get(fingerprint, ())
            if at_ms > oldest_ms
            and not self._is_correlated(backend_id, zone, at_ms)
        ]

    def _is_correlated(
        self, backend_id: ids.BackendId, zone: ids.ZoneId, at_ms: float
    ) -> bool:
        return any(
            other != backend_id
            and other_zone == zone
            and abs(other_ms - at_ms) <= CORRELATED_LOSS_MS
            for other, other_zone, other_ms in self._losses
        )
