"""Control replicas hand on news at once and only what changed."""

import asyncio
import types

import pytest

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.consensus import types as raft_types
from oriolejunction.controllers import fleet_hub
from oriolejunction.controllers import published_table
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction.peers import fleet_service
from oriolejunction.peers import listing_store
from oriolejunction import routing_table

ENGINE = ids.BackendId("e1")
OWN, SLOW, OTHER = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"


class Replica:
    """A replica of three, which leads."""

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
        self.on_apply = None

    def is_connected(self, silence_ms):
        return True


class Peers:
    """The other replicas; one of them never answers."""

    def __init__(self):
        self.relays = []

    def stub_for(self, address, method):
        async def call(relay, timeout):
            if address == SLOW:
                await asyncio.sleep(timeout)
            self.relays.append((address, relay))
            return fm.Acknowledgement()

        return call


def share(number, streams, instance="a"):
    load = fm.BackendLoad(ENGINE, streams, 10, 0)
    return fm.ReportRequest(
        fm.EntryReport(ids.InstanceId(instance), "b", number, (load,))
    )


def watch(seen=-1, boot="", digest=""):
    return fm.WatchRequest(
        ids.InstanceId("x"), routing_table.TableVersion(-1), digest, seen, boot
    )


@pytest.fixture
async def running():
    clock = clocks.SystemClock()
    peers, replica = Peers(), Replica()
    service = fleet_service.FleetService(
        fleet_service.FleetDependencies(
            incarnation="boot-1",
            replica=replica,
            clock=clock,
            hub=fleet_hub.FleetHub(clock),
            listing=listing_store.ListingStore(clock),
            stub_for=peers.stub_for,
        )
    )
    task = asyncio.create_task(service.run())
    await asyncio.sleep(0.02)
    yield service, peers, replica
    task.cancel()
    await service.close()


def told_to(peers, address):
    return [
        each.number
        for to, relay in peers.relays
        if to == address
        for each in relay.shares
    ]


async def test_share_is_handed_on_at_once_beside_a_slow_replica(running):
    service, peers, _ = running
    await service._report(share(1, 1))
    await asyncio.sleep(0.1)
    await service._report(share(2, 2))
    await asyncio.sleep(0.1)
    assert told_to(peers, OTHER) == [1, 2]
    assert told_to(peers, SLOW) == []


async def test_idle_share_is_handed_on_before_it_is_forgotten(running):
    service, peers, _ = running
    for number in (1, 2):
        await service._report(share(number, 1))
        await asyncio.sleep(0.05)
    assert told_to(peers, OTHER) == [1]
    await asyncio.sleep(fleet_service.RELAY_INTERVAL_MS / 1e3 + 0.1)
    assert told_to(peers, OTHER) == [1, 2]


async def test_share_that_was_relayed_goes_no_further(running):
    service, peers, _ = running
    await service._relay(fm.RelayRequest((share(1, 1).share,)))
    await asyncio.sleep(0.1)
    assert told_to(peers, OTHER) == []


async def test_watch_is_answered_with_what_changed(running):
    service, _, _ = running
    await service._report(share(1, 1))
    first = await service._watch(watch())
    assert first.whole
    again = asyncio.create_task(service._watch(watch(first.seen, first.boot)))
    await asyncio.sleep(0.05)
    assert not again.done()
    await service._report(share(2, 3))
    second = await asyncio.wait_for(again, 0.1)
    assert not second.whole
    assert [load.streams for load in second.loads] == [3]


async def test_watch_that_knows_a_former_boot_is_told_all(running):
    """Load: a control replica restarts and counts its changes anew."""
    service, _, _ = running
    await service._report(share(1, 1))
    sight = await asyncio.wait_for(service._watch(watch(1, "boot-0")), 0.1)
    assert sight.whole
    assert [load.streams for load in sight.loads] == [1]


async def test_applied_table_answers_the_watches(running):
    service, _, replica = running
    first = await service._watch(watch(boot="boot-1"))
    waiting = asyncio.create_task(
        service._watch(watch(first.seen, first.boot))
    )
    await asyncio.sleep(0.05)
    replica.state.table = published_table.PublishedTable(
        routing_table.TableVersion(4), b"document", "digest"
    )
    replica.on_apply()
    sight = await asyncio.wait_for(waiting, 0.1)
    assert (sight.table_version, sight.document) == (4, b"document")


async def test_leader_hands_on_the_list_at_once(running):
    service, peers, _ = running
    backend = backends.Backend(
        ENGINE, ids.ServiceName("llm"), "10.9.0.1:1", ids.ZoneId("z")
    )
    service._deps.listing.store_fetched((backend,))
    service.notify_listing()
    await asyncio.sleep(0.1)
    lists = [r.listing for to, r in peers.relays if to == OTHER and r.listing]
    assert lists[-1].backends == (backend,)
