"""Origins reach the control replicas and are found at each of them."""

import asyncio
import functools
import types

import grpc
import pytest

from oriolejunction import clock as clocks
from oriolejunction.controllers import stream_origins
from oriolejunction import fleet_messages as fm
from oriolejunction.peers import origin_client
from oriolejunction.peers import origin_service
from tests import event_loops
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.VIRTUAL)

ORIGIN = fm.StreamOrigin("a1", "v1", 1)
ADDRESSES = ("r0", "r1", "r2")


class Replicas:
    """Control replicas that relay nothing to each other."""

    def __init__(self, clock=None):
        self.clock = clock or event_loops.LoopClock()
        self.lost = set()
        # Reached by entry instances, but not by the other replicas.
        self.cut_off = set()
        # How long a record takes on the way.
        self.ms_per_origin = 0.0
        self.service_by_address = {}
        for address in ADDRESSES:
            self.restart(address)

    def restart(self, address):
        members = [types.SimpleNamespace(address=a) for a in ADDRESSES]
        replica = types.SimpleNamespace(
            member=types.SimpleNamespace(address=address),
            membership=types.SimpleNamespace(members=lambda: members),
        )
        hub = stream_origins.OriginHub(self.clock)
        hub.retention.follow(gateway_rig.table())
        self.service_by_address[address] = origin_service.OriginService(
            hub, replica, functools.partial(self.stub_for, source=address)
        )

    def stub_for(self, address, method, source=None):
        async def call(request, timeout):
            is_cut = source and {source, address} & self.cut_off
            if address in self.lost or is_cut:
                raise grpc.aio.AioRpcError(grpc.StatusCode.UNAVAILABLE, (), ())
            await self.transmit(request, timeout)
            service = self.service_by_address[address]
            return await getattr(service, method.name.lower())(request)

        return call

    async def transmit(self, request, timeout_s):
        needed_s = len(getattr(request, "origins", ())) * self.ms_per_origin
        await asyncio.sleep(min(needed_s / 1e3, timeout_s))
        if needed_s / 1e3 > timeout_s:
            raise grpc.aio.AioRpcError(
                grpc.StatusCode.DEADLINE_EXCEEDED, (), ()
            )

    def put_at_all(self, origin):
        for service in self.service_by_address.values():
            service._hub.put(origin, direct=False)

    def client(self, *addresses):
        client = origin_client.OriginClient(self.clock)
        client.retention.follow(gateway_rig.table())
        client.connect(lambda: list(addresses), self.stub_for)
        return client


@pytest.fixture
async def running():
    replicas = Replicas()
    client = replicas.client("r0")
    task = asyncio.create_task(client.run())
    yield replicas, client
    task.cancel()


async def found(replicas, address):
    reply = await replicas.client(address).lookup("a1", "llm")
    return reply.origin


async def settle():
    await asyncio.sleep((origin_client.BATCH_MS + 20) / 1e3)


async def test_origin_is_found_at_any_replica_before_it_is_relayed(running):
    replicas, client = running
    client.record(ORIGIN, run=1)
    await settle()
    assert [await found(replicas, each) for each in ADDRESSES] == [ORIGIN] * 3
    replicas.lost.add("r0")
    assert await found(replicas, "r1") is None


async def test_origin_is_sent_again_until_a_replica_has_it(running):
    replicas, client = running
    replicas.lost.add("r0")
    client.record(ORIGIN, run=1)
    assert not await client.confirm(fm.StreamOrigin("a1", "v2", 2), run=1)
    await settle()
    replicas.lost.clear()
    await asyncio.sleep(0.1)
    assert await found(replicas, "r0") == ORIGIN


async def test_origins_are_sent_to_a_replica_that_started_again(running):
    replicas, client = running
    client.record(ORIGIN, run=1)
    await settle()
    replicas.restart("r0")
    assert await found(replicas, "r1") is None
    client.resend()
    await settle()
    assert await found(replicas, "r1") == ORIGIN


async def test_second_replica_is_asked_if_the_first_is_lost(running):
    replicas, client = running
    client.record(ORIGIN, run=1)
    await settle()
    replicas.lost.add("r2")
    reply = await replicas.client("r2", "r0").lookup("a1", "llm")
    assert reply.origin == ORIGIN


CHANGED = fm.StreamOrigin("a1", "v2", 2)


@pytest.mark.parametrize("lost", ["r0", "r1", "r2"])
async def test_changed_version_survives_the_loss_of_a_replica(lost):
    """The replica that acknowledged a change is lost before it relays it."""
    replicas = Replicas()
    replicas.put_at_all(ORIGIN)
    assert await replicas.client("r0").confirm(CHANGED, run=1)
    replicas.lost.add(lost)
    others = set(ADDRESSES) - {lost}
    assert [await found(replicas, each) for each in others] == [CHANGED] * 2


async def test_replica_that_missed_a_change_asks_the_others():
    """A replica that was cut off for a moment answers by its old record."""
    replicas = Replicas()
    replicas.put_at_all(ORIGIN)
    replicas.cut_off.add("r2")
    assert await replicas.client("r0").confirm(CHANGED, run=1)
    replicas.cut_off.clear()
    assert await found(replicas, "r2") == CHANGED


async def test_change_without_a_majority_is_not_confirmed():
    """A replica that is cut off acknowledges a change that only it knows."""
    replicas = Replicas()
    replicas.put_at_all(ORIGIN)
    replicas.cut_off.update(ADDRESSES)
    client = replicas.client("r0", "r1")
    assert not await client.confirm(CHANGED, run=1)
    assert client.own("a1") is None


async def test_replica_without_a_majority_is_not_the_only_one_asked():
    """A lookup gets the former version from a replica that is cut off."""
    replicas = Replicas()
    replicas.put_at_all(ORIGIN)
    replicas.cut_off.add("r0")
    assert await replicas.client("r1").confirm(CHANGED, run=1)
    reply = await replicas.client("r0", "r1").lookup("a1", "llm")
    assert (reply.origin, reply.by_majority) == (CHANGED, True)
    reply = await replicas.client("r0").lookup("a1", "llm")
    assert (reply.origin, reply.by_majority) == (ORIGIN, False)


async def test_replicas_are_told_that_a_stream_has_ended(running):
    """Replicas keep the records of streams that nobody takes up."""
    replicas, client = running
    client.record(ORIGIN, run=1)
    await settle()
    client.end(run=1, is_complete=True)
    ended = fm.StreamOrigin("a1", "v1", 1, ended=True)
    async with asyncio.timeout(10):
        while await found(replicas, "r0") != ended:
            await settle()
    assert client.own("a1") == ended


async def test_record_is_kept_while_its_stream_runs():
    """A stream that runs for longer than records are kept loses its own."""
    clock = clocks.ManualClock()
    replicas = Replicas(clock)
    client = replicas.client("r0")
    tasks = [
        asyncio.create_task(each())
        for each in (client.run, client.run_renewals)
    ]

    async def found_after(duration_ms):
        for _ in range(int(duration_ms / 100)):
            clock.advance(100.0)
            for _ in range(9):
                await asyncio.sleep(0)
        return await found(replicas, "r0"), client.own("a1")

    client.record(ORIGIN, run=1)
    return_ms = client.retention.return_ms
    assert await found_after(10 * return_ms) == (ORIGIN, ORIGIN)
    client.end(run=1, is_complete=False)
    assert await found_after(return_ms) == (ORIGIN, ORIGIN)
    assert await found_after(2 * return_ms) == (None, None)
    for task in tasks:
        task.cancel()


async def test_versions_stay_complete_while_the_same_list_is_read_again():
    """Fault: an unchanged list is published once, which looked like a gap."""
    replicas = Replicas()
    client = replicas.client("r0")
    clock = replicas.clock
    client.connect(lambda: [], replicas.stub_for, clock.now_ms)
    task = asyncio.create_task(client.run_renewals())
    await asyncio.sleep(20.0)
    assert client.history.covered_ms > 18_000.0
    client.connect(lambda: [], replicas.stub_for, lambda: 1.0)
    await asyncio.sleep(6.0)
    assert client.history.covered_ms == 0.0
    task.cancel()


async def test_many_origins_reach_a_replica_over_a_thin_link():
    """Load: all records are sent again after a move to another replica."""
    replicas = Replicas()
    # All of them need longer than a call may take.
    replicas.ms_per_origin = 1.0
    client = replicas.client("r0")
    count = 600
    for number in range(count):
        client.record(fm.StreamOrigin(f"a{number}", "v1", 1), number)
    task = asyncio.create_task(client.run())
    await asyncio.sleep(3 * count * replicas.ms_per_origin / 1e3)
    task.cancel()
    assert len(replicas.service_by_address["r0"]._hub.take_unforwarded()) == (
        count
    )
