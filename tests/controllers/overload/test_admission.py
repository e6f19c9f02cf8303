"""Admission limits and deadlines; refused requests never run."""

import hypothesis
from hypothesis import strategies

from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers.overload import admission as admissions
from oriolejunction import errors


def _admission(tokens_per_s=1_000.0, max_requests=1_000, instances=1):
    clock = clocks.ManualClock()
    capacity = admissions.Capacity(tokens_per_s, instances, max_requests)
    return admissions.Admission(clock, lambda: capacity), clock


def _request(deadline_ms=30_000.0, name="w", tokens=10, **limits):
    workspace = configuration.Workspace(name, "digest", **limits)
    return admissions.AdmissionRequest(workspace, tokens, 100, deadline_ms)


def _error(result):
    return type(result.error) if result.is_error() else None


def test_predicted_wait_beyond_the_deadline_is_refused_at_once():
    admission, _ = _admission(tokens_per_s=100.0)
    assert admission.submit(_request(1_000.0)).is_ok()
    assert _error(admission.submit(_request(1_000.0))) is errors.Overloaded
    assert admission.submit(_request(30_000.0)).is_ok()


def test_queued_request_is_refused_at_half_its_deadline():
    admission, clock = _admission()
    ticket = admission.submit(_request(1_000.0)).ok
    clock.advance(499)
    assert admission.refuse_overdue() == []
    clock.advance(1)
    assert admission.refuse_overdue() == [ticket]
    assert admission.start_next() is None


def test_workspace_and_instance_limits():
    admission, clock = _admission(max_requests=3)
    limited = _request(name="a", concurrent_requests=1)
    assert admission.submit(limited).is_ok()
    assert _error(admission.submit(limited)) is errors.WorkspaceLimit
    slow = _request(name="b", tokens_per_s=100, tokens=200)
    assert admission.submit(slow).is_ok()
    refused = admission.submit(slow)
    assert _error(refused) is errors.WorkspaceLimit
    clock.advance(refused.error.retry_after_ms)
    assert admission.submit(slow).is_ok()
    assert _error(admission.submit(_request())) is errors.InstanceFull


def test_plain_service_calls_count_towards_the_workspace_limit():
    admission, _ = _admission()
    workspace = _request(concurrent_requests=1).workspace
    assert admission.begin_call(workspace).is_ok()
    assert _error(admission.begin_call(workspace)) is errors.WorkspaceLimit
    admission.end_call(workspace)
    assert admission.begin_call(workspace).is_ok()


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["submit", "start", "wait", "end"]),
        strategies.sampled_from("abc"),
    ),
    max_size=80,
)


@hypothesis.given(_STEPS)
def test_queue_is_work_conserving_and_refused_tickets_never_run(steps):
    admission, clock = _admission(tokens_per_s=500.0)
    queued, running, refused = [], [], []
    for step, name in steps:
        match step:
            case "submit":
                result = admission.submit(_request(2_000.0, name))
                if result.is_ok():
                    queued.append(result.ok)
            case "start":
                ticket = admission.start_next()
                assert (ticket is None) == (not queued)
                if ticket is not None:
                    queued.remove(ticket)
                    running.append(ticket)
            case "wait":
                clock.advance(300)
                for ticket in admission.refuse_overdue():
                    queued.remove(ticket)
                    refused.append(ticket)
            case "end" if running:
                admission.end(running.pop(), 40)
    assert admission.queued == len(queued)
    assert admission.running == len(running)
    assert not set(refused) & set(running)
    for ticket in refused:
        assert ticket.state is admissions.TicketState.REFUSED
