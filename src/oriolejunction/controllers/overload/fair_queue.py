"""Start-time fair queueing between workspaces, in tokens.

Each request gets a start tag: the later of the virtual time and the finish
tag of the workspace's request before it. The lowest start tag goes first.
The queue never idles while a request may go, and a workspace that sends more
than its weighted share delays only its own requests.
"""

import collections
import collections.abc
import typing

import msgspec

from oriolejunction import ids

Item = typing.TypeVar("Item")


class Flow(msgspec.Struct, typing.Generic[Item]):
    """The waiting requests of one workspace."""

    weight: float
    finish_tag: float = 0.0
    waiting: collections.deque["QueuedItem[Item]"] = msgspec.field(
        default_factory=collections.deque
    )


class QueuedItem(msgspec.Struct, typing.Generic[Item], frozen=True):
    """One waiting request with its start tag and its cost in tokens."""

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
        """Add a request of a workspace; `cost` is its expected tokens."""
        flow = self._flow_by_workspace.setdefault(workspace, Flow(weight))
        flow.weight = weight
        start_tag = max(self._virtual_time, flow.finish_tag)
        flow.finish_tag = start_tag + cost / weight
        flow.waiting.append(QueuedItem(item, start_tag, cost))
        self._length += 1

    def pop(
        self,
        may_go: collections.abc.Callable[[Item], bool] = lambda item: True,
    ) -> Item | None:
        """Remove and return the next request, None where none may go.

        A workspace whose first request may not go yet is passed over.
        """
        flow = min(
            (
                flow
                for flow in self._flow_by_workspace.values()
                if flow.waiting and may_go(flow.waiting[0].item)
            ),
            key=lambda f: f.waiting[0].start_tag,
            default=None,
        )
        if flow is None:
            return None
        queued = flow.waiting.popleft()
        self._length -= 1
        self._virtual_time = max(self._virtual_time, queued.start_tag)
        self._drop_idle_flows()
        return queued.item

    def queued_items(self) -> list[QueuedItem[Item]]:
        """Return all waiting requests, grouped by workspace."""
        return [
            queued
            for flow in self._flow_by_workspace.values()
            for queued in flow.waiting
        ]

    def dequeue(self, workspace: ids.WorkspaceId, item: Item) -> None:
        """Remove a request that is run now, even if others are ahead."""
        queued = self._detach(workspace, item)
        if queued is not None:
            self._virtual_time = max(self._virtual_time, queued.start_tag)
        self._drop_idle_flows()

    def remove(self, workspace: ids.WorkspaceId, item: Item) -> None:
        """Remove a request that is not run, at no cost to its workspace."""
        queued = self._detach(workspace, item)
        if queued is not None:
            flow = self._flow_by_workspace[workspace]
            flow.finish_tag -= queued.cost / flow.weight
        self._drop_idle_flows()

    def _detach(
        self, workspace: ids.WorkspaceId, item: Item
    ) -> QueuedItem[Item] | None:
        flow = self._flow_by_workspace.get(workspace)
        for queued in flow.waiting if flow else ():
            if queued.item is item:
                flow.waiting.remove(queued)
                self._length -= 1
                return queued
        return None

    def settle(
        self, workspace: ids.WorkspaceId, expected: float, actual: float
    ) -> None:
        """Correct a workspace's finish tag by the tokens that it used."""
        flow = self._flow_by_workspace.get(workspace)
        if flow is not None:
            flow.finish_tag += (actual - expected) / flow.weight

    def tokens_ahead(self, workspace: ids.WorkspaceId, weight: float) -> float:
        """Return the tokens that are served before a new request.

        These are the waiting tokens of its own workspace, scaled up by the
        weights of the other waiting workspaces, and at most all waiting
        tokens.
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
        """Drop idle workspaces while no request waits."""
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
