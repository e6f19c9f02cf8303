"""Forecasts and returns after the loss of a zone and of all instances."""

import itertools
import math

import hypothesis
from hypothesis import strategies as st
import pytest

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers.overload import placement
from oriolejunction.controllers.overload import wait_forecast
from oriolejunction import ids

LLM = ids.ServiceName("llm")


def candidate(streams, event_ms=20.0, prefill_ms_per_k=100.0):
    return placement.Candidate(
        backend=backends.Backend(
            ids.BackendId("e"), LLM, "10.0.0.1:1", ids.ZoneId("z")
        ),
        streams=streams,
        kv_tokens=0,
        prefill_tokens=0,
        kv_limit=0,
        slots=6,
        event_ms=event_ms,
        prefill_ms_per_k=prefill_ms_per_k,
    )


def test_interval_follows_streams_and_speeds_of_the_survivors():
    """Load: six streams of 4 s on one engine, three of 8 s on another."""
    survivors = [candidate(6, 20.0, 150.0), candidate(3, 40.0, 300.0)]
    interval_ms = wait_forecast.release_interval_ms(survivors, 8_000, 140.0)
    assert interval_ms == pytest.approx(1.0 / (6 / 4_000 + 3 / 8_000))
    assert wait_forecast.expected_wait_ms(9, interval_ms) == pytest.approx(
        10 * interval_ms
    )


def test_without_running_streams_there_is_no_forecast():
    """Load: all engines are lost, or have just come back."""
    for survivors in ([], [candidate(0)]):
        interval = wait_forecast.release_interval_ms(survivors, 8_000, 140.0)
        assert math.isinf(interval)


def test_callers_rejected_together_return_one_after_the_other():
    """Load: forty callers are rejected in one moment."""
    clock = clocks.ManualClock(5_000.0)
    schedule = wait_forecast.ReturnSchedule(clock)
    times = [
        schedule.return_after_ms(LLM, 24_000.0, 500.0, 120.0)
        for _ in range(40)
    ]
    assert times[0] == 500
    gaps = {b - a for a, b in itertools.pairwise(times)}
    assert gaps == {120}


def test_returns_do_not_pile_up_after_the_load_has_passed():
    clock = clocks.ManualClock()
    schedule = wait_forecast.ReturnSchedule(clock)
    for _ in range(40):
        schedule.return_after_ms(LLM, 24_000.0, 500.0, 120.0)
    clock.advance(10_000.0)
    assert schedule.return_after_ms(LLM, 24_000.0, 500.0, 120.0) == 500


@hypothesis.given(
    st.floats(0, 60_000),
    st.floats(0, 1e6) | st.just(math.inf),
    st.floats(0, 1e5) | st.just(math.inf),
    st.integers(1, 30),
)
def test_return_leaves_the_caller_time(remaining_ms, wait_ms, interval, count):
    """Load: callers return with little left of their time."""
    schedule = wait_forecast.ReturnSchedule(clocks.ManualClock())
    for _ in range(count):
        told_ms = schedule.return_after_ms(
            LLM, remaining_ms, wait_ms, interval
        )
        assert told_ms >= wait_forecast.MIN_RETURN_MS
        assert told_ms <= max(
            wait_forecast.MIN_RETURN_MS, remaining_ms / 3 + 1
        )
