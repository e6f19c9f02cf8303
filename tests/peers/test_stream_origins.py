"""Origins reach the control replicas and are found at each of them."""

import asyncio
import types

import grpc
import pytest

from oriolejunction.controllers import stream_origins
from oriolejunction import fleet_messages as fm
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import origin_client
from oriolejunction.peers import origin_service
from tests import event_loops

pytestmark = pytest.mark.asyncio(**event_loops.VIRTUAL)

ORIGIN = fm.StreamOrigin("a1", "v1", 1)
ADDRESSES = ("r0", "r1", "r2")


class Replicas:
    """Control replicas that relay nothing to each other."""

    def __init__(self):
        self.clock = event_loops.LoopClock()
        self.lost = set()
        self.service_by_address = {}
        for address in ADDRESSES:
            self.restart(address)

    def restart(self, address):
        members = [types.SimpleNamespace(address=a) for a in ADDRESSES]
        replica = types.SimpleNamespace(
            member=types.SimpleNamespace(address=address),
            membership=types.SimpleNamespace(members=lambda: members),
        )
        self.service_by_address[address] = origin_service.OriginService(
            stream_origins.OriginHub(self.clock), replica, self.stub_for
        )

    def stub_for(self, address, method):
        async def call(request, timeout):
            if address in self.lost:
                raise grpc.aio.AioRpcError(grpc.StatusCode.UNAVAILABLE, (), ())
            service = self.service_by_address[address]
            if method is fleet_methods.ORIGINS:
                return await service.record(request)
            return await service.lookup(request)

        return call

    def client(self, *addresses):
        client = origin_client.OriginClient(self.clock)
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
    client.record(ORIGIN)
    await settle()
    assert [await found(replicas, each) for each in ADDRESSES] == [ORIGIN] * 3
    replicas.lost.add("r0")
    assert await found(replicas, "r1") is None


async def test_origin_is_sent_again_until_a_replica_has_it(running):
    replicas, client = running
    replicas.lost.add("r0")
    client.record(ORIGIN)
    assert not await client.confirm(fm.StreamOrigin("a1", "v2", 2))
    await settle()
    replicas.lost.clear()
    await asyncio.sleep(0.1)
    assert await found(replicas, "r0") == ORIGIN


async def test_origins_are_sent_to_a_replica_that_started_again(running):
    replicas, client = running
    client.record(ORIGIN)
    await settle()
    replicas.restart("r0")
    assert await found(replicas, "r1") is None
    client.resend()
    await settle()
    assert await found(replicas, "r1") == ORIGIN


async def test_second_replica_is_asked_if_the_first_is_lost(running):
    replicas, client = running
    client.record(ORIGIN)
    await settle()
    replicas.lost.add("r2")
    reply = await replicas.client("r2", "r0").lookup("a1", "llm")
    assert reply.origin == ORIGIN
