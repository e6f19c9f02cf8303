"""The order of waiting requests after a zone loss, under heavy load."""

import collections

import hypothesis
from hypothesis import strategies as st

from oriolejunction.controllers.overload import wait_queue
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


def queue_of(*waiters):
    queue = wait_queue.WaitQueue()
    for each in waiters:
        queue.add(each)
    return queue


def test_started_streams_go_before_new_ones():
    new, resumed = waiter(rank=0), waiter(rank=2, started=True)
    assert queue_of(new, resumed).in_order(LLM, 0.0) == [resumed, new]


def test_lower_rank_goes_first_until_half_of_the_time_has_passed():
    """Load: urgent requests keep arriving beside less urgent ones."""
    low = waiter("a", rank=3)
    urgent = waiter("b", rank=0, since_ms=700.0, until_ms=2_300.0)
    queue = queue_of(low, urgent)
    assert queue.in_order(LLM, 790.0) == [urgent, low]
    assert queue.in_order(LLM, 800.0) == [low, urgent]


def test_late_request_yields_to_those_in_time_until_its_half_time():
    """Load: callers return after a power loss, some already late."""
    late = waiter("a", until_ms=20_000.0, goal_until_ms=100.0)
    in_time = waiter("b", since_ms=200.0, goal_until_ms=4_000.0)
    queue = queue_of(late, in_time)
    assert queue.in_order(LLM, 50.0) == [late, in_time]
    assert queue.in_order(LLM, 300.0) == [in_time, late]
    assert queue.in_order(LLM, 10_000.0) == [late, in_time]


def test_large_workspace_delays_only_itself():
    """Load: one workspace has twenty waiting streams when others arrive."""
    large = [waiter("large") for _ in range(20)]
    small = [waiter(name) for name in ("s1", "s2", "s3")]
    queue = queue_of(*large, *small)
    first = queue.in_order(LLM, 0.0)[:4]
    assert set(first) == {large[0], *small}


def test_short_prompts_leave_memory_to_a_long_one_near_its_deadline():
    """Load: short prompts would fill all memory that becomes free."""
    long, short = waiter(tokens=30_000), waiter(tokens=2_000)
    assert not wait_queue.must_yield(short, [long], 700.0)
    assert wait_queue.must_yield(short, [long], 900.0)
    assert not wait_queue.must_yield(waiter(tokens=40_000), [long], 900.0)


def test_request_with_exclusions_delays_no_other():
    long = waiter(tokens=30_000, has_exclusions=True)
    assert not wait_queue.must_yield(waiter(tokens=2_000), [long], 900.0)


def test_withdrawn_request_costs_its_workspace_nothing():
    withdrawn, waiting, other = waiter("a"), waiter("a"), waiter("b")
    queue = queue_of(withdrawn, waiting, other)
    queue.withdraw(withdrawn)
    queue.remove_served(other)
    later = waiter("b")
    queue.add(later)
    assert queue.in_order(LLM, 0.0)[0] is waiting


@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from("abcd"), st.integers(1, 9)), max_size=60
    ),
    st.integers(1, 5),
)
def test_waiting_workspaces_are_served_equally(requests, steps_between):
    """The lead over a waiting workspace is bounded by request sizes."""
    queue = wait_queue.WaitQueue()
    for name, size in requests:
        queue.add(waiter(name, tokens=size * 1_000))
    served = collections.Counter()
    while not queue.is_empty(LLM):
        first, *rest = queue.in_order(LLM, 0.0)
        queue.remove_served(first)
        served[first.workspace] += first.tokens
        for other in rest:
            ahead = served[first.workspace] - served[other.workspace]
            assert ahead <= 9_000 + first.tokens
    assert sum(served.values()) == sum(size * 1_000 for _, size in requests)
