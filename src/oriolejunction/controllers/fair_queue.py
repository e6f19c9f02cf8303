"""Start-time fair queueing between workspaces, in tokens.

Each request gets a start tag: the later of the virtual time and the finish
tag of the workspace's request before it. The lowest start tag goes first.
The queue never idles while a request waits, and a workspace that offers
more than its share delays only itself.
"""

import collections
import dataclasses
import typing

from oriolejunction import ids

Item = typing.TypeVar("Item")


@dataclasses.dataclass
class Flow(typing.Generic[Item]):
    """The waiting requests of one workspace."""

    weight: float
    finish_tag: float = 0.0
    waiting: collections.deque["QueuedItem[Item]"] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(frozen=True)
class QueuedItem(typing.Generic[Item]):
    """One waiting request with its tag and its cost in tokens."""

    item: Item
    start_tag: float
    cost: float


class FairQueue(typing.Generic[Item]):
    """Requests in weighted fair order between workspaces."""

    def __init__(self) -> None:
        self._flow_by_workspace: dict[ids.WorkspaceId, Flow[Item]] = {}
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(
        self,
        workspace: ids.WorkspaceId,
        weight: float,
        cost: float,
        item: Item,
    ) -> None:
        """Add a request of a workspace with its expected tokens."""
        flow = self._flow_by_workspace.setdefault(workspace, Flow(weight))
        flow.weight = weight
        start_tag = max(self._virtual_time, flow.finish_tag)
        flow.finish_tag = start_tag + cost / weight
        flow.waiting.append(QueuedItem(item, start_tag, cost))
        self._length += 1

    def pop(self) -> Item | None:
        """Take the next request, or nothing where none waits."""
        flow = min(
            (f for f in self._flow_by_workspace.values() if f.waiting),
            key=lambda f: f.waiting[0].start_tag,
            default=None,
        )
        if flow is None:
            return None
        waiting = flow.waiting.popleft()
        self._length -= 1
        self._virtual_time = max(self._virtual_time, waiting.start_tag)
        self._drop_idle_flows()
        return waiting.item

    def queued_items(self) -> list[QueuedItem[Item]]:
        """Return all that wait, in no order between workspaces."""
        return [
            waiting
            for flow in self._flow_by_workspace.values()
            for waiting in flow.waiting
        ]

    def dequeue(self, workspace: ids.WorkspaceId, item: Item) -> None:
        """Take out a request that is run, whoever was before it."""
        waiting = self._detach(workspace, item)
        if waiting is not None:
            self._virtual_time = max(self._virtual_time, waiting.start_tag)
        self._drop_idle_flows()

    def remove(self, workspace: ids.WorkspaceId, item: Item) -> None:
        """Take out a request that is not to be run."""
        waiting = self._detach(workspace, item)
        if waiting is not None:
            flow = self._flow_by_workspace[workspace]
            flow.finish_tag -= waiting.cost / flow.weight
        self._drop_idle_flows()

    def _detach(
        self, workspace: ids.WorkspaceId, item: Item
    ) -> QueuedItem[Item] | None:
        flow = self._flow_by_workspace.get(workspace)
        for waiting in flow.waiting if flow else ():
            if waiting.item is item:
                flow.waiting.remove(waiting)
                self._length -= 1
                return waiting
        return None

    def settle(
        self, workspace: ids.WorkspaceId, expected: float, actual: float
    ) -> None:
        """Correct a workspace's account by the tokens that it used."""
        flow = self._flow_by_workspace.get(workspace)
        if flow is not None:
            flow.finish_tag += (actual - expected) / flow.weight

    def tokens_ahead(self, workspace: ids.WorkspaceId, weight: float) -> float:
        """Return the tokens that go before a new request.

        Its own workspace's wait, scaled up by the shares of the others
        that wait too, and never more than all that waits.
        """
        own = self._flow_by_workspace.get(workspace)
        own_cost = _cost(own)
        total_cost = 0.0
        others_weight = 0.0
        for flow in self._flow_by_workspace.values():
            total_cost += _cost(flow)
            if flow is not own and flow.waiting:
                others_weight += flow.weight
        scaled = own_cost * (1.0 + others_weight / weight)
        return min(total_cost, scaled)

    def _drop_idle_flows(self) -> None:
        """Forget idle workspaces while nobody waits."""
        if self._length:
            return
        idle = [
            workspace
            for workspace, flow in self._flow_by_workspace.items()
            if flow.finish_tag <= self._virtual_time
        ]
        for workspace in idle:
            del self._flow_by_workspace[workspace]


def _cost(flow: Flow | None) -> float:
    return sum(w.cost for w in flow.waiting) if flow else 0.0
