"""A crowd of clients that never end their requests, on each listener.

What is checked depends on no speed: memory, open descriptors, that the process
lives, and that ordinary requests are answered.
"""

import asyncio
import contextlib
import json
import os

import aiohttp
import pytest

from tests import client_crowd
from tests.soak import fleet as fleets

CROWD = 120
# Limits of the settings in these tests.
MAX_CONNECTIONS = 60
MAX_ARRIVING = 30
ARRIVING_BYTES = 4 << 20
HEAD_BYTES = 16_384
# The smallest machine has 88 MB, of which a node without requests takes 55.
MAX_GROWTH_BYTES = 33 << 20
# Sockets to other nodes and servers, and files.
OTHER_DESCRIPTORS = 40
CROWD_S = 3.0
SAMPLE_S = 0.02
# Only so that a failure ends.
TIMEOUT_S = 30.0
CALLER_SHAPES = sorted(client_crowd.shapes(b"/order/1"))
HEADERS = {
    "Host": fleets.HOST,
    "X-Api-Key": "k1",
    "Token-Counts": "100,96",
    "Deadline-Ms": "2500",
}


class CrowdFleet(fleets.Fleet):
    """One entry instance and its control replicas, with lower limits."""

    def _write_settings(self, name, ip, zone, **fields):
        return super()._write_settings(
            name,
            ip,
            zone,
            max_connections=MAX_CONNECTIONS,
            max_arriving=MAX_ARRIVING,
            arriving_bytes=ARRIVING_BYTES,
            **fields,
        )

    async def _serve(self, name, behave, arrival):
        if arrival.target.startswith("/pufi"):
            await behave(arrival)
        else:
            arrival.answer(b"done")


@pytest.fixture
async def fleet(tmp_path):
    running = CrowdFleet(tmp_path, 232, entries=1)
    await running.start()
    yield running
    await running.close()


@pytest.fixture
async def session(fleet):
    timeout = aiohttp.ClientTimeout(total=5.0)
    async with aiohttp.ClientSession(timeout=timeout) as asker:
        await until(lambda: publish(asker, fleet))
        await until(lambda: is_served(asker, fleet))
        yield asker


async def until(is_true):
    """Wait until a check returns true; a refused connection is no answer."""
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                if await is_true():
                    return
            await asyncio.sleep(0.05)


async def publish(session, fleet, version=7):
    url = f"http://{fleet.controls[0].ip}:{fleets.CONTROL_PORT}"
    path = "/v1/Configuration.Replace"
    content = fleets.document(version)
    async with session.post(f"{url}{path}", json=content) as response:
        return response.status == 200


async def is_served(session, fleet):
    """Send one ordinary request on a new connection."""
    url = f"http://{fleet.entries[0].ip}:{fleets.ENTRY_PORT}/order/1"
    headers = {**HEADERS, "Attempt-Id": "order-1", "Connection": "close"}
    async with session.post(url, headers=headers, data=b"p") as response:
        await response.read()
        return response.status == 200


async def is_ready(session, fleet):
    url = f"http://{fleet.entries[0].ip}:{fleets.READY_PORT}/"
    async with session.get(url) as response:
        return response.status == 200


async def has_status(session, node):
    url = f"http://{node.ip}:{fleets.STATUS_PORT}/status"
    async with session.get(url) as response:
        return "instance" in json.loads(await response.read())


def resident_bytes(process):
    with open(f"/proc/{process.pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def descriptors(process):
    return len(os.listdir(f"/proc/{process.pid}/fd"))


async def check_bounds(node, port, shape, ordinary):
    """Let a crowd join, and check the bounds and ordinary requests."""
    process = node.process
    before = resident_bytes(process)
    crowd = client_crowd.Crowd((node.ip, port), shape, CROWD)
    most_bytes = most_descriptors = 0
    await crowd.join()
    try:
        for _ in range(int(CROWD_S / SAMPLE_S)):
            await asyncio.sleep(SAMPLE_S)
            most_bytes = max(most_bytes, resident_bytes(process))
            most_descriptors = max(most_descriptors, descriptors(process))
        await until(ordinary)
    finally:
        await crowd.leave()
    await until(ordinary)
    assert process.returncode is None
    assert most_bytes - before <= MAX_GROWTH_BYTES
    assert most_descriptors <= MAX_CONNECTIONS + OTHER_DESCRIPTORS


@pytest.mark.parametrize("name", CALLER_SHAPES)
async def test_entry_instance_serves_beside_a_crowd(fleet, session, name):
    """Fault: clients that stop short took an instance's memory and turns."""
    shape = client_crowd.shapes(b"/order/1")[name]
    await check_bounds(
        fleet.entries[0],
        fleets.ENTRY_PORT,
        shape,
        lambda: is_served(session, fleet),
    )


@pytest.mark.parametrize(
    "name", ["large bodies", "small chunks", "header lines", "silence"]
)
async def test_control_replica_answers_beside_a_crowd(fleet, session, name):
    """Fault: the operator's listener held all that clients sent."""
    shape = client_crowd.shapes(b"/v1/Configuration.Replace")[name]
    await check_bounds(
        fleet.controls[0],
        fleets.CONTROL_PORT,
        shape,
        lambda: publish(session, fleet),
    )


@pytest.mark.parametrize("name", ["header lines", "small chunks", "silence"])
async def test_readiness_is_answered_beside_a_crowd(fleet, session, name):
    """Fault: as above, on the address that a load balancer asks."""
    await check_bounds(
        fleet.entries[0],
        fleets.READY_PORT,
        client_crowd.shapes(b"/")[name],
        lambda: is_ready(session, fleet),
    )


@pytest.mark.parametrize("name", ["header lines", "silence"])
async def test_status_is_answered_beside_a_crowd(fleet, session, name):
    """Fault: as above, on the listener for metrics and status."""
    node = fleet.controls[0]
    await check_bounds(
        node,
        fleets.STATUS_PORT,
        client_crowd.shapes(b"/status")[name],
        lambda: has_status(session, node),
    )


@pytest.mark.parametrize("name", ["large bodies", "small chunks", "silence"])
async def test_peers_are_served_beside_a_crowd(fleet, session, name):
    """Fault: as above, where instances pass requests on to each other."""
    await check_bounds(
        fleet.entries[0],
        fleets.PEER_PORT,
        client_crowd.shapes(b"/order/1")[name],
        lambda: is_served(session, fleet),
    )


@pytest.mark.parametrize("name", ["header line", "silence"])
async def test_control_peers_answer_beside_a_crowd(fleet, session, name):
    """Fault: as above, where control replicas serve other nodes by gRPC."""
    await check_bounds(
        fleet.controls[0],
        fleets.PEER_PORT,
        client_crowd.shapes(b"/")[name],
        lambda: publish(session, fleet),
    )


async def test_connection_that_sends_only_empty_lines_is_closed(
    fleet, session
):
    """Fault: empty lines were read for as long as they came."""
    shape = client_crowd.shapes(b"/")["empty lines"]
    crowd = client_crowd.Crowd(
        (fleet.entries[0].ip, fleets.ENTRY_PORT), shape, 1
    )
    await crowd.join()
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while not crowd.closed:
                await asyncio.sleep(SAMPLE_S)
    finally:
        await crowd.leave()


async def test_largest_request_is_served_without_a_crowd(fleet, session):
    """A limit on all requests together refuses no single one."""
    url = f"http://{fleet.entries[0].ip}:{fleets.ENTRY_PORT}/order/1"
    headers = {**HEADERS, "Attempt-Id": "order-2", "Deadline-Ms": "20000"}
    body = b"x" * (ARRIVING_BYTES - HEAD_BYTES)

    async def pieces():
        for start in range(0, len(body), 1_000):
            yield body[start : start + 1_000]

    for data in (body, pieces()):
        async with session.post(url, headers=headers, data=data) as response:
            assert response.status == 200
