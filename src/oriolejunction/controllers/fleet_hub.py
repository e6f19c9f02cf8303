"""The reports of all entry instances, summed up by one control replica.

Load pattern: many entry instances choose among the same engines within the
same tenth of a second. Each learns the others' choices through the hub, so
that two long prompts rarely meet on one engine. An update holds only what has
changed since the last one, so that traffic grows with the work that begins
and ends, not with instances times engines.
"""

import collections
import collections.abc
import dataclasses

import xxhash

from oriolejunction import clock as clocks
from oriolejunction.controllers import leaving_servers
from oriolejunction.controllers import report_counts
from oriolejunction.controllers import tracked_sums
from oriolejunction import fleet_messages as fm
from oriolejunction import ids

# An entry instance sends a report at least once a second.
REPORT_TTL_MS = 3_000.0
_RESENDS = 1
# Fields of a report whose items are merged over the instances.
_MERGED_FIELDS = (
    "suspects",
    "crashes",
    "answered",
    "part_crashes",
    "cleared_parts",
    "blocked_parts",
    "limits",
    "helpers",
)
# How many helpers an instance is told of.
MAX_HELPERS = 6


@dataclasses.dataclass(frozen=True)
class FleetSums:
    """Sums over all entry instances, up to change number `seen`.

    `loads` and `speeds` hold only changes, or everything if `complete` is
    set.
    """

    seen: int
    complete: bool
    loads: tuple[fm.BackendLoad, ...]
    speeds: tuple[fm.SpeedSums, ...]
    uses: tuple[fm.ServiceUse, ...]


@dataclasses.dataclass(frozen=True)
class FleetUpdate:
    """Sums over the other entry instances, up to change number `seen`.

    `loads` and `speeds` hold only changes, or everything if `complete` is
    set; the other fields always hold everything.
    """

    seen: int
    complete: bool
    loads: tuple[fm.BackendLoad, ...] = ()
    speeds: tuple[fm.EngineSpeed, ...] = ()
    suspects: tuple[ids.BackendId, ...] = ()
    crashes: tuple[fm.EngineCrash, ...] = ()
    answered: tuple[ids.Fingerprint, ...] = ()
    part_crashes: tuple[fm.PartCrash, ...] = ()
    cleared_parts: tuple[ids.PromptPart, ...] = ()
    blocked_parts: tuple[tuple[ids.PromptPart, ...], ...] = ()
    limits: tuple[fm.NamedLimit, ...] = ()
    helpers: tuple[str, ...] = ()
    leaving: tuple[fm.LeavingServer, ...] = ()


@dataclasses.dataclass(frozen=True)
class _KnownReport:
    report: fm.EntryReport
    counts: report_counts.ReportCounts
    received_ms: float


class FleetHub:
    """The newest report of each entry instance, and their sums."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        # Ordered by the time of the report, the oldest first.
        self._known_by_instance: dict[ids.InstanceId, _KnownReport] = {}
        self._unforwarded: dict[ids.InstanceId, fm.EntryReport] = {}
        self._loads = tracked_sums.ChangeTrackedSums()
        self._speeds = tracked_sums.ChangeTrackedSums()
        # By field, the items and how many instances report each.
        self._merged: dict[str, collections.Counter] = {
            field: collections.Counter() for field in _MERGED_FIELDS
        }
        # Requests, resends and waiting requests by service. They change with
        # each request and therefore cause no update of their own.
        self._uses: dict[ids.ServiceName, report_counts.Counts] = {}
        # The addresses of all helpers, in an order of their own.
        self._ordered_helpers: list[str] = []
        # These outlive the reports that hold them.
        self._leaving = leaving_servers.LeavingServers(clock)
        self._oldest_delta_number = 0
        self._change_number = 0
        # Rises also with changes that cause no update of their own.
        self.version = 0
        # The last change of anything but loads and speeds.
        self._observed_number = 0
        # The last change with more resends than before.
        self._resent_number = 0

    @property
    def change_number(self) -> int:
        """Return the number of the last change of any report."""
        self._expire_reports()
        return self._change_number

    def has_observations_since(self, seen: int) -> bool:
        """Return whether more than loads and speeds changed since `seen`."""
        return self._observed_number > seen

    def has_resends_since(self, seen: int) -> bool:
        """Return whether instances reported more resends since `seen`."""
        return self._resent_number > seen

    def mark_changed(self) -> None:
        """Count a change outside the reports that all watchers must know."""
        self._change_number += 1
        self._observed_number = self._change_number
        self.version += 1

    def put(self, report: fm.EntryReport, direct: bool) -> bool:
        """Store a report; return whether it changes the sums.

        `direct` reports come from the entry instance itself and are forwarded
        to the other control replicas.
        """
        self._expire_reports()
        known = self._known_by_instance.get(report.instance)
        previous = known.report if known is not None else None
        if (
            previous is not None
            and previous.boot == report.boot
            and report.number < previous.number
        ):
            return False
        before = known.counts if known is not None else report_counts.NO_COUNTS
        counts = report_counts.counts_of(report, previous, before)
        self._known_by_instance.pop(report.instance, None)
        self._known_by_instance[report.instance] = _KnownReport(
            report, counts, self._clock.now_ms()
        )
        self._replace_uses(before.uses, counts.uses)
        if direct:
            self._unforwarded[report.instance] = report
        has_new_leaving = self._leaving.put(report.leaving)
        if has_new_leaving:
            self.mark_changed()
        if previous is not None and _content(previous) == _content(report):
            return has_new_leaving
        self._replace(previous, before, report, counts)
        if _resends(counts) > _resends(before):
            self._resent_number = self._change_number
        return True

    def take_unforwarded(self) -> tuple[fm.EntryReport, ...]:
        """Remove and return the reports to forward to other replicas."""
        unforwarded = tuple(self._unforwarded.values())
        self._unforwarded.clear()
        return unforwarded

    def is_newest(self, report: fm.EntryReport) -> bool:
        """Return whether a report is an instance's newest, and not expired."""
        self._expire_reports()
        return self._report_of(report.instance) is report

    def entry_count(self) -> int:
        """Return how many entry instances have sent a report recently."""
        self._expire_reports()
        return len(self._known_by_instance)

    def instances_before(self, protocol: int) -> tuple[ids.InstanceId, ...]:
        """Return the entry instances that don't know a protocol."""
        self._expire_reports()
        return tuple(
            instance
            for instance, known in self._known_by_instance.items()
            if known.report.protocol < protocol
        )

    def uses_of_others(
        self, instance: ids.InstanceId
    ) -> tuple[fm.ServiceUse, ...]:
        """Return what the other instances sent to each service."""
        self._expire_reports()
        own = self._counts_of(instance).uses
        others = report_counts.minus(self._uses, own)
        return tuple(
            fm.ServiceUse(service, *others[service])
            for service in sorted(others)
        )

    def _replace_uses(
        self,
        before: dict[ids.ServiceName, report_counts.Counts],
        after: dict[ids.ServiceName, report_counts.Counts],
    ) -> None:
        if before != after:
            self.version += 1
            self._uses = report_counts.minus(
                report_counts.plus(self._uses, after), before
            )

    def sums(self, seen: int) -> FleetSums:
        """Return the sums over all instances that changed since `seen`."""
        self._expire_reports()
        complete = not self._oldest_delta_number <= seen <= self._change_number
        since = 0 if complete else seen
        return FleetSums(
            seen=self._change_number,
            complete=complete,
            loads=tuple(
                fm.BackendLoad(key, *totals)
                for key, totals in self._loads.changed_since(since, {})
            ),
            speeds=tuple(
                fm.SpeedSums(key, *totals)
                for key, totals in self._speeds.changed_since(since, {})
            ),
            uses=tuple(
                fm.ServiceUse(service, *counts)
                for service, counts in self._uses.items()
            ),
        )

    def number_of(self, instance: ids.InstanceId, boot: str) -> int:
        """Return the number of the instance's report that the sums include.

        It is 0 if they include none of its incarnation `boot`.
        """
        report = self._report_of(instance)
        return report.number if report and report.boot == boot else 0

    def has_observations(self, instance: ids.InstanceId) -> bool:
        """Return whether an instance reports any that it must not be told."""
        report = self._report_of(instance)
        return report is not None and any(
            getattr(report, field)
            for field in _MERGED_FIELDS
            if field != "helpers"
        )

    def observations(
        self, instance: ids.InstanceId | None = None
    ) -> dict[str, tuple]:
        """Return what all instances observe, without that of one alone."""
        own = self._report_of(instance)
        observations = {
            field: tuple(counts - _items(own, field) if own else counts)
            for field, counts in self._merged.items()
            if field != "helpers"
        }
        return {**observations, "leaving": self._leaving.all()}

    def update_for(self, instance: ids.InstanceId, seen: int) -> FleetUpdate:
        """Return what changed since `seen` at the other instances.

        A load or a speed of zeros means that there is none any more.
        """
        self._expire_reports()
        if seen == self._change_number:
            return FleetUpdate(seen, complete=False)
        complete = not self._oldest_delta_number <= seen < self._change_number
        since = 0 if complete else seen
        counts = self._counts_of(instance)
        return FleetUpdate(
            seen=self._change_number,
            complete=complete,
            loads=tuple(
                fm.BackendLoad(key, *totals)
                for key, totals in self._loads.changed_since(
                    since, counts.loads
                )
            ),
            speeds=tuple(
                report_counts.mean_speed(key, sums)
                for key, sums in self._speeds.changed_since(
                    since, counts.speeds
                )
            ),
            **self.observations(instance),
            helpers=self.helpers_for(instance),
        )

    def helpers_for(self, instance: ids.InstanceId) -> tuple[str, ...]:
        """Return some helpers; instances get different ones."""
        own = self._report_of(instance)
        count = len(self._ordered_helpers)
        first = _digest(instance) % count if count else 0
        some = (
            self._ordered_helpers[(first + place) % count]
            for place in range(min(count, MAX_HELPERS + 1))
        )
        own_addresses = own.helpers if own is not None else ()
        others = [each for each in some if each not in own_addresses]
        return tuple(others[:MAX_HELPERS])

    def _report_of(
        self, instance: ids.InstanceId | None
    ) -> fm.EntryReport | None:
        known = self._known_by_instance.get(instance)
        return known.report if known is not None else None

    def _counts_of(
        self, instance: ids.InstanceId
    ) -> report_counts.ReportCounts:
        known = self._known_by_instance.get(instance)
        return known.counts if known is not None else report_counts.NO_COUNTS

    def _replace(
        self,
        before: fm.EntryReport | None,
        counts_before: report_counts.ReportCounts,
        after: fm.EntryReport | None,
        counts_after: report_counts.ReportCounts,
    ) -> None:
        self._change_number += 1
        self.version += 1
        number = self._change_number
        if before is None or after is None:
            # The number of instances is one of the observations.
            self._observed_number = number
        self._loads.replace(counts_before.loads, counts_after.loads, number)
        self._speeds.replace(counts_before.speeds, counts_after.speeds, number)
        for field, counts in self._merged.items():
            old, new = getattr(before, field, ()), getattr(after, field, ())
            if old != new:
                self._observed_number = number
                old, new = _items(before, field), _items(after, field)
                self._merged[field] = counts - old + new
                if field == "helpers":
                    self._ordered_helpers = sorted(
                        self._merged[field], key=_digest
                    )
        for sums in (self._loads, self._speeds):
            if sums.drop_idle():
                self._oldest_delta_number = number

    def _expire_reports(self) -> None:
        oldest_ms = self._clock.now_ms() - REPORT_TTL_MS
        while self._known_by_instance:
            instance, known = next(iter(self._known_by_instance.items()))
            if known.received_ms >= oldest_ms:
                return
            del self._known_by_instance[instance]
            self._replace_uses(known.counts.uses, {})
            self._replace(
                known.report, known.counts, None, report_counts.NO_COUNTS
            )


def _digest(text: str) -> int:
    return xxhash.xxh32_intdigest(text.encode())


def _content(report: fm.EntryReport) -> tuple:
    """Return the content of a report without its number."""
    return (
        report.boot,
        report.loads,
        report.speeds,
        *(getattr(report, field) for field in _MERGED_FIELDS),
    )


def _resends(counts: report_counts.ReportCounts) -> int:
    return sum(use[_RESENDS] for use in counts.uses.values())


def _items(report: fm.EntryReport | None, field: str) -> collections.Counter:
    return collections.Counter(
        getattr(report, field) if report is not None else ()
    )
