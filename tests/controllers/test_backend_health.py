"""Own and reported suspicions, and how they end."""

from oriolejunction import clock as clocks
from oriolejunction.controllers import backend_health
from oriolejunction import ids

ENGINE = ids.BackendId("e1")
NOT_REPORTED = frozenset()
REPORTED = frozenset([ENGINE])


def test_lost_engine_is_avoided_for_a_while():
    clock = clocks.ManualClock(1_000.0)
    health = backend_health.BackendHealth(clock)
    health.mark_lost(ENGINE)
    assert health.is_suspect(ENGINE, NOT_REPORTED)
    assert health.suspects() == (ENGINE,)
    clock.advance(backend_health.SUSPECT_MS + 1)
    assert not health.is_suspect(ENGINE, NOT_REPORTED)
    assert health.suspects() == ()


def test_own_answer_overrides_a_reported_suspicion():
    clock = clocks.ManualClock(1_000.0)
    health = backend_health.BackendHealth(clock)
    assert health.is_suspect(ENGINE, REPORTED)
    health.mark_answered(ENGINE)
    assert not health.is_suspect(ENGINE, REPORTED)
    clock.advance(backend_health.OWN_EVIDENCE_MS + 1)
    assert health.is_suspect(ENGINE, REPORTED)


def test_answer_ends_an_own_suspicion():
    health = backend_health.BackendHealth(clocks.ManualClock(1_000.0))
    health.mark_lost(ENGINE)
    health.mark_answered(ENGINE)
    assert not health.is_suspect(ENGINE, NOT_REPORTED)


def test_failure_rate_decays():
    """Load: an engine fails some of its calls but passes health checks."""
    clock = clocks.ManualClock(1_000.0)
    health = backend_health.BackendHealth(clock)
    for failed in (True, False, True, True):
        health.record_outcome(ENGINE, failed)
    assert health.failure_rate(ENGINE) > 0.4
    clock.advance(backend_health.FAILURE_WINDOW_MS)
    assert health.failure_rate(ENGINE) == 0.0


def test_unlisted_engines_are_dropped():
    health = backend_health.BackendHealth(clocks.ManualClock(1_000.0))
    health.mark_lost(ENGINE)
    health.retain_only(set())
    assert not health.is_suspect(ENGINE, NOT_REPORTED)
