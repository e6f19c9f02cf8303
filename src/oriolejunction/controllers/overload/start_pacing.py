"""When a workspace above its fair share may take one more free slot.

Load pattern: one workspace offers many times its share and fills all slots of
an instance in one moment. Its answers are about equally long, so the slots
come free together and are filled together again, once for each answer. A
request of another workspace that arrives in between is the next to start, but
waits for the rest of an answer.

A workspace may fill its share of the slots at once, and no workspace has to
wait for one that runs more than it. Otherwise starts are spread over time:
the fewer slots are free, the longer the next start waits. Slots then come
free one after the other, and a few stay free for the other workspaces.
"""

import collections
import collections.abc
import dataclasses
import math

from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction import ids

# Time after its last request for which a workspace has a share.
ACTIVE_MS = 30_000.0
# Limits of the slots kept free for the others.
MAX_KEPT_FREE = 3.0
MAX_KEPT_FRACTION = 0.375


@dataclasses.dataclass(frozen=True)
class Slots:
    """The slots of an instance: all of them, and those free now."""

    total: float
    free: float


UNLIMITED = Slots(math.inf, math.inf)


@dataclasses.dataclass(frozen=True)
class Usage:
    """The running requests of a workspace, and what it is entitled to.

    `fraction` of all slots is its share. `most_per_weight` is the largest
    number of running requests for each unit of weight of any workspace, and
    `others` counts the other active workspaces.
    """

    running: int
    weight: int
    fraction: float
    most_per_weight: float
    others: int


def is_above_share(usage: Usage, slots: Slots) -> bool:
    """Return whether one more start must leave free slots to others."""
    share = max(1.0, slots.total * usage.fraction)
    return (
        usage.running >= share
        and usage.running / usage.weight >= usage.most_per_weight
    )


def start_delay_ms(
    usage: Usage, slots: Slots, release_interval_ms: float
) -> float:
    """Return the time between two starts above a share, in ms.

    It keeps about one slot free for each other workspace, within limits.
    `release_interval_ms` is the mean time between the ends of requests; an
    overestimate by some factor keeps that many times as many slots free.
    """
    kept_free = min(
        usage.others, MAX_KEPT_FREE, MAX_KEPT_FRACTION * slots.total
    )
    return release_interval_ms * kept_free / slots.free


class StartPacer:
    """Paces the starts of workspaces above their shares of one instance."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._running: collections.Counter[ids.WorkspaceId]
        self._running = collections.Counter()
        self._weight_by_running: dict[ids.WorkspaceId, int] = {}
        self._most_per_weight = 0.0
        # The workspaces seen last are at the end.
        self._seen_by_workspace: collections.OrderedDict[
            ids.WorkspaceId, tuple[float, int]
        ] = collections.OrderedDict()
        self._total_weight = 0
        self._known: frozenset[ids.WorkspaceId] = frozenset()
        self._last_above_ms = -math.inf

    def expect_requests(
        self, workspaces: collections.abc.Iterable[configuration.Workspace]
    ) -> None:
        """Count the workspaces as active that were not known before.

        Whether they send requests is not known to an instance that started.
        """
        by_id = {each.workspace_id: each for each in workspaces}
        for workspace_id in by_id.keys() - self._known:
            self.record_request(by_id[workspace_id])
        self._known = frozenset(by_id)

    def record_request(self, workspace: configuration.Workspace) -> None:
        """Record that a workspace is active now."""
        workspace_id = workspace.workspace_id
        _, previous = self._seen_by_workspace.pop(workspace_id, (0.0, 0))
        weight = _weight(workspace)
        self._seen_by_workspace[workspace_id] = (self._clock.now_ms(), weight)
        self._total_weight += weight - previous

    def may_start(
        self,
        workspace: configuration.Workspace,
        slots: Slots,
        release_interval_ms: float,
    ) -> bool:
        """Return whether a workspace may start a request now."""
        usage = self._usage(workspace)
        if not is_above_share(usage, slots):
            return True
        delay_ms = start_delay_ms(usage, slots, release_interval_ms)
        return self._clock.now_ms() - self._last_above_ms >= delay_ms

    def begin(self, workspace: configuration.Workspace, slots: Slots) -> None:
        """Record the start of a request, which took one of the slots."""
        if is_above_share(self._usage(workspace), slots):
            self._last_above_ms = self._clock.now_ms()
        workspace_id = workspace.workspace_id
        self._running[workspace_id] += 1
        self._weight_by_running[workspace_id] = _weight(workspace)
        self._most_per_weight = max(
            self._most_per_weight, self._per_weight(workspace_id)
        )

    def end(self, workspace_id: ids.WorkspaceId) -> None:
        """Record the end of a started request."""
        self._running[workspace_id] -= 1
        if not self._running[workspace_id]:
            del self._running[workspace_id]
            del self._weight_by_running[workspace_id]
        self._most_per_weight = max(
            map(self._per_weight, self._running), default=0.0
        )

    def _per_weight(self, workspace_id: ids.WorkspaceId) -> float:
        weight = self._weight_by_running[workspace_id]
        return self._running[workspace_id] / weight

    def _usage(self, workspace: configuration.Workspace) -> Usage:
        self._forget_inactive()
        workspace_id = workspace.workspace_id
        weight = _weight(workspace)
        is_seen = workspace_id in self._seen_by_workspace
        return Usage(
            running=self._running[workspace_id],
            weight=weight,
            fraction=weight / max(weight, self._total_weight),
            most_per_weight=self._most_per_weight,
            others=len(self._seen_by_workspace) - is_seen,
        )

    def _forget_inactive(self) -> None:
        oldest_ms = self._clock.now_ms() - ACTIVE_MS
        while self._seen_by_workspace:
            workspace_id = next(iter(self._seen_by_workspace))
            seen_ms, weight = self._seen_by_workspace[workspace_id]
            if seen_ms > oldest_ms:
                break
            del self._seen_by_workspace[workspace_id]
            self._total_weight -= weight


def _weight(workspace: configuration.Workspace) -> int:
    return max(1, workspace.share)
