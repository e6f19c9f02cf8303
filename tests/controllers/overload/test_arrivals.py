"""Which connections yield while clients hold too much."""

import hypothesis
from hypothesis import strategies

from oriolejunction.controllers.overload import arrivals

LIMITS = arrivals.ArrivalLimits(
    max_connections=10, max_arriving=3, max_bytes=100
)


def test_request_that_began_first_yields_to_a_fresh_one():
    """Load: slow clients stop short, and an ordinary caller comes last."""
    unfinished = arrivals.Arrivals(LIMITS)
    for name in ("first", "second", "third"):
        unfinished.update(name, 1)
    # More bytes of a request do not make it a fresh one.
    unfinished.update("first", 2)
    assert unfinished.to_yield() is None
    unfinished.update("fresh", 1)
    assert unfinished.to_yield() == "first"


def test_sum_of_bytes_is_bounded_and_not_each():
    unfinished = arrivals.Arrivals(LIMITS)
    unfinished.update("large", 100)
    assert unfinished.to_yield() is None
    unfinished.update("small", 1)
    assert unfinished.to_yield() == "large"
    unfinished.update("large", 0)
    assert unfinished.to_yield() is None


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 6), strategies.integers(0, 60)
        )
    )
)
def test_limits_hold_once_those_that_have_to_yield_are_gone(updates):
    unfinished = arrivals.Arrivals(LIMITS)
    held = {}
    for key, count in updates:
        unfinished.update(key, count)
        held[key] = count
        while (yielding := unfinished.to_yield()) is not None:
            unfinished.update(yielding, 0)
            held[yielding] = 0
        assert sum(held.values()) <= LIMITS.max_bytes
        assert set(unfinished) == {key for key in held if held[key]}
        assert len(set(unfinished)) <= LIMITS.max_arriving


def test_connections_in_use_yield_last():
    assert max(arrivals.ConnectionUse) is arrivals.ConnectionUse.ANSWERING
