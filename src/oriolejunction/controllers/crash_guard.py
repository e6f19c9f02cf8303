"""Block requests that crash the engines which start them.

Load pattern: one request crashes each engine that starts it, and its caller
sends it again to any instance. A crash counts against a request that had
produced no event yet, unless other engines of the zone were lost at about the
same time. An engine whose crash several instances saw counts once.

A request that an engine answers in full crashes none, whatever else was lost
meanwhile: links are reset and zones cut off while callers share a request.

The fleet's losses include those that the request caused itself: each retry
crashes another engine. Such a loss is no excuse for the next one.
"""

import math

import msgspec

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers import loss_history
from oriolejunction import fleet_messages as fm
from oriolejunction import fleet_view
from oriolejunction import ids
from oriolejunction import listeners

MAX_CRASHES = 3
CRASH_TTL_MS = 60_000.0
MAX_FINGERPRINTS = 1_000
# More than MAX_CRASHES, since some may prove to be correlated.
MAX_REPORTED_PER_REQUEST = 8


class _Crash(msgspec.Struct, frozen=True):
    """An engine lost with a request, which was sent there `retried` or not."""

    loss: loss_history.Loss
    at_ms: float
    retried: bool


_REPORTED_FIELDS = ("suspects", "crashes_by_request", "answered")


class CrashGuard:
    """Judges crashes by request; a fingerprint covers its path and body."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.losses = loss_history.LossHistory(clock)
        self._crashes: dict[ids.Fingerprint, dict[ids.BackendId, _Crash]] = {}
        # When requests were last answered here, the oldest first.
        self._answered_ms: dict[ids.Fingerprint, float] = {}
        self._others = fleet_view.FleetView()
        self.on_change: listeners.OnChange = listeners.no_op

    @property
    def has_crashes(self) -> bool:
        """Return whether any request has a recorded or reported crash."""
        return bool(self._crashes or self._others.crashes_by_request)

    def record_loss(self, backend_id: ids.BackendId, zone: ids.ZoneId) -> None:
        """Record that an engine was lost, whatever ran on it."""
        self.losses.record(backend_id, zone)

    def update_reported(
        self,
        others: fleet_view.FleetView,
        listed: dict[ids.BackendId, backends.Backend],
    ) -> None:
        """Apply what the other instances report of losses and crashes."""
        if others.same_fields(self._others, _REPORTED_FIELDS):
            self._others = others
            return
        if others.suspects is not self._others.suspects:
            for backend_id in others.suspects - self._others.suspects:
                backend = listed.get(backend_id)
                if backend is not None:
                    self.losses.record(backend_id, backend.zone)
        answered = self.answered()
        self._others = others
        if self.answered() != answered:
            self.on_change()

    def record_answer(self, fingerprint: ids.Fingerprint) -> None:
        """Record that an engine answered a request in full."""
        self._answered_ms.pop(fingerprint, None)
        self._answered_ms[fingerprint] = self._clock.now_ms()
        if len(self._answered_ms) > MAX_FINGERPRINTS:
            del self._answered_ms[next(iter(self._answered_ms))]
        if self._crashes.pop(fingerprint, None) is not None:
            self.on_change()

    def answered(self) -> tuple[ids.Fingerprint, ...]:
        """Return the answered requests that others report to crash engines."""
        oldest_ms = self._clock.now_ms() - CRASH_TTL_MS
        return tuple(
            fingerprint
            for fingerprint in self._others.crashes_by_request
            if self._answered_ms.get(fingerprint, -math.inf) > oldest_ms
        )

    def record_crash(
        self,
        fingerprint: ids.Fingerprint,
        backend_id: ids.BackendId,
        zone: ids.ZoneId,
        sent_ms: float,
    ) -> None:
        """Record that an engine was lost while it started a request.

        The request was sent to it at `sent_ms`.
        """
        loss = self.losses.record(backend_id, zone)
        if self._is_answered(fingerprint) or (
            backend_id in self._own_crashes(fingerprint)
        ):
            return
        retried = any(
            known != backend_id and self.losses.was_lost_before(known, sent_ms)
            for known in self._retried_by_engine(fingerprint)
        )
        crash = _Crash(loss, self._clock.now_ms(), retried)
        self._crashes.setdefault(fingerprint, {})[backend_id] = crash
        self.on_change()
        if len(self._crashes) > MAX_FINGERPRINTS:
            del self._crashes[next(iter(self._crashes))]

    def take_back(
        self, fingerprint: ids.Fingerprint, backend_id: ids.BackendId
    ) -> None:
        """Forget the crash of an engine that proved not to have crashed."""
        crashes = self._crashes.get(fingerprint, {})
        if crashes.pop(backend_id, None) is not None:
            self.on_change()
        if not crashes:
            self._crashes.pop(fingerprint, None)

    def crashes(self) -> tuple[fm.EngineCrash, ...]:
        """Return the recent, uncorrelated crashes, to be reported."""
        self._expire()
        return tuple(
            fm.EngineCrash(fingerprint, backend_id, crash.retried)
            for fingerprint in self._crashes
            for backend_id, crash in list(
                self._own_crashes(fingerprint).items()
            )[:MAX_REPORTED_PER_REQUEST]
        )

    def is_blocked(self, fingerprint: ids.Fingerprint) -> bool:
        """Return whether a request crashed too many engines of the fleet."""
        if self._is_answered(fingerprint):
            return False
        engines = set(self._own_crashes(fingerprint))
        reported = self._others.crashes_by_request.get(fingerprint, ())
        if len(engines) + len(reported) < MAX_CRASHES:
            return False
        retried = self._retried_by_engine(fingerprint)
        for crash in reported:
            loss = self.losses.get(crash.backend_id)
            if loss is None or not _is_correlated(
                loss, retried[crash.backend_id], retried
            ):
                engines.add(crash.backend_id)
        return len(engines) >= MAX_CRASHES

    def _is_answered(self, fingerprint: ids.Fingerprint) -> bool:
        oldest_ms = self._clock.now_ms() - CRASH_TTL_MS
        answered_ms = self._answered_ms.get(fingerprint, -math.inf)
        return answered_ms > oldest_ms or fingerprint in self._others.answered

    def _retried_by_engine(
        self, fingerprint: ids.Fingerprint
    ) -> dict[ids.BackendId, bool]:
        """Return the engines that a request crashed, correlated or not.

        The value tells whether each run there was a retry.
        """
        retried_by_engine: dict[ids.BackendId, bool] = {}
        oldest_ms = self._clock.now_ms() - CRASH_TTL_MS
        for backend_id, crash in self._crashes.get(fingerprint, {}).items():
            if crash.at_ms > oldest_ms:
                retried_by_engine[backend_id] = crash.retried
        for reported in self._others.crashes_by_request.get(fingerprint, ()):
            retried = retried_by_engine.get(reported.backend_id, True)
            retried_by_engine[reported.backend_id] = (
                retried and reported.retried
            )
        return retried_by_engine

    def _own_crashes(
        self, fingerprint: ids.Fingerprint
    ) -> dict[ids.BackendId, _Crash]:
        """Return a request's own crashes that are recent and uncorrelated."""
        if fingerprint not in self._crashes:
            return {}
        oldest_ms = self._clock.now_ms() - CRASH_TTL_MS
        retried = self._retried_by_engine(fingerprint)
        return {
            backend_id: crash
            for backend_id, crash in self._crashes[fingerprint].items()
            if crash.at_ms > oldest_ms
            and not _is_correlated(crash.loss, retried[backend_id], retried)
        }

    def _expire(self) -> None:
        oldest_ms = self._clock.now_ms() - CRASH_TTL_MS
        for fingerprint, crashes in list(self._crashes.items()):
            if all(crash.at_ms <= oldest_ms for crash in crashes.values()):
                del self._crashes[fingerprint]


def _is_correlated(
    loss: loss_history.Loss,
    retried: bool,
    retried_by_engine: dict[ids.BackendId, bool],
) -> bool:
    """Return whether other engines were lost for another reason.

    Engines that the request crashed one after the other are no such reason.
    """
    return any(
        neighbour not in retried_by_engine
        or not (retried or retried_by_engine[neighbour])
        for neighbour in loss.neighbours
    )
