"""Silent engines are probed early and given up on late but in time."""

import random

import hypothesis
from hypothesis import strategies as st

from oriolejunction.controllers import silence_detector
from oriolejunction.controllers import stalls

MAX_EVENT_GAP_MS = 700.0


def estimate(gaps):
    gap_estimate = silence_detector.GapEstimate()
    for gap in gaps:
        gap_estimate.add(gap)
    return gap_estimate


@hypothesis.given(st.lists(st.floats(1, 400), max_size=40))
def test_engine_is_probed_before_it_is_given_up_on(gaps):
    limits = stalls.limits_between_events(estimate(gaps), MAX_EVENT_GAP_MS)
    assert limits.probe_ms < limits.give_up_ms
    assert limits.probe_ms <= stalls.MAX_PROBE_MS


def test_unreachable_engine_is_detected_within_half_the_event_gap():
    """Load: an engine that takes 32 ms per event becomes unreachable."""
    rng = random.Random(1)
    gaps = [rng.gauss(32, 4) for _ in range(60)]
    limits = stalls.limits_between_events(estimate(gaps), MAX_EVENT_GAP_MS)
    probing_ms = stalls.PROBE_ATTEMPTS * stalls.PROBE_TIMEOUT_MS
    assert limits.probe_ms + probing_ms < 0.5 * MAX_EVENT_GAP_MS


def test_engine_slowed_by_another_prefill_is_not_given_up_on():
    """Load: a prefill of another stream raises gaps from 32 to 230 ms."""
    gap_estimate = estimate([32.0] * 40)
    for _ in range(30):
        limits = stalls.limits_between_events(gap_estimate, MAX_EVENT_GAP_MS)
        assert limits.give_up_ms > 230.0
        gap_estimate.add(230.0)


def test_lost_first_event_is_given_up_on_in_time_for_the_goal():
    """Load: an answer is lost; the goal is 4.5 s, prefill takes 1.1 s."""
    limits = stalls.limits_before_first(1_100.0, 4_500.0, 1_100.0)
    assert limits.give_up_ms + 1.5 * 1_100.0 < 4_500.0
    assert limits.give_up_ms > 2_000.0
    assert limits.probe_ms < 1_100.0


def test_slow_engine_gets_time_for_its_prefill():
    limits = stalls.limits_before_first(1_700.0, 4_500.0, 1_100.0)
    assert limits.give_up_ms > 1.5 * 1_700.0
    overdue = stalls.limits_before_first(1_700.0, 0.0, 1_100.0)
    assert overdue.give_up_ms > 1.5 * 1_700.0


def test_engine_is_not_given_up_on_if_no_other_can_meet_the_goal():
    """Load: a stream resumed after a zone crash has used 1.9 s of its goal."""
    limits = stalls.limits_before_first(1_360.0, 2_600.0, 1_100.0)
    assert limits.give_up_ms > 3_000.0


def test_prompt_queued_behind_another_is_not_given_up_on():
    """Load: two prompts reach an engine within a few ms of each other."""
    limits = stalls.limits_before_first(400.0, 4_500.0, 400.0)
    assert limits.give_up_ms > 400.0 + 1_400.0


def test_prefill_is_probed_less_often_with_much_time_left():
    """Fault: probes opened two connections for each request."""
    relaxed = stalls.limits_before_first(1_200.0, 4_000.0, 1_100.0)
    assert 350.0 < relaxed.reprobe_ms <= stalls.MAX_REPROBE_MS
    for hurried_ms in (-1_000.0, 600.0, 1_500.0):
        limits = stalls.limits_before_first(1_200.0, hurried_ms, 1_100.0)
        assert limits.reprobe_ms == stalls.REPROBE_MS
    decoding = stalls.limits_between_events(estimate([32.0]), 700.0)
    assert decoding.reprobe_ms == stalls.REPROBE_MS
