"""No stream goes on at another version after all entry instances are killed.

Callers take their streams up at an instance that knows nothing of them; the
records of the control replicas are present, late or lost, and the former
version is still listed or has just left.
"""

import asyncio

import pytest

from oriolejunction.peers import origin_client
from tests import test_fleet_nodes as nodes
from tests import test_stream_release_nodes as release

MIN_STREAMS = 2
MAX_STREAMS = 24


class KillFleet(release.ReleaseFleet):
    """A fleet whose former version can leave the list."""

    former_left = False

    async def _list(self, request):
        response = await super()._list(request)
        if self.former_left:
            newer = json_entries(response)[1:]
            return release.web.json_response(
                {"instances": newer, "next": None}
            )
        return response

    async def is_ready(self):
        if not self.entry._is_ready():
            return False
        listed = {*self.entry._blackboard.backends.read().by_id}
        return listed == ({"i-2"} if self.former_left else {"i-1", "i-2"})

    async def begin(self):
        """Begin streams at both versions."""
        for number in range(MAX_STREAMS):
            response = await self.send(f"a{number}")
            await response.content.readany()
            self.streams = number + 1
            engines = (self.engine, self.newer)
            if all(len(each.arrivals) >= MIN_STREAMS for each in engines):
                return
        pytest.fail("streams ran at one version only")

    async def restart_entry(self):
        await self.entry.close()
        self.entry = nodes.entry(self.tmp_path)
        await self.entry.start()
        await self.wait_until(self.is_ready)

    async def take_up(self, number, resumes, request_id):
        async with self.send(
            request_id, Resumes=resumes, Last_Event_Id="3"
        ) as response:
            await response.read()
            return response.status

    async def joined(self):
        """Return the streams that went on, and those joined of two versions.

        Each is taken up twice, the second time by the id of the first one.
        """
        went_on, mixed = [], []
        for number in range(self.streams):
            begun = self.engine_of(f"a{number}")
            resumes = f"a{number}"
            for request_id in (f"b{number}", f"c{number}"):
                status = await self.take_up(number, resumes, request_id)
                assert status in (200, 503)
                resumes = request_id
                if status != 200:
                    break
                went_on.append(request_id)
                if self.engine_of(request_id) != begun:
                    mixed.append(request_id)
        return went_on, mixed


def json_entries(response):
    return nodes.json.loads(response.text)["instances"]


@pytest.fixture
async def fleet(tmp_path):
    running = KillFleet(tmp_path)
    await running.start()
    await running.publish_until_accepted(nodes.document(version=7))
    await running.wait_until(running.is_ready)
    yield running
    await running.close()


@pytest.mark.parametrize("former_left", [False, True])
@pytest.mark.parametrize("records", ["present", "late", "lost"])
async def test_killed_entry_instances_join_no_two_versions(
    fleet, records, former_left, monkeypatch
):
    """Load: all entry instances are killed in a release.

    Fault: the version was taken for the only one that the list named since
    an instance, or all control replicas, started again.
    """
    if records == "late":
        # No record leaves the instance before it is killed.
        monkeypatch.setattr(origin_client, "BATCH_MS", 60_000.0)
    await fleet.begin()
    await asyncio.sleep(0.1)
    fleet.former_left = former_left
    if records == "lost":
        for number in range(3):
            await fleet.stop_control(number)
        await fleet.entry.close()
        for number in range(3):
            await fleet.start_control(number, first_start=False)
    await fleet.restart_entry()
    went_on, mixed = await fleet.joined()
    assert not mixed
    if records == "present":
        assert len(went_on) == 2 * sum(
            fleet.engine_of(f"a{n}") == "i-2" or not former_left
            for n in range(fleet.streams)
        )
