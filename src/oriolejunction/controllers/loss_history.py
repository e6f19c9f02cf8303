"""When engines were lost, and which others of their zone were lost then."""

import msgspec

from oriolejunction import clock as clocks
from oriolejunction import ids

# Engines of a zone lost within this time of each other crashed together.
CORRELATED_LOSS_MS = 1_200.0
# A lost engine that is found lost again within this time was not back.
STILL_LOST_MS = 3_000.0
MAX_LOSSES = 512


class Loss(msgspec.Struct):
    """An engine lost at `at_ms` and last found lost at `found_ms`.

    `neighbours` are the engines of its zone lost at about the same time.
    """

    zone: ids.ZoneId
    at_ms: float
    found_ms: float
    neighbours: set[ids.BackendId] = msgspec.field(default_factory=set)


class LossHistory:
    """The latest loss of each engine, own and reported ones."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        # Ordered by `at_ms`, the oldest first.
        self._loss_by_id: dict[ids.BackendId, Loss] = {}

    def get(self, backend_id: ids.BackendId) -> Loss | None:
        """Return the latest loss of an engine, None if none is known."""
        return self._loss_by_id.get(backend_id)

    def record(self, backend_id: ids.BackendId, zone: ids.ZoneId) -> Loss:
        """Record that an engine was lost, whatever ran on it."""
        now_ms = self._clock.now_ms()
        known = self._loss_by_id.get(backend_id)
        if known is not None:
            if now_ms - known.found_ms <= STILL_LOST_MS:
                known.found_ms = now_ms
                return known
            del self._loss_by_id[backend_id]
        loss = Loss(zone, now_ms, now_ms)
        for other_id, other in reversed(self._loss_by_id.items()):
            if now_ms - other.at_ms > CORRELATED_LOSS_MS:
                break
            if other.zone == zone:
                loss.neighbours.add(other_id)
                other.neighbours.add(backend_id)
        self._loss_by_id[backend_id] = loss
        if len(self._loss_by_id) > MAX_LOSSES:
            del self._loss_by_id[next(iter(self._loss_by_id))]
        return loss

    def was_lost_before(self, backend_id: ids.BackendId, at_ms: float) -> bool:
        """Return whether an engine was lost before a time, or is unknown."""
        loss = self._loss_by_id.get(backend_id)
        return loss is None or loss.at_ms < at_ms
