"""Gossip spreads what one instance observes to its peers."""

import asyncio

import msgspec

from oriolejunction.controllers import route_request
from oriolejunction import gossip_wire


async def _wait_until(condition):
    for _ in range(100):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("gossip did not reach the peers in time")


async def test_leaving_and_strikes_reach_all_instances(deployment):
    first, *others = [i.serving for i in deployment.instances]
    await _wait_until(
        lambda: first.membership.state("engine-0").value == "live"
    )
    first.membership.observe_leaving("engine-0")
    for engine_id in ("engine-1", "engine-2"):
        placement = _placement(engine_id)
        first.quarantine.record_dispatch(placement, "f", 0)
        first.quarantine.record_loss(placement, engine_id)
    await _wait_until(
        lambda: all(
            o.membership.state("engine-0").value == "leaving" for o in others
        )
    )
    await _wait_until(
        lambda: all(o.quarantine.last_strike("f") for o in others)
    )


def _placement(engine_id):
    return route_request.Placement("g", engine_id)


def test_gossip_request_survives_encoding():
    request = gossip_wire.GossipRequest(
        "i",
        strikes=(gossip_wire.StrikeRecord("f", "e", "z", 1.0, 2.0, 3, True),),
        isolated=(gossip_wire.IsolatedRequest("f", "e"),),
    )
    data = msgspec.msgpack.encode(request)
    assert (
        msgspec.msgpack.decode(data, type=gossip_wire.GossipRequest) == request
    )
