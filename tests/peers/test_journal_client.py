"""A journal replica without a lease is lost only after a bounded time."""

import pytest

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction import errors
from oriolejunction import messages
from oriolejunction.peers import journal_client
from oriolejunction import telemetry


def _client(clock, blackboard):
    return journal_client.JournalClient(
        "instance-0",
        "zone",
        clock,
        blackboard,
        telemetry.Telemetry(),
        local=None,
        open_channel=None,
    )


async def _take_over_error(client):
    with pytest.raises(errors.Failure) as caught:
        await client.take_over("g", None, "instance-1", 3)
    return type(caught.value.error)


async def test_absent_replica_is_unavailable_then_lost():
    clock = clocks.ManualClock()
    client = _client(clock, blackboards.Blackboard())
    assert await _take_over_error(client) is errors.JournalUnavailable
    clock.advance(journal_client.ABSENT_REPLICA_TIMEOUT_MS - 1)
    assert await _take_over_error(client) is errors.JournalUnavailable
    clock.advance(1)
    assert await _take_over_error(client) is errors.GenerationLost


async def test_returned_replica_restarts_the_absence_timeout():
    clock = clocks.ManualClock()
    blackboard = blackboards.Blackboard()
    client = _client(clock, blackboard)
    write = blackboard.instance_by_id.claim_writer("test")
    assert await _take_over_error(client) is errors.JournalUnavailable
    clock.advance(journal_client.ABSENT_REPLICA_TIMEOUT_MS)
    write({"instance-1": _peer("instance-1")})
    write({"instance-0": _peer("instance-0")})
    assert await _take_over_error(client) is errors.JournalUnavailable


def _peer(name):
    return messages.PeerInstance(
        instance=name,
        zone="zone",
        incarnation="1",
        peer_address="127.0.0.1:1",
        leaving=False,
    )
