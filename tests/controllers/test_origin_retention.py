"""Origins are kept for as long as the callers of their streams may return."""

import msgspec
import pytest

from oriolejunction import clock as clocks
from oriolejunction.controllers import origin_retention
from tests.platform import gateway_rig

MAX_MS = origin_retention.MAX_RETURN_MS


def table(timeout_ms):
    stream, *others = gateway_rig.table().routes
    changed = msgspec.structs.replace(stream, timeout_ms=timeout_ms)
    return gateway_rig.table(routes=(changed, *others))


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.mark.parametrize("timeout_ms", [700.0, 120_000.0, 2 * MAX_MS])
def test_time_follows_the_timeouts_of_resumable_routes(clock, timeout_ms):
    """A long stream's record expires before its caller returns."""
    retention = origin_retention.OriginRetention(clock)
    assert retention.return_ms == MAX_MS
    retention.follow(table(timeout_ms))
    assert retention.return_ms == min(timeout_ms, MAX_MS)


def test_shorter_timeout_leaves_running_streams_their_time(clock):
    """A new table lets the records of running streams expire."""
    retention = origin_retention.OriginRetention(clock)
    for timeout_ms in (50_000.0, 90_000.0, 20_000.0, 10_000.0):
        retention.follow(table(timeout_ms))
    clock.advance(180_000.0)
    assert retention.return_ms == 90_000.0
    clock.advance(1.0)
    assert retention.return_ms == 10_000.0
