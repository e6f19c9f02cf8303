"""A control replica whose disk refuses writes for a while."""

import asyncio
import errno
import random

import pytest
import structlog

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction import configuration
from oriolejunction.consensus import compaction
from oriolejunction.consensus import identity as identities
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import replica as replicas
from oriolejunction.consensus import types
from oriolejunction import ids
from oriolejunction import routing_table
from oriolejunction import states
from tests import full_disk

EMPTY = configuration.Configuration(
    states.Objective.LATENCY, (), (), (), (), (), 1
)


class NullTransport:
    """A transport for a group of one."""

    def send(self, group, message, address):
        """Drop the message."""


def open_replica(folder):
    return raft_replica.RaftReplica(
        folder,
        lambda replica: types.Member(replica, "a", "z", "127.0.0.1:1"),
        NullTransport(),
        clocks.SystemClock(),
        random.Random(1),
        limits=compaction.LogLimits(max_entries=8, retained=1),
    )


def publish(version):
    return commands.PublishTable(
        routing_table.TableVersion(version), b"doc", str(version)
    )


async def wait_until(check):
    async with asyncio.timeout(5):
        while not check():
            await asyncio.sleep(0.01)


def submit(number, answers="answers"):
    name = f"draft-{number}"
    return commands.SubmitDraft(
        operation_id=ids.OperationId(name),
        draft_id=ids.DraftId(name),
        base_revision=ids.Revision(0),
        operator="operator",
        at_ms=number,
        configuration=EMPTY,
        answers_toml=answers,
        differences=(),
    )


async def open_group_of_one(folder):
    replica = open_replica(folder)
    replica.start()
    membership = types.Membership((replica.member,), voter_target=1)
    replica.form_group(types.GroupId("g"), membership)
    await wait_until(lambda: replica.leader_term is not None)
    return replica


async def test_replica_resumes_after_disk_failure(tmp_path):
    """Load: a full disk refuses every write, then has free space again."""
    replica = await open_group_of_one(tmp_path)
    await replica.propose(publish(1))

    def fail_write(records):
        raise OSError(errno.ENOSPC, "no space left on device")

    replica._storage.write = fail_write
    with pytest.raises((replicas.OutcomeUnknown, replicas.NotLeader)):
        await asyncio.wait_for(replica.propose(publish(2)), 3)
    await wait_until(lambda: replica.leader_term is not None)
    assert replica.state.table.version == 1
    await replica.propose(publish(3))
    assert replica.state.table.version == 3
    await replica.close()

    restarted = open_replica(tmp_path)
    restarted.start()
    await wait_until(lambda: restarted.leader_term is not None)
    await restarted.read_barrier()
    assert restarted.state.table.version == 3
    await restarted.close()


async def test_replica_resumes_after_its_file_could_not_be_closed(tmp_path):
    """Fault: the bytes of a refused write were written again by `close`."""
    replica = await open_group_of_one(tmp_path)
    await replica.propose(publish(1))
    with structlog.testing.capture_logs(), full_disk.refused_writes():
        with pytest.raises((replicas.OutcomeUnknown, replicas.NotLeader)):
            await asyncio.wait_for(replica.propose(publish(2)), 3)
        await asyncio.sleep(0.7)
    await wait_until(lambda: replica.leader_term is not None)
    await replica.propose(publish(3))
    assert replica.state.table.version == 3
    await replica.close()


async def test_audit_entry_survives_a_full_disk(tmp_path):
    """Fault: an entry that could not be written whole was left out."""
    replica = await open_group_of_one(tmp_path)
    answers = "#" * 20_000
    for number in range(1, 21):
        await replica.propose(submit(number, answers))
    size = (tmp_path / "audit.log").stat().st_size
    refused = full_disk.refused_writes(size + 10_000)
    with structlog.testing.capture_logs(), refused:
        with pytest.raises((replicas.OutcomeUnknown, replicas.NotLeader)):
            await asyncio.wait_for(replica.propose(submit(21, answers)), 3)
        await asyncio.sleep(0.7)
    await wait_until(lambda: replica.leader_term is not None)
    await replica.propose(submit(22, answers))
    await replica.close()

    restarted = open_replica(tmp_path)
    numbers = [each.number for each in await restarted.audit(0, 100)]
    assert numbers == list(range(1, 23))
    await restarted.close()


async def test_replica_joins_after_its_group_could_not_be_stored(
    tmp_path, monkeypatch
):
    """Fault: it had joined in memory only, and never asked again."""
    replica = open_replica(tmp_path)

    def fail_save(folder, identity):
        raise OSError(errno.ENOSPC, "no space left on device")

    with monkeypatch.context() as patched:
        patched.setattr(identities, "save", fail_save)
        with pytest.raises(OSError):
            replica.join_as_learner(types.GroupId("g"))
    replica.join_as_learner(types.GroupId("g"))
    # It has a log, if an empty one, and a restart keeps the group.
    assert replica.group_changes.has_committed_nothing()
    assert identities.load(tmp_path).group == "g"
    await replica.close()
