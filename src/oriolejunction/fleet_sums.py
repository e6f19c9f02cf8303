"""Turns sums over all entry instances into what the others have.

A control replica sends the same sums to all instances. Each subtracts its own
share: the counts of its own report that the sums include.
"""

import collections
import operator

import msgspec
import structlog

from oriolejunction import clock as clocks
from oriolejunction.controllers import report_counts
from oriolejunction import fleet_messages as fm
from oriolejunction import fleet_view
from oriolejunction import ids

# A replica's sums include a report for 3 s after it got it, perhaps from
# another replica, which relays within 1 s.
KEPT_REPORT_MS = 5_000.0
_log = structlog.get_logger(__name__)


class OthersSums:
    """The sums of the last replies, and the own reports they may include."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._load_totals: dict[ids.BackendId, report_counts.Counts] = {}
        self._speed_totals: dict[ids.BackendId, report_counts.Counts] = {}
        self._subtracted = report_counts.NO_COUNTS
        self._last_report: fm.EntryReport | None = None
        # The newest last, with the time it was sent.
        self._sent: collections.deque[
            tuple[float, int, report_counts.ReportCounts]
        ] = collections.deque()

    def record_report(self, report: fm.EntryReport) -> None:
        """Keep the counts of a report that is about to be sent."""
        before = self._sent[-1][2] if self._sent else report_counts.NO_COUNTS
        counts = report_counts.counts_of(report, self._last_report, before)
        self._last_report = report
        now_ms = self._clock.now_ms()
        self._sent.append((now_ms, report.number, counts))
        while self._sent[0][0] < now_ms - KEPT_REPORT_MS:
            self._sent.popleft()

    def apply(
        self,
        current: fleet_view.FleetView,
        reply: fm.WatchReply,
        has_changes: bool,
    ) -> fleet_view.FleetView:
        """Return the view after a reply.

        `has_changes` is set if the replica or its change number is another
        one than in the reply before.
        """
        now_ms = self._clock.now_ms()
        if reply.own_number is None:
            if has_changes:
                return fleet_view.apply_reply(current, reply, now_ms)
            return fleet_view.apply_counts(current, reply, now_ms)
        own = self._counts_of(reply.own_number)
        loads, speeds = current.load_by_id, current.speed_by_id
        if reply.whole:
            self._load_totals, self._speed_totals = {}, {}
        for load in reply.loads:
            _set_or_drop(
                self._load_totals,
                load.backend_id,
                (load.streams, load.kv_tokens, load.prefill_tokens),
            )
        for speed in reply.speed_sums:
            _set_or_drop(
                self._speed_totals,
                speed.backend_id,
                (
                    speed.event,
                    speed.event_count,
                    speed.prefill_per_k,
                    speed.prefill_per_k_count,
                ),
            )
        before, self._subtracted = self._subtracted, own
        changed_loads = _changed(before.loads, own.loads)
        changed_loads.update(load.backend_id for load in reply.loads)
        changed_speeds = _changed(before.speeds, own.speeds)
        changed_speeds.update(speed.backend_id for speed in reply.speed_sums)
        if reply.whole:
            loads, speeds = {}, {}
            changed_loads.update(self._load_totals)
            changed_speeds.update(self._speed_totals)
        loads = _updated(
            loads,
            {
                key: fm.BackendLoad(key, *counts) if counts else None
                for key, counts in _differences(
                    changed_loads, self._load_totals, own.loads
                )
            },
        )
        speeds = _updated(
            speeds,
            {
                key: report_counts.mean_speed(key, counts) if counts else None
                for key, counts in _differences(
                    changed_speeds, self._speed_totals, own.speeds
                )
            },
        )
        if reply.has_observations:
            current = fleet_view.apply_observations(current, reply)
        return msgspec.structs.replace(
            current,
            load_by_id=loads,
            speed_by_id=speeds,
            entry_count=reply.entries,
            use_by_service=_uses_of_others(reply.uses, own),
            updated_at_ms=now_ms,
        )

    def _counts_of(self, number: int) -> report_counts.ReportCounts:
        """Return the counts of an own report, of the next if it is dropped."""
        if not number:
            return report_counts.NO_COUNTS
        for _, sent, counts in self._sent:
            if sent >= number:
                if sent > number:
                    _log.warning(
                        "own report of sums not kept", number=number, used=sent
                    )
                return counts
        _log.warning("own report of sums not known", number=number)
        return report_counts.NO_COUNTS


def _set_or_drop(
    totals: dict[ids.BackendId, report_counts.Counts],
    key: ids.BackendId,
    counts: report_counts.Counts,
) -> None:
    if any(counts):
        totals[key] = counts
    else:
        totals.pop(key, None)


def _changed(
    before: dict[ids.BackendId, report_counts.Counts],
    after: dict[ids.BackendId, report_counts.Counts],
) -> set[ids.BackendId]:
    if before is after:
        return set()
    return {key for key, _ in before.items() ^ after.items()}


def _differences(
    keys: set[ids.BackendId],
    totals: dict[ids.BackendId, report_counts.Counts],
    own: dict[ids.BackendId, report_counts.Counts],
):
    """Yield what the others have, None where that is nothing."""
    for key in keys:
        counts = totals.get(key)
        own_counts = own.get(key)
        if counts is not None and own_counts is not None:
            counts = tuple(map(operator.sub, counts, own_counts))
        yield key, counts if counts is not None and any(counts) else None


def _updated(current: dict, changes: dict) -> dict:
    """Return the mapping with changes; the same one if nothing differs."""
    changes = {
        key: value
        for key, value in changes.items()
        if current.get(key) != value
    }
    if not changes:
        return current
    merged = current | changes
    return {key: value for key, value in merged.items() if value is not None}


def _uses_of_others(
    uses: tuple[fm.ServiceUse, ...], own: report_counts.ReportCounts
) -> dict[ids.ServiceName, fm.ServiceUse]:
    others: dict[ids.ServiceName, fm.ServiceUse] = {}
    for use in uses:
        counts = (use.requests, use.resends, use.waiting)
        if (own_counts := own.uses.get(use.service)) is not None:
            counts = tuple(map(operator.sub, counts, own_counts))
        if any(counts):
            others[use.service] = fm.ServiceUse(use.service, *counts)
    return others
