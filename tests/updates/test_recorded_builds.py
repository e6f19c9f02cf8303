"""This build and earlier ones read each other's messages and files."""

import pathlib

import msgspec
import pytest

from oriolejunction import commands
from tests.updates import compatibility
from tests.updates import layouts

FOLDER = pathlib.Path(__file__).parent / "recorded"
RECORDED = sorted(FOLDER.glob("*.json"))
# Earlier builds can't apply these, or read the results. They are proposed
# only once all processes know them (`peers/fleet_protocols.py`).
GATED_COMMANDS = {
    commands.BeginRollout,
    commands.DecideRollout,
    commands.GrantExposure,
    commands.MoveRollout,
    commands.RolloutBegun,
    commands.RolloutRefused,
}
GATED = {str(["struct", layouts.name_of(each)]) for each in GATED_COMMANDS}

pytestmark = pytest.mark.parametrize(
    "recorded", RECORDED, ids=[path.stem for path in RECORDED]
)


def read(path):
    return msgspec.json.decode(path.read_bytes(), type=layouts.Recording)


def common_part(former, today):
    """Return what `today` has of the values that `former` has."""
    if isinstance(former, dict) and isinstance(today, dict):
        return {
            key: common_part(value, today[key])
            for key, value in former.items()
            if key in today
        }
    if isinstance(former, list) and isinstance(today, list):
        pairs = zip(former, today)
        return [common_part(one, other) for one, other in pairs]
    return today


def test_messages_and_files_of_an_earlier_build_are_read(recorded):
    types, _ = layouts.types_and_recording()
    for name, encoded in read(recorded).samples.items():
        decoded = msgspec.msgpack.decode(encoded, type=types[name])
        former = msgspec.msgpack.decode(encoded)
        today = msgspec.msgpack.decode(msgspec.msgpack.encode(decoded))
        assert common_part(former, today) == former, name


def test_layouts_of_messages_and_files_are_compatible(recorded):
    _, today = layouts.types_and_recording()
    found = [
        each
        for each in compatibility.differences(read(recorded), today)
        if not any(each.endswith(f"can be {gated}") for gated in GATED)
    ]
    assert found == []
