"""Shares are fair, no workspace starves and the queue never idles."""

import collections

import hypothesis
from hypothesis import strategies

from oriolejunction.controllers.overload import fair_queue

_COSTS = strategies.floats(1.0, 100.0)
_REQUESTS = strategies.lists(
    strategies.tuples(strategies.sampled_from("abc"), _COSTS), max_size=60
)


@hypothesis.given(_REQUESTS)
def test_every_request_is_popped_once_in_order_of_its_workspace(requests):
    queue = fair_queue.FairQueue()
    for number, (workspace, cost) in enumerate(requests):
        queue.push(workspace, 1.0, cost, (workspace, number))
    popped = []
    while len(queue):
        popped.append(queue.pop())
    assert queue.pop() is None
    assert sorted(popped, key=lambda item: item[1]) == [
        (workspace, number) for number, (workspace, _) in enumerate(requests)
    ]
    for name in "abc":
        own = [number for workspace, number in popped if workspace == name]
        assert own == sorted(own)


@hypothesis.given(
    strategies.lists(_COSTS, min_size=30, max_size=30),
    strategies.lists(_COSTS, min_size=30, max_size=30),
    strategies.integers(1, 4),
)
def test_backlogged_workspaces_get_their_weighted_shares(
    first, second, weight
):
    queue = fair_queue.FairQueue()
    for cost in first:
        queue.push("a", float(weight), cost, ("a", cost))
    for cost in second:
        queue.push("b", 1.0, cost, ("b", cost))
    served = collections.Counter()
    remaining = {"a": 30, "b": 30}
    while remaining["a"] and remaining["b"]:
        workspace, cost = queue.pop()
        served[workspace] += cost
        remaining[workspace] -= 1
        gap = abs(served["a"] / weight - served["b"])
        assert gap <= 100.0 / weight + 100.0


@hypothesis.given(strategies.integers(1, 200), _COSTS)
def test_modest_workspace_waits_for_one_request_at_most(backlog, cost):
    queue = fair_queue.FairQueue()
    for _ in range(backlog):
        queue.push("greedy", 1.0, cost, "greedy")
    queue.pop()
    queue.push("modest", 1.0, cost, "modest")
    served = [queue.pop() for _ in range(min(2, len(queue)))]
    assert "modest" in served


@hypothesis.given(_REQUESTS, strategies.integers(0, 59))
def test_removed_request_is_not_popped(requests, index):
    queue = fair_queue.FairQueue()
    items = [object() for _ in requests]
    for (workspace, cost), item in zip(requests, items):
        queue.push(workspace, 1.0, cost, item)
    if index < len(items):
        queue.remove(requests[index][0], items[index])
    popped = [queue.pop() for _ in range(len(queue))]
    expected = len(items) - (index < len(items))
    assert len(popped) == expected and None not in popped
    assert index >= len(items) or items[index] not in popped
