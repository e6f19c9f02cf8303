"""The store keeps the most recent list, whichever process read it."""

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction.peers import listing_store


def backend(name, **changes):
    return backends.Backend(
        ids.BackendId(name),
        ids.ServiceName("llm"),
        f"{name}:1",
        ids.ZoneId("z"),
        **changes,
    )


def test_most_recent_list_wins():
    clock = clocks.ManualClock(10_000.0)
    store = listing_store.ListingStore(clock)
    assert store.store_fetched((backend("a"),))
    older = fm.ListingSnapshot(500.0, "other", (backend("b"),))
    assert not store.store_received(older)
    clock.advance(1_000.0)
    newer = fm.ListingSnapshot(200.0, "other", (backend("b"),))
    assert store.store_received(newer)
    assert [b.backend_id for b in store.backends] == ["b"]
    assert store.age_ms == 200.0


def test_unchanged_list_is_sent_as_its_digest_and_refreshes_the_age():
    clock = clocks.ManualClock(10_000.0)
    reader = listing_store.ListingStore(clock)
    other = listing_store.ListingStore(clock)
    reader.store_fetched((backend("a"),))
    assert other.store_received(reader.snapshot(other.digest))
    clock.advance(500.0)
    reader.store_fetched((backend("a", cold_ms=20.0),))
    sent = reader.snapshot(other.digest)
    assert sent.backends is None
    assert not other.store_received(sent)
    assert other.age_ms == 0.0


def test_digest_of_another_list_is_ignored():
    clock = clocks.ManualClock(10_000.0)
    store = listing_store.ListingStore(clock)
    store.store_fetched((backend("a"),))
    clock.advance(500.0)
    store.store_received(fm.ListingSnapshot(0.0, "unknown", None))
    assert store.age_ms == 500.0


def test_list_that_was_held_up_replaces_no_newer_one():
    """Fault: a leader that was paused sent a list with a wrong age.

    It was paused between the read of the list's age and the write.
    """
    clock = clocks.ManualClock(10_000.0)
    reader = listing_store.ListingStore(clock)
    other = listing_store.ListingStore(clock)
    reader.store_fetched((backend("a"),), term=3)
    held_up = reader.snapshot("")
    clock.advance(500.0)
    reader.store_fetched((backend("b"),), term=3)
    assert other.store_received(reader.snapshot(""))
    clock.advance(100.0)
    assert not other.store_received(held_up)
    assert other.backends == (backend("b"),)
    # Lists of the next leader count, as do those read without one.
    clock.advance(100.0)
    next_reader = listing_store.ListingStore(clock)
    next_reader.store_fetched((backend("c"),), term=4)
    assert other.store_received(next_reader.snapshot(""))
    clock.advance(100.0)
    reader.store_fetched((backend("d"),), term=3)
    assert not other.store_received(reader.snapshot(""))
    reader.store_fetched((backend("e"),))
    clock.advance(1.0)
    assert other.store_received(reader.snapshot(""))
