"""Streams of routes that do not allow a stream to resume."""

import asyncio

import aiohttp
import msgspec
import pytest

from tests import event_loops
from tests.http import test_gateway_stream as streams
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)


@pytest.mark.parametrize("how", ["reset", "closed"])
async def test_stream_that_may_not_resume_runs_once(how):
    """Fault: it was sent to a second engine after the first broke off."""
    table = gateway_rig.table()
    table = msgspec.structs.replace(
        table,
        routes=tuple(
            msgspec.structs.replace(route, resumable=False)
            for route in table.routes
        ),
    )

    def breaks(arrival):
        arrival.reset() if how == "reset" else arrival.writer.close()

    behave = streams.broken_after(3, breaks)
    async with gateway_rig.running(llm=[behave] * 2, in_force=table) as rig:
        with pytest.raises(aiohttp.ClientPayloadError):
            await asyncio.wait_for(streams.read(rig.ask("/brief/1")), 6)
        assert len(streams.arrivals(rig)) == 1
