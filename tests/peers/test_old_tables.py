"""An instance that starts does not trust a table of a replica cut off."""

import pytest

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction.peers import table_follower
from oriolejunction import routing_table
from tests.platform import gateway_rig

WAIT_MS = table_follower.OLD_TABLE_WAIT_MS


@pytest.fixture
def board():
    return blackboards.Blackboard()


@pytest.fixture
def clock():
    return clocks.ManualClock(1e6)


@pytest.fixture
def follower(board, clock):
    return table_follower.TableFollower(
        table_follower.FollowerDependencies(
            instance=ids.InstanceId("a"),
            clock=clock,
            blackboard=board,
            read_table=lambda document: gateway_rig.table(int(document)),
            replicas=list,
            stub_for=None,
        )
    )


def receive(follower, version, fresh):
    """Announce a version, and receive its document from the same replica."""
    version = routing_table.TableVersion(version)
    follower.observe(fm.WatchReply(fresh, 1, "r", version))
    follower._offer(version, b"%d" % version, fresh)


def test_table_of_a_replica_without_a_leader_is_held_back(
    follower, board, clock
):
    """Fault: a withdrawn key was accepted by an instance that had started."""
    receive(follower, 7, fresh=False)
    assert board.table.read() is None
    clock.advance(WAIT_MS - 1)
    receive(follower, 7, fresh=False)
    assert board.table.read() is None
    receive(follower, 8, fresh=True)
    assert board.table.read().version == 8
    receive(follower, 7, fresh=True)
    assert board.table.read().version == 8


def test_old_table_is_used_if_there_is_no_other(follower, board, clock):
    """Load: an instance starts while the control replicas have no leader."""
    receive(follower, 7, fresh=False)
    clock.advance(WAIT_MS)
    follower.observe(fm.WatchReply(False, 1, "r", 7))
    assert board.table.read().version == 7
    receive(follower, 8, fresh=False)
    assert board.table.read().version == 8


def test_table_held_back_is_used_once_a_leader_confirms_it(
    follower, board, clock
):
    receive(follower, 7, fresh=False)
    clock.advance(1)
    follower.observe(fm.WatchReply(True, 1, "r", 7))
    assert board.table.read().version == 7


def test_table_held_back_waits_for_a_newer_one_of_a_leader(
    follower, board, clock
):
    """The newer one is announced, and its document is still on its way."""
    receive(follower, 7, fresh=False)
    clock.advance(1)
    follower.observe(fm.WatchReply(True, 1, "r", 8))
    assert board.table.read() is None
    follower._offer(routing_table.TableVersion(8), b"8", True)
    assert board.table.read().version == 8
