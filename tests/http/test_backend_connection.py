"""Connections to backend servers from a process that is paused at times."""

import asyncio

import pytest

from oriolejunction.http import backend_connection
from tests import event_loops

pytestmark = pytest.mark.asyncio(**event_loops.VIRTUAL)

ADDRESS = "10.0.0.1:1"


def failing_tries(monkeypatch, pause_s):
    """Replace each try by one that times out, `pause_s` too late."""
    tries = []

    async def connect_once(address, timeout_ms):
        tries.append(address)
        async with asyncio.timeout(timeout_ms / 1e3):
            await asyncio.sleep(0)
            loop = asyncio.get_running_loop()
            loop.pause(timeout_ms / 1e3 + pause_s)
            await asyncio.sleep(1)

    monkeypatch.setattr(backend_connection, "_connect_once", connect_once)
    return tries


@pytest.mark.parametrize(("pause_s", "expected"), [(0.0, 2), (0.08, 4)])
async def test_try_during_an_own_pause_is_repeated(
    monkeypatch, pause_s, expected
):
    tries = failing_tries(monkeypatch, pause_s)
    with pytest.raises(backend_connection.RequestNotSent):
        await backend_connection.connect(ADDRESS, 10.0, tries=2)
    assert len(tries) == expected
