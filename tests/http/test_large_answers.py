"""Large answers of calls are passed on whole, or don't look complete."""

import aiohttp
import pytest

from oriolejunction.http import answer_body
from tests import event_loops
from tests.http import test_gateway_call as calls
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)

SIZE = 8 * answer_body.SMALL_BYTES
BODY = bytes(range(256)) * (SIZE // 256)


async def whole(arrival):
    arrival.answer(BODY)


async def whole_without_length(arrival):
    arrival.begin()
    arrival.chunk(BODY)
    arrival.end()


async def failed(arrival):
    arrival.answer(BODY, "500 Failed")


async def cut_short(arrival):
    arrival.writer.write(
        arrival.head(extra=b"Content-Length: %d\r\n" % SIZE) + BODY[:-1]
    )
    await arrival.writer.drain()
    arrival.writer.close()


@pytest.mark.parametrize("path", ["/order/1", "/look/1"])
@pytest.mark.parametrize("behave", [whole, whole_without_length])
async def test_large_answer_is_whole(behave, path):
    async with gateway_rig.running(desk=[behave, behave]) as rig:
        for _ in range(3):
            assert await calls.read(rig.ask(path)) == (200, BODY)


async def test_large_failure_is_whole():
    async with gateway_rig.running(desk=[failed]) as rig:
        assert await calls.read(rig.ask("/order/1")) == (500, BODY)


async def test_large_answer_that_is_cut_short_does_not_look_complete():
    async with gateway_rig.running(desk=[cut_short]) as rig:
        with pytest.raises(aiohttp.ClientPayloadError):
            await calls.read(rig.ask("/order/1"))
