"""The platform's list is read again after failed reads."""

import asyncio
import random

import pytest

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction.peers import list_poller
from oriolejunction.peers import listing_store

FOUND = (
    backends.Backend(
        ids.BackendId("e1"),
        ids.ServiceName("llm"),
        "10.9.0.1:1",
        ids.ZoneId("z"),
    ),
)


@pytest.mark.parametrize("leads", [True, False])
async def test_list_unavailable_at_start_is_read_later(leads):
    """Load: an instance starts while the platform's list is down."""
    clock = clocks.ManualClock(1e6)
    store = listing_store.ListingStore(clock)
    failures = 3

    async def fetch(session):
        nonlocal failures
        if failures:
            failures -= 1
            raise errors.Failure(errors.ListUnavailable("refused"))
        return FOUND

    changes = []
    poller = list_poller.ListPoller(
        clock,
        store,
        fetch,
        lambda: leads,
        lambda: True,
        lambda: changes.append(store.backends),
        random.Random(1),
    )
    task = asyncio.create_task(poller.run())
    for _ in range(60):
        await asyncio.sleep(0)
        clock.advance(100.0)
        if task.done():
            task.result()
    assert changes[0] == FOUND
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_instance_without_a_table_leaves_the_list_to_the_others():
    """Load: two hundred instances start in the same moment."""
    clock = clocks.ManualClock(1e6)
    has_table = False
    reads = []

    async def fetch(session):
        reads.append(clock.now_ms())
        return FOUND

    poller = list_poller.ListPoller(
        clock,
        listing_store.ListingStore(clock),
        fetch,
        lambda: False,
        lambda: has_table,
        lambda: None,
        random.Random(1),
    )
    task = asyncio.create_task(poller.run())
    for _ in range(20):
        await asyncio.sleep(0)
        clock.advance(100.0)
    assert not reads
    has_table = True
    for _ in range(3):
        await asyncio.sleep(0)
        clock.advance(100.0)
    assert len(reads) == 1
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
