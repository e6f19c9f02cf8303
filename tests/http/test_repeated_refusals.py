"""An earlier refusal that a server writes once more on a kept connection."""

import pytest

from tests import event_loops
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)

REFUSAL = (
    b"HTTP/1.1 503 Full\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)


def refusal_of(arrival):
    return REFUSAL % (
        b"Attempt-Id: %s\r\n" % arrival.headers["attempt-id"].encode()
    )


async def order(rig, request_id):
    async with rig.ask("/order/1", request_id) as response:
        return response.status


async def test_repeated_refusal_of_the_same_request_is_no_proof():
    """Fault: a call that runs was refused, or run once more.

    Its server had refused it before and is sent it again.
    """
    arrivals = []

    async def refuse_first(arrival):
        arrivals.append(arrival)
        if len(arrivals) == 1:
            arrival.writer.write(refusal_of(arrival))
        elif arrival.writer is arrivals[0].writer:
            arrival.writer.write(refusal_of(arrivals[0]))
        else:
            arrival.answer()

    async with gateway_rig.running(desk=[refuse_first]) as rig:
        assert await order(rig, "a1") == 200
    assert len(arrivals) == 2


async def test_repeated_refusal_without_an_id_is_no_proof():
    """Fault: a call that runs was refused, or run at a second server."""
    refused = []
    kept = set()

    async def refuse_on_kept(arrival):
        if arrival.writer in kept:
            refused.append(arrival.headers["attempt-id"])
            arrival.writer.write(REFUSAL % b"")
        else:
            kept.add(arrival.writer)
            arrival.answer()

    async with gateway_rig.running(desk=[refuse_on_kept] * 2) as rig:
        statuses = {
            each: await order(rig, each) for each in ("a1", "a2", "a3", "a4")
        }
        servers = rig.engines_by_service[gateway_rig.DESK]
        assert sum(len(each.arrivals) for each in servers) == 4
    assert refused
    assert {statuses[each] for each in refused} == {502}


async def test_refusal_without_an_id_is_proof_on_a_new_connection():
    async def refuse(arrival):
        arrival.writer.write(REFUSAL % b"")

    async with gateway_rig.running(desk=[refuse]) as rig:
        assert await order(rig, "a1") == 503
