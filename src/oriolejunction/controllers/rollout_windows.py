"""Counts of a rollout in windows of time.

Load pattern: counts only rise, and a version that turns bad late has many
good answers by then. Only what was counted since a short while ago shows it.
"""

import collections
import dataclasses

from oriolejunction.controllers import rollout_tally
from oriolejunction.controllers import rollout_verdict
from oriolejunction import ids

# Windows that are compared, besides all time since the order. The shorter one
# leaves half of the shortest time to go back (5 s) to the instances.
WINDOWS_MS = (2_000.0, 4_000.0)
SNAPSHOT_INTERVAL_MS = 500.0


@dataclasses.dataclass
class _Snapshot:
    taken_ms: float
    window: rollout_verdict.Window


class WindowHistory:
    """Counts as they were at some moments of the last seconds."""

    def __init__(self) -> None:
        self._snapshots: collections.deque[_Snapshot] = collections.deque()

    def record(self, window: rollout_verdict.Window, now_ms: float) -> None:
        """Record the counts, unless some were recorded a moment ago."""
        snapshots = self._snapshots
        if snapshots:
            if now_ms - snapshots[-1].taken_ms < SNAPSHOT_INTERVAL_MS:
                return
        snapshots.append(_Snapshot(now_ms, copy_window(window)))
        while snapshots[0].taken_ms < now_ms - 2 * max(WINDOWS_MS):
            snapshots.popleft()

    def since(
        self, window: rollout_verdict.Window, since_ms: float
    ) -> rollout_verdict.Window | None:
        """Return what was counted after the last record before a time."""
        earlier = [
            each for each in self._snapshots if each.taken_ms <= since_ms
        ]
        return _difference(window, earlier[-1].window) if earlier else None

    def windows(
        self, window: rollout_verdict.Window, now_ms: float
    ) -> list[rollout_verdict.Window]:
        """Return all counts, and those of the last seconds."""
        recent = [self.since(window, now_ms - each) for each in WINDOWS_MS]
        return [window, *(each for each in recent if each is not None)]


def target_answers(window: rollout_verdict.Window) -> int:
    """Return how many answers of the target arrived."""
    return sum(
        rollout_verdict.answers(pair.target) for pair in window.values()
    )


class Quiet:
    """How long a number has not changed."""

    def __init__(self) -> None:
        self._value: int | None = None
        self._since_ms = 0.0

    def for_ms(self, value: int, now_ms: float) -> float:
        """Return how long the number has had this value."""
        if value != self._value:
            self._value, self._since_ms = value, now_ms
        return now_ms - self._since_ms


def copy_window(window: rollout_verdict.Window) -> rollout_verdict.Window:
    """Return a copy that later reports don't change."""
    return {
        route: rollout_verdict.RoutePair(pair.old.copy(), pair.target.copy())
        for route, pair in window.items()
    }


def pair_counts(
    counts: rollout_tally.CountsByRoute, target: ids.SoftwareVersion
) -> rollout_verdict.Window:
    """Return the counts of the target and all other versions by route."""
    window: rollout_verdict.Window = {}
    for software, by_route in counts.items():
        for route, found in by_route.items():
            pair = window.get(route) or rollout_verdict.RoutePair(
                rollout_tally.VersionCounts(), rollout_tally.VersionCounts()
            )
            if software == target:
                pair = dataclasses.replace(pair, target=found)
            else:
                pair = dataclasses.replace(pair, old=found.merged(pair.old, 1))
            window[route] = pair
    return window


def with_old(
    window: rollout_verdict.Window, before: rollout_verdict.Window
) -> rollout_verdict.Window:
    """Return the window with the old counts of the time before the move."""
    return {
        route: rollout_verdict.RoutePair(
            (
                before[route].old
                if route in before
                else rollout_tally.VersionCounts()
            ),
            pair.target,
        )
        for route, pair in window.items()
    }


def _difference(
    window: rollout_verdict.Window, earlier: rollout_verdict.Window
) -> rollout_verdict.Window:
    return {
        route: (
            rollout_verdict.RoutePair(
                pair.old.merged(earlier[route].old, -1),
                pair.target.merged(earlier[route].target, -1),
            )
            if route in earlier
            else pair
        )
        for route, pair in window.items()
    }
