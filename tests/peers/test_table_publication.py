"""Operators' calls at a follower, whose leader has the last word."""

import types

import grpc
import pytest

from oriolejunction.consensus import replica as replicas
from oriolejunction.controllers import published_table
from oriolejunction import fleet_messages as fm
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import table_publication
from oriolejunction import routing_table

LEADER = "10.0.0.1:1"


class Replica:
    """A control replica that holds one version."""

    def __init__(self, version, is_leader):
        self._is_leader = is_leader
        table = published_table.PublishedTable(
            routing_table.TableVersion(version), b"document %d" % version
        )
        self.state = types.SimpleNamespace(table=table)

    async def read_barrier(self):
        if not self._is_leader:
            raise replicas.NotLeader(LEADER)


class Group:
    """A follower of a leader, and the replies that the leader sent."""

    def __init__(self, follower_version, leader_version):
        self.leader = table_publication.TablePublication(
            Replica(leader_version, True), None
        )
        self.follower = table_publication.TablePublication(
            Replica(follower_version, False), self._stub_for
        )
        self.replies = []
        self.answers = True

    def _stub_for(self, address, method):
        assert (address, method) == (LEADER, fleet_methods.READ)

        async def call(request, timeout):
            if not self.answers:
                raise grpc.aio.AioRpcError(
                    grpc.StatusCode.DEADLINE_EXCEEDED,
                    grpc.aio.Metadata(),
                    grpc.aio.Metadata(),
                )
            self.replies.append(await self.leader._read(request))
            return self.replies[-1]

        return call


async def test_leader_confirms_a_version_without_its_document():
    """Load: reads of a large document have a constant time limit."""
    group = Group(7, 7)
    reply = await group.follower.read()
    assert (reply.version, reply.document) == (7, b"document 7")
    assert group.replies[0].document is None


async def test_follower_that_is_behind_gets_the_newest_document():
    reply = await Group(6, 7).follower.read()
    assert (reply.version, reply.document) == (7, b"document 7")


async def test_leader_of_an_earlier_build_sends_its_document():
    group = Group(7, 7)

    async def read(request):
        return await group.leader.read(forward=False)

    group.leader._read = read
    reply = await group.follower.read()
    assert (reply.version, reply.document) == (7, b"document 7")
    assert group.replies[0].document is not None


async def test_read_that_no_leader_confirms_has_no_document():
    group = Group(7, 7)
    group.answers = False
    assert (await group.follower.read()).document is None


async def test_leader_reads_its_own_document():
    reply = await Group(7, 8).leader.read()
    assert (reply.version, reply.document) == (8, b"document 8")


@pytest.mark.parametrize("version", [6, 7])
async def test_confirmation_is_sent_only_for_what_the_asker_has(version):
    reply = await Group(7, 7).leader._read(
        fm.ReadRequest(routing_table.TableVersion(version))
    )
    assert reply.confirmed == (version == 7)
    assert (reply.document is None) == reply.confirmed
