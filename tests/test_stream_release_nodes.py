"""Streams outlive the loss of their entry instance during a release."""

import asyncio

from aiohttp import web
import pytest

from tests.http import test_stream_versions
from tests import loopback
from tests.platform import gateway_rig
from tests import test_fleet_nodes as nodes

STREAMS = 6
OTHER_ENTRY = loopback.node_address(10)


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

    # The number of engines that the list has so far.
    engines_listed = 2

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
            for engine in (self.engine, self.newer)[: self.engines_listed]
        ]
        return web.json_response({"instances": entries, "next": None})

    def send(self, request_id, at=nodes.ENTRY, **headers):
        return self.session.post(
            f"http://{at}:{nodes.ENTRY_PORT}/pufi/1",
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


class OutOfStep:
    """A second entry instance that knows the list until it is stopped."""

    def __init__(self, fleet):
        self._fleet = fleet

    async def start(self):
        self.entry = nodes.entry(self._fleet.tmp_path, "other", OTHER_ENTRY)
        await self.entry.start()

        async def knows_the_list_for_long():
            origins = self.entry._deps.origins
            return (
                self.entry._is_ready()
                and origins.history.covered_ms > origins.retention.kept_ms
            )

        await self._fleet.wait_until(knows_the_list_for_long, 20.0)

    def stop_following(self, is_cut_off):
        """Stand still, or be cut off from the control replicas as well."""
        for task in self.entry._tasks:
            task.cancel()
        if is_cut_off:
            self.entry._deps.origins.connect(
                lambda: [f"{ip}:9" for ip in nodes.SEEDS],
                self.entry._channels.stub_for,
            )

    async def close(self):
        await self.entry.close()


@pytest.mark.parametrize("is_cut_off", [True, False])
async def test_instance_out_of_step_joins_no_two_versions(fleet, is_cut_off):
    """Load: engines of a new version join while it does not follow the list.

    Fault: a stream that had begun on one of them was taken up there, and went
    on at the only version that the instance knew.
    """
    fleet.engines_listed = 1
    content = nodes.document(version=7)
    for route in content["routes"]:
        route["timeoutMs"] = 2_000
    await fleet.publish_until_accepted(content)

    async def knows(count):
        return len(fleet.entry._blackboard.backends.read().by_id) == count

    await fleet.wait_until(lambda: knows(1))
    other = OutOfStep(fleet)
    await other.start()
    other.stop_following(is_cut_off)
    fleet.engines_listed = 2
    await fleet.wait_until(lambda: knows(2))
    begun, joined = {}, []
    for number in range(12):
        response = await fleet.send(f"a{number}")
        await response.content.readany()
        begun[number] = fleet.engine_of(f"a{number}")
        response.close()
    assert set(begun.values()) == {"i-1", "i-2"}
    for number, name in begun.items():
        async with fleet.send(
            f"b{number}",
            at=OTHER_ENTRY,
            Resumes=f"a{number}",
            Last_Event_Id="3",
        ) as response:
            await response.read()
            assert response.status in (200, 503)
            if response.status == 200:
                if fleet.engine_of(f"b{number}") != name:
                    joined.append(number)
    await other.close()
    assert not joined
