"""Replicas on real disks that exchange messages by function calls."""

import asyncio
import contextlib
import random
import shutil

import pytest

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction.consensus import compaction
from oriolejunction.consensus import core_state
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import replica as replicas
from oriolejunction.consensus import types
from oriolejunction import ids

TIMING = core_state.Timing(20.0, 120.0, 240.0)
GROUP = types.GroupId("group")


class Group:
    """Replicas that deliver messages at once, unless partitioned."""

    def __init__(self, root):
        self.root = root
        self.replica_by_name = {}
        self.partitioned = set()

    def send(self, group, message, address):
        sender = self._replica_by_id(message.sender)
        replica = self._replica_by_id(message.to)
        if replica is None or sender is None:
            return
        if {sender.member.address, replica.member.address} & self.partitioned:
            return
        asyncio.get_running_loop().call_soon(replica.deliver, (message,))

    def _replica_by_id(self, replica_id):
        for replica in self.replica_by_name.values():
            if replica.member.replica == replica_id:
                return replica
        return None

    def open(self, name):
        folder = self.root / name
        folder.mkdir(exist_ok=True)
        replica = raft_replica.RaftReplica(
            folder,
            lambda replica: types.Member(replica, name, f"zone-{name}", name),
            self,
            clocks.SystemClock(),
            random.Random(name),
            TIMING,
            compaction.LogLimits(max_entries=10, retained=3),
        )
        self.replica_by_name[name] = replica
        replica.start()
        return replica

    async def close(self, name):
        await self.replica_by_name.pop(name).close()

    async def leader(self):
        async with asyncio.timeout(20):
            while True:
                for replica in list(self.replica_by_name.values()):
                    if replica.member.address in self.partitioned:
                        continue
                    with contextlib.suppress(replicas.NotLeader):
                        await replica.read_barrier()
                        return replica
                await asyncio.sleep(0.01)

    async def commit(self, key):
        async with asyncio.timeout(20):
            while True:
                leader = await self.leader()
                with contextlib.suppress(
                    replicas.NotLeader, replicas.OutcomeUnknown
                ):
                    return await leader.propose(claim(key))

    async def keys(self):
        leader = await self.leader()
        return {key[2] for key in leader.state.ledger.entry_by_key}


def claim(key):
    return commands.ClaimCall(
        workspace=ids.WorkspaceId("hakata"),
        service=ids.ServiceName("order-desk"),
        key=ids.IdempotencyKey(key),
        body_digest="digest",
        owner=ids.InstanceId("instance-0"),
        claim_id=key,
        at_ms=0,
    )


@pytest.fixture
async def group(tmp_path):
    running = Group(tmp_path)
    for name in "abc":
        running.open(name)
    membership = types.Membership(
        tuple(r.member for r in running.replica_by_name.values()),
        voter_target=3,
    )
    for replica in running.replica_by_name.values():
        replica.form_group(GROUP, membership)
    yield running
    for name in list(running.replica_by_name):
        await running.close(name)


async def test_commits_survive_restart_of_all(group):
    for number in range(20):
        await group.commit(f"key-{number}")
    for name in "abc":
        await group.close(name)
    for name in "abc":
        group.open(name)
    assert await group.keys() == {f"key-{number}" for number in range(20)}


async def test_partitioned_leader_refuses_reads_and_loses_no_commit(group):
    await group.commit("before")
    former = await group.leader()
    group.partitioned.add(former.member.address)
    await group.commit("after")
    with pytest.raises(replicas.NotLeader):
        async with asyncio.timeout(5):
            await former.read_barrier()
    group.partitioned.clear()
    assert await group.keys() == {"before", "after"}


async def test_leadership_is_transferred(group):
    await group.commit("before")
    former = await group.leader()
    await former.group_changes.transfer_leadership()
    assert former.leader_term is None
    assert await group.leader() is not former


async def test_group_survives_second_loss_after_replacing_wiped_replica(group):
    await group.commit("before")
    leader = await group.leader()
    lost = next(n for n in "abc" if n != leader.member.address)
    old_id = group.replica_by_name[lost].member.replica
    await group.close(lost)
    shutil.rmtree(group.root / lost)
    replacement = group.open(lost)
    assert replacement.member.replica != old_id
    replacement.join_as_learner(GROUP)
    async with asyncio.timeout(20):
        while replacement.member.replica not in leader.membership.voter_ids():
            with contextlib.suppress(replicas.NotLeader):
                leader.group_changes.add_learner(replacement.member)
                leader.group_changes.repair()
            await asyncio.sleep(0.02)
            leader = await group.leader()
        while len(leader.membership.voters) > 3:
            leader.group_changes.repair()
            await asyncio.sleep(0.02)
            leader = await group.leader()
    assert old_id not in leader.membership.member_ids()
    await group.commit("between")
    second = next(n for n in "abc" if n not in (lost, leader.member.address))
    await group.close(second)
    await group.commit("after")
    assert await group.keys() == {"before", "between", "after"}


async def test_wiped_replica_cannot_form_its_former_group(group):
    membership = (await group.leader()).group_changes.initial_membership()
    await group.close("a")
    shutil.rmtree(group.root / "a")
    replacement = group.open("a")
    assert replacement.form_group(GROUP, membership) is None
