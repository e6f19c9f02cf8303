"""The counts of an entry report that are summed up over the instances.

A control replica adds them up; an entry instance subtracts its own from the
sums.
"""

import collections.abc
import functools
import operator
import typing

import msgspec

from oriolejunction import fleet_messages as fm
from oriolejunction import ids

Counts = tuple[int, ...]
_Key = typing.TypeVar("_Key", bound=collections.abc.Hashable)

# Reports repeat the speeds of most engines; a hundred instances observe a few
# thousand.
MAX_CACHED_SPEEDS = 4_096


class ReportCounts(msgspec.Struct, frozen=True):
    """Counts by backend server, and by service."""

    loads: dict[ids.BackendId, Counts] = {}
    speeds: dict[ids.BackendId, Counts] = {}
    uses: dict[ids.ServiceName, Counts] = {}


NO_COUNTS = ReportCounts()


def counts_of(
    report: fm.EntryReport,
    before: fm.EntryReport | None = None,
    counts_before: ReportCounts = NO_COUNTS,
) -> ReportCounts:
    """Return the counts of a report.

    Those of the report before serve again where nothing has changed.
    """
    same_loads = before is not None and before.loads == report.loads
    same_speeds = before is not None and before.speeds == report.speeds
    return ReportCounts(
        loads=counts_before.loads if same_loads else _loads(report),
        speeds=counts_before.speeds if same_speeds else _speeds(report),
        uses={use.service: use_counts(use) for use in report.uses},
    )


def use_counts(use: fm.ServiceUse) -> Counts:
    """Return the counts of what was sent to a service, in their order."""
    return (
        use.requests,
        use.resends,
        use.waiting,
        use.waiting_first,
        use.waiting_second,
    )


def _loads(report: fm.EntryReport) -> dict[ids.BackendId, Counts]:
    return {
        load.backend_id: (load.streams, load.kv_tokens, load.prefill_tokens)
        for load in report.loads
    }


def _speeds(report: fm.EntryReport) -> dict[ids.BackendId, Counts]:
    return {
        speed.backend_id: _speed_counts(speed.event_ms, speed.prefill_ms_per_k)
        for speed in report.speeds
    }


@functools.lru_cache(MAX_CACHED_SPEEDS)
def _speed_counts(event_ms: float, prefill_ms_per_k: float) -> Counts:
    """Return the speeds in tenths of ms, each with a 1 if it is known."""
    return (
        round(event_ms * 10),
        int(event_ms > 0),
        round(prefill_ms_per_k * 10),
        int(prefill_ms_per_k > 0),
    )


def mean_speed(backend_id: ids.BackendId, sums: Counts) -> fm.EngineSpeed:
    """Return the mean speed from sums of speeds and their counts."""
    event, events, prefill, prefills = sums
    return fm.EngineSpeed(
        backend_id, _mean(event, events), _mean(prefill, prefills)
    )


def _mean(tenths: int, count: int) -> float:
    """Return the mean of values in tenths, 0 where none is known."""
    return round(tenths / count / 10, 1) if count else 0.0


def plus(
    left: dict[_Key, Counts],
    right: dict[_Key, Counts],
) -> dict[_Key, Counts]:
    """Return the sums of the counts by key."""
    total = dict(left)
    for key, counts in right.items():
        if key in total:
            counts = tuple(map(operator.add, total[key], counts))
        total[key] = counts
    return total


def minus(
    left: dict[_Key, Counts],
    right: dict[_Key, Counts],
) -> dict[_Key, Counts]:
    """Return the differences that are not all 0."""
    total = dict(left)
    for key, counts in right.items():
        if key in total:
            total[key] = tuple(map(operator.sub, total[key], counts))
            if not any(total[key]):
                del total[key]
    return total
