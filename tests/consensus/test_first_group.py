"""Which replica forms the first group, and that no second one is formed."""

import pytest

from oriolejunction.consensus import first_group
from oriolejunction.consensus import identity as identities
from oriolejunction.consensus import raft_messages
from oriolejunction.consensus import types

INITIAL = ("a", "b", "c")


def introduction(address, initial_voters=()):
    member = types.Member(types.ReplicaId(address), address, "z", address)
    return raft_messages.Introduction(member, None, initial_voters)


def creator(listed, first_disks, new_disks=(), all_must_answer=True):
    found = {each: introduction(each, INITIAL) for each in first_disks}
    found |= {each: introduction(each) for each in new_disks}
    return first_group.creator(listed, found, all_must_answer)


@pytest.mark.parametrize(
    ("first_disks", "new_disks", "expected"),
    (
        ("abc", "", "a"),
        ("bc", "a", "b"),
        ("ac", "b", "a"),
        # Two of three may have formed a group and lost it.
        ("c", "ab", None),
        ("", "abc", None),
        # One that does not answer may belong to a group.
        ("ab", "", None),
    ),
)
def test_majority_of_first_disks_is_needed(first_disks, new_disks, expected):
    assert creator(INITIAL, first_disks, new_disks) == expected


@pytest.mark.parametrize(
    ("first_disks", "new_disks", "expected"),
    (
        ("bc", "", "b"),
        ("ab", "", "a"),
        # Two of three may have formed a group and lost it, or have one.
        ("c", "a", None),
        ("c", "", None),
        ("", "bc", None),
    ),
)
def test_majority_is_needed_to_leave_out_a_silent_replica(
    first_disks, new_disks, expected
):
    found = creator(INITIAL, first_disks, new_disks, all_must_answer=False)
    assert found == expected


@pytest.mark.parametrize(
    ("initial", "answering", "expected"),
    (
        ("ab", "a", None),
        ("abc", "ab", "a"),
        # Three of four could commit with two, and the others too.
        ("abcd", "abc", None),
        ("abcd", "ab", None),
        ("abcde", "abcd", "a"),
        ("abcde", "abc", None),
    ),
)
def test_groups_of_two_parts_cannot_both_commit(initial, answering, expected):
    found = {each: introduction(each, tuple(initial)) for each in answering}
    assert first_group.creator(initial, found, False) == expected


def test_replica_listed_later_may_take_part():
    assert creator(("d", "b", "c"), "bc", "d") == "b"


def test_later_seeds_form_no_group_beside_initial_voters_out_of_reach():
    assert creator(("d", "e", "f"), "de", "f") is None


def test_initial_voters_may_be_listed_in_any_order():
    found = {
        each: introduction(each, (each, *(n for n in INITIAL if n != each)))
        for each in INITIAL
    }
    assert first_group.creator(INITIAL, found) == "a"


def test_single_replica_forms_its_group():
    found = {"a": introduction("a", ("a",))}
    assert first_group.creator(("a",), found) == "a"


def test_disk_of_the_first_start_is_known_until_it_belongs_to_a_group(
    tmp_path,
):
    first = identities.load(tmp_path, INITIAL)
    assert identities.load(tmp_path) == first
    assert first.initial_voters == INITIAL
    joined = identities.Identity(first.replica, types.GroupId("g"))
    identities.save(tmp_path, joined)
    assert identities.load(tmp_path, INITIAL) == joined


def test_disk_of_an_earlier_build_is_known_at_the_first_start(tmp_path):
    earlier = identities.load(tmp_path)
    assert earlier.initial_voters == ()
    assert identities.load(tmp_path, INITIAL).replica == earlier.replica
    assert identities.load(tmp_path).initial_voters == INITIAL
