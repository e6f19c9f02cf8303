"""Limits that servers name bind all instances together."""

import structlog

from oriolejunction import clock as clocks
from oriolejunction.controllers.overload import server_limits
from oriolejunction import gateway_messages
from oriolejunction import ids

DESK = ids.BackendId("desk-0")


def named(per_s):
    return gateway_messages.RateLimit(per_s)


def test_each_change_of_a_limit_is_logged_once():
    clock = clocks.ManualClock(1_000.0)
    limits = server_limits.ServerLimits(clock)
    with structlog.testing.capture_logs() as logs:
        for limit in (named(4.0), named(4.0), named(2.0), named(None), None):
            clock.advance(100.0)
            limits.observe(DESK, limit, clock.now_ms())
    assert [(line["event"], line.get("per_s")) for line in logs] == [
        ("limit of server named", 4.0),
        ("limit of server named", 2.0),
        ("limit of server not read", None),
        ("limit of server lifted", None),
    ]
