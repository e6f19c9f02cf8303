"""An instance reports at once what is urgent, and loads at a bounded rate."""

import asyncio
import random

import pytest
import structlog

from oriolejunction import backends
from oriolejunction import blackboard as blackboards
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction.peers import fleet_session
from oriolejunction.peers import fleet_watch
from oriolejunction.peers import listing_store
from oriolejunction.peers import table_follower
from oriolejunction import routing_table
from tests import event_loops

pytestmark = pytest.mark.asyncio(**event_loops.VIRTUAL)
# Of the 100 ms in which all instances must know of a lost server.
URGENT_LIMIT_MS = 25.0
BACKEND = backends.Backend(
    ids.BackendId("e1"), ids.ServiceName("llm"), "10.9.0.1:1", ids.ZoneId("z")
)


class Session:
    """A control replica that answers every 10 ms and knows one list."""

    def __init__(self):
        self.reported_ms = []
        self.failures = 0
        self.is_silent = False
        self.listing = fm.ListingSnapshot(5.0, "digest", (BACKEND,))

    async def watch(self, address, request):
        await asyncio.sleep(0.01)
        if self.is_silent:
            raise fleet_session.ReplicaLost("made up")
        listing, self.listing = self.listing, fm.ListingSnapshot(
            5.0, "digest", None
        )
        return fm.WatchReply(
            True, 1, "b", routing_table.NO_TABLE, listing=listing
        )

    async def report(self, address, report):
        if self.failures:
            self.failures -= 1
            raise fleet_session.ReplicaLost("made up")
        self.reported_ms.append(asyncio.get_running_loop().time() * 1e3)


@pytest.fixture
async def watching():
    clock = event_loops.LoopClock()
    board, session = blackboards.Blackboard(), Session()
    watch = fleet_watch.FleetWatch(
        fleet_watch.WatchDependencies(
            instance=ids.InstanceId("a"),
            boot="b",
            zone=ids.ZoneId("z"),
            clock=clock,
            blackboard=board,
            listing=listing_store.ListingStore(clock),
            seeds=lambda: ["10.0.0.1:1"],
            report=lambda: fm.EntryReport(ids.InstanceId("a"), "b", 1),
            tables=table_follower.TableFollower(
                table_follower.FollowerDependencies(
                    instance=ids.InstanceId("a"),
                    clock=clock,
                    blackboard=board,
                    read_table=lambda document: None,
                    replicas=list,
                    stub_for=lambda address, method: None,
                )
            ),
            session=session,
            rng=random.Random(1),
            on_move=lambda: None,
        )
    )
    written = []
    board.backends.changes().subscribe(written.append)
    tasks = [
        asyncio.create_task(work()) for work in (watch.run, watch.run_reports)
    ]
    await asyncio.sleep(0.5)
    yield watch, session, written
    for task in tasks:
        task.cancel()


async def test_rate_of_reports_of_loads_is_bounded(watching):
    """Load: streams begin and end every 5 ms at a busy instance."""
    watch, session, _ = watching
    session.reported_ms.clear()
    for _ in range(200):
        watch.notify_loads()
        await asyncio.sleep(0.005)
    expected = 1_000 / fleet_watch.LOAD_REPORT_MS
    assert abs(len(session.reported_ms) - expected) <= 1


async def test_urgent_report_does_not_wait_for_that_of_loads(watching):
    """Load: a server is lost right after a stream began."""
    watch, session, _ = watching
    watch.notify_loads()
    await asyncio.sleep(0.001)
    session.reported_ms.clear()
    watch.notify_loads()
    watch.notify_report()
    await asyncio.sleep(URGENT_LIMIT_MS / 1e3)
    assert len(session.reported_ms) == 1


async def test_report_that_was_not_sent_is_sent_again(watching):
    watch, session, _ = watching
    session.reported_ms.clear()
    session.failures = 2
    watch.notify_report()
    await asyncio.sleep(3 * URGENT_LIMIT_MS / 1e3)
    assert len(session.reported_ms) == 1


async def test_idle_instance_reports_every_second(watching):
    """Control replicas drop reports that are 3 s old."""
    _, session, _ = watching
    session.reported_ms.clear()
    await asyncio.sleep(5.0)
    assert len(session.reported_ms) == 5


async def test_list_of_servers_is_written_when_it_changes(watching):
    """Load: each reply confirms the list; hundreds of servers are on it."""
    _, session, written = watching
    assert [list(snapshot.by_id) for snapshot in written] == [["e1"]]
    session.listing = fm.ListingSnapshot(0.0, "other", ())
    await asyncio.sleep(0.1)
    assert [list(snapshot.by_id) for snapshot in written] == [["e1"], []]


async def test_each_watch_without_a_reply_is_logged(watching):
    """A repeated failure must be told from one that lasts."""
    _, session, _ = watching
    session.is_silent = True
    with structlog.testing.capture_logs() as lines:
        await asyncio.sleep(0.5)
    failed = [each for each in lines if each["event"] == "watch got no reply"]
    assert [each["attempt"] for each in failed[:3]] == [1, 2, 3]
    assert failed[0]["table_version"] == routing_table.NO_TABLE
    assert all(each["waited_ms"] >= 10 for each in failed)
