"""Streams outlive the loss of their entry instance during a release."""

import asyncio

from aiohttp import web
import pytest

from tests.http import test_stream_versions
from tests.platform import gateway_rig
from tests import test_fleet_nodes as nodes

STREAMS = 6


class ReleaseFleet(nodes.Fleet):
    """A fleet whose engines have two software versions."""

    def __init__(self, tmp_path):
        super().__init__(tmp_path)
        self.engine.behave = test_stream_versions.hang_after_three
        self.newer = gateway_rig.Engine("i-2", self.engine.behave)

    async def start(self):
        await self.newer.start()
        await super().start()

    async def close(self):
        await super().close()
        await self.newer.close()

    async def _list(self, request):
        entries = [
            {
                "id": engine.name,
                "service": "llm",
                "address": engine.address,
                "zone": "z",
                "version": f"of {engine.name}",
                "state": "ready",
                "slots": 8,
            }
            for engine in (self.engine, self.newer)
        ]
        return web.json_response({"instances": entries, "next": None})

    def send(self, request_id, **headers):
        return self.session.post(
            f"http://{nodes.ENTRY}:{nodes.ENTRY_PORT}/pufi/1",
            headers={
                "Host": "ficu95.example",
                "Attempt-Id": request_id,
                "X-Api-Key": "k1",
                "Deadline-Ms": "9000",
                "Token-Counts": "100,48",
                **{k.replace("_", "-"): v for k, v in headers.items()},
            },
        )

    def engine_of(self, request_id):
        """Return the name of the engine that a request reached."""
        (name,) = {
            engine.name
            for engine in (self.engine, self.newer)
            for arrival in engine.arrivals
            if arrival.headers["attempt-id"] == request_id
        }
        return name


@pytest.fixture
async def fleet(tmp_path):
    running = ReleaseFleet(tmp_path)
    await running.start()
    yield running
    await running.close()


@pytest.mark.parametrize("lost_replica", [0, 1, 2])
async def test_streams_of_a_lost_instance_keep_their_software_version(
    fleet, lost_replica
):
    """Load: a control replica and an entry instance are lost at once."""
    await fleet.publish_until_accepted(nodes.document(version=7))

    async def ready():
        return fleet.entry._is_ready()

    await fleet.wait_until(ready)
    for number in range(STREAMS):
        response = await fleet.send(f"a{number}")
        await response.content.readany()
    await asyncio.sleep(0.1)
    await fleet.entry.close()
    await fleet.stop_control(lost_replica)
    fleet.entry = nodes.entry(fleet.tmp_path)
    await fleet.entry.start()
    await fleet.wait_until(ready)

    async def take_up(number):
        async with fleet.send(
            f"b{number}", Resumes=f"a{number}", Last_Event_Id="3"
        ) as response:
            await response.read()
            return response.status

    statuses = [await take_up(number) for number in range(STREAMS)]
    assert statuses == [200] * STREAMS
    begun = [fleet.engine_of(f"a{number}") for number in range(STREAMS)]
    assert [fleet.engine_of(f"b{n}") for n in range(STREAMS)] == begun
