"""One odd entry in the platform's list harms no other."""

import hypothesis
import msgspec
import pytest

from oriolejunction.http import platform_list
from tests.platform import odd_json

FIRST, LAST = (
    b'{"name":"e1","state":"live"}',
    b'{"name":"e2","state":"leaving"}',
)


@hypothesis.given(odd_json.VALUES, odd_json.VALUES)
def test_whatever_one_entry_holds_harms_it_alone(state, other):
    odd = odd_json.changed({"name": "odd"}, {"state": state, "other": other})
    listed = platform_list.read_list(b"[%s,%s,%s]" % (FIRST, odd, LAST))
    assert [each.name for each in listed if each.name != "odd"] == ["e1", "e2"]


@pytest.mark.parametrize("value", odd_json.ODD)
def test_whatever_stands_in_place_of_an_entry_harms_no_other(value):
    listed = platform_list.read_list(b"[%s,%s,%s]" % (FIRST, value, LAST))
    assert [each.name for each in listed] == ["e1", "e2"]


@pytest.mark.parametrize("length", range(len(FIRST) + 1))
def test_list_that_is_cut_off_is_refused(length):
    with pytest.raises(msgspec.DecodeError):
        platform_list.read_list((b"[" + FIRST)[:length])
