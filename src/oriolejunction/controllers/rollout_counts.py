"""Counts what the versions of a service answer during its rollout.

Load pattern: every instance sends a few requests a second, at times to both
versions of a service, and the control leader compares the sums of all
instances. A configuration may have thousands of routes, so the rows of a
report are bounded.
"""

import collections

import msgspec

from oriolejunction.controllers import rollout_latency
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import listeners
from oriolejunction import states

# Rows of a service and version; the routes beyond share one more row. Each
# row takes some 60 bytes of a report.
MAX_ROUTES = 16
OTHER_ROUTES = "*"

_Measured = tuple[ids.SoftwareVersion, str, states.RolloutMeasure]
_Place = tuple[ids.ServiceName, ids.SoftwareVersion, str]


class _Row(msgspec.Struct):
    """Counts since the order of a rollout.

    `ended` begins below 0 where requests ran already, so that `sent - ended`
    is always the number that runs.
    """

    sent: int = 0
    ended: int = 0
    failed: int = 0
    latencies: list[int] = msgspec.field(default_factory=list)
    message: fm.RolloutCount | None = None


class _Rollout:
    """The rows of a service's newest rollout."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.row_by_key: dict[_Measured, _Row] = {}

    def row(self, *key) -> _Row:
        """Return a row that is about to change."""
        row = self.row_by_key.setdefault(key, _Row())
        row.message = None
        return row


class CountedSend:
    """One request that was sent to a server.

    Without `counts`, nothing is counted.
    """

    def __init__(
        self,
        counts: "RolloutCounts | None",
        place: _Place,
        number: int | None,
    ) -> None:
        self._counts = counts
        self._place = place
        self._number = number
        self._is_running = counts is not None

    @property
    def software(self) -> ids.SoftwareVersion:
        """Return the version of the server."""
        return self._place[1]

    def record_failure(self) -> None:
        """Count an answer that the server failed itself."""
        row = self._row(states.RolloutMeasure.ANSWER)
        if row is not None:
            row.failed += 1
            self._counts.on_change()

    def record_latency(
        self, measure: states.RolloutMeasure, latency_ms: float
    ) -> None:
        """Count the latency of an answer, or the least that it would be."""
        row = self._row(measure)
        if row is None:
            return
        if not row.latencies:
            row.latencies = [0] * rollout_latency.BUCKETS
        row.latencies[rollout_latency.bucket_of(latency_ms)] += 1

    def end(self) -> None:
        """Count the end of the request, once."""
        if self._is_running:
            self._is_running = False
            self._counts.end(self._place)

    def _row(self, measure: states.RolloutMeasure) -> _Row | None:
        if self._counts is None:
            return None
        return self._counts.row(self._place, self._number, measure)


class RolloutCounts:
    """Counts of the services that have had a rollout."""

    def __init__(self) -> None:
        self._rollout_by_service: dict[ids.ServiceName, _Rollout] = {}
        self._routes_by_service: collections.defaultdict[
            ids.ServiceName, set[str]
        ] = collections.defaultdict(set)
        self._running: collections.Counter[_Place] = collections.Counter()
        self.on_change: listeners.OnChange = listeners.no_op

    def start(self, service: ids.ServiceName, number: int) -> None:
        """Begin the rows of a new rollout; those of earlier ones end."""
        rollout = self._rollout_by_service[service] = _Rollout(number)
        for (name, software, route), running in self._running.items():
            if name == service and running:
                row = rollout.row(
                    software, route, states.RolloutMeasure.ANSWER
                )
                row.ended = -running
        self.on_change()

    def stop(self, service: ids.ServiceName) -> None:
        """Drop the rows of a rollout that is over."""
        self._rollout_by_service.pop(service, None)

    def begin(
        self,
        service: ids.ServiceName,
        software: ids.SoftwareVersion,
        route: str,
    ) -> CountedSend:
        """Count a request that is sent to a server."""
        place = service, software, self._bounded_route(service, route)
        self._running[place] += 1
        rollout = self._rollout_by_service.get(service)
        if rollout is not None:
            rollout.row(*place[1:], states.RolloutMeasure.ANSWER).sent += 1
            self.on_change()
        return CountedSend(self, place, rollout and rollout.number)

    def end(self, place: _Place) -> None:
        """Count the end of a request."""
        self._running[place] -= 1
        if not self._running[place]:
            del self._running[place]
        rollout = self._rollout_by_service.get(place[0])
        if rollout is not None:
            rollout.row(*place[1:], states.RolloutMeasure.ANSWER).ended += 1
            self.on_change()

    def row(
        self,
        place: _Place,
        number: int | None,
        measure: states.RolloutMeasure,
    ) -> _Row | None:
        """Return the row of a request, None unless its rollout goes on."""
        rollout = self._rollout_by_service.get(place[0])
        if rollout is None or rollout.number != number:
            return None
        return rollout.row(*place[1:], measure)

    def messages(self) -> tuple[fm.RolloutCount, ...]:
        """Return the rows for a report."""
        return tuple(
            _message(service, rollout.number, key, row)
            for service, rollout in self._rollout_by_service.items()
            for key, row in rollout.row_by_key.items()
        )

    def _bounded_route(self, service: ids.ServiceName, route: str) -> str:
        routes = self._routes_by_service[service]
        if route not in routes:
            if len(routes) >= MAX_ROUTES:
                return OTHER_ROUTES
            routes.add(route)
        return route


def _message(
    service: ids.ServiceName, number: int, key: _Measured, row: _Row
) -> fm.RolloutCount:
    """Return a row as a message, made anew only after a change."""
    if row.message is None:
        row.message = fm.RolloutCount(
            service,
            number,
            *key,
            row.sent,
            row.ended,
            row.failed,
            tuple(row.latencies),
        )
    return row.message
