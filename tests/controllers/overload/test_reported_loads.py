"""The load that servers state: smoothed, aged, and full for a short time."""

import math
import random

import pytest

from oriolejunction import clock as clocks
from oriolejunction.controllers.overload import reported_loads
from oriolejunction import gateway_messages
from oriolejunction import ids

SERVER = ids.BackendId("s1")


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def loads(clock):
    return reported_loads.ReportedLoads(clock, random.Random(1))


def load(running=0, waiting=0, slots=6, slowdown=1.0):
    return gateway_messages.ServerLoad(running, waiting, slots, slowdown)


def observe(loads, *figures, own=0, rejected=False, sent_ms=math.inf):
    return loads.observe(SERVER, load(*figures), own, rejected, sent_ms)


def test_count_yields_to_its_mean_and_then_to_nothing(loads, clock):
    """Load: one reading a second of a queue that changes within 50 ms."""
    for waiting in (0, 10, 0, 10, 0, 10) * 5:
        observe(loads, 6, waiting)
        clock.advance(500)
    observe(loads, 6, 10)
    assert loads.estimate(SERVER).others == 16
    clock.advance(500)
    assert 8 < loads.estimate(SERVER).others < 13
    clock.advance(reported_loads.MAX_AGE_MS - 600)
    assert loads.estimate(SERVER).others < 1
    clock.advance(200)
    assert loads.estimate(SERVER) is None


def test_speed_that_jumps_about_is_averaged_and_a_new_level_followed(loads):
    """Load: the speed of a machine changes many times a second."""
    rng = random.Random(2)
    for _ in range(40):
        observe(loads, 1, 0, 6, rng.uniform(0.6, 1.4))
    assert loads.estimate(SERVER).slowdown == pytest.approx(1.0, abs=0.25)
    for _ in range(4):
        observe(loads, 1, 0, 6, rng.uniform(3.6, 4.4))
    assert loads.estimate(SERVER).slowdown > 3


def test_own_calls_are_not_counted_twice(loads):
    observe(loads, 4, 0, own=3)
    assert loads.estimate(SERVER).others == 1
    observe(loads, 1, 0, own=3)
    assert loads.estimate(SERVER).others >= 0


def test_full_server_is_avoided_briefly_and_longer_each_time(loads, clock):
    """Load: all instances learn of a full queue by their own rejections."""
    first_ms = observe(loads, 6, 24, rejected=True)
    assert loads.full_ms(SERVER, 0) == first_ms
    clock.advance(first_ms)
    assert not loads.full_ms(SERVER, 0)
    times_ms = [observe(loads, 6, 24, rejected=True) for _ in range(9)]
    assert times_ms[0] > first_ms
    assert max(times_ms) <= 1.5 * reported_loads.MAX_FULL_MS
    clock.advance(max(times_ms))
    assert observe(loads, 6, 3) == 0
    again_ms = observe(loads, 6, 24, rejected=True)
    assert again_ms <= 1.5 * reported_loads.FULL_MS


def test_queue_that_held_no_more_is_full_without_a_rejection(loads, clock):
    observe(loads, 6, 24, rejected=True)
    clock.advance(1_000)
    assert not observe(loads, 6, 23)
    assert observe(loads, 6, 24)
    clock.advance(1_000)
    # It holds more than it seemed to.
    observe(loads, 6, 30)
    assert not observe(loads, 6, 24)


def test_server_gets_no_more_own_calls_than_its_slots_and_queue(loads, clock):
    observe(loads, 6, 24, rejected=True)
    clock.advance(1_000)
    assert not loads.full_ms(SERVER, 29)
    assert loads.full_ms(SERVER, 30)


def test_server_that_states_no_load_is_not_avoided(loads):
    """Decisions without the header must not differ from before."""
    assert not loads.observe(SERVER, None, 0, True, 0.0)
    assert not loads.are_known
    assert not loads.full_ms(SERVER, 1_000)


def test_requests_sent_together_are_one_rejection(loads, clock):
    """Load: an instance sends ten calls to a server at once."""
    clock.advance(10)
    assert observe(loads, 6, 24, rejected=True, sent_ms=8.0)
    for _ in range(9):
        assert not observe(loads, 6, 24, rejected=True, sent_ms=8.0)
    clock.advance(1_000)
    again_ms = observe(loads, 6, 24, rejected=True)
    assert again_ms <= 1.5 * 2 * reported_loads.FULL_MS


def test_server_that_was_full_gets_one_call_at_a_time(loads, clock):
    """Load: all held calls would be sent as soon as its time is over."""
    assert not loads.take(SERVER)
    clock.advance(observe(loads, 6, 24, rejected=True))
    trial_ms = loads.take(SERVER)
    assert loads.full_ms(SERVER, 0) == trial_ms
    clock.advance(trial_ms)
    assert not loads.full_ms(SERVER, 0)
    observe(loads, 6, 20)
    assert not loads.take(SERVER)
