"""Asking engines for their reports while waiters come and go."""

import asyncio

import pytest

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.http import connection_pool
from oriolejunction.http import report_probe
from oriolejunction import ids
from oriolejunction.platform import gateway_dialect
from tests.platform import gateway_rig


async def test_cancelled_probe_closes_its_connection():
    """Fault: its connection stayed open, neither pooled nor closed."""
    asked, closed = asyncio.Event(), asyncio.Event()

    async def never_report(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        asked.set()
        try:
            await reader.read()
        except ConnectionError:
            pass
        closed.set()
        writer.close()

    server, address = await gateway_rig.listen(never_report)
    engine = backends.Backend(
        ids.BackendId("llm-0"), gateway_rig.LLM, address, ids.ZoneId("z0")
    )
    probe = asyncio.create_task(
        report_probe.fetch_report(
            connection_pool.ConnectionPool(clocks.SystemClock()),
            gateway_dialect.WIRE_FORMAT,
            engine,
        )
    )
    await asked.wait()
    probe.cancel()
    with pytest.raises(asyncio.CancelledError):
        await probe
    async with asyncio.timeout(5):
        await closed.wait()
    server.close()
