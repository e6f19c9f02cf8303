"""The order of requests that wait because no backend server has capacity.

Load patterns: after most of a zone's engines crash, resumed and new streams
of all workspaces compete for the KV cache of the survivors, and a few large
workspaces send most of them. Prompts differ in size: if each piece of memory
that becomes free went to the next short prompt, a long one would wait past
its deadline.

Streams that have started go first, since their callers see the pause. Next
come requests with a lower rank. Within a rank, those that can still meet
their latency goal go first, and among them those of the workspace that was
served the fewest tokens. Once a request has waited for half of its time
limit, its missed goal no longer delays it, and shorter requests behind it
must not take the memory that it waits for. The time of a caller that was
rejected and came back counts from its first try.

Urgent requests alone may fill the engines. One that is less urgent, and has
waited for half of its time, is therefore served after `MAX_PASSED_OVER` more
urgent ones, if the first of these can still meet its latency goal later.
"""

import collections
import typing

import msgspec

from oriolejunction.controllers.overload import fair_queue
from oriolejunction import ids

# Requests without a workspace are queued under this one.
NO_WORKSPACE = ids.WorkspaceId("")
NEAR_DEADLINE_FRACTION = 0.5
# A tenth of the capacity is enough not to starve a less urgent kind.
MAX_PASSED_OVER = 9
# An urgent request that has less time left to its goal lets none go first.
MIN_SLACK_MS = 500.0

Item = typing.TypeVar("Item")


class Waiter(msgspec.Struct, typing.Generic[Item], frozen=True, eq=False):
    """A request that waits from `since_ms` to `until_ms` at most.

    It misses its latency goal if it is placed after `goal_until_ms`.
    `tokens` is the KV cache that it needs, and a lower `rank` is more
    urgent. `has_exclusions` is set if some servers are excluded for it;
    whether it fits then says nothing about whether others fit.
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
    goal_until_ms: float = float("inf")

    def is_near_deadline(self, now_ms: float) -> bool:
        """Return whether half of its time to wait has passed."""
        waited_ms = now_ms - self.since_ms
        return waited_ms >= NEAR_DEADLINE_FRACTION * (
            self.until_ms - self.since_ms
        )


class WaitQueue(typing.Generic[Item]):
    """The waiting requests, by service."""

    def __init__(self) -> None:
        self._queue_by_service: collections.defaultdict[
            ids.ServiceName, fair_queue.FairQueue[Waiter[Item]]
        ] = collections.defaultdict(fair_queue.FairQueue)
        # Placements since the last one of a request that was less urgent
        # than another one in the queue.
        self._passed_over: collections.Counter[ids.ServiceName]
        self._passed_over = collections.Counter()

    def is_empty(self, service: ids.ServiceName | None = None) -> bool:
        """Return whether no request waits for a service, or for any."""
        if service is None:
            return not any(self._queue_by_service.values())
        return not self._queue_by_service.get(service)

    def services(self) -> list[ids.ServiceName]:
        """Return the services that have waiting requests."""
        return [s for s, queue in self._queue_by_service.items() if queue]

    def count(self, service: ids.ServiceName) -> int:
        """Return how many requests wait for a service."""
        return len(self._queue_by_service[service])

    def count_ahead(self, waiter: Waiter[Item]) -> int:
        """Return how many requests wait that are as urgent or more."""
        queue = self._queue_by_service[waiter.service]
        return sum(
            queued.item.started or queued.item.rank <= waiter.rank
            for queued in queue.queued_items()
        )

    def count_by_rank(
        self, service: ids.ServiceName
    ) -> collections.Counter[int]:
        """Return how many requests wait for a service, by rank."""
        return collections.Counter(
            queued.item.rank
            for queued in self._queue_by_service[service].queued_items()
        )

    def add(self, waiter: Waiter[Item]) -> None:
        """Add a request behind the others of its workspace."""
        queue = self._queue_by_service[waiter.service]
        queue.push(waiter.workspace, 1.0, max(1, waiter.tokens), waiter)

    def remove_served(self, waiter: Waiter[Item]) -> None:
        """Remove a request that was assigned a server."""
        if not waiter.started:
            self._count_passed_over(waiter)
        self._queue_by_service[waiter.service].dequeue(
            waiter.workspace, waiter
        )

    def _count_passed_over(self, served: Waiter[Item]) -> None:
        ranks = self.count_by_rank(served.service)
        if any(rank < served.rank for rank in ranks):
            self._passed_over[served.service] = 0
        elif any(rank > served.rank for rank in ranks):
            self._passed_over[served.service] += 1

    def withdraw(self, waiter: Waiter[Item]) -> None:
        """Remove a request that stops waiting without a server."""
        self._queue_by_service[waiter.service].remove(waiter.workspace, waiter)

    def in_order(
        self, service: ids.ServiceName, now_ms: float
    ) -> list[Waiter[Item]]:
        """Return the waiting requests of a service, the next one first."""

        def key(queued: fair_queue.QueuedItem[Waiter[Item]]) -> tuple:
            waiter = queued.item
            near_deadline = waiter.is_near_deadline(now_ms)
            return (
                not waiter.started,
                waiter.rank if not waiter.started else 0,
                not near_deadline and now_ms > waiter.goal_until_ms,
                0 if near_deadline else waiter.rank,
                queued.start_tag,
                waiter.since_ms,
            )

        queued_items = self._queue_by_service[service].queued_items()
        in_order = [queued.item for queued in sorted(queued_items, key=key)]
        if self._passed_over[service] >= MAX_PASSED_OVER:
            _let_one_pass(in_order, now_ms)
        return in_order


def _let_one_pass(in_order: list[Waiter], now_ms: float) -> None:
    """Move the first request that was passed over too often to the front."""
    first = next((each for each in in_order if not each.started), None)
    if first is None or first.goal_until_ms < now_ms + MIN_SLACK_MS:
        return
    for waiter in in_order:
        is_less_urgent = not waiter.started and waiter.rank > first.rank
        if is_less_urgent and waiter.is_near_deadline(now_ms):
            in_order.remove(waiter)
            in_order.insert(in_order.index(first), waiter)
            return


def must_yield(waiter: Waiter, unplaced: list[Waiter], now_ms: float) -> bool:
    """Return whether a request must leave capacity to one ahead of it.

    `unplaced` are the requests ahead of it that got no server.
    """
    return any(
        (
            other.is_near_deadline(now_ms)
            or (other.rank < waiter.rank and now_ms <= other.goal_until_ms)
        )
        and not other.has_exclusions
        and waiter.tokens < other.tokens
        for other in unplaced
    )
