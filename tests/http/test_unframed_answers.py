"""Answers without a length end with their connection, or with their server."""

import asyncio

import pytest

from tests import event_loops
from tests.http import test_gateway_call as calls
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)


def crash_within(engines):
    """Return a server's behaviour: its process ends within an answer."""

    async def behave(arrival):
        engine = next(e for e in engines() if arrival in e.arrivals)
        engine._server._server.close()
        arrival.writer.write(arrival.head() + b"a part")
        await arrival.writer.drain()
        arrival.writer.close()

    return behave


async def test_part_of_an_answer_is_no_success_after_a_crash():
    """Fault: half of an order's answer passed for the whole (MIXED)."""
    behave = crash_within(lambda: rig.engines_by_service[gateway_rig.DESK])
    async with gateway_rig.running(desk=[behave]) as rig:
        status, body = await calls.read(rig.ask("/order/1"))
    assert status == 502
    assert b"a part" not in body


async def test_retryable_call_goes_on_at_another_server_after_a_crash():
    behave = crash_within(lambda: rig.engines_by_service[gateway_rig.DESK])
    async with gateway_rig.running(desk=[behave, calls.answer]) as rig:
        for _ in range(4):
            assert await calls.read(rig.ask("/look/1")) == (200, b"whole")


async def test_answer_without_a_length_is_whole_if_its_server_lives():
    async def behave(arrival):
        arrival.writer.write(arrival.head() + b"whole")
        arrival.writer.close()

    async with gateway_rig.running(desk=[behave]) as rig:
        assert await calls.read(rig.ask("/order/1")) == (200, b"whole")


async def test_listener_that_closes_after_the_connection_is_no_sign_of_life():
    """Fault: the server was asked while the kernel still ended its process."""

    async def behave(arrival):
        engine = next(
            e
            for e in rig.engines_by_service[gateway_rig.DESK]
            if arrival in e.arrivals
        )
        arrival.writer.write(arrival.head() + b"a part")
        await arrival.writer.drain()
        arrival.writer.close()
        await asyncio.sleep(0.005)
        engine._server._server.close()

    async with gateway_rig.running(desk=[behave]) as rig:
        status, _ = await calls.read(rig.ask("/order/1"))
    assert status == 502
