"""Decides which replica forms the first group of a deployment.

Load pattern: the replicas start for the first time together, and any of them
may end, start again or lose its disk before the group is formed. A replica
whose disk was lost later must never form a second group beside the first one.

The members of a group that may have committed anything include a majority of
the initial voters. None was formed if so many of these still have their first
disks and no group that the others are no majority.

The group can also be formed without an initial voter that does not answer, if
a majority of its members is a majority of the initial voters too. If replicas
that are cut off from each other then form one each, only one of them can
commit, since a replica belongs to one group.
"""

import collections.abc

from oriolejunction.consensus import raft_messages

Introductions = collections.abc.Mapping[str, raft_messages.Introduction | None]


def creator(
    listed: collections.abc.Sequence[str],
    introductions: Introductions,
    all_must_answer: bool = True,
) -> str | None:
    """Return the address of the replica that forms the group, if any may.

    The members are the initial voters that answer. `introductions` holds the
    answers of the listed replicas and of the initial voters by address. None
    of them belongs to a group. Unless `all_must_answer`, the group may be
    formed although a listed replica does not answer.
    """
    answering = [each for each in listed if introductions.get(each)]
    if all_must_answer and len(answering) < len(listed):
        return None
    for address in answering:
        initial_voters = introductions[address].initial_voters
        if initial_voters:
            break
    else:
        return None
    # Each replica may list them in an order of its own.
    waiting = [
        each
        for each in initial_voters
        if (introduction := introductions.get(each)) is not None
        and set(introduction.initial_voters) == set(initial_voters)
    ]
    majority = _majority(len(initial_voters))
    others = len(initial_voters) - len(waiting)
    members = [each for each in initial_voters if introductions.get(each)]
    if others >= majority or _majority(len(members)) < majority:
        return None
    return address


def _majority(count: int) -> int:
    return count // 2 + 1
