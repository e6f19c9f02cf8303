"""An instance's stream to a control replica, and replicas without streams."""

import asyncio

import grpc
import pytest

from oriolejunction import clock as clocks
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction.peers import channels
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import fleet_session
from oriolejunction.peers import rpc
from oriolejunction import routing_table

REQUEST = fm.WatchRequest(
    ids.InstanceId("a"), routing_table.NO_TABLE, "", 0, "b", "c"
)
REPORT = fm.EntryReport(ids.InstanceId("a"), "c", 1)


class Replica:
    """A control replica that answers watches at once, or never."""

    def __init__(self):
        self.reports = []
        self.streams = 0
        self.calls = 0
        self.is_silent = False

    async def start(self, has_streams, port=0):
        self.server = grpc.aio.server(options=rpc.SERVER_OPTIONS)
        streams = {fleet_methods.SESSION: self.serve} if has_streams else {}
        rpc.add_methods(
            self.server,
            {fleet_methods.WATCH: self.watch, fleet_methods.REPORT: self.put},
            streams,
        )
        port = self.server.add_insecure_port(f"127.0.0.1:{port}")
        await self.server.start()
        return f"127.0.0.1:{port}"

    def reply(self):
        return fm.WatchReply(True, 7, "b", routing_table.NO_TABLE)

    async def watch(self, request):
        self.calls += 1
        return self.reply()

    async def put(self, request):
        self.calls += 1
        self.reports.append(request.share)
        return fm.Acknowledgement()

    async def serve(self, context):
        self.streams += 1
        while (message := await context.read()) is not grpc.aio.EOF:
            if message.report is not None:
                self.reports.append(message.report)
            if message.watch is not None and not self.is_silent:
                await context.write(self.reply())


@pytest.fixture
async def replica():
    replica = Replica()
    yield replica
    await replica.server.stop(None)


@pytest.fixture
async def session():
    pool = channels.ChannelPool()
    session = fleet_session.FleetSession(
        clocks.SystemClock(), pool.stub_for, pool.stream_to
    )
    yield session
    session.close()
    await pool.close()


async def test_one_stream_carries_reports_and_watches(replica, session):
    address = await replica.start(has_streams=True)
    for _ in range(3):
        assert (await session.watch(address, REQUEST)).seen == 7
        await session.report(address, REPORT)
    assert (await session.watch(address, REQUEST)).seen == 7
    assert replica.reports == [REPORT] * 3
    assert (replica.streams, replica.calls) == (1, 0)


async def test_replica_of_an_earlier_version_is_called(replica, session):
    """Load: replicas are updated after the instances."""
    address = await replica.start(has_streams=False)
    for _ in range(2):
        assert (await session.watch(address, REQUEST)).seen == 7
        await session.report(address, REPORT)
    assert replica.reports == [REPORT] * 2
    assert replica.calls == 4


async def test_replica_that_stops_is_lost_at_once(replica, session):
    """Its end must not end the instance's own tasks."""
    address = await replica.start(has_streams=True)
    await session.watch(address, REQUEST)
    replica.is_silent = True
    watching = asyncio.create_task(session.watch(address, REQUEST))
    await asyncio.sleep(0.05)
    await replica.server.stop(None)
    with pytest.raises(fleet_session.ReplicaLost):
        await asyncio.wait_for(watching, fleet_session.WATCH_TIMEOUT_S / 2)
    with pytest.raises(fleet_session.ReplicaLost):
        await session.report(address, REPORT)
    with pytest.raises(fleet_session.ReplicaLost):
        await session.watch(address, REQUEST)


async def test_silent_replica_is_lost_and_its_stream_is_closed(
    replica, session, monkeypatch
):
    """A missing reply means that the replica is lost; reports go on."""
    monkeypatch.setattr(fleet_session, "WATCH_TIMEOUT_S", 0.1)
    address = await replica.start(has_streams=True)
    await session.watch(address, REQUEST)
    replica.is_silent = True
    with pytest.raises(fleet_session.ReplicaLost):
        await session.watch(address, REQUEST)
    await session.report(address, REPORT)
    assert (replica.reports, replica.calls) == ([REPORT], 1)
    replica.is_silent = False
    assert (await session.watch(address, REQUEST)).seen == 7
    assert replica.streams == 2


async def test_cancelled_watch_stays_cancelled(replica, session):
    """A stopping instance cancels its tasks."""
    address = await replica.start(has_streams=True)
    replica.is_silent = True
    watching = asyncio.create_task(session.watch(address, REQUEST))
    await asyncio.sleep(0.05)
    watching.cancel()
    with pytest.raises(asyncio.CancelledError):
        await watching
