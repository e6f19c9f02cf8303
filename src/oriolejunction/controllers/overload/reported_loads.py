"""The load that backend servers state in their answers, weighed by its age.

Load pattern: many instances send a few plain servers some hundred calls a
second, so that one instance sees the figures of a server about once a second.
Requests come and go within tens of ms, and the speed of a machine changes
many times a second. A single reading is therefore soon worth little, while
the mean of several still tells a busy server from an idle one. A server whose
queue is full rejects what it is sent, within a few ms.

A figure that jumps about is averaged over many readings, and one that moved
to a new level is followed at once. The newest count of requests yields to
their mean within a fraction of a second, and after `MAX_AGE_MS` nothing is
left of either. A server that sends no figures has no estimate.
"""

import collections.abc
import math
import random

import msgspec
import structlog

from oriolejunction import clock as clocks
from oriolejunction import gateway_messages
from oriolejunction import ids

# Older readings count for nothing. An instance that sends two calls a second
# to four servers has a reading of each that is 2 s old on average.
MAX_AGE_MS = 6_000.0
# A count of requests is replaced by its mean at this rate, which is about the
# time that a call takes.
COUNT_DECAY_MS = 100.0
# Bounds of the weight of one reading in a mean.
MIN_GAIN = 0.1
MAX_GAIN = 0.8
# Weight of one reading in the errors that determine that weight.
ERROR_WEIGHT = 0.3
# The slowdown scatters by about this much, so that a single reading near 1
# says little, and one far from it much.
TYPICAL_SLOWDOWN_ERROR = 0.3
# A full server is avoided for this long. With six slots and calls of some
# 50 ms a place comes free every 8 ms, but others wait for it too.
FULL_MS = 25.0
# Each further rejection in a row doubles that time, up to this bound.
MAX_FULL_MS = 200.0
MAX_DOUBLED = 8
# A rejection arrives within a few ms.
TRIAL_MS = 10.0
# The times differ by up to this part, so that instances return one by one.
FULL_SPREAD = 0.5
_log = structlog.get_logger(__name__)


class AdaptiveMean:
    """A mean whose gain is the squared tracking signal of its errors.

    The signal is the smoothed error over the smoothed absolute error: near 0
    while readings scatter around the mean, near 1 once they have moved away.
    """

    def __init__(self, first: float, typical_error: float = 0.0) -> None:
        self.value = first
        self._error = 0.0
        self._absolute_error = typical_error

    def add(self, reading: float) -> None:
        """Move the mean towards a reading."""
        error = reading - self.value
        self._error += ERROR_WEIGHT * (error - self._error)
        self._absolute_error += ERROR_WEIGHT * (
            abs(error) - self._absolute_error
        )
        if self._absolute_error:
            signal = (self._error / self._absolute_error) ** 2
            self.value += min(max(signal, MIN_GAIN), MAX_GAIN) * error


class LoadEstimate(msgspec.Struct, frozen=True):
    """What a server runs and holds for others now, as far as known.

    `slots` is 0 if the server states none. `slowdown` is 1 if work takes as
    long as usual.
    """

    others: float
    slots: int
    slowdown: float
    age_ms: float


class _Server(msgspec.Struct):
    """The readings of one server, less the work of this instance.

    `max_waiting` is the size of its queue as far as known: the waiting
    requests that it had when it rejected one. It was last found full at
    `avoided_ms`.
    """

    at_ms: float
    slots: int
    others: float
    mean_others: AdaptiveMean
    slowdown: AdaptiveMean
    max_waiting: float = math.inf
    avoided_ms: float = -math.inf
    full_until_ms: float = -math.inf
    rejected_in_row: int = 0


class ReportedLoads:
    """The newest and mean loads of the servers that state them."""

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._server_by_id: dict[ids.BackendId, _Server] = {}

    @property
    def are_known(self) -> bool:
        """Return whether any server stated a load."""
        return bool(self._server_by_id)

    def observe(
        self,
        backend_id: ids.BackendId,
        load: gateway_messages.ServerLoad | None,
        own: int,
        rejected: bool,
        sent_ms: float,
    ) -> float:
        """Apply the load in an answer, and whether the server was full.

        `own` counts the other requests of this instance on the server;
        `sent_ms` is when the request was sent that is answered.
        Return for how long the server is avoided, 0 if it is not. Only
        servers that state their load are avoided.
        """
        server = self._server_by_id.get(backend_id)
        if load is not None:
            server = self._apply(server, load, own)
            self._server_by_id[backend_id] = server
        if server is None:
            return 0.0
        if rejected:
            if load is not None and load.waiting:
                server.max_waiting = load.waiting
            if sent_ms < server.avoided_ms:
                # Requests that were sent together are one rejection.
                return 0.0
            server.rejected_in_row += 1
            return self._avoid(backend_id, server)
        server.rejected_in_row = 0
        if load is None or load.waiting < server.max_waiting:
            return 0.0
        # Its queue holds more than it had when it rejected a request.
        server.max_waiting = load.waiting
        return self._avoid(backend_id, server)

    def _apply(
        self,
        server: _Server | None,
        load: gateway_messages.ServerLoad,
        own: int,
    ) -> _Server:
        now_ms = self._clock.now_ms()
        others = float(max(0, load.running + load.waiting - own))
        if server is None or now_ms - server.at_ms > MAX_AGE_MS:
            limit = server.max_waiting if server is not None else math.inf
            server = _Server(
                now_ms,
                load.slots,
                others,
                AdaptiveMean(others),
                AdaptiveMean(1.0, TYPICAL_SLOWDOWN_ERROR),
                limit,
            )
        server.at_ms = now_ms
        server.slots = load.slots
        server.others = others
        server.mean_others.add(others)
        server.slowdown.add(load.slowdown)
        return server

    def _avoid(self, backend_id: ids.BackendId, server: _Server) -> float:
        """Avoid a full server for a short time, and return that time."""
        doubled = max(0, min(server.rejected_in_row, MAX_DOUBLED) - 1)
        for_ms = min(MAX_FULL_MS, FULL_MS * 2.0**doubled)
        for_ms *= 1.0 + FULL_SPREAD * self._rng.uniform(-1.0, 1.0)
        server.avoided_ms = self._clock.now_ms()
        server.full_until_ms = max(
            server.full_until_ms, server.avoided_ms + for_ms
        )
        _log.info(
            "server has no capacity",
            backend=backend_id,
            rejected=server.rejected_in_row,
            max_waiting=server.max_waiting,
            others=round(server.others),
            slots=server.slots,
            for_ms=round(for_ms),
        )
        return for_ms

    def take(self, backend_id: ids.BackendId) -> float:
        """Count a request that is about to be sent to a server.

        One that was full gets the next one only after the time returned, in
        which it rejects the first one if it still is.
        """
        server = self._server_by_id.get(backend_id)
        if server is None or not server.rejected_in_row:
            return 0.0
        server.full_until_ms = max(
            server.full_until_ms, self._clock.now_ms() + TRIAL_MS
        )
        return TRIAL_MS

    def full_ms(self, backend_id: ids.BackendId, own: int) -> float:
        """Return for how long a server has no capacity, 0 if it has some.

        `own` counts the requests of this instance on the server.
        """
        server = self._server_by_id.get(backend_id)
        if server is None:
            return 0.0
        left_ms = max(0.0, server.full_until_ms - self._clock.now_ms())
        if server.slots and own >= server.slots + server.max_waiting:
            return max(left_ms, FULL_MS)
        return left_ms

    def estimate(self, backend_id: ids.BackendId) -> LoadEstimate | None:
        """Return what is known of a server's load, None if nothing."""
        server = self._server_by_id.get(backend_id)
        if server is None:
            return None
        age_ms = self._clock.now_ms() - server.at_ms
        if age_ms > MAX_AGE_MS:
            return None
        weight = 1.0 - age_ms / MAX_AGE_MS
        newest = math.exp(-age_ms / COUNT_DECAY_MS)
        others = newest * server.others
        others += (1.0 - newest) * server.mean_others.value
        return LoadEstimate(
            others=weight * others,
            slots=server.slots,
            slowdown=1.0 + weight * (server.slowdown.value - 1.0),
            age_ms=age_ms,
        )

    def retain_only(
        self, listed: collections.abc.Container[ids.BackendId]
    ) -> None:
        """Drop servers that are no longer listed."""
        for backend_id in list(self._server_by_id):
            if backend_id not in listed:
                del self._server_by_id[backend_id]
