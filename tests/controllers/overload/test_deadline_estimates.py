"""Requests start only if their expected time fits the time left."""

from oriolejunction.controllers import answer_lengths
from oriolejunction.controllers.overload import deadline_estimates


def test_leaving_instance_starts_only_what_ends_before_it_stops():
    """Load: streams of 5.5 s arrive during a grace period of 7.6 s."""
    stream_ms = deadline_estimates.expected_stream_ms(8_200, 140, 125.0, 32.0)
    assert 5_000 < stream_ms < 6_000
    assert deadline_estimates.can_end_before_stop(stream_ms, None)
    assert deadline_estimates.can_end_before_stop(stream_ms, 7_600)
    assert not deadline_estimates.can_end_before_stop(stream_ms, 6_000)
    assert deadline_estimates.can_end_before_stop(
        deadline_estimates.max_call_ms(150.0), 1_000
    )


def test_request_whose_prefill_misses_the_deadline_is_not_started():
    prefill_ms = deadline_estimates.expected_stream_ms(8_200, 0, 125.0, 32.0)
    assert deadline_estimates.can_meet_deadline(prefill_ms, 1_500)
    assert not deadline_estimates.can_meet_deadline(prefill_ms, 900)


def test_lengths_are_learned_from_complete_answers():
    """Load: callers allow 190 events; answers take about 140."""
    lengths = answer_lengths.AnswerLengths()
    assert 120 < lengths.expected("r", 190) < 160
    for events in (150, 130, 140) * 20:
        lengths.add("r", events)
    assert 135 < lengths.expected("r", 190) < 145
    assert lengths.expected("r", 20) == 20
    assert lengths.expected("other", 100) == 75
