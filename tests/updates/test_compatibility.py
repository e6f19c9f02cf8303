"""Changes that another build can't read are found."""

import msgspec
import pytest

from tests.updates import compatibility
from tests.updates import layouts

STRING, NUMBER = "StrType", "IntType"


def recording(fields, is_array=False, tag=None, root="text"):
    struct = layouts.StructLayout(tag, is_array, fields)
    return layouts.Recording({"S": struct}, {"call": root}, {})


def differences(former, today):
    return list(compatibility.differences(former, today))


FORMER = [("a", STRING, True), ("b", NUMBER, False)]


@pytest.mark.parametrize("is_array", [False, True])
def test_optional_field_at_the_end_is_compatible(is_array):
    today = [*FORMER, ("c", NUMBER, False)]
    assert not differences(
        recording(FORMER, is_array), recording(today, is_array)
    )


@pytest.mark.parametrize(
    ("today", "is_array"),
    [
        ([*FORMER, ("c", NUMBER, True)], False),
        ([FORMER[1]], False),
        ([("renamed", STRING, True), FORMER[1]], False),
        ([("a", NUMBER, True), FORMER[1]], False),
        ([FORMER[0], ("c", NUMBER, False), FORMER[1]], True),
        ([FORMER[1], FORMER[0]], True),
    ],
    ids=[
        "mandatory",
        "dropped",
        "renamed",
        "retyped",
        "inserted",
        "reordered",
    ],
)
def test_change_that_a_build_cannot_read_is_found(today, is_array):
    assert differences(recording(FORMER, is_array), recording(today, is_array))


def test_change_of_the_encoding_is_found():
    assert differences(recording(FORMER), recording(FORMER, is_array=True))
    assert differences(recording(FORMER), recording(FORMER, tag="T"))
    assert differences(recording(FORMER), layouts.Recording({}, {}, {}))


@pytest.mark.parametrize(
    ("former", "today"),
    [
        (["union", "NoneType", STRING], ["union", NUMBER, "NoneType", STRING]),
        (["union", "NoneType", STRING], STRING),
        (["enum", "a"], ["enum", "a", "b"]),
        (["list", ["tuple", STRING]], ["list", ["tuple", NUMBER]]),
    ],
    ids=["new member", "no member", "new value", "within a list"],
)
def test_change_of_what_a_value_can_be_is_found(former, today):
    assert differences(
        recording(FORMER, root=former), recording(FORMER, root=today)
    )


def test_each_sample_has_a_value_for_each_field():
    types, recorded = layouts.types_and_recording()
    for name, encoded in recorded.samples.items():
        msgspec.msgpack.decode(encoded, type=types[name])
        if not recorded.structs[name].is_array:
            found = msgspec.msgpack.decode(encoded)
            fields = {field[0] for field in recorded.structs[name].fields}
            assert fields <= set(found), name
