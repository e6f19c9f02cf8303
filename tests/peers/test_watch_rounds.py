"""Urgent changes are told at once, and loads at a bounded rate."""

import asyncio

import msgspec
import pytest

from oriolejunction import backends
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction.peers import report_relays
from oriolejunction.peers import watch_rounds
from oriolejunction import routing_table
from tests import event_loops
from tests.peers import test_fleet_service

pytestmark = pytest.mark.asyncio(**event_loops.VIRTUAL)
running = test_fleet_service.running
# Report, relay and round of a lost server take less than 100 ms in all.
URGENT_LIMIT_MS = 30.0
URGENT_RELAY_LIMIT_MS = 20.0
RESEND_LIMIT_MS = 55.0
SUSPECT = ids.BackendId("lost")


def report(number, streams=0, suspects=(), resends=0):
    request = test_fleet_service.report_request(number, streams)
    return fm.ReportRequest(
        msgspec.structs.replace(
            request.share,
            suspects=suspects,
            uses=(fm.ServiceUse(ids.ServiceName("llm"), 10, resends),),
        )
    )


class Watch:
    """Watches without pause and notes when each reply came."""

    def __init__(self, service):
        self._service = service
        self.replies = []

    async def run(self):
        seen, boot = fm.NO_CHANGE_SEEN, ""
        while True:
            request = fm.WatchRequest(
                ids.InstanceId("x"),
                routing_table.NO_TABLE,
                self._service._deps.listing.digest,
                seen,
                boot,
                "boot-x",
            )
            reply = msgspec.msgpack.decode(
                msgspec.msgpack.encode(await self._service._watch(request)),
                type=fm.WatchReply,
            )
            seen, boot = reply.seen, reply.boot
            at_ms = asyncio.get_running_loop().time() * 1e3
            self.replies.append((at_ms, reply))


@pytest.fixture
async def watched(running):
    service, peers, replica = running
    watch = Watch(service)
    task = asyncio.create_task(watch.run())
    await asyncio.sleep(0.1)
    yield service, watch, peers, replica
    task.cancel()


async def changes(service, count, interval_s):
    for number in range(1, count + 1):
        await service._report(report(number, streams=number))
        await asyncio.sleep(interval_s)


async def test_rate_of_replies_with_loads_only_is_bounded(watched):
    """Load: a stream begins or ends somewhere every 5 ms."""
    service, watch, _, _ = watched
    watch.replies.clear()
    await changes(service, 600, 0.005)
    assert len(watch.replies) <= 3_000 / watch_rounds.LOAD_INTERVAL_MS + 1
    assert len(watch.replies) >= 3_000 / watch_rounds.LOAD_INTERVAL_MS - 2


async def test_rate_does_not_depend_on_the_number_of_watches(watched):
    service, _, _, _ = watched
    others = [Watch(service) for _ in range(50)]
    tasks = [asyncio.create_task(other.run()) for other in others]
    await asyncio.sleep(0.1)
    for other in others:
        other.replies.clear()
    await changes(service, 200, 0.005)
    for task in tasks:
        task.cancel()
    most = 1_000 / watch_rounds.LOAD_INTERVAL_MS + 1
    assert all(2 <= len(other.replies) <= most for other in others)
    assert len({other.replies[-1][0] for other in others}) == 1


async def reply_delay_ms(watch, action, is_awaited=lambda reply: True):
    before = len(watch.replies)
    start_ms = asyncio.get_running_loop().time() * 1e3
    await action
    while not any(is_awaited(reply) for _, reply in watch.replies[before:]):
        await asyncio.sleep(0.001)
    return watch.replies[-1][0] - start_ms


async def test_lost_server_is_told_at_once_after_a_load_reply(watched):
    """Load: a server is lost among changes of loads every few ms."""
    service, watch, _, _ = watched
    loads = asyncio.create_task(changes(service, 400, 0.005))
    await asyncio.sleep(0.3)
    for number in range(1_001, 1_020):
        await asyncio.sleep(0.047)
        delay_ms = await reply_delay_ms(
            watch,
            service._report(report(number, suspects=(SUSPECT,))),
            lambda reply: reply.suspects == (SUSPECT,),
        )
        assert delay_ms <= URGENT_LIMIT_MS
        await service._report(report(number))
        await asyncio.sleep(0.03)
    loads.cancel()


async def test_table_and_list_are_told_at_once(watched):
    service, watch, _, replica = watched
    backend = backends.Backend(
        SUSPECT, ids.ServiceName("llm"), "10.9.0.1:1", ids.ZoneId("z")
    )

    async def publish():
        replica.state.table = type(replica.state.table)(
            routing_table.TableVersion(5), b"document"
        )
        replica.on_apply()

    async def read_list():
        service._deps.listing.store_fetched((backend,))
        service.notify_listing()

    for action in (publish(), read_list()):
        await asyncio.sleep(0.05)
        delay_ms = await reply_delay_ms(watch, action)
        assert delay_ms <= URGENT_LIMIT_MS


async def test_change_outside_the_reports_reaches_all_at_once(watched):
    """Load: the state of a rollout changes while nothing else does."""
    service, watch, _, _ = watched

    async def notify():
        service.notify_watches()

    delay_ms = await reply_delay_ms(watch, notify())
    assert delay_ms <= URGENT_LIMIT_MS
    assert watch.replies[-1][1].has_observations


async def test_resends_are_told_sooner_than_loads(watched):
    """Load: the resend budget counts what others sent again just now."""
    service, watch, _, _ = watched
    await service._report(report(1, streams=1))
    await asyncio.sleep(0.2)
    await reply_delay_ms(watch, service._report(report(2, streams=2)))
    delay_ms = await reply_delay_ms(
        watch, service._report(report(3, streams=3, resends=2))
    )
    assert delay_ms <= RESEND_LIMIT_MS


async def test_idle_watch_is_answered_within_the_long_poll(watched):
    """A missing reply means that the replica is lost."""
    _, watch, _, _ = watched
    watch.replies.clear()
    await asyncio.sleep(4.0)
    times_ms = [at_ms for at_ms, _ in watch.replies]
    assert len(times_ms) >= 9
    gaps_ms = [b - a for a, b in zip(times_ms, times_ms[1:], strict=False)]
    assert max(gaps_ms) <= watch_rounds.LONG_POLL_MS + 5


async def test_urgent_reports_are_relayed_sooner_than_loads(watched):
    """Load: loads change every few ms, then a server is lost."""
    service, _, peers, _ = watched
    await changes(service, 100, 0.005)
    relays = [
        relay
        for to, relay in peers.relays
        if to == test_fleet_service.OTHER and relay.shares
    ]
    assert len(relays) <= 500 / report_relays.LOAD_RELAY_MS + 2
    await service._report(report(1_001, suspects=(SUSPECT,)))
    await asyncio.sleep(URGENT_RELAY_LIMIT_MS / 1e3)
    to, last = peers.relays[-1]
    assert last.shares[-1].suspects == (SUSPECT,)
