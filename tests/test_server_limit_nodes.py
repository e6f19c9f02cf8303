"""All entry instances together keep the limit that a server names."""

import asyncio
import random

from aiohttp import web
import pytest

from oriolejunction import entry_wiring
from tests import loopback
from tests.platform import gateway_rig
from tests.platform import test_configuration_document
from tests import test_fleet_nodes as nodes

ENTRIES = [loopback.node_address(number) for number in range(11, 16)]
LIMIT_PER_S = 4.0
CALLS_PER_S = 40.0
CALLS = 320
# From this call on, the limit is to be kept.
SETTLED_CALL = 120


class CallFleet(nodes.Fleet):
    """Several entry instances and three servers, one of which is limited."""

    def __init__(self, tmp_path, named_fraction):
        super().__init__(tmp_path)
        self.named_fraction = named_fraction
        self.rng = random.Random(1)
        self.limited_ms = []
        self.servers = [
            gateway_rig.Engine("d-0", self._answer_limited),
            gateway_rig.Engine("d-1", self._answer),
            gateway_rig.Engine("d-2", self._answer),
        ]
        self.entries = []

    async def _answer(self, arrival):
        await asyncio.sleep(0.03)
        arrival.answer()

    async def _answer_limited(self, arrival):
        self.limited_ms.append(asyncio.get_running_loop().time() * 1e3)
        await asyncio.sleep(0.03)
        limit = b"Server-Limit: %.1f\r\n" % LIMIT_PER_S
        if self.rng.random() >= self.named_fraction:
            limit = b""
        arrival.writer.write(
            arrival.head(extra=b"Content-Length: 2\r\n" + limit) + b"ok"
        )

    async def start(self):
        for server in self.servers:
            await server.start()
        await super().start()
        for number, ip in enumerate(ENTRIES):
            node = entry_wiring.EntryNode(
                nodes.settings(
                    self.tmp_path,
                    f"entry-{number}",
                    ip=ip,
                    caller_listen=f"{ip}:{nodes.ENTRY_PORT}",
                    ready_listen=f"{ip}:{nodes.READY_PORT}",
                    grace_ms=6_000,
                )
            )
            await node.start()
            self.entries.append(node)

    async def close(self):
        for node in self.entries:
            await node.close()
        await super().close()
        for server in self.servers:
            await server.close()

    async def _list(self, request):
        entries = [
            {
                "id": server.name,
                "service": "desk",
                "address": server.address,
                "zone": "z",
                "state": "ready",
                "slots": 6,
            }
            for server in self.servers
        ]
        return web.json_response({"instances": entries, "next": None})

    async def call(self, number):
        async with self.session.get(
            f"http://{ENTRIES[number % len(ENTRIES)]}:{nodes.ENTRY_PORT}"
            f"/look/{number}",
            headers={
                "Host": "ficu95.example",
                "Attempt-Id": f"a{number}",
                "X-Api-Key": "k1",
                "Deadline-Ms": "10000",
            },
        ) as response:
            return response.status


def document():
    content = test_configuration_document.document()
    route = dict(
        content["routes"][0],
        name="r-3",
        pathPrefix="/look/",
        kind="idempotent",
        service="desk",
        targetLatencyMs=2000,
        timeoutMs=10000,
        maxAttempts=2,
        sticky=False,
        resumable=False,
    )
    del route["targetGapMs"]
    return {**content, "routes": [*content["routes"], route]}


@pytest.mark.parametrize("named_fraction", [1.0, 0.5])
async def test_instances_together_keep_the_limit_of_a_server(
    tmp_path, named_fraction
):
    """Load: not every answer of the server names its limit."""
    fleet = CallFleet(tmp_path, named_fraction)
    try:
        await fleet.start()
        await fleet.publish_until_accepted(document())

        async def all_ready():
            ready = [node._is_ready() for node in fleet.entries]
            return all(ready)

        await fleet.wait_until(all_ready)
        calls = []
        for number in range(CALLS):
            calls.append(asyncio.create_task(fleet.call(number)))
            if number == SETTLED_CALL:
                settled_ms = asyncio.get_running_loop().time() * 1e3
            await asyncio.sleep(1.0 / CALLS_PER_S)
        statuses = await asyncio.gather(*calls)
        end_ms = asyncio.get_running_loop().time() * 1e3
        sent = sum(at_ms >= settled_ms for at_ms in fleet.limited_ms)
        print(
            "SENT",
            named_fraction,
            len(fleet.limited_ms),
            sent,
            end_ms - settled_ms,
            set(statuses),
        )
        assert sent <= 1.5 * LIMIT_PER_S * (end_ms - settled_ms) / 1e3 + 5
        assert statuses.count(200) == CALLS
    finally:
        await fleet.close()
