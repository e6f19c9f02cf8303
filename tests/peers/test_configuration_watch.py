"""Lease renewals keep the peers, the configuration and the lease current."""

import asyncio
import hashlib
import types

import grpc
import pytest

from bench import thin_link as links
from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers import lease_table
from oriolejunction import ids
from oriolejunction import messages
from oriolejunction.peers import configuration_watch
from oriolejunction.peers import control_client
from oriolejunction.peers import control_service
from oriolejunction.peers import rpc
from oriolejunction import states
from tests import loopback
from tests import thin_link

ADDRESS = (loopback.node_address(35), thin_link.PEER_PORT)


def _request(instance, **fields):
    return messages.RenewRequest(
        instance=instance,
        zone="fukuoka",
        incarnation="1",
        applied=0,
        peer_address=f"127.0.0.1:{instance}",
        **fields,
    )


async def test_each_instance_knows_all_others(deployment):
    for instance in deployment.instances:
        while len(instance.blackboard.instance_by_id.read()) < 3:
            await instance.clock.sleep_ms(20)
        known = instance.blackboard.instance_by_id.read()
        assert {name: peer.peer_address for name, peer in known.items()} == {
            other.settings.instance_id: other.settings.peer_listen
            for other in deployment.instances
        }


def test_peers_are_recomputed_only_after_a_change():
    table = lease_table.new_table(0, 0)
    lease_table.renew(table, _request("1"), 0)
    first = lease_table.live_peers(table, 1)
    lease_table.renew(table, _request("1"), 2)
    assert lease_table.live_peers(table, 3) is first
    lease_table.renew(table, _request("1", leaving=True), 4)
    assert lease_table.live_peers(table, 5).instances[0].leaving


def test_peer_with_expired_lease_is_not_listed():
    table = lease_table.new_table(0, 0)
    lease_table.renew(table, _request("1"), 0)
    lease_table.renew(table, _request("2"), 1_000)
    assert len(lease_table.live_peers(table, 1_000).instances) == 2
    end_ms = lease_table.LEASE_MS + lease_table.CLOCK_RATE_MARGIN_MS
    remaining = lease_table.live_peers(table, end_ms).instances
    assert [peer.instance for peer in remaining] == ["2"]


def test_new_leader_lists_no_peers_while_earlier_leases_may_run():
    table = lease_table.new_table(0, 7)
    lease_table.renew(table, _request("1"), 0)
    end_ms = lease_table.LEASE_MS + lease_table.CLOCK_RATE_MARGIN_MS
    assert lease_table.live_peers(table, end_ms - 1) is None
    lease_table.renew(table, _request("1"), end_ms - 1)
    assert len(lease_table.live_peers(table, end_ms).instances) == 1


def large_configuration(workspaces):
    return configuration.Configuration(
        measure=states.Objective.LATENCY,
        zones=(ids.ZoneId("z"),),
        models=(),
        engines=(),
        services=(),
        # Digests can't be compressed.
        workspaces=tuple(
            configuration.Workspace(
                ids.WorkspaceId(f"w{number}"),
                hashlib.sha256(b"%d" % number).hexdigest(),
            )
            for number in range(workspaces)
        ),
        weight_loads_per_minute=6,
    )


class Leader:
    """What the control service needs of the leader's replica."""

    leader_term = 1

    def __init__(self):
        self.state = types.SimpleNamespace(
            history=types.SimpleNamespace(revision=0, content=None)
        )

    async def read_barrier(self):
        pass

    def accept(self, revision, content):
        self.state.history.revision = revision
        self.state.history.content = content


class EarlierService(control_service.ControlService):
    """A leader's service of ee8131b, which knows no pieces."""

    async def _renew(self, request):
        known = messages.RenewRequest(
            request.instance,
            request.zone,
            request.incarnation,
            request.applied,
        )
        return await super()._renew(known)


class Watching:
    """An instance that watches a leader over a thin link."""

    def __init__(self, service_type):
        self.leader = Leader()
        self.board = blackboards.Blackboard()
        self.service = service_type(
            ids.InstanceId("core"), self.leader, clocks.SystemClock()
        )

    async def start(self):
        self.server = grpc.aio.server(options=rpc.SERVER_OPTIONS)
        self.service.add_to(self.server)
        port = self.server.add_insecure_port("127.0.0.1:0")
        await self.server.start()
        link = links.ThinLink(thin_link.BYTES_PER_S)
        self.proxy = links.LinkProxy(link, port)
        await self.proxy.start(*ADDRESS)
        self.control = control_client.ControlClient(
            {ids.InstanceId("core"): "{}:{}".format(*ADDRESS)}
        )
        watch = configuration_watch.ConfigurationWatch(
            ids.InstanceId("a"),
            ids.ZoneId("z"),
            clocks.SystemClock(),
            self.board,
            self.control,
        )
        self.task = asyncio.create_task(watch.run())

    async def wait_for(self, revision, limit_s):
        """Wait for a revision; return whether the lease lasted meanwhile."""
        clock, lasted = clocks.SystemClock(), True
        async with asyncio.timeout(limit_s):
            while (
                current := self.board.in_force.read()
            ) is None or current.revision < revision:
                lasted &= self.board.lease.read().until_ms > clock.now_ms()
                await asyncio.sleep(0.01)
        return lasted

    async def close(self):
        await configuration_watch.stop_task(self.task)
        await self.control.close()
        await self.proxy.close()
        await self.server.stop(None)


@pytest.fixture(params=[control_service.ControlService])
async def watching(request):
    watching = Watching(request.param)
    watching.leader.accept(1, large_configuration(3))
    await watching.start()
    await watching.wait_for(1, 2.0)
    yield watching
    await watching.close()


async def test_large_configuration_is_applied_over_a_thin_link(watching):
    """It takes longer than a renewal may, and than the lease lasts."""
    content = large_configuration(12_000)
    watching.leader.accept(2, content)
    assert await watching.wait_for(2, 10.0)
    assert watching.board.in_force.read().configuration == content
    applied = watching.service._leases.holder_by_instance["a"].applied
    await asyncio.sleep(0.1)
    assert watching.service._leases.holder_by_instance["a"].applied == 2
    assert applied >= 1


@pytest.mark.parametrize("watching", [EarlierService], indirect=True)
async def test_leader_of_an_earlier_build_sends_the_configuration(watching):
    content = large_configuration(30)
    watching.leader.accept(2, content)
    await watching.wait_for(2, 2.0)
    assert watching.board.in_force.read().configuration == content


async def test_instance_of_an_earlier_build_gets_the_configuration(watching):
    reply = await watching.control.renew(_request("earlier"))
    assert reply.configuration == large_configuration(3)
