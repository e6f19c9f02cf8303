"""The trace of one request is ordered, from several logs."""

import json

import pytest

from oriolejunction import request_trace

LINES = [
    '  2.5 b {"event":"stream complete","request":"r1","instance":"b",'
    '"timestamp":"2026-01-01T00:00:02Z","events":140}',
    "no log line with r1 {",
    '{"event":"stream placed","request":"r1","instance":"a",'
    '"timestamp":"2026-01-01T00:00:01Z","backend":"e1"}',
    '{"event":"stream placed","request":"r2","instance":"a",'
    '"timestamp":"2026-01-01T00:00:00Z","backend":"r1"}',
]


def test_entries_are_of_one_request_and_in_order():
    entries = request_trace.collect("r1", LINES)
    assert [entry.event for entry in entries] == [
        "stream placed",
        "stream complete",
    ]
    assert "backend=e1" in request_trace.format_trace(entries)


def test_unknown_request_has_no_entries():
    assert request_trace.collect("r3", LINES) == []


def entries_of(*lines):
    return request_trace.collect(
        "r1",
        [
            json.dumps({"request": "r1", "timestamp": str(number), **line})
            for number, line in enumerate(lines)
        ],
    )


LOST = {"event": "attempt lost", "backend": "e1", "why": "silent for 9 ms"}


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        (
            [
                {
                    "event": "call given up",
                    "reason": "deadline",
                    "unanswered_ms": {"e7": 812},
                },
            ],
            "given up, deadline; e7 had not answered after 812 ms",
        ),
        (
            [LOST, {"event": "stream given up", "reason": "resend_budget"}],
            "given up, resend_budget; e1 lost it: silent for 9 ms",
        ),
        (
            [
                {
                    "event": "request failed",
                    "code": "no_capacity",
                    "outcome": "not_run",
                    "why": "busy",
                    "retry_after_ms": 340,
                }
            ],
            "rejected, no_capacity (not_run): busy; retry after 340 ms",
        ),
        (
            [
                LOST,
                {
                    "event": "stream complete",
                    "took_ms": 9000,
                    "first_ms": 4700,
                    "longest_pause_ms": 80,
                },
            ],
            "complete after 9000 ms, first event after 4700 ms, longest"
            " pause 80 ms; e1 lost it: silent for 9 ms",
        ),
        (
            [
                {
                    "event": "rollout decided send",
                    "software": "v2",
                    "sent": True,
                },
                {
                    "event": "call answered",
                    "status": 500,
                    "took_ms": 9,
                    "attempts": 1,
                },
            ],
            "answered with status 500 after 9 ms and 1 attempts; at version"
            " v2",
        ),
        ([LOST], "unknown: no line tells how the request ended"),
    ],
)
def test_cause_names_reason_and_server(lines, expected):
    assert request_trace.find_cause(entries_of(*lines)) == expected


def test_rejection_after_giving_up_keeps_the_reason_of_giving_up():
    entries = entries_of(
        {"event": "call given up", "reason": "deadline"},
        {"event": "request failed", "code": "answer_timed_out"},
    )
    assert request_trace.find_cause(entries) == "given up, deadline"
