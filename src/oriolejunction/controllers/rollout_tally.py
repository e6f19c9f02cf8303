"""Sums over what entry instances count of rollouts.

Load pattern: during a rollout hundreds of instances report several times a
second, each time with a few counts that rose. Only these change the sums, so
the work for a report doesn't grow with the number of instances.
"""

import collections.abc
import dataclasses

from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import states

# More routes of one service are counted as one, in the order of their first
# request: a comparison of a thousand takes 160 ms, and the leader's heartbeats
# wait for it.
MAX_ROUTES = 200
OTHER_ROUTES = "other routes"

RolloutKey = tuple[ids.ServiceName, int]
_LatencyKey = tuple[str, states.RolloutMeasure]


@dataclasses.dataclass
class VersionCounts:
    """Counts of one route at one version; `latencies` by measure."""

    sent: int = 0
    ended: int = 0
    failed: int = 0
    latencies: dict[states.RolloutMeasure, list[int]] = dataclasses.field(
        default_factory=dict
    )

    def add(self, row: fm.RolloutCount, factor: int = 1) -> None:
        """Add the counts of a report, or subtract them with factor -1."""
        self.sent += factor * row.sent
        self.ended += factor * row.ended
        self.failed += factor * row.failed
        sums = self.latencies.setdefault(row.measure, [])
        sums.extend([0] * (len(row.latencies) - len(sums)))
        for bucket, count in enumerate(row.latencies):
            if count:
                sums[bucket] += factor * count

    def copy(self) -> "VersionCounts":
        """Return a copy that later reports don't change."""
        return VersionCounts(
            self.sent,
            self.ended,
            self.failed,
            {key: list(row) for key, row in self.latencies.items()},
        )

    def merged(self, other: "VersionCounts", factor: int) -> "VersionCounts":
        """Return the counts plus `factor` times others."""
        result = self.copy()
        for measure in other.latencies or (states.RolloutMeasure.ANSWER,):
            answers = measure is states.RolloutMeasure.ANSWER
            result.add(
                fm.RolloutCount(
                    ids.ServiceName(""),
                    0,
                    ids.SoftwareVersion(""),
                    "",
                    measure,
                    other.sent if answers else 0,
                    other.ended if answers else 0,
                    other.failed if answers else 0,
                    tuple(other.latencies.get(measure, ())),
                ),
                factor,
            )
        return result


@dataclasses.dataclass
class InstanceCounts:
    """Requests of one incarnation of an instance, by version."""

    instance: ids.InstanceId
    boot: str
    received_ms: float
    sent_by_software: dict[ids.SoftwareVersion, int]
    running_by_software: dict[ids.SoftwareVersion, int]


CountsByRoute = dict[ids.SoftwareVersion, dict[str, VersionCounts]]


@dataclasses.dataclass
class _Incarnation:
    number: int
    received_ms: float
    row_by_key: dict[tuple, fm.RolloutCount]


class RolloutTally:
    """The newest counts of each incarnation, and their sums.

    Counts of lost and restarted instances stay in the sums: their requests
    did reach servers.
    """

    def __init__(self) -> None:
        self._incarnations: dict[ids.InstanceId, dict[str, _Incarnation]] = {}
        self._sums: dict[RolloutKey, CountsByRoute] = {}
        self._routes: dict[RolloutKey, set[str]] = {}

    def put(self, report: fm.EntryReport, now_ms: float) -> bool:
        """Store the counts of a report; return whether any rose."""
        by_boot = self._incarnations.setdefault(report.instance, {})
        known = by_boot.get(report.boot)
        if known is None:
            known = by_boot[report.boot] = _Incarnation(-1, now_ms, {})
        if report.number <= known.number:
            return False
        known.number, known.received_ms = report.number, now_ms
        changed = False
        for row in report.rollout_counts:
            key = (
                row.service,
                row.number,
                row.software,
                row.route,
                row.measure,
            )
            former = known.row_by_key.get(key)
            if former == row:
                continue
            sums = self._sums.setdefault((row.service, row.number), {})
            counts = sums.setdefault(row.software, {}).setdefault(
                self._known_route(row), VersionCounts()
            )
            if former is not None:
                counts.add(former, -1)
            counts.add(row)
            known.row_by_key[key] = row
            changed = True
        return changed

    def _known_route(self, row: fm.RolloutCount) -> str:
        routes = self._routes.setdefault((row.service, row.number), set())
        if row.route not in routes:
            if len(routes) >= MAX_ROUTES:
                return OTHER_ROUTES
            routes.add(row.route)
        return row.route

    def sums(self, key: RolloutKey) -> CountsByRoute:
        """Return the sums by version and route of a rollout."""
        return self._sums.get(key, {})

    def instances(
        self, key: RolloutKey
    ) -> collections.abc.Iterator[InstanceCounts]:
        """Yield the newest incarnation of each instance."""
        for instance, by_boot in self._incarnations.items():
            boot, newest = next(reversed(by_boot.items()))
            sent: dict[ids.SoftwareVersion, int] = {}
            running: dict[ids.SoftwareVersion, int] = {}
            for row in newest.row_by_key.values():
                if (row.service, row.number) == key:
                    software = row.software
                    sent[software] = sent.get(software, 0) + row.sent
                    running[software] = (
                        running.get(software, 0) + row.sent - row.ended
                    )
            yield InstanceCounts(
                instance, boot, newest.received_ms, sent, running
            )

    def keep_only(
        self, keys: collections.abc.Set[RolloutKey], oldest_ms: float
    ) -> None:
        """Drop the counts of other rollouts, and instances that are gone.

        Without a rollout, an instance is dropped once its last report is
        older than `oldest_ms`.
        """
        for key in self._sums.keys() - keys:
            del self._sums[key], self._routes[key]
        for instance, by_boot in list(self._incarnations.items()):
            for boot, known in list(by_boot.items()):
                known.row_by_key = {
                    key: row
                    for key, row in known.row_by_key.items()
                    if key[:2] in keys
                }
                if not known.row_by_key and known.received_ms < oldest_ms:
                    del by_boot[boot]
            if not by_boot:
                del self._incarnations[instance]
