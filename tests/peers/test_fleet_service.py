"""Control replicas relay reports at once and answer with changes only."""

import asyncio
import types

import grpc
import msgspec
import pytest

from oriolejunction import backends
from oriolejunction.consensus import types as raft_types
from oriolejunction.controllers import fleet_hub
from oriolejunction.controllers import published_table
from oriolejunction.controllers import stream_origins
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction.peers import fleet_service
from oriolejunction.peers import listing_store
from oriolejunction.peers import report_relays
from oriolejunction.platform import configuration_document
from oriolejunction import routing_table
from tests import event_loops
from tests.platform import test_configuration_document

pytestmark = pytest.mark.asyncio(**event_loops.VIRTUAL)

ENGINE = ids.BackendId("e1")
OWN, SLOW, OTHER = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"


class Replica:
    """The leader of a group of three replicas."""

    def __init__(self):
        members = tuple(
            raft_types.Member(f"r{n}", f"core-{n}", "z", address)
            for n, address in enumerate((OWN, SLOW, OTHER))
        )
        self.member = members[0]
        self.membership = raft_types.Membership(members)
        self.state = types.SimpleNamespace(
            table=published_table.PublishedTable()
        )
        self.leader_term = 1
        self.last_index = 0
        self.on_apply = None

    def is_connected(self, silence_ms):
        return True


class Peers:
    """The other replicas; one of them never answers."""

    def __init__(self):
        self.relays = []
        self.failures = 0
        # How long a record takes on the way to a replica.
        self.ms_per_record = 0.0

    def stub_for(self, address, method):
        async def call(relay, timeout):
            if address == SLOW:
                await asyncio.sleep(timeout)
            if address == OTHER and self.failures:
                self.failures -= 1
                raise grpc.aio.AioRpcError(
                    grpc.StatusCode.UNAVAILABLE,
                    grpc.aio.Metadata(),
                    grpc.aio.Metadata(),
                )
            records = len(relay.shares) + len(relay.origins)
            needed_s = records * self.ms_per_record / 1e3
            await asyncio.sleep(min(needed_s, timeout))
            if needed_s > timeout:
                raise grpc.aio.AioRpcError(
                    grpc.StatusCode.DEADLINE_EXCEEDED,
                    grpc.aio.Metadata(),
                    grpc.aio.Metadata(),
                )
            self.relays.append((address, relay))
            return fm.Acknowledgement()

        return call


def report_request(number, streams, instance="a"):
    load = fm.BackendLoad(ENGINE, streams, 10, 0)
    return fm.ReportRequest(
        fm.EntryReport(ids.InstanceId(instance), "b", number, (load,))
    )


def watch_request(seen=-1, boot="", digest=""):
    return fm.WatchRequest(
        ids.InstanceId("x"), routing_table.TableVersion(-1), digest, seen, boot
    )


@pytest.fixture
async def running():
    clock = event_loops.LoopClock()
    peers, replica = Peers(), Replica()
    service = fleet_service.FleetService(
        fleet_service.FleetDependencies(
            incarnation="boot-1",
            replica=replica,
            clock=clock,
            hub=fleet_hub.FleetHub(clock),
            origins=stream_origins.OriginHub(clock),
            listing=listing_store.ListingStore(clock),
            read_table=configuration_document.read_table,
            stub_for=peers.stub_for,
        )
    )
    task = asyncio.create_task(service.run())
    await asyncio.sleep(0.02)
    yield service, peers, replica
    task.cancel()
    await service.close()


def relayed_to(peers, address):
    return [
        each.number
        for to, relay in peers.relays
        if to == address
        for each in relay.shares
    ]


async def test_report_is_relayed_at_once_despite_a_slow_replica(running):
    service, peers, _ = running
    await service._report(report_request(1, 1))
    await asyncio.sleep(0.1)
    await service._report(report_request(2, 2))
    await asyncio.sleep(0.1)
    assert relayed_to(peers, OTHER) == [1, 2]
    assert relayed_to(peers, SLOW) == []


async def test_report_is_relayed_again_where_a_relay_failed(running):
    """Load: a replica takes too long while many servers are lost."""
    service, peers, _ = running
    peers.failures = 1
    await service._report(report_request(1, 1))
    await asyncio.sleep(0.3)
    assert relayed_to(peers, OTHER) == [1]


async def test_many_records_are_relayed_to_a_slow_replica(running):
    """Load: they pile up while the other replica can't be reached."""
    service, peers, _ = running
    # All of them need several times as long as a call may take.
    peers.ms_per_record, count = 2.0, 500
    for number in range(count):
        await service._report(report_request(1, 1, f"i{number}"))
        service._deps.origins.put(
            fm.StreamOrigin(f"a{number}", "v1", 1), direct=True
        )
    await asyncio.sleep(2.5 * 2 * count * peers.ms_per_record / 1e3)
    relays = [relay for to, relay in peers.relays if to == OTHER]
    assert sum(len(relay.origins) for relay in relays) == count
    assert sum(len(relay.shares) for relay in relays) == count


async def test_idle_report_is_relayed_before_it_expires(running):
    service, peers, _ = running
    for number in (1, 2):
        await service._report(report_request(number, 1))
        await asyncio.sleep(0.05)
    assert relayed_to(peers, OTHER) == [1]
    await asyncio.sleep(report_relays.RELAY_INTERVAL_MS / 1e3 + 0.1)
    assert relayed_to(peers, OTHER) == [1, 2]


async def test_relayed_report_is_not_relayed_again(running):
    service, peers, _ = running
    await service._relay(fm.RelayRequest((report_request(1, 1).share,)))
    await asyncio.sleep(0.1)
    assert relayed_to(peers, OTHER) == []


async def test_watch_is_answered_with_changes_only(running):
    service, _, _ = running
    await service._report(report_request(1, 1))
    first = await service._watch(watch_request())
    assert first.whole
    again = asyncio.create_task(
        service._watch(watch_request(first.seen, first.boot))
    )
    await asyncio.sleep(0.05)
    assert not again.done()
    await service._report(report_request(2, 3))
    second = await asyncio.wait_for(again, 0.1)
    assert not second.whole
    assert [load.streams for load in second.loads] == [3]


async def test_watch_with_an_earlier_incarnation_gets_all(running):
    """Load: a control replica restarts and its change numbers start over."""
    service, _, _ = running
    await service._report(report_request(1, 1))
    reply = await asyncio.wait_for(
        service._watch(watch_request(1, "boot-0")), 0.1
    )
    assert reply.whole
    assert [load.streams for load in reply.loads] == [1]


async def test_applied_table_answers_the_watches(running):
    service, _, replica = running
    first = await service._watch(watch_request(boot="boot-1"))
    waiting = asyncio.create_task(
        service._watch(watch_request(first.seen, first.boot))
    )
    await asyncio.sleep(0.05)
    replica.state.table = published_table.PublishedTable(
        routing_table.TableVersion(4), b"document", "digest"
    )
    replica.on_apply()
    reply = await asyncio.wait_for(waiting, 0.1)
    assert (reply.table_version, reply.document) == (4, b"document")


async def test_leader_relays_the_list_at_once(running):
    service, peers, _ = running
    backend = backends.Backend(
        ENGINE, ids.ServiceName("llm"), "10.9.0.1:1", ids.ZoneId("z")
    )
    service._deps.listing.store_fetched((backend,))
    service.notify_listing()
    await asyncio.sleep(0.1)
    lists = [r.listing for to, r in peers.relays if to == OTHER and r.listing]
    assert lists[-1].backends == (backend,)


async def test_origins_are_kept_by_the_table_in_force(running):
    """Control replicas drop the origins of streams with long timeouts."""
    service, _, replica = running
    document = msgspec.json.encode(test_configuration_document.document())
    replica.state.table = published_table.PublishedTable(
        routing_table.TableVersion(7), document
    )
    replica.on_apply()
    assert service._deps.origins.retention.return_ms == 25_000.0
