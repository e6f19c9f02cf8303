"""The trace of one request is ordered, from several logs."""

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
