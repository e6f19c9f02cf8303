"""Limits that servers name bind all instances together."""

import bisect
import math
import random

import hypothesis
from hypothesis import strategies as st
import pytest
import structlog

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers.overload import resend_budget
from oriolejunction.controllers.overload import server_limits
from oriolejunction import fleet_messages as fm
from oriolejunction import gateway_messages
from oriolejunction import ids

DESK = ids.ServiceName("desk")
SERVER, OTHER = ids.BackendId("desk-0"), ids.BackendId("desk-1")
WINDOW_MS = 4_000.0
ANSWER_MS = 45.0
MAX_RISE_MS = server_limits.DOUBLING_MS * math.log2(server_limits.MAX_GROWTH)
LISTED = {
    SERVER: backends.Backend(SERVER, DESK, "127.0.0.1:1", ids.ZoneId("z"))
}
BUDGET = resend_budget.BudgetLimits(0.8, 150.0, 10_000.0)


def named(per_s):
    return gateway_messages.RateLimit(per_s)


def new_limits(clock, share=1.0, seed=1):
    return server_limits.ServerLimits(
        clock, random.Random(seed), lambda service: share, lambda: True
    )


def observe(limits, limit, sent_ms, server=SERVER):
    limits.observe(server, DESK, limit, sent_ms)


class Fleet:
    """Instances that send to one server as often as it allows.

    `weights` are their parts of the requests for the service; each knows the
    counts of the others as they were `lag_ms` before, or not at all.
    """

    def __init__(self, weights, limit_per_s, lag_ms=400.0, knows_others=True):
        self.clock = clocks.ManualClock(0.0)
        self.rng = random.Random(7)
        self.limit = named(limit_per_s)
        self.lag_ms, self.knows_others = lag_ms, knows_others
        self.weights = weights
        self.budgets = [
            resend_budget.ResendBudget(self.clock, BUDGET) for _ in weights
        ]
        self.tables = [
            server_limits.ServerLimits(
                self.clock,
                random.Random(number),
                lambda service, number=number: self.share_of(number),
                lambda: self.knows_others,
            )
            for number in range(len(weights))
        ]
        self.reported = [0] * len(weights)
        self.reported_ms = 0.0
        self.forgets_others = False
        self.sent_ms = []
        self.is_named = lambda: True

    def share_of(self, number):
        entries, others = len(self.weights), None
        if self.forgets_others:
            entries, others = 1, fm.ServiceUse(DESK, 0, 0)
        elif self.knows_others:
            total = sum(self.reported) - self.reported[number]
            others = fm.ServiceUse(DESK, total, 0)
        return self.budgets[number].share(DESK, entries, others)

    def run(self, duration_ms, requests_per_s=42.0):
        """Offer requests; each is sent here, or at once to another server."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(1e3 * self.rng.expovariate(requests_per_s))
            now_ms = self.clock.now_ms()
            if now_ms - self.reported_ms >= self.lag_ms:
                self.reported = [
                    sum(use.requests for use in budget.uses({}))
                    for budget in self.budgets
                ]
                self.reported_ms = now_ms
                if self.knows_others:
                    self.exchange()
            (number,) = self.rng.choices(
                range(len(self.weights)), self.weights
            )
            self.budgets[number].count_request(DESK)
            table = self.tables[number]
            if table.allows(SERVER):
                table.take(SERVER)
                self.sent_ms.append(now_ms)
                limit = self.limit if self.is_named() else None
                observe(table, limit, now_ms - ANSWER_MS)

    def exchange(self):
        """Let each instance know what the server named to any."""
        for table in self.tables:
            for limit in table.named():
                for other in self.tables:
                    other.update_reported(
                        {limit.backend_id: limit.per_s}, LISTED
                    )

    def rate_per_s(self):
        now_ms = self.clock.now_ms()
        return sum(at_ms > now_ms - 1_000.0 for at_ms in self.sent_ms)

    def most_in_window(self, since_ms, until_ms=float("inf")):
        """Return the most in a window that begins in this time."""
        times = [at_ms for at_ms in self.sent_ms if at_ms >= since_ms]
        return max(
            (
                bisect.bisect(times, at_ms + WINDOW_MS) - index
                for index, at_ms in enumerate(times)
                if at_ms <= until_ms
            ),
            default=0,
        )


def allowed(limit_per_s):
    """Return how many requests the platform's rule allows in a window."""
    return 1.5 * limit_per_s * WINDOW_MS / 1e3 + 5


@pytest.mark.parametrize("limit_per_s", [0.0, 0.3, 4.4, 20.0])
@pytest.mark.parametrize(
    "weights",
    [[1] * 7, [40, 10, 1, 1, 1, 1, 1], [1] * 90, [1]],
    ids=["even", "uneven", "many", "one"],
)
def test_instances_together_keep_a_limit_and_use_it(weights, limit_per_s):
    """Load: more requests than the server takes, from all instances."""
    fleet = Fleet(weights, limit_per_s)
    fleet.run(40_000.0, requests_per_s=max(60.0, 2.0 * len(weights)))
    assert fleet.most_in_window(3_000.0) <= allowed(limit_per_s)
    later = [at_ms for at_ms in fleet.sent_ms if at_ms >= 10_000.0]
    assert len(later) >= 0.6 * limit_per_s * 30.0


@pytest.mark.parametrize("named_fraction", [0.6, 0.3, 0.1])
def test_limit_is_kept_if_few_answers_name_it(named_fraction):
    """Load: most answers of a server in need do not state its limit."""
    fleet = Fleet([1] * 7, 4.4)
    fleet.is_named = lambda: fleet.rng.random() < named_fraction
    fleet.run(40_000.0)
    assert fleet.most_in_window(3_000.0) <= allowed(4.4)


def test_limit_is_kept_in_windows_that_outlast_the_need():
    """Load: a server is in need for five seconds."""
    fleet = Fleet([1] * 7, 4.4)
    fleet.is_named = lambda: fleet.clock.now_ms() < 5_000.0
    fleet.run(40_000.0)
    assert fleet.most_in_window(3_000.0, 5_000.0) <= allowed(4.4)
    free = [at_ms for at_ms in fleet.sent_ms if at_ms >= 15_000.0]
    assert len(free) >= 25 * 30


def test_limit_is_kept_if_it_is_named_only_above_it():
    """Load: a server states its limit only while it gets more."""
    fleet = Fleet([1] * 7, 4.4)
    fleet.is_named = lambda: fleet.rate_per_s() > 4.4
    fleet.run(60_000.0)
    assert fleet.most_in_window(3_000.0) <= allowed(4.4)


def test_instances_that_cannot_ask_take_equal_parts():
    """Load: no counts of others arrive."""
    fleet = Fleet([1] * 7, 4.4, knows_others=False)
    fleet.run(30_000.0)
    assert fleet.most_in_window(3_000.0) <= allowed(4.4)


def test_replica_that_forgot_the_others_raises_no_part():
    """Load: a control replica starts again and knows no reports yet."""
    fleet = Fleet([1] * 7, 4.4)
    for _ in range(5):
        fleet.run(3_000.0)
        fleet.forgets_others = True
        fleet.run(1_200.0)
        fleet.forgets_others = False
    assert fleet.most_in_window(3_000.0) <= allowed(4.4)


def test_requests_that_wait_at_many_instances_are_not_sent_together():
    """Load: 90 instances learn of a limit at once and hold requests."""
    clock = clocks.ManualClock(0.0)
    tables = [new_limits(clock, 1 / 90, seed) for seed in range(90)]
    for table in tables:
        observe(table, named(4.4), 0.0)
    sent = 0
    for _ in range(400):
        clock.advance(10.0)
        for table in tables:
            if table.allows(SERVER):
                table.take(SERVER)
                sent += 1
    assert sent <= allowed(4.4)


def test_late_answer_raises_no_limit():
    """Load: answers on two connections overtake each other."""
    clock = clocks.ManualClock(1_000.0)
    limits = new_limits(clock)
    observe(limits, named(0.5), 990.0)
    observe(limits, named(100.0), 995.0)
    clock.advance(100.0)
    assert not limits.allows(SERVER)
    observe(limits, named(0.25), 995.0)
    clock.advance(1_000.0)
    assert not limits.allows(SERVER)
    observe(limits, named(100.0), clock.now_ms())
    clock.advance(100.0)
    assert limits.allows(SERVER)


def test_answers_without_the_limit_lift_it_only_after_a_while():
    """Load: failures do not state the limit that other answers state."""
    clock = clocks.ManualClock(1_000.0)
    limits = new_limits(clock)
    observe(limits, named(1.0), clock.now_ms())
    sent = []
    for _ in range(1_000):
        clock.advance(10.0)
        if limits.allows(SERVER):
            limits.take(SERVER)
            sent.append(clock.now_ms())
        observe(limits, None, clock.now_ms())
    held = [ms for ms in sent if ms < 1_000 + server_limits.MIN_HOLD_MS]
    assert len(held) <= 5
    rising = [ms for ms in sent if ms < 9_000.0]
    assert 8 <= len(rising) <= 40
    assert len(sent) > 100


def test_limit_named_to_another_instance_binds_this_one():
    """Load: few requests of this instance reach the server."""
    clock = clocks.ManualClock(1_000.0)
    limits = new_limits(clock)
    limits.update_reported({SERVER: 0.5, OTHER: 1.0}, LISTED)
    assert not limits.allows(SERVER)
    assert limits.allows(OTHER)
    assert limits.named() == ()
    observe(limits, named(2.0), clock.now_ms())
    limits.update_reported({SERVER: 4.0}, LISTED)
    assert limits.named() == (fm.NamedLimit(SERVER, 2.0),)
    clock.advance(500.0)
    limits.take(SERVER)
    clock.advance(490.0)
    assert not limits.allows(SERVER)


def test_limit_that_cannot_be_read_changes_nothing():
    clock = clocks.ManualClock(1_000.0)
    limits = new_limits(clock)
    observe(limits, named(None), 1_000.0)
    assert limits.allows(SERVER)
    observe(limits, named(0.5), 1_000.0)
    observe(limits, named(None), 1_100.0)
    assert not limits.allows(SERVER)


def test_new_incarnation_has_no_limit():
    clock = clocks.ManualClock(1_000.0)
    limits = new_limits(clock)
    observe(limits, named(0.0), 1_000.0)
    assert not limits.allows(SERVER)
    assert limits.allows(OTHER)
    limits.retain_only({OTHER})
    assert limits.allows(OTHER)
    clock.advance(server_limits.MAX_HOLD_MS + MAX_RISE_MS)
    limits.retain_only({SERVER})
    assert limits.are_known
    limits.retain_only({OTHER})
    assert not limits.are_known


def test_limit_outlives_a_list_without_its_server():
    """Fault: a server that one list did not name was sent requests again."""
    clock = clocks.ManualClock(1_000.0)
    limits = new_limits(clock)
    observe(limits, named(0.5), 1_000.0)
    limits.retain_only({OTHER})
    limits.retain_only({SERVER, OTHER})
    assert not limits.allows(SERVER)
    assert limits.named() == (fm.NamedLimit(SERVER, 0.5),)


def test_request_that_was_not_sent_is_given_back():
    clock = clocks.ManualClock(1_000.0)
    limits = new_limits(clock)
    observe(limits, named(1.0), 1_000.0)
    clock.advance(1_000.0)
    limits.take(SERVER)
    assert not limits.allows(SERVER)
    limits.give_back(SERVER)
    assert limits.allows(SERVER)


def test_wait_is_known_only_if_all_servers_are_at_their_limits():
    clock = clocks.ManualClock(1_000.0)
    limits = new_limits(clock)
    observe(limits, named(2.0), 1_000.0)
    limits.take(SERVER)
    assert limits.expected_wait_ms([SERVER, OTHER], 3) == (0.0, 0.0)
    assert limits.expected_wait_ms([], 3) == (0.0, 0.0)
    assert limits.expected_wait_ms([SERVER], 3) == (2_000.0, 500.0)


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(["observe", "lift", "send", "undo"]),
            st.floats(0.0, 50.0),
            st.floats(0.0, 2_000.0),
        ),
        max_size=80,
    )
)
def test_no_order_of_events_exceeds_the_highest_limit(steps):
    """Load: limits come, change and go while requests are sent."""
    clock = clocks.ManualClock(1_000.0)
    limits = new_limits(clock)
    highest, sent, since_ms, pauses_ms = 0.0, 0, None, 0.0
    for step, per_s, pause_ms in steps:
        clock.advance(pause_ms)
        if step == "lift":
            clock.advance(2 * server_limits.MAX_HOLD_MS)
            assert limits.allows(SERVER)
            since_ms, sent, highest = None, 0, 0.0
        elif step == "observe":
            observe(limits, named(per_s), clock.now_ms())
            pauses_ms = 0.0
            since_ms = clock.now_ms() if since_ms is None else since_ms
            highest = max(highest, per_s)
        elif (pauses_ms := pauses_ms + pause_ms) > 3_000.0:
            # The limit may rise from here on.
            return
        elif since_ms is not None and limits.allows(SERVER):
            limits.take(SERVER)
            if step == "undo":
                limits.give_back(SERVER)
            else:
                sent += 1
    if since_ms is not None:
        passed_s = (clock.now_ms() - since_ms) / 1e3
        probes = passed_s * 1e3 / server_limits.MIN_PROBE_MS
        burst = max(1.0, highest * server_limits.BURST_S)
        assert sent <= highest * passed_s + burst + probes + 1


def test_each_change_of_a_limit_is_logged_once():
    clock = clocks.ManualClock(1_000.0)
    limits = new_limits(clock)
    with structlog.testing.capture_logs() as logs:
        for limit in (named(4.0), named(4.0), named(2.0), named(None), None):
            clock.advance(100.0)
            observe(limits, limit, clock.now_ms())
        clock.advance(server_limits.MAX_HOLD_MS)
        assert limits.allows(SERVER)
    assert [(line["event"], line.get("per_s")) for line in logs] == [
        ("limit of server named", 4.0),
        ("limit of server named", 2.0),
        ("limit of server not read", None),
        ("limit of server lifted", None),
    ]
