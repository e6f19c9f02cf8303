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
    """The own reports that the sums of a control replica may include."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
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
        # What changed between two own reports has changed in the sums, too.
        own = self._counts_of(reply.own_number)
        loads = _updated(
            {} if reply.whole else current.load_by_id,
            {
                load.backend_id: _load_of_others(load, own)
                for load in reply.loads
            },
        )
        speeds = _updated(
            {} if reply.whole else current.speed_by_id,
            {
                sums.backend_id: _speed_of_others(sums, own)
                for sums in reply.speed_sums
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


def _load_of_others(
    total: fm.BackendLoad, own: report_counts.ReportCounts
) -> fm.BackendLoad | None:
    """Return the load without the own one, None where there is none."""
    counts = own.loads.get(total.backend_id)
    if counts is not None:
        streams, kv_tokens, prefill_tokens = counts
        total = fm.BackendLoad(
            total.backend_id,
            total.streams - streams,
            total.kv_tokens - kv_tokens,
            total.prefill_tokens - prefill_tokens,
        )
    if total.streams or total.kv_tokens or total.prefill_tokens:
        return total
    return None


def _speed_of_others(
    total: fm.SpeedSums, own: report_counts.ReportCounts
) -> fm.EngineSpeed | None:
    """Return the mean speed that others observe, None where none does."""
    sums = (
        total.event,
        total.event_count,
        total.prefill_per_k,
        total.prefill_per_k_count,
    )
    counts = own.speeds.get(total.backend_id)
    if counts is not None:
        sums = tuple(map(operator.sub, sums, counts))
    if not any(sums):
        return None
    return report_counts.mean_speed(total.backend_id, sums)


def _updated(current: dict, changes: dict) -> dict:
    """Return the mapping with changes; the same one if nothing differs."""
    changes = {
        key: value
        for key, value in changes.items()
        if current.get(key) != value
    }
    if not changes:
        return current
    merged = dict(current)
    for key, value in changes.items():
        if value is None:
            del merged[key]
        else:
            merged[key] = value
    return merged


def _uses_of_others(
    uses: tuple[fm.ServiceUse, ...], own: report_counts.ReportCounts
) -> dict[ids.ServiceName, fm.ServiceUse]:
    others: dict[ids.ServiceName, fm.ServiceUse] = {}
    for use in uses:
        counts = report_counts.use_counts(use)
        if (own_counts := own.uses.get(use.service)) is not None:
            counts = tuple(map(operator.sub, counts, own_counts))
        if any(counts):
            others[use.service] = fm.ServiceUse(use.service, *counts)
    return others
