"""Asking engines for their reports while waiters come and go."""

import asyncio
import contextlib
import random

import pytest

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers.overload import server_departures
from oriolejunction.controllers.overload import server_intake
from oriolejunction.controllers.overload import server_limits
from oriolejunction.controllers.overload import server_pauses
from oriolejunction.controllers import stalls
from oriolejunction import gateway_messages
from oriolejunction.http import connection_pool
from oriolejunction.http import report_probe
from oriolejunction import ids
from oriolejunction.platform import gateway_dialect
from tests.platform import gateway_rig


def engine_at(address):
    return backends.Backend(
        ids.BackendId("llm-0"), gateway_rig.LLM, address, ids.ZoneId("z0")
    )


ENGINE = engine_at("10.0.0.1:1")


async def test_cancelled_probe_closes_its_connection():
    """Fault: its connection stayed open, neither pooled nor closed."""
    asked, closed = asyncio.Event(), asyncio.Event()

    async def never_report(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        asked.set()
        with contextlib.suppress(ConnectionError):
            await reader.read()
        closed.set()
        writer.close()

    server, address = await gateway_rig.listen(never_report)
    probe = asyncio.create_task(
        report_probe.fetch_report(
            connection_pool.ConnectionPool(clocks.SystemClock()),
            gateway_dialect.WIRE_FORMAT,
            engine_at(address),
            lambda head: None,
        )
    )
    await asked.wait()
    probe.cancel()
    with pytest.raises(asyncio.CancelledError):
        await probe
    async with asyncio.timeout(5):
        await closed.wait()
    server.close()


@pytest.fixture
def probes(monkeypatch):
    """Return a list that collects the probes that are to be answered."""
    asked = []

    async def fetch_report(pool, wire_format, backend, on_head):
        asked.append(asyncio.get_running_loop().create_future())
        return await asked[-1]

    monkeypatch.setattr(report_probe, "fetch_report", fetch_report)
    return asked


async def test_report_is_shared_until_it_is_an_interval_old(probes):
    """Fault: each stream asked, or one that continued ended the others'."""
    clock = clocks.ManualClock()
    rng = random.Random(1)
    intake = server_intake.ServerIntake(
        server_limits.ServerLimits(
            clock, rng, lambda service: 1.0, lambda: True
        ),
        server_pauses.ServerPauses(clock, rng),
        server_departures.ServerDepartures(clock),
    )
    reports = report_probe.EngineReports(clock, None, None, intake)
    ended, waiting = [
        asyncio.create_task(reports.read(ENGINE, 0.0)) for _ in range(2)
    ]
    while not probes:
        await asyncio.sleep(0)
    ended.cancel()
    await asyncio.wait({ended})
    report = gateway_messages.EngineReport(1, {})
    probes[0].set_result(report)
    assert (await waiting).report is report
    clock.advance(stalls.REPORT_INTERVAL_MS - 1)
    assert (await reports.read(ENGINE, 0.0)).asked_ms == 0.0
    clock.advance(1)
    new = asyncio.create_task(reports.read(ENGINE, 0.0))
    while len(probes) < 2:
        await asyncio.sleep(0)
    clock.advance(1)
    # One that may be from before a request says nothing about it.
    newer = asyncio.create_task(reports.read(ENGINE, clock.now_ms()))
    while len(probes) < 3:
        await asyncio.sleep(0)
    new.cancel()
    newer.cancel()
