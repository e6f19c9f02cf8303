"""Messages to replicas whose connections have gone silent."""

import asyncio

from oriolejunction.consensus import types
from oriolejunction.consensus import wire
from oriolejunction.peers import raft_transport

GROUP = types.GroupId("g")
ADDRESS = "127.0.0.1:1"


def message():
    return wire.TimeoutNow("a", "b", 1)


async def test_call_that_the_library_never_ends_holds_up_no_message(
    monkeypatch,
):
    """Fault: a replica got no message any more after a one-way cut."""
    transport = raft_transport.RaftTransport("127.0.0.1:2")
    delivered = asyncio.Event()
    calls = []

    def stub_for(address, method):
        async def hang(request, timeout):
            calls.append(request)
            await asyncio.Event().wait()

        async def answer(request, timeout):
            delivered.set()

        return answer if calls else hang

    monkeypatch.setattr(transport._log_channels, "stub_for", stub_for)
    monkeypatch.setattr(raft_transport, "DELIVER_TIMEOUT_S", 0.1)
    transport.send(GROUP, message(), ADDRESS)
    await asyncio.sleep(0)
    transport.send(GROUP, message(), ADDRESS)
    async with asyncio.timeout(2.0):
        await delivered.wait()
    await transport.close()


async def test_replaced_connection_cancels_no_other_call():
    """Fault: the cancelled call ended the task that awaited it."""
    transport = raft_transport.RaftTransport("127.0.0.1:2")
    method = raft_transport.raft_methods.DELIVER
    other = transport.stub_for(ADDRESS, method)
    first = transport._log_channels.stub_for(ADDRESS, method)
    transport._log_channels.renew(ADDRESS)
    assert transport._log_channels.stub_for(ADDRESS, method) is not first
    assert transport.stub_for(ADDRESS, method) is other
    await transport.close()
