"""A group is formed only if all listed replicas have empty disks."""

import math
import random

import grpc
import pytest

from oriolejunction import clock as clocks
from oriolejunction.consensus import identity
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import types
from oriolejunction.peers import raft_formation
from oriolejunction.peers import raft_methods
from oriolejunction.peers import raft_service

NAMES = ("a", "b", "c")


class Network:
    """Calls the services of other replicas, except unreachable ones."""

    def __init__(self, root):
        self.root = root
        self.clock = clocks.ManualClock()
        self.replica_by_name = {}
        self.unreachable = set()

    def send(self, group, message, address):
        """Drop all Raft messages."""

    def open(self, name, initial_voters=NAMES):
        folder = self.root / name
        folder.mkdir(exist_ok=True)
        self.replica_by_name[name] = raft_replica.RaftReplica(
            folder,
            lambda replica: types.Member(replica, name, name, name),
            self,
            self.clock,
            random.Random(1),
            initial_voters=initial_voters,
        )

    def formation(self, name, form_without_ms=math.inf):
        return raft_formation.GroupFormation(
            self.replica_by_name[name],
            self,
            self.clock,
            lambda: NAMES,
            form_without_ms=form_without_ms,
        )

    def stub_for(self, address, method):
        async def call(request, timeout):
            replica = self.replica_by_name.get(address)
            if replica is None or address in self.unreachable:
                raise grpc.aio.AioRpcError(
                    grpc.StatusCode.UNAVAILABLE, None, None
                )
            service = raft_service.RaftService(replica, self)
            handler = {
                raft_methods.HELLO: service._hello,
                raft_methods.FORM: service._form,
                raft_methods.JOIN: service._join,
            }[method]
            return await handler(request)

        return call

    def groups(self):
        return [r.group for r in self.replica_by_name.values()]


@pytest.fixture
async def network(tmp_path):
    fake = Network(tmp_path)
    for name in NAMES:
        fake.open(name)
    yield fake
    for replica in fake.replica_by_name.values():
        await replica.close()


async def test_first_listed_replica_forms_one_group_of_all(network):
    for name in ("c", "b"):
        await network.formation(name)._find_group()
    assert network.groups() == [None, None, None]
    await network.formation("a")._find_group()
    assert len(set(network.groups())) == 1
    assert network.groups()[0] is not None


async def test_no_group_while_a_listed_replica_is_unreachable(network):
    network.unreachable.add("c")
    await network.formation("a")._find_group()
    assert network.groups() == [None, None, None]


async def test_group_is_formed_without_a_silent_replica_after_a_while(network):
    network.unreachable.add("a")
    formation = network.formation("b", form_without_ms=1_000.0)
    await formation._find_group()
    assert network.groups() == [None, None, None]
    network.clock.advance(1_000.0)
    await formation._find_group()
    lacking, group, other = network.groups()
    assert lacking is None and group is not None and other == group


async def test_wiped_replica_forms_no_group_without_a_silent_one(network):
    await network.replica_by_name["b"].close()
    (network.root / "b" / identity.FILE_NAME).unlink()
    network.open("b", initial_voters=())
    network.unreachable.add("a")
    for name in ("b", "c"):
        await network.formation(name, form_without_ms=0.0)._find_group()
    assert network.groups() == [None, None, None]


async def test_two_wiped_replicas_form_no_second_group(network):
    replica = network.replica_by_name["c"]
    replica.form_group(
        types.GroupId("old"),
        types.Membership((replica.member,), voter_target=3),
    )
    for name in ("a", "b"):
        await network.formation(name)._find_group()
    assert network.groups() == [None, None, "old"]


async def test_group_is_formed_though_the_first_listed_disk_is_new(network):
    await network.replica_by_name["a"].close()
    (network.root / "a" / identity.FILE_NAME).unlink()
    network.open("a", initial_voters=())
    await network.formation("a")._find_group()
    assert network.groups() == [None, None, None]
    await network.formation("b")._find_group()
    assert len(set(network.groups())) == 1
    assert network.groups()[0] is not None


async def test_partly_formed_group_is_completed_by_identity(network):
    replicas = network.replica_by_name
    members = tuple(r.member for r in replicas.values())
    membership = types.Membership(members, voter_target=3)
    replicas["b"].form_group(types.GroupId("new"), membership)
    await network.formation("b")._send_formation()
    assert network.groups() == ["new", "new", "new"]


async def test_wiped_replica_is_not_added_to_partly_formed_group(network):
    replicas = network.replica_by_name
    members = (
        replicas["a"].member,
        replicas["b"].member,
        types.Member(types.ReplicaId("lost"), "c", "c", "c"),
    )
    replicas["a"].form_group(
        types.GroupId("new"), types.Membership(members, voter_target=3)
    )
    await network.formation("a")._send_formation()
    assert network.groups() == ["new", "new", None]
