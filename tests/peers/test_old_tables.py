"""An instance that starts does not trust a table of a replica cut off."""

import random

import pytest

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction.peers import fleet_watch
from oriolejunction.peers import listing_store
from oriolejunction import routing_table
from tests.platform import gateway_rig

WAIT_MS = fleet_watch.OLD_TABLE_WAIT_MS


@pytest.fixture
def board():
    return blackboards.Blackboard()


@pytest.fixture
def clock():
    return clocks.ManualClock(1e6)


@pytest.fixture
def watch(board, clock):
    return fleet_watch.FleetWatch(
        fleet_watch.WatchDependencies(
            instance=ids.InstanceId("a"),
            boot="b1",
            zone=ids.ZoneId("z"),
            clock=clock,
            blackboard=board,
            listing=listing_store.ListingStore(clock),
            seeds=list,
            report=lambda: None,
            read_table=lambda document: gateway_rig.table(int(document)),
            session=None,
            rng=random.Random(1),
            on_move=lambda: None,
        )
    )


def apply(watch, version, fresh):
    watch._apply_reply(
        fm.WatchReply(
            fresh,
            1,
            "r",
            routing_table.TableVersion(version),
            document=b"%d" % version,
        ),
        sent_ms=0.0,
    )


def test_table_of_a_replica_without_a_leader_is_held_back(watch, board, clock):
    """Fault: a withdrawn key was accepted by an instance that had started."""
    apply(watch, 7, fresh=False)
    assert board.table.read() is None
    clock.advance(WAIT_MS - 1)
    apply(watch, 7, fresh=False)
    assert board.table.read() is None
    apply(watch, 8, fresh=True)
    assert board.table.read().version == 8
    apply(watch, 7, fresh=True)
    assert board.table.read().version == 8


def test_old_table_is_used_if_there_is_no_other(watch, board, clock):
    """Load: an instance starts while the control replicas have no leader."""
    apply(watch, 7, fresh=False)
    clock.advance(WAIT_MS)
    apply(watch, 7, fresh=False)
    assert board.table.read().version == 7
    apply(watch, 8, fresh=False)
    assert board.table.read().version == 8
