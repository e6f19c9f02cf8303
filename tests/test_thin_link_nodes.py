"""Large tables come into force at instances whose links are thin and full."""

import asyncio
import random

import grpc
import msgspec
import pytest
import structlog

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import node_client
from oriolejunction.peers import channels
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import fleet_service
from oriolejunction.peers import fleet_session
from oriolejunction.peers import rpc
from oriolejunction import routing_table
from tests import thin_link

# Of a change that was acknowledged.
APPLY_LIMIT_S = 2.5
LARGE_ROUTES = 1_532
# For each route; the link takes several times as long as a watch may.
INCOMPRESSIBLE_BYTES = 300


class EarlierService(fleet_service.FleetService):
    """A control replica's service as of ee8131b, which has no pieces."""

    def add_to(self, server: grpc.aio.Server) -> None:
        rpc.add_methods(
            server,
            {
                fleet_methods.REPORT: self._report,
                fleet_methods.WATCH: self._watch,
            },
            {fleet_methods.SESSION: self._serve_session},
        )

    async def _watch(self, request):
        return await super()._watch(
            msgspec.structs.replace(request, announced_version=None)
        )


class EarlierControl(thin_link.Control):
    service_type = EarlierService


@pytest.fixture(params=[thin_link.Control])
async def deployment(request, tmp_path):
    deployment = thin_link.Deployment(tmp_path, request.param)
    await deployment.start()
    deployment.publish(thin_link.document(1, routes=10))
    await deployment.wait_for(1, APPLY_LIMIT_S)
    yield deployment
    await deployment.close()


def unanswered_watches(lines):
    return [each for each in lines if each["event"] == "watch got no reply"]


@pytest.mark.parametrize(
    "deployment", [thin_link.Control, EarlierControl], indirect=True
)
async def test_large_table_comes_into_force_in_time(deployment):
    deployment.publish(thin_link.document(2, LARGE_ROUTES))
    await deployment.wait_for(2, APPLY_LIMIT_S)


async def test_key_taken_away_after_a_large_table_is_refused_in_time(
    deployment,
):
    deployment.publish(thin_link.document(2, LARGE_ROUTES))
    await asyncio.sleep(0.4)
    deployment.publish(thin_link.document(3, LARGE_ROUTES, tenants=[]))
    await deployment.wait_for(3, APPLY_LIMIT_S)
    assert not deployment.table().workspaces


async def test_transfer_has_no_time_limit_of_its_own(deployment):
    """Watches are answered meanwhile, so that a silent replica is noticed."""
    document = thin_link.document(2, LARGE_ROUTES, INCOMPRESSIBLE_BYTES)
    needed_s = len(document) / thin_link.BYTES_PER_S
    with structlog.testing.capture_logs() as lines:
        deployment.publish(document)
        await deployment.wait_for(2, 1.5 * needed_s)
    assert not unanswered_watches(lines)


async def test_operators_see_which_table_is_late_and_why(deployment):
    document = thin_link.document(2, LARGE_ROUTES, INCOMPRESSIBLE_BYTES)
    needed_s = len(document) / thin_link.BYTES_PER_S
    deployment.publish(document)
    await asyncio.sleep(needed_s / 3)
    for control in deployment.controls:
        control.proxy.reset_connections()
    await asyncio.sleep(0.1)
    status = deployment.entry._status()
    assert (status["table_version"], status["table_announced"]) == (1, 2)
    assert status["table_behind_ms"] > needed_s / 4 * 1e3
    assert 0 < status["table_bytes_left"] < len(document)
    shown = node_client.status_table({"10.0.0.1:1": status})
    assert "entry has version 1 still, 2 is announced since" in shown
    assert "UNAVAILABLE" in shown
    await deployment.wait_for(2, needed_s)
    status = deployment.entry._status()
    assert status["table_behind_ms"] == status["table_bytes_left"] == 0
    assert status["table_age_ms"] < 1_000
    assert "still" not in node_client.status_table({"10.0.0.1:1": status})


async def test_transfer_that_is_cut_off_does_not_begin_anew(deployment):
    """Fault: connections are reset three times in the middle of it."""
    document = thin_link.document(2, LARGE_ROUTES, INCOMPRESSIBLE_BYTES)
    needed_s = len(document) / thin_link.BYTES_PER_S
    deployment.publish(document)
    for _ in range(3):
        await asyncio.sleep(needed_s / 5)
        for control in deployment.controls:
            control.proxy.reset_connections()
    await deployment.wait_for(2, needed_s)
    assert deployment.link.total_bytes < 1.25 * len(document)


async def test_silent_replica_is_left_in_the_middle_of_a_transfer(deployment):
    document = thin_link.document(2, LARGE_ROUTES, INCOMPRESSIBLE_BYTES)
    needed_s = len(document) / thin_link.BYTES_PER_S
    deployment.publish(document)
    await asyncio.sleep(needed_s / 2)
    current = deployment.entry._watch.replicas()[0]
    for control in deployment.controls:
        control.proxy.is_silent = control.replica.member.address == current
    await deployment.wait_for(2, needed_s / 2 + APPLY_LIMIT_S)
    assert deployment.link.total_bytes < 1.25 * len(document)


async def test_large_tables_in_a_row_end_with_the_newest(deployment):
    """Load: each comes before the one before could arrive."""
    for version in range(2, 8):
        deployment.publish(
            thin_link.document(version, LARGE_ROUTES + version, 100)
        )
        await asyncio.sleep(0.3)
    needed_s = (
        len(thin_link.document(7, LARGE_ROUTES, 100)) / thin_link.BYTES_PER_S
    )
    await deployment.wait_for(7, 2 * needed_s + APPLY_LIMIT_S)


@pytest.mark.parametrize("deployment", [EarlierControl], indirect=True)
async def test_replicas_are_updated_in_the_middle_of_a_transfer(deployment):
    """Load: a replica of each build after the other, back and forth."""
    deployment.publish(thin_link.document(2, LARGE_ROUTES))
    for control, service in zip(
        deployment.controls,
        (
            fleet_service.FleetService,
            EarlierService,
            fleet_service.FleetService,
        ),
    ):
        await asyncio.sleep(0.4)
        await control.close()
        control.service_type = service
        await control.start()
    await deployment.wait_for(2, APPLY_LIMIT_S)
    deployment.publish(thin_link.document(3, LARGE_ROUTES, tenants=[]))
    await deployment.wait_for(3, APPLY_LIMIT_S)


async def test_instance_of_an_earlier_build_gets_a_large_table(deployment):
    """It takes the document in a reply, within the time limit of a watch."""
    deployment.publish(thin_link.document(2, LARGE_ROUTES))
    pool = channels.ChannelPool()
    session = fleet_session.FleetSession(
        clocks.SystemClock(), pool.stub_for, pool.stream_to
    )
    request = fm.WatchRequest(
        ids.InstanceId("earlier"), routing_table.TableVersion(1), "", -1
    )
    address = deployment.controls[0].replica.member.address
    reply = await session.watch(address, request)
    assert reply.document == thin_link.document(2, LARGE_ROUTES)
    session.close()
    await pool.close()


async def test_list_and_loads_of_the_aim_fit_into_a_reply(deployment):
    """Load: an instance moves to another replica, which tells it all.

    There are 1,100 servers, and the link has 3.75 Mbit/s.
    """
    rng = random.Random(1)
    listed = tuple(
        backends.Backend(
            ids.BackendId(f"i-{rng.randrange(16 ** 10):010x}"),
            ids.ServiceName("llm"),
            f"10.0.{number // 250}.{number % 250}:8743",
            ids.ZoneId("z"),
            12,
            software=ids.SoftwareVersion("v1"),
            born=1_767_000_000_000 + rng.randrange(10**8),
        )
        for number in range(1_100)
    )
    loads = tuple(
        fm.BackendLoad(
            each.backend_id,
            rng.randrange(12),
            rng.randrange(88_000),
            rng.randrange(9_000),
        )
        for each in listed
    )
    speeds = tuple(
        fm.EngineSpeed(each.backend_id, 30.0 * rng.random(), 99 * rng.random())
        for each in listed
    )
    report = fm.EntryReport(
        ids.InstanceId("other"), "b", 1, loads, speeds=speeds
    )
    for control in deployment.controls:
        control.service._deps.listing.store_fetched(listed)
        control.service._deps.hub.put(report, direct=False)
    deployment.link.bytes_per_s /= 2
    with structlog.testing.capture_logs() as lines:
        for control in deployment.controls:
            control.proxy.reset_connections()
        board = deployment.entry._blackboard
        async with asyncio.timeout(3.0):
            while len(board.backends.read().by_id) < len(listed) or len(
                board.fleet.read().load_by_id
            ) < len(listed):
                await asyncio.sleep(0.01)
    late = [
        each for each in unanswered_watches(lines) if "time" in each["why"]
    ]
    assert not late
