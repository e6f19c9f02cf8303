"""Control replicas that start again before their group is formed."""

import asyncio
import functools
import random
import sys

import pytest

from oriolejunction import clock as clocks
from oriolejunction.consensus import identity
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import types
from oriolejunction.peers import raft_transport
from tests import test_fleet_nodes

# The platform's requests begin 12 s after the machines start.
FORMED_WITHIN_S = 8.0
DOCUMENT = test_fleet_nodes.document(version=7)


@pytest.fixture
async def fleet(tmp_path, monkeypatch):
    """Return a fleet whose control replicas are started by the test."""
    running = test_fleet_nodes.Fleet(tmp_path)
    with monkeypatch.context() as patched:

        async def start_none(number):
            """Leave the control replica to the test."""

        patched.setattr(running, "start_control", start_none)
        await running.start()
    yield running
    await running.close()


async def publish_until_accepted_at(fleet, number):
    async with asyncio.timeout(FORMED_WITHIN_S):
        while await fleet.publish(DOCUMENT, number) != 200:
            await asyncio.sleep(0.05)


async def is_read_back(fleet):
    return (await fleet.read(0))[0] == 200


async def test_first_listed_replica_started_again_forms_the_group(fleet):
    await fleet.start_control(0)
    await fleet.stop_control(0)
    await fleet.start_control(0, first_start=False)
    await fleet.start_control(1)
    await fleet.start_control(2)
    await fleet.publish_until_accepted(DOCUMENT)


async def test_all_replicas_started_again_form_the_group(fleet):
    for number in (1, 2):
        await fleet.start_control(number)
    for number in (1, 2):
        await fleet.stop_control(number)
    for number in range(3):
        await fleet.start_control(number, first_start=False)
    await fleet.publish_until_accepted(DOCUMENT)


async def test_group_is_formed_though_a_listed_replica_does_not_answer(fleet):
    for number in (1, 2):
        await fleet.start_control(number)
    await publish_until_accepted_at(fleet, 1)
    await fleet.start_control(0)
    await fleet.wait_until(functools.partial(is_read_back, fleet))


async def test_replica_of_a_group_that_committed_nothing_joins_the_other(
    fleet, tmp_path
):
    for number in (1, 2):
        await fleet.start_control(number)
    await publish_until_accepted_at(fleet, 1)
    (tmp_path / "disk-0").mkdir()
    others = [types.Member(types.ReplicaId(n), n, "z", n) for n in "ab"]
    left = raft_replica.RaftReplica(
        tmp_path / "disk-0",
        lambda replica: types.Member(replica, "core-0", "z", "core-0"),
        raft_transport.RaftTransport("core-0"),
        clocks.ManualClock(),
        random.Random(1),
    )
    left.form_group(
        types.GroupId("left"), types.Membership((left.member, *others))
    )
    await left.close()
    await fleet.start_control(0, first_start=False)
    await fleet.wait_until(functools.partial(is_read_back, fleet))


async def test_disk_is_known_as_new_before_the_slow_imports(tmp_path):
    settings = test_fleet_nodes.settings(
        tmp_path,
        "core-0",
        ip=test_fleet_nodes.SEEDS[0],
        operator_listen=f"{test_fleet_nodes.SEEDS[0]}:1",
        data_dir=str(tmp_path / "disk"),
        first_start=True,
    )
    program = (
        "import pathlib, sys; from oriolejunction import control_disk;"
        f" control_disk.prepare(pathlib.Path({str(settings)!r}));"
        " sys.exit('grpc' in sys.modules or 'aiohttp' in sys.modules)"
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", program
    )
    assert await process.wait() == 0
    assert len(identity.load(tmp_path / "disk").initial_voters) == 3
