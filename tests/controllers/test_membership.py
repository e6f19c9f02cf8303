"""Leaving is final for an incarnation; live needs list and fresh report."""

import hypothesis
from hypothesis import strategies
import pytest

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction.controllers import membership as memberships
from oriolejunction import engine_protocol
from oriolejunction import errors
from oriolejunction import invariants
from oriolejunction import states

LIVE = states.EngineState.LIVE
LEAVING = states.EngineState.LEAVING
SUSPECTED = states.EngineState.SUSPECTED


def _membership():
    clock = clocks.ManualClock()
    return memberships.Membership(blackboards.Blackboard(), clock), clock


def _report(incarnation="1", leaving=False):
    return engine_protocol.LoadReport("e", incarnation, 0, 0, 50.0, leaving)


def test_live_needs_the_list_and_a_fresh_report():
    membership, clock = _membership()
    assert membership.state("e") is SUSPECTED
    membership.observe_list({"e": states.ListedState.LIVE})
    assert membership.state("e") is SUSPECTED
    membership.observe_report(_report(), clock.now_ms())
    assert membership.state("e") is LIVE
    clock.advance(memberships.FRESH_REPORT_MS + 1)
    assert membership.state("e") is SUSPECTED
    membership.observe_report(_report(), clock.now_ms())
    membership.observe_list({})
    assert membership.state("e") is SUSPECTED


def test_restart_is_live_only_once_listed_as_live():
    membership, clock = _membership()
    membership.observe_report(_report(), 0.0)
    membership.observe_list({"e": states.ListedState.LEAVING})
    membership.observe_report(_report("2"), clock.now_ms())
    assert membership.state("e") is SUSPECTED
    membership.observe_list({"e": states.ListedState.LIVE})
    assert membership.state("e") is LIVE


def test_dispatch_to_a_leaving_engine_is_a_violation_after_the_grace():
    membership, clock = _membership()
    membership.observe_report(_report(leaving=True), 0.0)
    clock.advance(memberships.LEAVING_GRACE_MS)
    membership.require_may_dispatch("e")
    clock.advance(1)
    with pytest.raises(errors.Failure):
        membership.require_may_dispatch("e")
    invariants.violations_by_name.clear()


_EVENTS = strategies.sampled_from(
    [
        ("report", "1", False),
        ("report", "1", True),
        ("report", "2", False),
        ("report", "2", True),
        ("list", states.ListedState.LIVE),
        ("list", states.ListedState.LEAVING),
        ("list", None),
        ("peer", "1"),
        ("peer", "2"),
        ("refusal",),
        ("suspect",),
        ("wait",),
    ]
)


def _apply(membership, clock, event):
    match event:
        case ("report", incarnation, leaving):
            membership.observe_report(
                _report(incarnation, leaving), clock.now_ms()
            )
        case ("list", None):
            membership.observe_list({})
        case ("list", listed):
            membership.observe_list({"e": listed})
        case ("peer", incarnation):
            membership.observe_leaving("e", incarnation)
        case ("refusal",):
            membership.observe_leaving("e")
        case ("suspect",):
            membership.suspect("e")
        case ("wait",):
            clock.advance(700)


@hypothesis.given(strategies.lists(_EVENTS, max_size=40))
def test_leaving_is_final_until_another_incarnation(events):
    membership, clock = _membership()
    current, past, is_leaving = None, set(), False
    for event in events:
        _apply(membership, clock, event)
        match event:
            case ("report", incarnation, leaving):
                if incarnation in past:
                    pass
                elif incarnation != current:
                    is_leaving = leaving or (is_leaving and current is None)
                    past |= {current} - {None}
                    current = incarnation
                else:
                    is_leaving = is_leaving or leaving
            case ("peer", incarnation):
                if current is None:
                    current = incarnation
                is_leaving = is_leaving or incarnation == current
            case ("list", states.ListedState.LEAVING) | ("refusal",):
                is_leaving = True
        if is_leaving:
            assert membership.state("e") is LEAVING
        else:
            assert membership.state("e") is not LEAVING
