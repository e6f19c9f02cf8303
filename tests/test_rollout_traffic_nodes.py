"""Real nodes move requests to a good version, and back from a bad one."""

import asyncio

from aiohttp import web
import pytest

from oriolejunction import entry_wiring
from tests.platform import gateway_rig
from tests import test_fleet_nodes as fleet_nodes
from tests import test_rollout_nodes as rollout_nodes

DURATION_S = 8
ORDER = {"service": "llm", "to": "v2", "durationS": DURATION_S}
REQUEST_INTERVAL_S = 0.05
SHARE = rollout_nodes.BOUNDS["exposure_share"]
TOLERANCE = rollout_nodes.BOUNDS["exposure_tolerance"]


class TrafficFleet(rollout_nodes.RolloutFleet):
    """A fleet with engines of two versions and a caller."""

    async def start(self):
        self.engine_by_version = {
            version: gateway_rig.Engine(version, self._finish_stream)
            for version in ("v1", "v2")
        }
        self.listed = ["v1"]
        self.states = []
        self.sent_at_end = {}
        for engine in self.engine_by_version.values():
            await engine.start()
        await super().start()
        await self.entry.close()
        self.entry = entry_wiring.EntryNode(
            fleet_nodes.settings(
                self.tmp_path,
                "entry",
                ip=fleet_nodes.ENTRY,
                caller_listen=f"{fleet_nodes.ENTRY}:{fleet_nodes.ENTRY_PORT}",
                ready_listen=f"{fleet_nodes.ENTRY}:{fleet_nodes.READY_PORT}",
                grace_ms=6_000,
                rollouts=self.bounds,
            )
        )
        await self.entry.start()

    async def _list(self, request):
        return web.json_response(
            {
                "instances": [
                    {
                        "id": version,
                        "service": "llm",
                        "address": self.engine_by_version[version].address,
                        "zone": "z",
                        "state": "ready",
                        "slots": 8,
                        "version": version,
                    }
                    for version in self.listed
                ],
                "next": None,
            }
        )

    def sent(self):
        """Return how many requests each version's engine got."""
        return {
            version: len(engine.arrivals)
            for version, engine in self.engine_by_version.items()
        }

    async def roll_out(self):
        """Order the rollout; send requests until some time after its end."""
        statuses = [await self.ask()]
        assert self.sent()["v2"] == 0
        assert (await self.begin(ORDER))[0] == 200
        self.listed.append("v2")
        asked = [asyncio.create_task(self.ask())]
        watch = asyncio.create_task(self._watch_state())
        while not watch.done():
            asked.append(asyncio.create_task(self.ask()))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await watch
        at_end = self.sent()
        for _ in range(10):
            asked.append(asyncio.create_task(self.ask()))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        statuses += await asyncio.gather(*asked)
        return at_end, {status for status, _ in statuses}

    async def _watch_state(self):
        async def is_over():
            status, reply = await self.state()
            self.states.append(reply.get("state"))
            return status == 200 and reply["state"] != "in_progress"

        await self.wait_until(is_over, DURATION_S + 2.0)

    async def close(self):
        await super().close()
        for engine in self.engine_by_version.values():
            await engine.close()


@pytest.fixture
async def fleet(tmp_path):
    running = TrafficFleet(tmp_path)
    await running.start()
    await running.publish_until_accepted(fleet_nodes.document(version=7))

    async def served():
        return (await running.ask())[0] == 200

    await running.wait_until(served)
    yield running
    await running.close()


async def test_a_good_version_gets_all_requests(fleet):
    """Fails if order, allowances, counts and phases don't fit together."""
    at_end, statuses = await fleet.roll_out()
    assert fleet.states[-1] == "completed"
    assert statuses == {200}
    assert fleet.sent()["v1"] == at_end["v1"]
    assert fleet.sent()["v2"] > at_end["v2"]


async def test_a_bad_version_gets_few_requests(fleet):
    """Fails if a version whose answers are errors is seen by many callers."""

    async def fail(arrival):
        arrival.answer(b"broken", "500 Internal Server Error")

    fleet.engine_by_version["v2"].behave = fail
    at_end, _ = await fleet.roll_out()
    assert fleet.states[-1] == "rolled_back"
    sent = fleet.sent()
    assert 0 < sent["v2"] == at_end["v2"]
    assert sent["v2"] <= SHARE * sum(sent.values()) + TOLERANCE
