"""Origins of streams that wait until another process can be reached."""

import collections.abc
import itertools

from oriolejunction import clock as clocks
from oriolejunction.controllers import drop_log
from oriolejunction import fleet_messages as fm
from oriolejunction import ids

MAX_WAITING = 50_000

_Origins = collections.abc.Iterable[fm.StreamOrigin]


class OriginBacklog:
    """The newest origin of each stream to be sent, MAX_WAITING at most."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._waiting: dict[ids.RequestId, fm.StreamOrigin] = {}
        self._drops = drop_log.DropLog(clock, "origins not sent")

    def __bool__(self) -> bool:
        return bool(self._waiting)

    def add(self, origins: _Origins) -> None:
        """Add origins that replace earlier ones of their streams."""
        self._waiting.update((each.request_id, each) for each in origins)
        self._drop_oldest()

    def put_back(self, origins: _Origins) -> None:
        """Add origins that were taken earlier but not acknowledged."""
        self._waiting = {
            each.request_id: each for each in origins
        } | self._waiting
        self._drop_oldest()

    def take(self, limit: int) -> tuple[fm.StreamOrigin, ...]:
        """Remove and return origins, `limit` at most, the oldest first."""
        taken = tuple(itertools.islice(self._waiting.values(), limit))
        if len(taken) == len(self._waiting):
            self._waiting = {}
        for each in taken:
            self._waiting.pop(each.request_id, None)
        return taken

    def discard(self, request_id: ids.RequestId) -> None:
        """Remove the origin of a stream, if it waits."""
        self._waiting.pop(request_id, None)

    def _drop_oldest(self) -> None:
        excess = len(self._waiting) - MAX_WAITING
        for request_id in list(
            itertools.islice(self._waiting, max(0, excess))
        ):
            del self._waiting[request_id]
        if excess > 0:
            self._drops.count("origins", excess)
        self._drops.flush(waiting=len(self._waiting))
