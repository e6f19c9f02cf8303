"""All instances together stay within the budget for resends."""

import hypothesis
from hypothesis import strategies as st

from oriolejunction import clock as clocks
from oriolejunction.controllers.overload import resend_budget
from oriolejunction import ids

DESK = ids.ServiceName("desk")
LIMITS = resend_budget.BudgetLimits(0.8, 150.0, 10_000.0)


@hypothesis.given(
    st.integers(1, 8),
    st.lists(st.tuples(st.integers(0, 7), st.integers(0, 40)), max_size=300),
)
def test_instances_together_keep_the_budget(entries, requests):
    """Load: every request fails and is resent as often as allowed."""
    clock = clocks.ManualClock(0.0)
    budgets = [
        resend_budget.ResendBudget(clock, LIMITS) for _ in range(entries)
    ]
    resends = 0
    for entry, pause_ms in requests:
        clock.advance(pause_ms)
        budget = budgets[entry % entries]
        budget.count_request(DESK)
        for _ in range(4):
            if budget.allows(DESK, entries):
                budget.spend(DESK)
                resends += 1
    if clock.now_ms() <= LIMITS.window_ms:
        assert resends <= LIMITS.ratio * len(requests) + LIMITS.extra


def test_budget_recovers_after_the_window():
    clock = clocks.ManualClock(0.0)
    budget = resend_budget.ResendBudget(clock, LIMITS)
    while budget.allows(DESK, 10):
        budget.spend(DESK)
    clock.advance(LIMITS.window_ms + 1)
    assert budget.allows(DESK, 10)
