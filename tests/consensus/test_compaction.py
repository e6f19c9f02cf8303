"""The log of large documents stays small, in memory and on the disk."""

import asyncio
import random

import pytest

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction.consensus import compaction
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import types
from oriolejunction import control_wiring

LIMITS = control_wiring.LOG_LIMITS
# A document of some 6,000 routes.
DOCUMENT_BYTES = 1_600_000
VERSIONS = 40


class NoPeers:
    """A group of one replica sends nothing."""

    def send(self, group, message, address):
        raise AssertionError("nobody to send to")


@pytest.fixture
async def replica(tmp_path):
    replica = raft_replica.RaftReplica(
        tmp_path,
        lambda own: types.Member(own, "core", "z", "core:1"),
        NoPeers(),
        clocks.SystemClock(),
        random.Random(1),
        control_wiring.CONTROL_TIMING,
        LIMITS,
        ("core:1",),
    )
    replica.start()
    replica.form_group(
        "g", types.Membership((replica.member,), voter_target=1)
    )
    replica.campaign_soon()
    while replica.leader_term is None:
        await asyncio.sleep(0.01)
    yield replica
    await replica.close()


async def publish(replica, version):
    document = random.Random(version).randbytes(DOCUMENT_BYTES)
    await replica.propose(
        commands.PublishTable(version, document, str(version))
    )


def size_of(folder):
    return sum(
        path.stat().st_size for path in folder.rglob("*") if path.is_file()
    )


async def test_log_of_large_documents_is_bounded_by_its_bytes(
    replica, tmp_path
):
    """Fault: 32 documents were retained, and written anew at each change."""
    bound = LIMITS.max_bytes + (compaction.MIN_RETAINED + 3) * DOCUMENT_BYTES
    bases = set()
    for version in range(VERSIONS):
        await publish(replica, version)
        log = replica._core.state.log
        bases.add(log.base_index)
        retained = sum(
            len(entry.command or b"")
            for entry in log.entries_after(log.base_index)
        )
        assert retained <= bound
        assert size_of(tmp_path) <= 2 * bound
    # Not at each change.
    assert 3 < len(bases) < VERSIONS / 2


async def test_small_entries_are_retained_by_their_number(replica):
    limit = LIMITS.max_entries
    for number in range(limit + 10):
        await replica.propose(
            commands.PublishTable(number, b"small", str(number))
        )
    log = replica._core.state.log
    assert log.base_index > 0
    assert log.last_index - log.base_index >= LIMITS.retained
