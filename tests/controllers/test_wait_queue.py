"""Who goes next at the worst load: a zone lost, few large workspaces."""

import collections

import hypothesis
from hypothesis import strategies as st

from oriolejunction.controllers import wait_queue
from oriolejunction import ids

LLM = ids.ServiceName("llm")


def waiter(workspace="w", tokens=8_000, **fields):
    values = {
        "started": False,
        "rank": 1,
        "since_ms": 0.0,
        "until_ms": 1_600.0,
        "has_exclusions": False,
        "item": None,
        **fields,
    }
    return wait_queue.Waiter(
        LLM, ids.WorkspaceId(workspace), tokens=tokens, **values
    )


def line_of(*waiters):
    line = wait_queue.WaitQueue()
    for each in waiters:
        line.add(each)
    return line


def test_streams_that_have_begun_go_before_new_ones():
    new, begun = waiter(rank=0), waiter(rank=2, started=True)
    assert line_of(new, begun).in_order(LLM, 0.0) == [begun, new]


def test_lower_rank_goes_first_until_half_of_the_time_is_over():
    """Load: urgent requests without end beside less urgent ones."""
    low = waiter("a", rank=3)
    urgent = waiter("b", rank=0, since_ms=700.0, until_ms=2_300.0)
    line = line_of(low, urgent)
    assert line.in_order(LLM, 790.0) == [urgent, low]
    assert line.in_order(LLM, 800.0) == [low, urgent]


def test_large_workspace_delays_only_itself():
    """Load: one workspace has twenty streams waiting as others come."""
    large = [waiter("large") for _ in range(20)]
    small = [waiter(name) for name in ("s1", "s2", "s3")]
    line = line_of(*large, *small)
    first = line.in_order(LLM, 0.0)[:4]
    assert set(first) == {large[0], *small}


def test_short_prompts_take_no_room_that_a_long_one_waits_for():
    """Load: short ones fill each bit of memory as it comes free."""
    long, short = waiter(tokens=30_000), waiter(tokens=2_000)
    assert not wait_queue.must_yield(short, [long], 700.0)
    assert wait_queue.must_yield(short, [long], 900.0)
    assert not wait_queue.must_yield(waiter(tokens=40_000), [long], 900.0)


def test_one_that_was_refused_by_some_engines_keeps_nobody_back():
    long = waiter(tokens=30_000, has_exclusions=True)
    assert not wait_queue.must_yield(waiter(tokens=2_000), [long], 900.0)


def test_who_leaves_costs_its_workspace_nothing():
    gone, stays, other = waiter("a"), waiter("a"), waiter("b")
    line = line_of(gone, stays, other)
    line.withdraw(gone)
    line.remove_served(other)
    again = waiter("b")
    line.add(again)
    assert line.in_order(LLM, 0.0)[0] is stays


@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from("abcd"), st.integers(1, 9)), max_size=60
    ),
    st.integers(1, 5),
)
def test_workspaces_that_wait_are_served_alike(offers, steps_between):
    """No workspace gets ahead of one that waits by more than a request."""
    line = wait_queue.WaitQueue()
    for name, size in offers:
        line.add(waiter(name, tokens=size * 1_000))
    served = collections.Counter()
    while not line.is_empty(LLM):
        first, *rest = line.in_order(LLM, 0.0)
        line.remove_served(first)
        served[first.workspace] += first.tokens
        for other in rest:
            ahead = served[first.workspace] - served[other.workspace]
            assert ahead <= 9_000 + first.tokens
    assert sum(served.values()) == sum(size * 1_000 for _, size in offers)
