"""Decoding of an engine's report, whoever wrote its entries."""

import pytest

from oriolejunction import gateway_messages
from oriolejunction import ids
from oriolejunction.platform import engine_report


def test_runs_are_read_and_foreign_entries_skipped():
    """Four runs are listed; the fifth active request has no token yet."""
    body = (
        b'{"queuedRequests":2,"activeRequests":5,"runs":[["a1",8200,3,5],'
        b'["a2","many",0,5],{"id":"a3"},["a4",10,0,2]]}'
    )
    assert engine_report.read_report(body) == gateway_messages.EngineReport(
        3,
        {
            ids.RequestId("a1"): gateway_messages.ReportedRun(8_200, 3),
            ids.RequestId("a4"): gateway_messages.ReportedRun(10, 0),
        },
    )


@pytest.mark.parametrize("body", [b"", b"[]", b'{"runs":3}', b"\xff"])
def test_unreadable_report_is_no_report(body):
    assert engine_report.read_report(body) is None


@pytest.mark.parametrize(
    ("body", "born"),
    [(b'{"born":1700000000123}', 1_700_000_000_123), (b'{"born":"x"}', 0)],
)
def test_birth_of_the_engine_is_read(body, born):
    assert engine_report.read_report(body).born == born
