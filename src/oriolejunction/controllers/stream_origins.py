"""Which software version runs each stream.

Load pattern: when an entry instance is lost during a release, the callers of
all its streams come to other instances at once, each with the id of the
request that brought the first event. Control replicas hold the origins of all
streams; entry instances ask for single ones, so that the traffic grows with
the streams that begin.
"""

from oriolejunction import clock as clocks
from oriolejunction.controllers import origin_retention
from oriolejunction.controllers import software_history
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import listeners

# Fraction of its time after which a record that is sent again is relayed.
RELAY_AGE_FRACTION = 0.125
MAX_ORIGINS = 50_000


class OriginTable:
    """The newest origin of each stream, for a limited time."""

    def __init__(
        self,
        clock: clocks.Clock,
        retention: origin_retention.OriginRetention,
    ) -> None:
        self._clock = clock
        self._retention = retention
        # Ordered by the time of the last record, the oldest first.
        self._timed_origin_by_id: dict[
            ids.RequestId, tuple[fm.StreamOrigin, float]
        ] = {}

    def put(self, origin: fm.StreamOrigin) -> bool:
        """Record or renew an origin; return whether other replicas need it.

        They don't if the same origin was recorded a short time ago. One with
        a lower number than that recorded is ignored.
        """
        now_ms = self._clock.now_ms()
        previous = self.get(origin.request_id)
        if previous is not None and origin.number < previous.number:
            return False
        _, recorded_ms = self._timed_origin_by_id.pop(
            origin.request_id, (None, 0.0)
        )
        self._timed_origin_by_id[origin.request_id] = (origin, now_ms)
        self._drop_oldest()
        relayed_age_ms = RELAY_AGE_FRACTION * self._retention.kept_ms
        return origin != previous or now_ms - recorded_ms > relayed_age_ms

    def get(self, request_id: ids.RequestId) -> fm.StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        origin, recorded_ms = self._timed_origin_by_id.get(
            request_id, (None, 0.0)
        )
        if self._clock.now_ms() - recorded_ms > self._retention.kept_ms:
            return None
        return origin

    def all(self) -> tuple[fm.StreamOrigin, ...]:
        """Return all origins that have not expired."""
        self._drop_oldest()
        return tuple(origin for origin, _ in self._timed_origin_by_id.values())

    def _drop_oldest(self) -> None:
        oldest_ms = self._clock.now_ms() - self._retention.kept_ms
        while self._timed_origin_by_id:
            request_id = next(iter(self._timed_origin_by_id))
            _, recorded_ms = self._timed_origin_by_id[request_id]
            if (
                recorded_ms >= oldest_ms
                and len(self._timed_origin_by_id) <= MAX_ORIGINS
            ):
                return
            del self._timed_origin_by_id[request_id]


class OriginHub:
    """The origins and software versions that one control replica knows."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.retention = origin_retention.OriginRetention(clock)
        self._table = OriginTable(clock, self.retention)
        self._unforwarded: dict[ids.RequestId, fm.StreamOrigin] = {}
        self.history = software_history.SoftwareHistory(clock, self.retention)
        self.on_change = listeners.no_op

    def put(self, origin: fm.StreamOrigin, direct: bool) -> None:
        """Record an origin.

        `direct` ones come from the entry instance itself and are forwarded
        to the other control replicas.
        """
        if self._table.put(origin) and direct:
            self._unforwarded[origin.request_id] = origin
            self.on_change()

    def take_unforwarded(self) -> dict[ids.RequestId, fm.StreamOrigin]:
        """Remove and return the origins to forward to other replicas."""
        unforwarded, self._unforwarded = self._unforwarded, {}
        return unforwarded

    def reply(
        self, request_id: ids.RequestId, service: ids.ServiceName
    ) -> fm.OriginReply:
        """Return what this replica knows of a stream."""
        return fm.OriginReply(
            self._table.get(request_id),
            tuple(sorted(self.history.versions(service))),
        )
