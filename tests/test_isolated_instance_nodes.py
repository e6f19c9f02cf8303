"""An entry instance that reaches no backend server still serves callers."""

import asyncio

from aiohttp import web
import pytest

from oriolejunction import entry_wiring
from oriolejunction.http import backend_connection
from tests import loopback
from tests.platform import gateway_rig
from tests import test_fleet_nodes as nodes
from tests import test_server_limit_nodes as limit_nodes

ENTRIES = [loopback.node_address(number) for number in (11, 12, 13)]
SETTLE_S = 3.0
CALLS = 40
UNREACHABLE_ADDRESS = f"{loopback.UNREACHABLE_SUBNET}.1:1"


class IsolationFleet(nodes.Fleet):
    """Three entry instances in front of two servers and an engine."""

    def __init__(self, tmp_path):
        super().__init__(tmp_path)
        self.servers = [
            gateway_rig.Engine(name, self._answer) for name in ("d-0", "d-1")
        ]
        self.entries = []

    async def _answer(self, arrival):
        await asyncio.sleep(0.01)
        arrival.answer()

    async def start(self):
        for server in self.servers:
            await server.start()
        await super().start()
        for number, ip in enumerate(ENTRIES):
            self.entries.append(await self.start_entry(f"entry-{number}", ip))
        content = limit_nodes.document()
        order = dict(
            content["routes"][-1],
            name="r-4",
            pathPrefix="/order/",
            kind="non_idempotent",
        )
        content["routes"].append(order)
        await self.publish_until_accepted(content)

        async def all_ready():
            return all([node._is_ready() for node in self.entries])

        await self.wait_until(all_ready)

        async def all_know_helpers():
            views = [node._blackboard.fleet.read() for node in self.entries]
            return all([len(view.helpers) == len(ENTRIES) for view in views])

        await self.wait_until(all_know_helpers)

    async def start_entry(self, name, ip):
        node = entry_wiring.EntryNode(
            nodes.settings(
                self.tmp_path,
                name,
                ip=ip,
                caller_listen=f"{ip}:{nodes.ENTRY_PORT}",
                ready_listen=f"{ip}:{nodes.READY_PORT}",
                grace_ms=6_000,
            )
        )
        await node.start()
        return node

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
                "service": service,
                "address": server.address,
                "zone": "z",
                "state": "ready",
                "slots": 6,
            }
            for service, servers in (
                ("desk", self.servers),
                ("llm", [self.engine]),
            )
            for server in servers
        ]
        return web.json_response({"instances": entries, "next": None})

    async def request(self, number, path, name="a", **headers):
        async with self.session.post(
            f"http://{ENTRIES[number]}:{nodes.ENTRY_PORT}{path}",
            headers={
                "Host": "ficu95.example",
                "Attempt-Id": name,
                "X-Api-Key": "k1",
                "Deadline-Ms": "5000",
                "Model": "m",
                "Token-Counts": "800,80",
                **headers,
            },
            data=b"prompt",
        ) as response:
            return response.status, await response.read()

    async def statuses(self, number, path, count=CALLS):
        answers = []
        for index in range(count):
            answers.append(
                asyncio.create_task(
                    self.request(number, f"{path}{index}", f"{path}{index}")
                )
            )
            await asyncio.sleep(0.02)
        return [status for status, _ in await asyncio.gather(*answers)]


def cut(node, monkeypatch, refuse=False):
    """Let a node connect to no server; return how to undo that.

    Its new connections are refused, or hang; those that exist stay open.
    """
    connect_once = backend_connection._connect_once
    connect = node._deps.pool.connect

    async def hang(address, timeout_ms, *options):
        if address == UNREACHABLE_ADDRESS:
            await asyncio.sleep(timeout_ms / 1e3)
            raise TimeoutError
        return await connect_once(address, timeout_ms, *options)

    def connect_nowhere(address, *options):
        return connect(UNREACHABLE_ADDRESS, *options)

    node._deps.pool.close()
    monkeypatch.setattr(node._deps.pool, "connect", connect_nowhere)
    if not refuse:
        monkeypatch.setattr(backend_connection, "_connect_once", hang)

    def undo():
        monkeypatch.setattr(node._deps.pool, "connect", connect)

    return undo


@pytest.fixture
async def fleet(tmp_path):
    running = IsolationFleet(tmp_path)
    await running.start()
    yield running
    await running.close()


@pytest.mark.parametrize("refuse", [False, True])
@pytest.mark.parametrize("path", ["/look/", "/pufi/"])
async def test_isolated_instance_serves_callers(
    fleet, monkeypatch, path, refuse
):
    """Fault: its servers hang or refuse; callers and instances reach it."""
    assert set(await fleet.statuses(0, path, 5)) == {200}
    cut(fleet.entries[0], monkeypatch, refuse)
    settling = asyncio.create_task(fleet.statuses(0, path, 60))
    await asyncio.sleep(SETTLE_S)
    await settling
    at_cut, at_others = await asyncio.gather(
        fleet.statuses(0, path), fleet.statuses(1, path)
    )
    assert at_others.count(200) == CALLS
    assert at_cut.count(200) >= 2 / 3 * CALLS


@pytest.mark.parametrize("refuse", [False, True])
async def test_isolated_instance_does_not_mislead_the_others(
    fleet, monkeypatch, refuse
):
    """Fault: others avoided the servers that one instance did not reach."""
    cut(fleet.entries[0], monkeypatch, refuse)
    await fleet.statuses(0, "/look/", 60)
    for node in fleet.entries:
        assert node._deps.health.suspects() == ()
        assert node._blackboard.fleet.read().suspects == frozenset()
        assert not node._deps.guard.has_crashes
        assert node._deps.parts.crashes() == ()


async def test_end_of_isolation_is_noticed(fleet, monkeypatch):
    undo = cut(fleet.entries[0], monkeypatch)
    await fleet.statuses(0, "/look/", 20)
    isolation = fleet.entries[0]._deps.isolation
    assert isolation.is_isolated
    assert fleet.entries[0]._helper_addresses() == ()
    undo()
    await asyncio.sleep(0.6)
    assert not isolation.is_isolated
    assert fleet.entries[0]._helper_addresses()
    before = len(fleet.servers[0].arrivals) + len(fleet.servers[1].arrivals)
    assert set(await fleet.statuses(0, "/look/", 5)) == {200}
    after = len(fleet.servers[0].arrivals) + len(fleet.servers[1].arrivals)
    assert after - before == 5


async def test_all_instances_isolated_reject_at_once(fleet, monkeypatch):
    """Fault: no instance reaches a server; none may be asked in circles."""
    for node in (fleet.entry, *fleet.entries):
        cut(node, monkeypatch, refuse=True)
    await fleet.ask()
    for number in range(len(ENTRIES)):
        await fleet.statuses(number, "/look/", 5)
    await asyncio.sleep(0.5)
    began_s = asyncio.get_running_loop().time()
    statuses = await fleet.statuses(0, "/look/", 10)
    assert set(statuses) == {503}
    assert asyncio.get_running_loop().time() - began_s < 1.0
    assert not any([node._is_ready() for node in fleet.entries])


async def test_order_runs_once_through_another_instance(fleet, monkeypatch):
    """Fault: helpers end while they serve an order."""
    cut(fleet.entries[0], monkeypatch, refuse=True)
    await fleet.statuses(0, "/look/", 5)
    statuses = await fleet.statuses(0, "/order/", 10)
    assert set(statuses) == {200}

    async def vanish(arrival):
        for node in (fleet.entry, *fleet.entries[1:]):
            for connection in list(node._peer_gateway._server.connections):
                connection.force_close()
        await asyncio.sleep(0.05)
        arrival.answer()

    before = len(fleet.servers[0].arrivals) + len(fleet.servers[1].arrivals)
    for server in fleet.servers:
        server.behave = vanish
    status, _ = await fleet.request(0, "/order/x", "order-x")
    await asyncio.sleep(0.3)
    after = len(fleet.servers[0].arrivals) + len(fleet.servers[1].arrivals)
    assert status == 502
    assert after - before == 1


async def test_stream_begun_before_the_cut_is_finished(fleet, monkeypatch):
    """Fault: its engine falls silent as the instance loses its links."""
    is_silent = True

    async def stream(arrival):
        arrival.begin()
        first = int(arrival.headers.get("last-event-id", 0)) + 1
        arrival.events(range(first, 4))
        await arrival.writer.drain()
        if is_silent:
            await asyncio.sleep(30)
        arrival.events(range(max(4, first), 11))
        arrival.end()

    fleet.engine.behave = stream
    request = asyncio.create_task(fleet.request(0, "/pufi/1", "stream-1"))
    await asyncio.sleep(0.3)
    cut(fleet.entries[0], monkeypatch)
    is_silent = False
    await fleet.statuses(0, "/look/", 5)
    status, body = await request
    assert status == 200
    numbers = [
        int(line[4:]) for line in body.split(b"\n") if line[:4] == b"id: "
    ]
    assert numbers == list(range(1, 11))
