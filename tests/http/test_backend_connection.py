"""Connections to backend servers from a process that is paused at times."""

import asyncio
import random
from unittest import mock

import pytest

from oriolejunction.http import backend_connection
from oriolejunction.http import unread_bytes
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


@pytest.mark.parametrize("is_chunked", [True, False])
async def test_cancelled_reads_lose_no_bytes(is_chunked):
    """The limit of a wait may end it between two parts of a long answer."""
    content = random.Random(1).randbytes(5 * unread_bytes.PARSED_BYTES)
    framing = b"Content-Length: %d\r\n\r\n%s" % (len(content), content)
    if is_chunked:
        framing = (
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
            % (
                len(content),
                content,
            )
        )
    connection = backend_connection.BackendConnection("a:1")
    connection.connection_made(mock.MagicMock())
    connection.send("GET", "/", [(b"Host", b"a")], b"")
    connection.data_received(b"HTTP/1.1 200 OK\r\n" + framing)
    await connection.read_response_head()
    received = []
    cancelled = 0
    for _ in range(100):
        task = asyncio.create_task(connection.read_chunk())
        await asyncio.sleep(0)
        if task.done():
            received.append(task.result())
            if received[-1] is None:
                break
        else:
            task.cancel()
            await asyncio.wait([task])
            cancelled += 1
    assert b"".join(received[:-1]) == content
    assert cancelled and connection.usable


@pytest.mark.parametrize(
    ("method", "status"), [("HEAD", b"200 OK"), ("GET", b"304 Same")]
)
async def test_answer_without_body_ends_with_its_head(method, status):
    """Its headers may state chunks, for which a caller would wait in vain."""
    connection = backend_connection.BackendConnection("a:1")
    connection.connection_made(mock.MagicMock())
    connection.send(method, "/", [(b"Host", b"a")], b"")
    connection.data_received(
        b"HTTP/1.1 %s\r\nTransfer-Encoding: chunked\r\n\r\n" % status
    )
    await connection.read_response_head()
    assert await connection.read_chunk() is None
    assert connection.usable
