"""Gap estimates and the silence limits that follow from them."""

import hypothesis
from hypothesis import strategies

from oriolejunction.controllers import loss_policy
from oriolejunction.controllers import silence_detector as detectors

BOUNDS = detectors.SilenceBounds(6.0, 120.0, 600.0)
FIRST = detectors.SilenceBounds(6.0, 250.0, 800.0)
KEY = ("g", 1)
OTHER = ("h", 1)
RESUME_BOUND_MS = 3_000.0
gaps = strategies.lists(strategies.floats(0.1, 2_000.0), max_size=60)


def _detector_after(gap_list, engine="e", key=KEY):
    detector, now_ms = detectors.SilenceDetector(), 0.0
    detector.watch(engine, key, now_ms)
    for gap_ms in gap_list:
        now_ms += gap_ms
        detector.record_progress(engine, key, now_ms)
    return detector, now_ms


@hypothesis.given(gaps)
def test_limit_stays_within_floor_and_ceiling(gap_list):
    detector, _ = _detector_after(gap_list)
    limit_ms = detector.limit_ms("e", KEY, BOUNDS, FIRST)
    assert 120.0 <= limit_ms <= 800.0


@hypothesis.given(
    strategies.floats(1.0, 60.0),
    strategies.lists(strategies.floats(0.5, 1.5), min_size=60, max_size=120),
)
def test_steady_engine_of_any_speed_is_never_suspected(step_ms, jitter):
    detector, now_ms = _detector_after([step_ms * 4])
    for factor in jitter:
        gap_ms = step_ms * factor
        limit_ms = detector.limit_ms("e", KEY, BOUNDS, FIRST)
        assert gap_ms < limit_ms
        now_ms += gap_ms
        detector.record_progress("e", KEY, now_ms)


def test_slow_engine_gets_more_time_than_a_fast_one():
    limit_by_step = {}
    for step_ms in (5.0, 40.0):
        gap_list = [step_ms * (1 + n % 3) for n in range(40)]
        detector, _ = _detector_after(gap_list)
        limit_by_step[step_ms] = detector.limit_ms("e", KEY, BOUNDS, FIRST)
    assert limit_by_step[5.0] < limit_by_step[40.0] < 600.0


def test_first_token_and_decoding_have_separate_limits():
    detector, now_ms = _detector_after([400.0] + [5.0] * 30)
    assert detector.limit_ms("e", KEY, BOUNDS, FIRST) == 120.0
    detector.watch("e", OTHER, now_ms)
    assert detector.limit_ms("e", OTHER, BOUNDS, FIRST) == 800.0


def test_one_stalled_stream_does_not_mean_a_stalled_engine():
    detector, now_ms = _detector_after([5.0] * 10)
    detector.watch("e", OTHER, now_ms)
    detector.record_progress("e", OTHER, now_ms + 5)
    assert not detector.others_progressed("e", KEY, now_ms + 300)
    assert detector.stalled_engines(now_ms + 1_000, BOUNDS) == {"e"}
    detector.record_progress("e", OTHER, now_ms + 500)
    assert detector.others_progressed("e", KEY, now_ms + 300)
    assert detector.stalled_engines(now_ms + 510, BOUNDS) == frozenset()


def test_unwatched_streams_are_ignored():
    detector, now_ms = _detector_after([5.0] * 10)
    detector.unwatch("e", KEY)
    assert detector.stalled_engines(now_ms + 9_000, BOUNDS) == frozenset()


def test_every_policy_can_lose_two_engines_within_the_resume_bound():
    for policy in loss_policy.POLICY_BY_MEASURE.values():
        longest_ms = policy.give_up.ceiling_ms
        longest_ms += policy.give_up_first.ceiling_ms
        assert longest_ms <= RESUME_BOUND_MS
