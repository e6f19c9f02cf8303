"""Requests that are in flight when an entry instance stops."""

import asyncio

import pytest

from tests.http import test_gateway_call as calls
from tests.http import test_gateway_stream as streams
from tests.platform import gateway_rig


async def send_part(rig, path):
    """Send a request without the last three bytes of its body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\n"
        f"Attempt-Id: a1\r\nX-Api-Key: {gateway_rig.KEY}\r\n"
        "Token-Counts: 800,80\r\nContent-Length: 6\r\n\r\n"
    )
    writer.write(head.encode() + b"pro")
    await asyncio.sleep(0.1)
    return reader, writer


@pytest.mark.parametrize(
    ("path", "end"), [("/order/1", b"whole"), ("/brief/1", b"0\r\n\r\n")]
)
async def test_request_arriving_while_idle_connections_close_is_answered(
    path, end
):
    """Load: a part of its body comes after the close of idle connections."""
    async with gateway_rig.running(
        llm=[streams.complete], desk=[calls.answer]
    ) as rig:
        reader, writer = await send_part(rig, path)
        rig.time_to_stop_ms = 5_000.0
        rig.gateway.close_idle()
        await asyncio.sleep(0.1)
        writer.write(b"mpt")
        answered = await asyncio.wait_for(reader.read(), 2.0)
        writer.close()
        assert answered.startswith(b"HTTP/1.1 200 ")
        assert answered.endswith(end)
        (arrival,) = (
            arrival
            for engines in rig.engines_by_service.values()
            for engine in engines
            for arrival in engine.arrivals
        )
        assert arrival.body == b"prompt"
