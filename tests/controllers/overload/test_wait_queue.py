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


def test_urgent_request_never_waits_behind_a_less_urgent_one():
    """Load: a less urgent request is near its deadline, an urgent one late."""
    low = waiter("a", rank=3)
    urgent = waiter(
        "b", rank=0, since_ms=700.0, until_ms=2_300.0, goal_until_ms=750.0
    )
    queue = queue_of(low, urgent)
    for now_ms in (740.0, 790.0, 800.0, 1_500.0):
        assert queue.in_order(LLM, now_ms) == [urgent, low]


def test_less_urgent_requests_are_not_starved():
    """Load: urgent requests alone fill the engines, and have time left."""
    low = waiter("a", rank=3)
    queue = queue_of(low, *(waiter("b", rank=0) for _ in range(40)))
    order = []
    while not queue.is_empty(LLM):
        order.append(queue.in_order(LLM, 900.0)[0])
        queue.remove_served(order[-1])
    assert order.index(low) == wait_queue.MAX_PASSED_OVER
    # One that would miss its goal goes first all the same.
    queue = queue_of(waiter("a", rank=3))
    for _ in range(40):
        queue.add(waiter("b", rank=0, goal_until_ms=1_000.0))
        first = queue.in_order(LLM, 900.0)[0]
        assert first.rank == 0
        queue.remove_served(first)


def test_small_request_leaves_memory_to_a_more_urgent_one():
    urgent = waiter(rank=0, tokens=9_000, goal_until_ms=500.0)
    assert wait_queue.must_yield(waiter(rank=2), [urgent], 100.0)
    assert not wait_queue.must_yield(waiter(rank=0), [urgent], 100.0)
    assert not wait_queue.must_yield(waiter(rank=2), [urgent], 600.0)


def former_order(queue, now_ms):
    """Return the order before ranks took precedence."""

    def key(queued):
        near = queued.item.is_near_deadline(now_ms)
        return (
            not queued.item.started,
            not near and now_ms > queued.item.goal_until_ms,
            0 if near else queued.item.rank,
            queued.start_tag,
            queued.item.since_ms,
        )

    queued_items = queue._queue_by_service[LLM].queued_items()
    return [queued.item for queued in sorted(queued_items, key=key)]


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from("abc"),
            st.booleans(),
            st.integers(0, 900),
            st.integers(0, 2_000),
        ),
        max_size=20,
    ),
    st.integers(0, 3),
)
def test_order_of_requests_of_equal_rank_is_as_before(requests, rank):
    queue = queue_of(
        *(
            waiter(
                name,
                started=started,
                rank=rank,
                since_ms=since_ms,
                goal_until_ms=goal_ms,
            )
            for name, started, since_ms, goal_ms in requests
        )
    )
    while not queue.is_empty(LLM):
        in_order = queue.in_order(LLM, 850.0)
        assert in_order == former_order(queue, 850.0)
        assert queue.count_ahead(in_order[0]) == len(in_order)
        queue.remove_served(in_order[0])


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
