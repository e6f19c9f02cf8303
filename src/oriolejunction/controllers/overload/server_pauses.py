"""Pauses that backend servers ask this instance for.

Load pattern: a server in need turns requests away, and states for how long it
wants none from this instance. Several requests are on their way to it then,
and their answers arrive in any order, with longer and shorter pauses. All
servers of a service may ask for a pause at once, and all instances may be
asked at once; at the end, none may be met by all that has waited.

A pause binds this instance only: the server may want the requests of others.
"""

import collections.abc
import math
import random

import msgspec
import structlog

from oriolejunction import clock as clocks
from oriolejunction import gateway_messages
from oriolejunction import ids

MAX_PAUSE_MS = 600_000.0
# Used for a pause that cannot be read.
DEFAULT_PAUSE_MS = 1_000.0
# Pauses end later by up to this part of them, so that the instances do not
# return together.
SPREAD_FRACTION = 0.25
MAX_SPREAD_MS = 500.0
# After a pause, the next request is sent once the first one is answered, or
# after this time.
TRIAL_MS = 1_000.0
# A brittle server that turned a request away gets none from here for the
# former time, and up to the latter time more.
MIN_REST_MS = 1_000.0
MAX_REST_MS = 8_000.0
# Part of the rejections that a brittle server survives which all instances
# together may cause as they return.
REJECTED_PART = 1 / 3
_log = structlog.get_logger(__name__)


class _Pause(msgspec.Struct):
    """A server wants no request until `until_ms`.

    After that, none is sent until `trial_until_ms` while the first one has
    no answer.
    """

    until_ms: float
    trial_until_ms: float = -math.inf


class ServerPauses:
    """Until when servers want no requests of this instance."""

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._pause_by_id: dict[ids.BackendId, _Pause] = {}

    @property
    def are_known(self) -> bool:
        """Return whether any server has asked for a pause of late."""
        return bool(self._pause_by_id)

    def observe(
        self,
        backend_id: ids.BackendId,
        asked: gateway_messages.PauseRequest | None,
        sent_ms: float,
    ) -> None:
        """Apply the pause in an answer to a request sent at `sent_ms`.

        The longest pause holds. An answer without one ends it only if its
        request was sent after that.
        """
        known = self._pause_by_id.get(backend_id)
        if asked is None:
            if known is not None and sent_ms >= known.until_ms:
                del self._pause_by_id[backend_id]
                _log.info("pause of server ended", backend=backend_id)
            return
        for_ms = asked.for_ms
        if for_ms is None:
            _log.warning("pause of server not read", backend=backend_id)
            for_ms = DEFAULT_PAUSE_MS
        if for_ms <= 0.0:
            return
        spread_ms = min(MAX_SPREAD_MS, SPREAD_FRACTION * for_ms)
        self._begin(
            backend_id, min(for_ms, MAX_PAUSE_MS), spread_ms, "asked for"
        )

    def observe_rejection(
        self,
        backend_id: ids.BackendId,
        falls_over_at: int,
        instance_count: int,
    ) -> None:
        """Keep away from a brittle server that had no room for a request.

        It survives `falls_over_at` rejections in a second. All instances
        may have been turned away, and each returns with one request.
        """
        allowed_per_s = max(1.0, REJECTED_PART * falls_over_at)
        spread_ms = min(MAX_REST_MS, 1e3 * instance_count / allowed_per_s)
        self._begin(backend_id, MIN_REST_MS, spread_ms, "brittle, has no room")

    def is_paused(self, backend_id: ids.BackendId) -> bool:
        """Return whether a server wants no request now."""
        pause = self._pause_by_id.get(backend_id)
        return pause is not None and self._clock.now_ms() < pause.until_ms

    def allows(self, backend_id: ids.BackendId) -> bool:
        """Return whether a server may be chosen for a request now."""
        return not self.remaining_ms(backend_id)

    def remaining_ms(self, backend_id: ids.BackendId) -> float:
        """Return the time until a server may be chosen, 0 for now."""
        pause = self._pause_by_id.get(backend_id)
        if pause is None:
            return 0.0
        open_ms = max(pause.until_ms, pause.trial_until_ms)
        return max(0.0, open_ms - self._clock.now_ms())

    def take(self, backend_id: ids.BackendId) -> None:
        """Count a request that is about to be sent to a server."""
        pause = self._pause_by_id.get(backend_id)
        if pause is not None:
            pause.trial_until_ms = self._clock.now_ms() + TRIAL_MS

    def give_back(self, backend_id: ids.BackendId) -> None:
        """Uncount a request that was not sent after all."""
        pause = self._pause_by_id.get(backend_id)
        if pause is not None:
            pause.trial_until_ms = -math.inf

    def _begin(
        self,
        backend_id: ids.BackendId,
        least_ms: float,
        spread_ms: float,
        why: str,
    ) -> None:
        """Begin a pause, unless a longer one holds."""
        for_ms = least_ms + self._rng.uniform(0, spread_ms)
        until_ms = self._clock.now_ms() + for_ms
        known = self._pause_by_id.get(backend_id)
        _log.info(
            "pause of server begins",
            backend=backend_id,
            why=why,
            for_ms=round(for_ms),
            left_ms=known and round(known.until_ms - self._clock.now_ms()),
        )
        if known is None or known.until_ms < until_ms:
            self._pause_by_id[backend_id] = _Pause(until_ms)

    def retain_only(
        self, listed: collections.abc.Container[ids.BackendId]
    ) -> None:
        """Drop servers that are no longer listed, once their pause is over.

        A list may leave a server out for once.
        """
        for backend_id in list(self._pause_by_id):
            if backend_id not in listed and self.allows(backend_id):
                del self._pause_by_id[backend_id]
