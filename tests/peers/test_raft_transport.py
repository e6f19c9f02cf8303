"""Large messages of the log reach replicas over thin links."""

import asyncio

import grpc
import pytest

from bench import thin_link as links
from oriolejunction.consensus import raft_messages
from oriolejunction.consensus import types
from oriolejunction.consensus import wire
from oriolejunction.peers import raft_methods
from oriolejunction.peers import raft_transport
from oriolejunction.peers import rpc
from tests import loopback
from tests import thin_link

GROUP = types.GroupId("g")
OTHER = types.ReplicaId("other")
LEADER = types.ReplicaId("leader")
ADDRESS = (loopback.node_address(34), thin_link.PEER_PORT)
# Twice what the link carries within the time limit of a small batch.
LARGE_BYTES = int(2 * thin_link.BYTES_PER_S * raft_transport.DELIVER_TIMEOUT_S)


@pytest.fixture
async def received():
    """Messages that arrive at a replica behind a thin link."""
    received = []

    async def deliver(request):
        received.extend(request.messages)
        return raft_messages.Delivered()

    server = grpc.aio.server(options=rpc.SERVER_OPTIONS)
    rpc.add_methods(server, {raft_methods.DELIVER: deliver})
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    link = links.ThinLink(thin_link.BYTES_PER_S)
    proxy = links.LinkProxy(link, port, is_upload=True)
    await proxy.start(*ADDRESS)
    yield received
    await proxy.close()
    await server.stop(None)


@pytest.fixture
async def transport():
    transport = raft_transport.RaftTransport("10.0.0.1:1")
    yield transport
    await transport.close()


def snapshot():
    return wire.InstallSnapshot(
        LEADER,
        OTHER,
        1,
        types.Snapshot(9, 1, types.Membership(()), 1, bytes(LARGE_BYTES)),
        1,
    )


def append(size):
    entry = types.Entry(1, 1, bytes(size))
    return wire.AppendRequest(LEADER, OTHER, 1, 0, 0, (entry,), 0, 1)


@pytest.mark.parametrize("message", [snapshot(), append(LARGE_BYTES)])
async def test_large_message_outlasts_the_limit_of_small_ones(
    transport, received, message
):
    transport.send(GROUP, message, "{}:{}".format(*ADDRESS))
    async with asyncio.timeout(3 * raft_transport.DELIVER_TIMEOUT_S):
        while not received:
            await asyncio.sleep(0.01)
    assert received == [message]


async def test_batches_are_bounded_and_keep_the_order(transport):
    batches = []

    async def deliver(address, group, batch):
        batches.append(batch)
        await asyncio.sleep(0)

    transport.deliver = deliver
    messages = [append(size) for size in (0, 1 << 19, 1 << 19, 1, 1 << 21, 1)]
    for message in messages:
        transport.send(GROUP, message, "10.0.0.2:1")
    while sum(map(len, batches)) < len(messages):
        await asyncio.sleep(0.001)
    assert [message for batch in batches for message in batch] == messages
    assert [len(batch) for batch in batches] == [3, 2, 1]
