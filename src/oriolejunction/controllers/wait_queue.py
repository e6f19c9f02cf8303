"""Who goes next where no backend server has room.

Load patterns: after most of a zone's engines crash, streams that go on and
new ones of all workspaces want the memory of the survivors at once, and a
few large workspaces send most of them. Prompts differ in size; where each
bit of memory that comes free went to the next short one, a long one would
wait until it is too late.

Streams that have begun go first, since their callers see the pause. Then
the lower rank, and within a rank the workspace that was served least, in
tokens. Whoever has waited half of its time is not held back for its rank,
and from then on keeps shorter ones behind it from taking what it waits for.
"""

import collections
import dataclasses
import typing

from oriolejunction.controllers import fair_queue
from oriolejunction import ids

# A request without a workspace counts to this one.
NO_WORKSPACE = ids.WorkspaceId("")
NEAR_DEADLINE_FRACTION = 0.5

Item = typing.TypeVar("Item")


@dataclasses.dataclass(frozen=True, eq=False)
class Waiter(typing.Generic[Item]):
    """A request that waits from `since_ms` to `until_ms` at most.

    `tokens` is what it needs of a server's memory. One that is `choosy` has
    been at some servers already, so that room for it says nothing of room
    for others.
    """

    service: ids.ServiceName
    workspace: ids.WorkspaceId
    started: bool
    rank: int
    tokens: int
    since_ms: float
    until_ms: float
    has_exclusions: bool
    item: Item

    def is_near_deadline(self, now_ms: float) -> bool:
        """Return whether much of the time to wait is over."""
        waited_ms = now_ms - self.since_ms
        return waited_ms >= NEAR_DEADLINE_FRACTION * (
            self.until_ms - self.since_ms
        )


class WaitQueue(typing.Generic[Item]):
    """The requests that wait, by service."""

    def __init__(self) -> None:
        self._queue_by_service: collections.defaultdict[
            ids.ServiceName, fair_queue.FairQueue[Waiter[Item]]
        ] = collections.defaultdict(fair_queue.FairQueue)

    def is_empty(self, service: ids.ServiceName | None = None) -> bool:
        """Return whether nobody waits for a service, or for any."""
        if service is None:
            return not any(self._queue_by_service.values())
        return not self._queue_by_service.get(service)

    def services(self) -> list[ids.ServiceName]:
        """Return the services that are waited for."""
        return [s for s, queue in self._queue_by_service.items() if queue]

    def add(self, waiter: Waiter[Item]) -> None:
        """Add a request at its workspace's end."""
        queue = self._queue_by_service[waiter.service]
        queue.push(waiter.workspace, 1.0, max(1, waiter.tokens), waiter)

    def remove_served(self, waiter: Waiter[Item]) -> None:
        """Take out a request that got its server."""
        self._queue_by_service[waiter.service].dequeue(
            waiter.workspace, waiter
        )

    def withdraw(self, waiter: Waiter[Item]) -> None:
        """Take out a request that goes without a server."""
        self._queue_by_service[waiter.service].remove(waiter.workspace, waiter)

    def in_order(
        self, service: ids.ServiceName, now_ms: float
    ) -> list[Waiter[Item]]:
        """Return who waits for a service, the next one first."""

        def key(place: fair_queue.QueuedItem[Waiter[Item]]) -> tuple:
            waiter = place.item
            rank = 0 if waiter.is_near_deadline(now_ms) else waiter.rank
            return (not waiter.started, rank, place.start_tag, waiter.since_ms)

        places = self._queue_by_service[service].queued_items()
        return [place.item for place in sorted(places, key=key)]


def must_yield(waiter: Waiter, unplaced: list[Waiter], now_ms: float) -> bool:
    """Return whether a request must leave room to one before it."""
    return any(
        other.is_near_deadline(now_ms)
        and not other.has_exclusions
        and waiter.tokens < other.tokens
        for other in unplaced
    )
