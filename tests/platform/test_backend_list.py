"""The platform's list: invalid entries are skipped, others are used."""

import json

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction import fleet_messages as fm
from oriolejunction.peers import listing_store
from oriolejunction.platform import backend_list
from oriolejunction import settings
from tests.platform import odd_json

VALID_ENTRY = {
    "service": "llm",
    "address": "10.128.0.9:8080",
    "zone": "bilbao",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "coldRemainingMs": 0,
    "stage": "combined",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "id": "i-1",
}


def read(*entries):
    data = msgspec.json.encode({"instances": entries, "next": None})
    return backend_list.read_entries(backend_list.read_page(data).instances)


def test_valid_entries_are_read():
    ready, leaving = read(
        VALID_ENTRY, {**VALID_ENTRY, "id": "i-2", "state": "draining"}
    )
    assert (ready.backend_id, ready.address) == ("i-1", "10.128.0.9:8080")
    assert not ready.leaving
    assert leaving.leaving


@pytest.mark.parametrize(
    "change",
    [
        {"id": None},
        {"id": 7},
        {"id": ""},
        {"address": "nowhere"},
        {"address": 8080},
        {"state": "resting"},
        {"zone": ["a"]},
        {"service": None},
        {"slots": "many"},
        {"slots": -1},
        {"slots": 10**400},
        {"slots": 10**9},
        {"coldRemainingMs": -1},
        {"coldRemainingMs": 1e300},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1: 80"},
        {"address": "10.0.0.256:80"},
        {"address": "name.example:80"},
        {"id": "i" * 10_000},
    ],
)
def test_invalid_entry_is_skipped_and_the_others_are_used(change):
    found = read(
        VALID_ENTRY,
        {**VALID_ENTRY, "id": "i-2", **change},
        {**VALID_ENTRY, "id": "i-3"},
    )
    assert [each.backend_id for each in found] == ["i-1", "i-3"]


def test_entry_with_missing_field_is_skipped():
    for name in ("id", "service", "address", "zone", "state"):
        incomplete = {**VALID_ENTRY, "id": "i-2"}
        del incomplete[name]
        assert [b.backend_id for b in read(VALID_ENTRY, incomplete)] == ["i-1"]


def test_entry_with_invalid_utf8_is_skipped():
    data = msgspec.json.encode(
        {"instances": [VALID_ENTRY, VALID_ENTRY], "next": None}
    )
    first, _, rest = data.partition(b'"id":"i-1"')
    corrupted = first + b'"id":"i-\xff\xfe"' + rest
    found = backend_list.read_entries(
        backend_list.read_page(corrupted).instances
    )
    assert [each.backend_id for each in found] == ["i-1"]


@hypothesis.given(
    st.dictionaries(
        st.sampled_from(sorted(VALID_ENTRY)),
        st.none() | st.integers() | st.text(max_size=5) | st.booleans(),
    )
)
def test_any_entry_is_read_or_skipped(change):
    found = read(VALID_ENTRY, {**VALID_ENTRY, **change})
    assert found[0].backend_id == "i-1"
    assert len(found) <= 2


@pytest.mark.parametrize(
    ("value", "born"),
    [
        (1_700_000_000_123, 1_700_000_000_123),
        (1.7e12, 1_700_000_000_000),
        (None, 0),
        ("soon", 0),
        (-5, 0),
        (True, 0),
        (1 << 70, 0),
        ({}, 0),
    ],
)
def test_birth_of_a_server_is_read_where_it_can_be(value, born):
    """Fault: a server with an unreadable birth was taken off the list."""
    entry = json.dumps({**VALID_ENTRY, "born": value}).encode()
    (found,) = backend_list.read_entries([msgspec.Raw(entry)])
    assert found.born == born


@pytest.mark.parametrize("deep", odd_json.DEEP)
@pytest.mark.parametrize("field", ["models", "born", "id"])
def test_entry_that_is_nested_too_deeply_is_skipped(deep, field):
    """Fault: the list was read no more, by any process."""
    odd = odd_json.changed({**VALID_ENTRY, "id": "i-2"}, {field: deep})
    assert [b.backend_id for b in read_beside(odd)] == ["i-1", "i-3"]


def read_beside(odd):
    """Return the servers of a page with an odd entry among good ones."""
    good = [
        msgspec.json.encode({**VALID_ENTRY, "id": name})
        for name in ("i-1", "i-3")
    ]
    page = b'{"next":"p-2","instances":[%s,%s,%s]}' % (good[0], odd, good[1])
    read = backend_list.read_page(page)
    assert read.next == "p-2"
    return backend_list.read_entries(read.instances)


@hypothesis.given(
    st.dictionaries(
        st.sampled_from([*VALID_ENTRY, "born", "other"]),
        odd_json.VALUES,
        min_size=1,
        max_size=3,
    )
)
def test_whatever_one_entry_holds_harms_it_alone(fields):
    odd = odd_json.changed({**VALID_ENTRY, "id": "i-2"}, fields)
    found = read_beside(odd)
    others = [each.backend_id for each in found if each.slots == 16]
    assert others[0] == "i-1" and others[-1] == "i-3"
    assert len(found) <= 3
    for backend in found:
        require_usable(backend)


@hypothesis.given(odd_json.VALUES)
def test_whatever_stands_in_place_of_an_entry_harms_no_other(value):
    assert [b.backend_id for b in read_beside(value)] == ["i-1", "i-3"]


def require_usable(backend: backends.Backend):
    """Require what the product does with each listed server."""
    _, port = settings.split_address(backend.address)
    assert 0 < port <= 65_535
    assert 0 <= backend.slots <= backend_list.MAX_SLOTS
    store = listing_store.ListingStore(clocks.ManualClock(0.0))
    store.store_fetched((backend,))
    sent = msgspec.msgpack.encode(store.snapshot(""))
    received = msgspec.msgpack.decode(sent, type=fm.ListingSnapshot)
    assert received.backends == (backend,)
