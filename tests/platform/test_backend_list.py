"""The platform's list: bad entries name no backend server."""

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from oriolejunction.platform import backend_list

SOUND = {
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


def test_sound_entries_are_read():
    ready, leaving = read(SOUND, {**SOUND, "id": "i-2", "state": "draining"})
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
def test_bad_entry_is_left_out_and_the_others_hold(change):
    found = read(
        SOUND, {**SOUND, "id": "i-2", **change}, {**SOUND, "id": "i-3"}
    )
    assert [each.backend_id for each in found] == ["i-1", "i-3"]


def test_missing_fields_leave_one_entry_out():
    for name in ("id", "service", "address", "zone", "state"):
        broken = {**SOUND, "id": "i-2"}
        del broken[name]
        assert [b.backend_id for b in read(SOUND, broken)] == ["i-1"]


def test_bytes_that_are_no_text_leave_one_entry_out():
    data = msgspec.json.encode({"instances": [SOUND, SOUND], "next": None})
    first, _, rest = data.partition(b'"id":"i-1"')
    spoiled = first + b'"id":"i-\xff\xfe"' + rest
    found = backend_list.read_entries(
        backend_list.read_page(spoiled).instances
    )
    assert [each.backend_id for each in found] == ["i-1"]


@hypothesis.given(
    st.dictionaries(
        st.sampled_from(sorted(SOUND)),
        st.none() | st.integers() | st.text(max_size=5) | st.booleans(),
    )
)
def test_any_entry_is_read_or_left_out(change):
    found = read(SOUND, {**SOUND, **change})
    assert found[0].backend_id == "i-1"
    assert len(found) <= 2
