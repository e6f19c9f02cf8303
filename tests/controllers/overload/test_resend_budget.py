"""All instances together stay within the budget for resends."""

import hypothesis
from hypothesis import strategies as st

from oriolejunction import clock as clocks
from oriolejunction.controllers.overload import resend_budget
from oriolejunction import fleet_messages as fm
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


def test_streams_of_a_lost_zone_resume_wherever_they_run():
    """Load: 195 instances, 17 streams a second, a zone takes 40 of them.

    Three of the lost streams run at one instance, whose equal part of the
    budget is less than one resend.
    """
    clock = clocks.ManualClock(0.0)
    budget = resend_budget.ResendBudget(clock, LIMITS)
    others = fm.ServiceUse(DESK, 170, 37)
    for _ in range(3):
        budget.count_request(DESK)
    for _ in range(3):
        assert budget.allows(DESK, 195, others)
        budget.spend(DESK)
    assert not budget.allows(DESK, 195, None)


@hypothesis.given(st.integers(2, 40), st.integers(1, 12))
def test_instances_with_late_counts_keep_the_budget(entries, streams):
    """Load: all streams are lost every 400 ms; counts are 400 ms old."""
    clock = clocks.ManualClock(0.0)
    budgets = [
        resend_budget.ResendBudget(clock, LIMITS) for _ in range(entries)
    ]
    for budget in budgets:
        for _ in range(streams):
            budget.count_request(DESK)
    resends = 0
    for _ in range(20):
        uses = [budget.uses({})[0] for budget in budgets]
        for index, budget in enumerate(budgets):
            others = fm.ServiceUse(
                DESK,
                sum(u.requests for u in uses) - uses[index].requests,
                sum(u.resends for u in uses) - uses[index].resends,
            )
            for _ in range(min(streams, 3)):
                if budget.allows(DESK, entries, others):
                    budget.spend(DESK)
                    resends += 1
        clock.advance(400.0)
    limit = LIMITS.ratio * entries * streams + LIMITS.extra
    assert resends <= limit
