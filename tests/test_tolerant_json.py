"""Items of an array are found whatever they hold."""

import time

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from oriolejunction import tolerant_json

TEXTS = st.sampled_from(["", "items", "a", '"]}', "[{", "\\", ",", "\u1234"])
VALUES = st.recursive(
    st.none() | st.integers() | st.booleans() | TEXTS,
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(TEXTS, inner, max_size=4),
    max_leaves=12,
)
DEEP = [b"[" * 100_000 + b"]" * 100_000]
DEEP.append(b'{"a": ' * 100_000 + b"1" + b"}" * 100_000)


@hypothesis.given(st.lists(VALUES, max_size=6), VALUES, st.booleans())
def test_items_are_those_of_a_decoder(items, other, indented):
    document = {"before": other, "items": items, "after": other}
    data = msgspec.json.encode(document)
    if indented:
        data = msgspec.json.format(data)
    found, rest = tolerant_json.split_items(data, "items")
    assert [msgspec.json.decode(each) for each in found] == items
    assert msgspec.json.decode(rest) == {**document, "items": []}
    found, rest = tolerant_json.split_items(msgspec.json.encode(items))
    assert [msgspec.json.decode(each) for each in found] == items


@pytest.mark.parametrize("odd", [*DEEP, b"tru", b'{"a" 1}', b"1e400"])
def test_item_that_cannot_be_read_leaves_the_others(odd):
    data = b'{"items": [{"id": 1},%s,{"id": 2}], "next": null}' % odd
    found, rest = tolerant_json.split_items(data, "items")
    assert [msgspec.json.decode(found[n]) for n in (0, 2)] == [
        {"id": 1},
        {"id": 2},
    ]
    assert msgspec.json.decode(rest) == {"items": [], "next": None}


def test_item_without_its_end_makes_the_text_unreadable():
    with pytest.raises(msgspec.DecodeError):
        tolerant_json.split_items(b'{"items": [{"id": 1},[1 2]}', "items")


@pytest.mark.parametrize("odd", DEEP)
def test_deep_item_takes_little_time(odd):
    """An entry in a list that is read twice a second."""
    began_s = time.process_time()
    tolerant_json.split_items(b'{"items": [%s]}' % odd, "items")
    assert time.process_time() - began_s < 0.25


@hypothesis.given(st.lists(VALUES, max_size=3), st.data())
def test_text_that_is_cut_off_has_no_items(items, data):
    whole = msgspec.json.encode({"a": 1, "items": items, "next": None})
    length = data.draw(st.integers(0, len(whole) - 1))
    with pytest.raises(msgspec.DecodeError):
        tolerant_json.split_items(whole[:length], "items")


@hypothesis.given(st.binary(max_size=60))
def test_any_bytes_are_split_or_refused(data):
    for field in (None, "items"):
        try:
            tolerant_json.split_items(data, field)
        except tolerant_json.DECODE_ERRORS:
            pass
