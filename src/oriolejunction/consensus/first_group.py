"""Decides which replica forms the first group of a deployment.

Load pattern: the replicas start for the first time together, and any of them
may end, start again or lose its disk before the group is formed. A replica
whose disk was lost later must never form a second group beside the first one.

The members of a group that may have committed anything include a majority of
the initial voters. None was formed if so many of these still have their first
disks and no group that the others are no majority. Where that is known, the
group can also be formed without a replica that does not answer. If two
replicas that are cut off from each other then form one each, a majority of the
initial voters belongs to one of them at most, and only that one can commit.
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

    `introductions` holds the answers of the listed replicas and of the
    initial voters by address. None of them belongs to a group. Unless
    `all_must_answer`, listed replicas without an answer are left out.
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
    majority = len(initial_voters) // 2 + 1
    others = len(initial_voters) - len(waiting)
    return address if others < majority else None
