"""Refusals that an engine writes once more, to the client of generations."""

import asyncio
import contextlib

import pytest

from oriolejunction import configuration
from oriolejunction import engine_protocol
from oriolejunction import errors
from oriolejunction.http import engine_client
from oriolejunction import ids
from oriolejunction import states
from tests.platform import gateway_rig

REFUSAL = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"


async def generate(client, engine):
    request = engine_protocol.GenerateRequest(
        generation=ids.GenerationId("g1"),
        attempt=ids.AttemptNumber(1),
        model=ids.ModelName("m"),
        version=ids.ModelVersion("1"),
        adapter="",
        prompt="one",
        max_tokens=1,
    )
    batches = client.generate(engine, request)
    async with contextlib.aclosing(batches):
        return [events async for events in batches]


async def test_repeated_refusal_does_not_deny_a_later_generation():
    """Fault: a generation that an engine ran was reported as not run."""
    begun = []

    async def serve(reader, writer):
        requests = 0
        with contextlib.suppress(asyncio.IncompleteReadError):
            while await gateway_rig.read_request(reader, writer):
                requests += 1
                begun.append(writer)
                if len(begun) == 1 or requests > 1:
                    writer.write(REFUSAL)
                else:
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                    )

    listener, address = await gateway_rig.listen(serve)
    client = engine_client.EngineClient()
    engine = configuration.Engine(
        engine_id=ids.EngineId("e1"),
        url=f"http://{address}",
        zone=ids.ZoneId("z0"),
        model=ids.ModelName("m"),
    )
    try:
        with pytest.raises(errors.Failure) as raised:
            await generate(client, engine)
        assert raised.value.error.cause is states.LossCause.REFUSED
        assert await generate(client, engine) == []
    finally:
        await client.close()
        listener.close()
    assert len(begun) == 2
