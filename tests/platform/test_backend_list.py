"""The platform's list: invalid entries are skipped, others are used."""

import json

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from oriolejunction.platform import backend_list

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
