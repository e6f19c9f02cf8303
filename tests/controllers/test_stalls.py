"""Silence: tested early, left late, and never past the longest pause."""

import random

import hypothesis
from hypothesis import strategies as st

from oriolejunction.controllers import silence_detector
from oriolejunction.controllers import stalls

PAUSE_MS = 700.0


def estimate(gaps):
    found = silence_detector.GapEstimate()
    for gap in gaps:
        found.add(gap)
    return found


@hypothesis.given(st.lists(st.floats(1, 400), max_size=40))
def test_test_comes_before_leaving(gaps):
    limits = stalls.limits_between_events(estimate(gaps), PAUSE_MS)
    assert limits.probe_ms < limits.give_up_ms
    assert limits.probe_ms <= stalls.MAX_PROBE_MS


def test_dark_engine_is_found_well_within_the_longest_pause():
    """Load: an engine at 32 ms an event goes dark."""
    rng = random.Random(1)
    gaps = [rng.gauss(32, 4) for _ in range(60)]
    limits = stalls.limits_between_events(estimate(gaps), PAUSE_MS)
    tested_ms = stalls.PROBE_ATTEMPTS * stalls.PROBE_TIMEOUT_MS
    assert limits.probe_ms + tested_ms < 0.5 * PAUSE_MS


def test_engine_slowed_by_a_neighbours_prompt_is_not_left():
    """Load: gaps grow from 32 to 230 ms while a prompt is read beside."""
    found = estimate([32.0] * 40)
    for _ in range(30):
        limits = stalls.limits_between_events(found, PAUSE_MS)
        assert limits.give_up_ms > 230.0
        found.add(230.0)


def test_lost_first_event_is_left_in_time_for_the_goal():
    """Load: an answer is lost; the goal is 4.5 s, reading takes 1.1 s."""
    limits = stalls.limits_before_first(1_100.0, 4_500.0, 1_100.0)
    assert limits.give_up_ms + 1.5 * 1_100.0 < 4_500.0
    assert limits.give_up_ms > 2_000.0
    assert limits.probe_ms < 1_100.0


def test_slow_engine_is_given_time_for_its_prompt():
    limits = stalls.limits_before_first(1_700.0, 4_500.0, 1_100.0)
    assert limits.give_up_ms > 1.5 * 1_700.0
    late = stalls.limits_before_first(1_700.0, 0.0, 1_100.0)
    assert late.give_up_ms > 1.5 * 1_700.0


def test_engine_is_kept_where_no_other_would_meet_the_goal():
    """Load: a wave after a zone's crash; 1.9 s of the goal are gone."""
    limits = stalls.limits_before_first(1_360.0, 2_600.0, 1_100.0)
    assert limits.give_up_ms > 3_000.0


def test_prompt_behind_another_one_is_not_left():
    """Load: two prompts reach an engine within a few ms of each other."""
    limits = stalls.limits_before_first(400.0, 4_500.0, 400.0)
    assert limits.give_up_ms > 400.0 + 1_400.0
