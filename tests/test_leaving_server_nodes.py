"""A leaving server stays closed across restarts of the instances."""

from aiohttp import web
import pytest

from tests.platform import gateway_rig
from tests import test_fleet_nodes as nodes

REQUESTS = 6


class LeavingFleet(nodes.Fleet):
    """A fleet with two engines, the first of which leaves.

    The list names it as ready, with the birth `born`.
    """

    def __init__(self, tmp_path):
        super().__init__(tmp_path)
        self.engine.behave = self._leave
        self.other = gateway_rig.Engine("i-2", self._finish_stream)
        self.born = 1_700_000_000_000

    async def _leave(self, arrival):
        arrival.writer.write(
            arrival.head(
                extra=b"Server-Leaving: 1\r\nTransfer-Encoding: chunked\r\n"
            )
        )
        arrival.events(range(1, 7))
        arrival.end()

    async def start(self):
        await self.other.start()
        await super().start()

    async def close(self):
        await super().close()
        await self.other.close()

    async def _list(self, request):
        entries = [
            {
                "id": engine.name,
                "service": "llm",
                "address": engine.address,
                "zone": "z",
                "state": "ready",
                "slots": 8,
                "born": self.born,
            }
            for engine in (self.engine, self.other)
        ]
        return web.json_response({"instances": entries, "next": None})

    async def is_ready(self):
        return self.entry._is_ready()

    async def has_told(self):
        """Return whether each control replica knows that one leaves."""
        return all(
            node._service._deps.hub._leaving.all()
            for node in self.control_by_number.values()
        )

    async def restart_entry(self):
        await self.entry.close()
        self.entry = nodes.entry(self.tmp_path)
        await self.entry.start()
        await self.wait_until(self.is_ready)

    async def ask_often(self):
        return [await self.ask() for _ in range(REQUESTS)]


@pytest.fixture
async def fleet(tmp_path):
    running = LeavingFleet(tmp_path)
    await running.start()
    yield running
    await running.close()


async def test_leaving_server_stays_closed_until_it_starts_again(fleet):
    """Fault: an instance that started again sent work to it.

    Load: the entry instance, then all control replicas, start again.
    """
    await fleet.publish_until_accepted(nodes.document(version=7))
    await fleet.wait_until(fleet.is_ready)
    while not fleet.engine.arrivals:
        await fleet.ask()
    assert len(fleet.engine.arrivals) == 1
    await fleet.ask_often()
    await fleet.wait_until(fleet.has_told)
    await fleet.restart_entry()
    await fleet.ask_often()
    assert len(fleet.engine.arrivals) == 1
    for number in range(3):
        await fleet.stop_control(number)
    for number in range(3):
        await fleet.start_control(number, first_start=False)
    await fleet.wait_until(fleet.has_told)
    await fleet.restart_entry()
    await fleet.ask_often()
    assert len(fleet.engine.arrivals) == 1
    fleet.born += 5_000

    async def is_in_use():
        await fleet.ask()
        return len(fleet.engine.arrivals) > 1

    await fleet.wait_until(is_in_use)
