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
from oriolejunction import fleet_messages as fm
from oriolejunction import ids

# An entry instance sends a report at least once a second.
REPORT_TTL_MS = 3_000.0
# Backend servers without work are retained, so that watching instances learn
# that the work ended; each takes a few hundred bytes.
MAX_IDLE_BACKENDS = 512

_Counts = tuple[int, ...]
_REQUESTS, _RESENDS, _WAITING = range(3)
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


class _ChangeTrackedSums:
    """Sums by backend server, in the order of their last change."""

    def __init__(self) -> None:
        self._total_by_id: dict[ids.BackendId, list[int]] = {}
        self._changed_by_id: dict[ids.BackendId, int] = {}
        self._idle: set[ids.BackendId] = set()

    def replace(
        self,
        before: dict[ids.BackendId, _Counts],
        after: dict[ids.BackendId, _Counts],
        number: int,
    ) -> None:
        """Replace the counts of one instance by its new ones."""
        for key in before.keys() | after.keys():
            old, new = before.get(key), after.get(key)
            if old == new:
                continue
            counts = old or new
            total = self._total_by_id.setdefault(key, [0] * len(counts))
            for index in range(len(counts)):
                total[index] += new[index] if new else 0
                total[index] -= old[index] if old else 0
            self._changed_by_id.pop(key, None)
            self._changed_by_id[key] = number
            if any(total):
                self._idle.discard(key)
            else:
                self._idle.add(key)

    def changed_since(
        self, number: int, own: dict[ids.BackendId, _Counts]
    ) -> collections.abc.Iterator[tuple[ids.BackendId, list[int]]]:
        """Yield the sums that changed after a change number, less `own`."""
        for key, changed in reversed(self._changed_by_id.items()):
            if changed <= number:
                return
            total = self._total_by_id[key]
            own_counts = own.get(key, (0,) * len(total))
            yield key, [a - b for a, b in zip(total, own_counts, strict=True)]

    def drop_idle(self) -> bool:
        """Drop all idle backend servers once there are too many.

        Return whether they were dropped.
        """
        if len(self._idle) <= MAX_IDLE_BACKENDS:
            return False
        for key in self._idle:
            del self._total_by_id[key]
            del self._changed_by_id[key]
        self._idle.clear()
        return True


class FleetHub:
    """The newest report of each entry instance, and their sums."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        # Ordered by the time of the report, the oldest first.
        self._timed_report_by_instance: dict[
            ids.InstanceId, tuple[fm.EntryReport, float]
        ] = {}
        self._unforwarded: dict[ids.InstanceId, fm.EntryReport] = {}
        self._loads = _ChangeTrackedSums()
        self._speeds = _ChangeTrackedSums()
        # By field, the items and how many instances report each.
        self._merged: dict[str, collections.Counter] = {
            field: collections.Counter() for field in _MERGED_FIELDS
        }
        # Requests, resends and waiting requests by service. They change with
        # each request and therefore cause no update of their own.
        self._uses: collections.Counter[tuple[ids.ServiceName, int]]
        self._uses = collections.Counter()
        # The addresses of all helpers, in an order of their own.
        self._ordered_helpers: list[str] = []
        # These outlive the reports that hold them.
        self._leaving = leaving_servers.LeavingServers(clock)
        self._oldest_delta_number = 0
        self._change_number = 0

    @property
    def change_number(self) -> int:
        """Return the number of the last change of any report."""
        self._expire_reports()
        return self._change_number

    def put(self, report: fm.EntryReport, direct: bool) -> bool:
        """Store a report; return whether it changes the sums.

        `direct` reports come from the entry instance itself and are forwarded
        to the other control replicas.
        """
        self._expire_reports()
        previous = self._report_of(report.instance)
        if previous is not None and previous.boot == report.boot:
            if report.number < previous.number:
                return False
        self._timed_report_by_instance.pop(report.instance, None)
        self._timed_report_by_instance[report.instance] = (
            report,
            self._clock.now_ms(),
        )
        self._replace_uses(previous, report)
        if direct:
            self._unforwarded[report.instance] = report
        has_new_leaving = self._leaving.put(report.leaving)
        if previous is not None and _content(previous) == _content(report):
            self._change_number += has_new_leaving
            return has_new_leaving
        self._replace(previous, report)
        return True

    def take_unforwarded(self) -> tuple[fm.EntryReport, ...]:
        """Remove and return the reports to forward to other replicas."""
        unforwarded = tuple(self._unforwarded.values())
        self._unforwarded.clear()
        return unforwarded

    def entry_count(self) -> int:
        """Return how many entry instances have sent a report recently."""
        self._expire_reports()
        return len(self._timed_report_by_instance)

    def uses_of_others(
        self, instance: ids.InstanceId
    ) -> tuple[fm.ServiceUse, ...]:
        """Return what the other instances sent to each service."""
        self._expire_reports()
        others = self._uses - _uses(self._report_of(instance))
        return tuple(
            fm.ServiceUse(
                service,
                others[service, _REQUESTS],
                others[service, _RESENDS],
                others[service, _WAITING],
            )
            for service in sorted({service for service, _ in others})
        )

    def _replace_uses(
        self, before: fm.EntryReport | None, after: fm.EntryReport | None
    ) -> None:
        self._uses.update(_uses(after))
        self._uses.subtract(_uses(before))

    def update_for(self, instance: ids.InstanceId, seen: int) -> FleetUpdate:
        """Return what changed since `seen` at the other instances.

        A load or a speed of zeros means that there is none any more.
        """
        self._expire_reports()
        if seen == self._change_number:
            return FleetUpdate(seen, complete=False)
        complete = not self._oldest_delta_number <= seen < self._change_number
        since = 0 if complete else seen
        own = self._report_of(instance)
        return FleetUpdate(
            seen=self._change_number,
            complete=complete,
            loads=tuple(
                fm.BackendLoad(key, *totals)
                for key, totals in self._loads.changed_since(
                    since, _loads(own)
                )
            ),
            speeds=tuple(
                fm.EngineSpeed(key, _mean(*sums[:2]), _mean(*sums[2:]))
                for key, sums in self._speeds.changed_since(
                    since, _speeds(own)
                )
            ),
            **{
                field: tuple(counts - _items(own, field))
                for field, counts in self._merged.items()
                if field != "helpers"
            },
            helpers=self._helpers_for(instance, own),
            leaving=self._leaving.all(),
        )

    def _helpers_for(
        self, instance: ids.InstanceId, own: fm.EntryReport | None
    ) -> tuple[str, ...]:
        """Return some helpers; instances get different ones."""
        count = len(self._ordered_helpers)
        first = _digest(instance) % count if count else 0
        some = (
            self._ordered_helpers[(first + place) % count]
            for place in range(min(count, MAX_HELPERS + 1))
        )
        own_addresses = own.helpers if own is not None else ()
        others = [each for each in some if each not in own_addresses]
        return tuple(others[:MAX_HELPERS])

    def _report_of(self, instance: ids.InstanceId) -> fm.EntryReport | None:
        report, _ = self._timed_report_by_instance.get(instance, (None, 0.0))
        return report

    def _replace(
        self, before: fm.EntryReport | None, after: fm.EntryReport | None
    ) -> None:
        self._change_number += 1
        number = self._change_number
        self._loads.replace(_loads(before), _loads(after), number)
        self._speeds.replace(_speeds(before), _speeds(after), number)
        for field, counts in self._merged.items():
            old, new = _items(before, field), _items(after, field)
            if old != new:
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
        while self._timed_report_by_instance:
            instance = next(iter(self._timed_report_by_instance))
            report, received_ms = self._timed_report_by_instance[instance]
            if received_ms >= oldest_ms:
                return
            del self._timed_report_by_instance[instance]
            self._replace_uses(report, None)
            self._replace(report, None)


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


def _loads(report: fm.EntryReport | None) -> dict[ids.BackendId, _Counts]:
    return {
        load.backend_id: (load.streams, load.kv_tokens, load.prefill_tokens)
        for load in (report.loads if report is not None else ())
    }


def _speeds(report: fm.EntryReport | None) -> dict[ids.BackendId, _Counts]:
    """Return the speeds in tenths of ms, each with a 1 if it is known."""
    return {
        speed.backend_id: (
            round(speed.event_ms * 10),
            int(speed.event_ms > 0),
            round(speed.prefill_ms_per_k * 10),
            int(speed.prefill_ms_per_k > 0),
        )
        for speed in (report.speeds if report is not None else ())
    }


def _uses(
    report: fm.EntryReport | None,
) -> collections.Counter[tuple[ids.ServiceName, int]]:
    counts: collections.Counter[tuple[ids.ServiceName, int]]
    counts = collections.Counter()
    for use in report.uses if report is not None else ():
        counts[use.service, _REQUESTS] = use.requests
        counts[use.service, _RESENDS] = use.resends
        counts[use.service, _WAITING] = use.waiting
    return counts


def _items(report: fm.EntryReport | None, field: str) -> collections.Counter:
    return collections.Counter(
        getattr(report, field) if report is not None else ()
    )


def _mean(tenths: int, count: int) -> float:
    """Return the mean of values in tenths, 0 where none is known."""
    return round(tenths / count / 10, 1) if count else 0.0
