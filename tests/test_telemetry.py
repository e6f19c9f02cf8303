"""Counters of one instance, against increments lost before they are read."""

import aioprometheus

from oriolejunction import telemetry


def test_increments_are_counted_in_each_reading():
    """No increment is lost, and none is added twice."""
    metrics = telemetry.GatewayTelemetry()
    for event in ("sent", "lost", "sent"):
        metrics.attempts.inc({"service": "llm", "event": event})
    assert metrics.attempts.get({"service": "llm", "event": "sent"}) == 2
    metrics.attempts.inc({"service": "llm", "event": "sent"})
    for _ in range(2):
        page, _ = aioprometheus.render(metrics.registry, [])
        lines = page.decode().splitlines()
        counts = [line for line in lines if line.startswith("oj_attempts")]
        assert sorted(counts) == [
            'oj_attempts_total{event="lost",service="llm"} 1',
            'oj_attempts_total{event="sent",service="llm"} 3',
        ]
