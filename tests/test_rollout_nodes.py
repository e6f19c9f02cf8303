"""Rollouts are ordered and read at real control replicas, on loopback."""

import asyncio
import contextlib
import json
import time

from aiohttp import web
import grpc
import msgspec
import pytest
import structlog

from oriolejunction import commands
from oriolejunction import control_wiring
from oriolejunction.controllers import rollout_latency
from oriolejunction import fleet_messages as fm
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import raft_service
from oriolejunction.peers import rpc
from oriolejunction.peers import transport as transports
from oriolejunction import states
from tests import test_fleet_nodes as fleet_nodes

BOUNDS = {
    "exposure_share": 0.1,
    "exposure_tolerance": 50,
    "rollback_ms": 5_000,
}
ORDER = {"service": "llm", "to": "v2", "durationS": 12}


class Sender:
    """An entry instance that acts on orders and reports what it counts.

    Half of the target's answers fail if `is_bad`.
    """

    protocol = commands.PROTOCOL

    def __init__(self, name, address, is_bad):
        self.name, self.is_bad = name, is_bad
        self.channel = transports.PLAINTEXT.channel(address)
        self.sent = {"v1": 0, "v2": 0}
        self.order = None
        self.number = 0

    def report(self):
        self.number += 1
        rows = []
        for software, sent in self.sent.items():
            failed = sent // 2 if software == "v2" and self.is_bad else 0
            latencies = [0] * rollout_latency.BUCKETS
            latencies[7] = sent - failed
            rows.append(
                fm.RolloutCount(
                    "llm",
                    1,
                    software,
                    "r-1",
                    states.RolloutMeasure.ANSWER,
                    sent,
                    sent,
                    failed,
                    tuple(latencies),
                )
            )
        return fm.ReportRequest(
            fm.EntryReport(
                self.name,
                "b",
                self.number,
                rollout_counts=tuple(rows),
                protocol=self.protocol,
            )
        )

    async def run(self):
        report = rpc.make_stub(self.channel, fleet_methods.REPORT)
        watch = rpc.make_stub(self.channel, fleet_methods.WATCH)
        request = fm.WatchRequest(self.name, 7, "", -1, "", "b")
        while True:
            try:
                reply = await watch(request, timeout=0.7)
                if reply.rollouts:
                    (self.order,) = reply.rollouts
                    self.send(self.order)
                await report(self.report(), timeout=0.7)
            except grpc.aio.AioRpcError:
                pass
            await asyncio.sleep(0.08)

    def send(self, order):
        match order.phase:
            case states.RolloutPhase.OBSERVING:
                self.sent["v1"] += 3
                if self.sent["v2"] < order.allowance:
                    self.sent["v2"] += 1
            case states.RolloutPhase.MOVING | states.RolloutPhase.DONE:
                self.sent["v2"] += 3
            case states.RolloutPhase.REVERTED:
                self.sent["v1"] += 3


class RolloutFleet(fleet_nodes.Fleet):
    """A fleet whose settings have rollouts, if `bounds` are given."""

    bounds = BOUNDS
    has_new_servers = False

    async def _list(self, request):
        page = json.loads((await super()._list(request)).body)
        (old,) = page["instances"]
        old["version"] = "v1"
        new = {**old, "id": "i-2", "version": "v2"}
        page["instances"] = [old, new] if self.has_new_servers else [old]
        return web.json_response(page)

    async def start_control(self, number, first_start=True):
        ip = fleet_nodes.SEEDS[number]
        path = fleet_nodes.settings(
            self.tmp_path,
            f"core-{number}",
            ip=ip,
            operator_listen=f"{ip}:{fleet_nodes.CONTROL_PORT}",
            data_dir=str(self.tmp_path / f"disk-{number}"),
            first_start=first_start,
            losses_borne=1,
            rollouts=self.bounds,
        )
        node = control_wiring.ControlNode(path)
        await node.start()
        self.control_by_number[number] = node

    def url(self, number, call):
        ip = fleet_nodes.SEEDS[number]
        return f"http://{ip}:{fleet_nodes.CONTROL_PORT}/v1/Rollouts.{call}"

    async def begin(self, body, number=0):
        data = body if isinstance(body, str) else json.dumps(body)
        url = self.url(number, "Begin")
        async with self.session.post(url, data=data) as response:
            return response.status, await response.json()

    async def state(self, service="llm", number=0):
        url = self.url(number, f"Read/{service}")
        async with self.session.get(url) as response:
            return response.status, await response.json()

    async def restart_all_controls(self):
        for number in range(3):
            await self.stop_control(number)
        for number in range(3):
            await self.start_control(number, first_start=False)


@pytest.fixture
async def fleet(tmp_path):
    running = RolloutFleet(tmp_path)
    await running.start()
    await running.publish_until_accepted(fleet_nodes.document(version=7))
    yield running
    await running.close()


async def test_order_is_acknowledged_again_and_survives_restarts(fleet):
    assert (await fleet.state())[0] == 404
    for number in range(3):
        assert (await fleet.begin(ORDER, number))[0] == 200
    expected = (200, {"state": "in_progress", "to": "v2"})
    for number in range(3):
        assert await fleet.state(number=number) == expected
    status, reply = await fleet.begin({**ORDER, "to": "v3"}, 1)
    assert status == 409
    assert "v2 within 12 s is in progress" in reply["error"]["message"]
    await fleet.restart_all_controls()

    async def confirmed():
        return (await fleet.state(number=2))[0] == 200

    await fleet.wait_until(confirmed)
    assert await fleet.state(number=2) == expected
    assert (await fleet.begin(ORDER, 1))[0] == 200
    numbers = {
        node._replica.state.rollouts.last_number
        for node in fleet.control_by_number.values()
    }
    assert max(numbers) == 1


async def test_member_of_an_earlier_build_is_sent_no_rollout(
    fleet, monkeypatch
):
    """Fault: a replica stopped at a command that its build can't decode."""
    introduction_of = raft_service.introduction_of

    def of_an_earlier_build(replica):
        introduction = introduction_of(replica)
        if replica.member.instance != "core-2":
            return introduction
        return msgspec.structs.replace(introduction, protocol=0)

    with monkeypatch.context() as patched:
        patched.setattr(raft_service, "introduction_of", of_an_earlier_build)
        for number in range(3):
            assert (await fleet.begin(ORDER, number))[0] == 503
        await fleet.publish_until_accepted(fleet_nodes.document(version=8))
    for node in fleet.control_by_number.values():
        assert node._replica.state.rollouts.last_number == 0
    assert (await fleet.begin(ORDER))[0] == 200


async def test_no_rollout_begins_beside_an_earlier_entry_instance(fleet):
    """Fault: it sends to the new version what it likes, and counts nothing."""
    nodes = fleet.control_by_number.values()

    async def is_known():
        hubs = [node._service._deps.hub for node in nodes]
        return all(hub.instances_before(commands.PROTOCOL) for hub in hubs)

    async def is_accepted():
        return (await fleet.begin(ORDER, 2))[0] == 200

    async with senders(False, [fleet_nodes.SEEDS[1]]) as (earlier,):
        earlier.protocol = 0
        await fleet.wait_until(is_known)
        assert (await fleet.begin(ORDER))[0] == 503
        earlier.protocol = commands.PROTOCOL
        await fleet.wait_until(is_accepted)


async def test_wrong_orders_are_refused_and_change_nothing(fleet):
    wrong = [
        {**ORDER, "service": "unknown"},
        {**ORDER, "service": ""},
        {"service": "llm", "durationS": 12},
        {"to": "v2", "service": "llm"},
        {**ORDER, "to": 7},
        *({**ORDER, "durationS": value} for value in (0, -1, "12", None)),
        *({**ORDER, "durationS": value} for value in (True, 1e9, [], {})),
        json.dumps(ORDER).replace("12", "NaN"),
        json.dumps(ORDER).replace("12", "1e999"),
        "[]",
        "no JSON",
        "",
    ]
    for body in wrong:
        status, reply = await fleet.begin(body)
        assert (status, bool(reply["error"]["message"])) == (400, True), body
    assert (await fleet.state())[0] == 404
    assert (await fleet.state("unknown"))[0] == 404


async def test_minority_acknowledges_no_order_and_serves_no_read(fleet):
    assert (await fleet.begin(ORDER))[0] == 200
    await fleet.stop_control(1)
    await fleet.stop_control(2)
    assert (await fleet.begin({**ORDER, "service": "desk"}))[0] == 503
    assert (await fleet.state())[0] == 503


async def test_deployment_without_rollouts_has_no_such_calls(tmp_path):
    running = RolloutFleet(tmp_path)
    running.bounds = None
    await running.start()
    try:
        url = fleet_nodes.SEEDS[0]
        address = f"http://{url}:{fleet_nodes.CONTROL_PORT}/v1/Other"
        async with running.session.post(address) as response:
            unknown = response.status, await response.json()
        assert await running.begin(ORDER) == unknown
        assert await running.state() == unknown
    finally:
        await running.close()


async def test_instance_learns_the_order_through_any_replica(fleet):
    """Fault: a replica that lags tells of a list but not of its orders."""
    assert (await fleet.begin(ORDER))[0] == 200
    request = fm.WatchRequest("entry", 7, "", -1, "", "boot-1")

    async def all_know():
        orders = [
            node._rollout_control.orders_for(request)
            for node in fleet.control_by_number.values()
        ]
        return all(
            each is not None and [order.target for order in each] == ["v2"]
            for each in orders
        )

    await fleet.wait_until(all_know)
    for number in (1, 2):
        await fleet.stop_control(number)

    async def unknown():
        node = fleet.control_by_number[0]
        return node._rollout_control.orders_for(request) is None

    await fleet.wait_until(unknown, 2.0)


async def test_rollout_without_new_servers_is_rolled_back_in_time(fleet):
    """Case: the new servers never appear."""
    begun_s = time.monotonic()
    assert (await fleet.begin({**ORDER, "durationS": 4}, 1))[0] == 200
    with structlog.testing.capture_logs() as logs:

        async def ended():
            return (await fleet.state(number=2))[1]["state"] != "in_progress"

        await fleet.wait_until(ended)
    assert time.monotonic() - begun_s < 4.0
    expected = {"state": "rolled_back", "to": "v2"}
    assert await fleet.state() == (200, expected)
    moved = [each for each in logs if each["event"] == "rollout ended"]
    assert [each["state"] for each in moved] == ["rolled_back"]
    assert "0 servers run the target" in moved[0]["reason"]
    assert moved[0]["target_servers"] == 0


@contextlib.asynccontextmanager
async def senders(is_bad, addresses):
    running = [
        Sender(
            f"sender-{number}", f"{address}:{fleet_nodes.PEER_PORT}", is_bad
        )
        for number, address in enumerate(addresses)
    ]
    tasks = [asyncio.create_task(each.run()) for each in running]
    try:
        yield running
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for each in running:
            await each.channel.close()


@pytest.mark.parametrize("is_bad", [False, True])
async def test_rollout_is_decided_although_its_leader_is_lost(fleet, is_bad):
    """Fault: a new leader starts anew, or followers pass on no counts."""
    fleet.has_new_servers = True
    leader = next(
        number
        for number, node in fleet.control_by_number.items()
        if node._replica.leader_term is not None
    )
    others = [n for n in range(3) if n != leader]
    addresses = [fleet_nodes.SEEDS[others[n % 2]] for n in range(4)]
    begun_s = time.monotonic()
    assert (await fleet.begin({**ORDER, "durationS": 8}))[0] == 200
    async with senders(is_bad, addresses) as running:

        async def granted():
            return sum(each.sent["v2"] for each in running) >= 4

        await fleet.wait_until(granted, 3.0)
        await fleet.stop_control(leader)

        async def ended():
            status, reply = await fleet.state(number=others[0])
            return status == 200 and reply["state"] != "in_progress"

        await fleet.wait_until(ended, 9.0)
        assert time.monotonic() - begun_s < 8.0
        _, reply = await fleet.state(number=others[1])
        expected = "rolled_back" if is_bad else "completed"
        assert reply == {"state": expected, "to": "v2"}
        sent = sum(each.sent["v2"] for each in running)
        await asyncio.sleep(0.6)
        after = sum(each.sent["v2"] for each in running)
        assert (after == sent) == is_bad
        if is_bad:
            assert sent <= 50
