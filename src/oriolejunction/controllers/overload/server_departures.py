"""Which incarnations of backend servers have said that they leave.

Load pattern: a release or a shrinking fleet stops many servers within
seconds, while the list that shows it lags, and instances start, move to other
control replicas or get older lists meanwhile. A server may start again under
the same id; its birth tells the incarnations apart, in any order of arrival.
"""

import collections.abc
import dataclasses

import structlog

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import listeners

# A list that was read before a server left may name it for far less long.
KEPT_UNLISTED_MS = 60_000.0
# Bounds the memory, far above the servers that leave within a minute.
MAX_DEPARTURES = 4_096
UNKNOWN_BORN = 0
_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class _Incarnation:
    """The newest known birth of a server, known since `since_ms`."""

    born: int
    since_ms: float


@dataclasses.dataclass
class _Departure:
    """An incarnation that left at `left_ms`, listed until `listed_ms`."""

    born: int
    left_ms: float
    listed_ms: float
    is_own: bool


class ServerDepartures:
    """The incarnations that take no new request of this instance."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._departure_by_id: dict[ids.BackendId, _Departure] = {}
        self._incarnation_by_id: dict[ids.BackendId, _Incarnation] = {}
        self._listed: collections.abc.Mapping[
            ids.BackendId, backends.Backend
        ] = {}
        self.on_change: listeners.OnChange = listeners.no_op

    def has_left(self, backend_id: ids.BackendId) -> bool:
        """Return whether the newest known incarnation of a server leaves."""
        return backend_id in self._departure_by_id

    def observe_answer(
        self, backend: backends.Backend, sent_ms: float, source: str
    ) -> None:
        """Close a server that says in an answer that it leaves.

        The request was sent at `sent_ms`. An incarnation that became known
        later, or is listed at another address, did not give the answer.
        """
        known = self._incarnation_by_id.get(backend.backend_id)
        listed = self._listed.get(backend.backend_id, backend)
        born = backend.born
        if (
            known is not None
            and known.since_ms <= sent_ms
            and listed.address == backend.address
        ):
            born = max(born, known.born)
        if self._close(backend.backend_id, born, sent_ms, source, True):
            self.on_change()

    def observe_report(
        self,
        backend: backends.Backend,
        born: int,
        leaving: bool,
        asked_ms: float,
    ) -> None:
        """Apply a server's own report of its birth, asked at `asked_ms`."""
        self._observe_born(backend.backend_id, born, asked_ms)
        if leaving and self._close(
            backend.backend_id, born, asked_ms, "report", True
        ):
            self.on_change()

    def observe_reported(
        self, servers: collections.abc.Iterable[fm.LeavingServer]
    ) -> None:
        """Close the servers that other instances found leaving."""
        now_ms = self._clock.now_ms()
        for each in servers:
            left_ms = now_ms - each.age_ms
            self._close(
                each.backend_id, each.born, left_ms, "instances", False
            )

    def observe_listed(self, snapshot: backends.BackendSnapshot) -> None:
        """Take note of the incarnations on the platform's list."""
        now_ms = self._clock.now_ms()
        for backend_id in self._listed:
            departure = self._departure_by_id.get(backend_id)
            if departure is not None:
                departure.listed_ms = now_ms
        if snapshot.by_id is not self._listed:
            self._listed = snapshot.by_id
            for backend in snapshot.by_id.values():
                self._observe_born(
                    backend.backend_id, backend.born, snapshot.read_at_ms
                )
            for backend_id in list(self._incarnation_by_id):
                if backend_id not in self._listed:
                    del self._incarnation_by_id[backend_id]
        self._drop_old()

    def to_report(self) -> tuple[fm.LeavingServer, ...]:
        """Return what the other instances are to know.

        What others found is passed on while the server is listed, so that it
        outlives the instance that found it and the control replicas.
        """
        now_ms = self._clock.now_ms()
        return tuple(
            fm.LeavingServer(
                backend_id, each.born, round(now_ms - each.left_ms)
            )
            for backend_id, each in self._departure_by_id.items()
            if each.is_own or backend_id in self._listed
        )

    def _close(
        self,
        backend_id: ids.BackendId,
        born: int,
        left_ms: float,
        source: str,
        is_own: bool,
    ) -> bool:
        """Close an incarnation; return whether it was not closed before."""
        known = self._incarnation_by_id.get(backend_id)
        if known is not None and born < known.born:
            if born != UNKNOWN_BORN or known.since_ms > left_ms:
                return False
            born = known.born
        closed = self._departure_by_id.get(backend_id)
        if closed is not None and born <= closed.born:
            return False
        now_ms = self._clock.now_ms()
        # The newest one last.
        self._departure_by_id.pop(backend_id, None)
        self._departure_by_id[backend_id] = _Departure(
            born, left_ms, now_ms, is_own
        )
        _log.info(
            "server leaves, closed for new requests",
            backend=backend_id,
            born=born,
            source=source,
            age_ms=round(now_ms - left_ms),
            listed=backend_id in self._listed,
        )
        self._drop_old()
        return True

    def _observe_born(
        self, backend_id: ids.BackendId, born: int, read_ms: float
    ) -> None:
        """Take note of a birth that was read at `read_ms`."""
        known = self._incarnation_by_id.get(backend_id)
        if born == UNKNOWN_BORN or (known is not None and born <= known.born):
            return
        self._incarnation_by_id[backend_id] = _Incarnation(
            born, self._clock.now_ms()
        )
        closed = self._departure_by_id.get(backend_id)
        if closed is None or born <= closed.born:
            return
        if closed.born == UNKNOWN_BORN and read_ms <= closed.left_ms:
            # It was born before it left.
            closed.born = born
            return
        del self._departure_by_id[backend_id]
        _log.info(
            "server has started again",
            backend=backend_id,
            born=born,
            closed_born=closed.born,
            closed_ms=round(self._clock.now_ms() - closed.left_ms),
        )

    def _drop_old(self) -> None:
        oldest_ms = self._clock.now_ms() - KEPT_UNLISTED_MS
        excess = len(self._departure_by_id) - MAX_DEPARTURES
        for backend_id, each in list(self._departure_by_id.items()):
            is_unlisted = (
                backend_id not in self._listed and each.listed_ms < oldest_ms
            )
            if is_unlisted or excess > 0:
                excess -= 1
                del self._departure_by_id[backend_id]
                _log.info(
                    "departure dropped",
                    backend=backend_id,
                    born=each.born,
                    listed=not is_unlisted,
                )
