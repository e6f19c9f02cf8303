"""Pauses that servers ask for, in any order of their answers."""

import random

import pytest

from oriolejunction import clock as clocks
from oriolejunction.controllers.overload import server_departures
from oriolejunction.controllers.overload import server_intake
from oriolejunction.controllers.overload import server_limits
from oriolejunction.controllers.overload import server_pauses
from oriolejunction import gateway_messages
from oriolejunction import ids

DESK = ids.ServiceName("desk")
A, B = ids.BackendId("a"), ids.BackendId("b")


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def pauses(clock):
    return server_pauses.ServerPauses(clock, random.Random(1))


def ask(pauses, clock, for_ms, backend_id=A):
    pauses.observe(
        backend_id, gateway_messages.PauseRequest(for_ms), clock.now_ms()
    )


@pytest.mark.parametrize(
    ("asked_ms", "least_ms"),
    [(250.0, 250.0), (2_000.0, 2_000.0), (None, 1_000.0), (1e15, 600_000.0)],
)
def test_pause_holds_for_the_time_asked_for(pauses, clock, asked_ms, least_ms):
    ask(pauses, clock, asked_ms)
    clock.advance(least_ms - 1)
    assert pauses.is_paused(A) and not pauses.allows(A)
    clock.advance(server_pauses.MAX_SPREAD_MS + 1)
    assert not pauses.is_paused(A) and pauses.allows(A)


def test_pause_of_no_time_is_none(pauses, clock):
    ask(pauses, clock, 0.0)
    assert pauses.allows(A) and not pauses.are_known


def test_shorter_pause_does_not_end_a_longer_one(pauses, clock):
    ask(pauses, clock, 3_000.0)
    clock.advance(100)
    ask(pauses, clock, 200.0)
    clock.advance(2_800)
    assert pauses.is_paused(A)


def test_answer_to_an_older_request_does_not_end_a_pause(pauses, clock):
    """Load: several requests were on their way when one was turned away."""
    sent_ms = clock.now_ms()
    ask(pauses, clock, 1_000.0)
    clock.advance(10)
    pauses.observe(A, None, sent_ms)
    assert pauses.is_paused(A)
    clock.advance(2_000)
    pauses.observe(A, None, sent_ms)
    assert pauses.are_known


def test_after_a_pause_one_request_is_sent_before_the_others(pauses, clock):
    ask(pauses, clock, 1_000.0)
    clock.advance(1_300)
    assert pauses.allows(A)
    pauses.take(A)
    assert not pauses.allows(A)
    pauses.give_back(A)
    assert pauses.allows(A)
    pauses.take(A)
    pauses.observe(A, None, clock.now_ms())
    assert pauses.allows(A) and not pauses.are_known


def test_first_request_without_an_answer_does_not_close_a_server(
    pauses, clock
):
    ask(pauses, clock, 1_000.0)
    clock.advance(1_300)
    pauses.take(A)
    clock.advance(server_pauses.TRIAL_MS)
    assert pauses.allows(A)


def test_instances_return_at_different_times(clock):
    """Load: a server asks all instances for the same pause at once."""
    ends_ms = set()
    for seed in range(40):
        pauses = server_pauses.ServerPauses(clock, random.Random(seed))
        ask(pauses, clock, 2_000.0)
        ends_ms.add(round(pauses.remaining_ms(A)))
    assert min(ends_ms) >= 2_000
    assert max(ends_ms) - min(ends_ms) >= 300


def test_pauses_of_unlisted_servers_are_dropped(pauses, clock):
    ask(pauses, clock, 1_000.0)
    clock.advance(1_000.0 + server_pauses.MAX_SPREAD_MS)
    pauses.retain_only({A})
    assert pauses.are_known
    pauses.retain_only({B})
    assert not pauses.are_known


def test_wait_is_that_of_the_shortest_pause_or_limit(pauses, clock):
    limits = server_limits.ServerLimits(
        clock, random.Random(1), lambda service: 1.0, lambda: True
    )
    intake = server_intake.ServerIntake(
        limits, pauses, server_departures.ServerDepartures(clock)
    )
    assert intake.expected_wait_ms([A, B], 0) == (0.0, 0.0)
    ask(pauses, clock, 4_000.0)
    assert intake.expected_wait_ms([A, B], 0) == (0.0, 0.0)
    assert not intake.allows(A) and intake.allows(B)
    ask(pauses, clock, 1_000.0, B)
    wait_ms, _ = intake.expected_wait_ms([A, B], 0)
    assert 1_000.0 <= wait_ms <= 1_250.0
    limits.observe(A, DESK, gateway_messages.RateLimit(0.1), clock.now_ms())
    clock.advance(4_500)
    intake.take(A)
    pauses.observe(A, None, clock.now_ms())
    ask(pauses, clock, 1_000.0, B)
    assert not intake.allows(A)
    assert intake.expected_wait_ms([A, B], 0)[0] <= 1_250.0


def test_brittle_server_survives_the_return_of_all_instances(clock):
    """Load: a brittle server has no room for as long as instances return."""
    instances = 20
    fleet = [
        server_pauses.ServerPauses(clock, random.Random(seed))
        for seed in range(instances)
    ]
    for each in fleet:
        each.observe_rejection(A, 10, instances)
    rejected_ms = []
    for _ in range(2_500):
        clock.advance(10)
        for each in fleet:
            if each.allows(A):
                each.take(A)
                each.observe_rejection(A, 10, instances)
                rejected_ms.append(clock.now_ms())
    assert len(rejected_ms) >= 20
    for start_ms in range(8_000, 24_000, 100):
        in_second = [t for t in rejected_ms if start_ms <= t < start_ms + 1e3]
        assert len(in_second) <= 10


def test_rest_of_a_brittle_server_is_bounded(pauses, clock):
    pauses.observe_rejection(A, 0, 1_000)
    longest_ms = server_pauses.MIN_REST_MS + server_pauses.MAX_REST_MS
    assert server_pauses.MIN_REST_MS <= pauses.remaining_ms(A) <= longest_ms


def test_pause_outlives_a_list_without_its_server(pauses, clock):
    """Fault: a server that one list did not name was sent requests again."""
    ask(pauses, clock, 3_000.0)
    clock.advance(100)
    pauses.retain_only(())
    pauses.retain_only((A,))
    clock.advance(500)
    assert pauses.is_paused(A) and not pauses.allows(A)
    clock.advance(2_400 + server_pauses.MAX_SPREAD_MS)
    pauses.retain_only(())
    assert not pauses.are_known
