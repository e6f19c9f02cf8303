"""Core machines that are replaced by others, and losses soon afterwards.

The group must bear the loss of one machine, as its settings say, from
`catchUpS` after a successor's start on.
"""

import asyncio

import pytest

from tests import control_processes

CATCH_UP_S = 4.0
ACKNOWLEDGED_WITHIN_S = 4.0
# From the end of the machine that is replaced to the loss of another.
LOSS_AFTER_S = 0.5


@pytest.fixture
async def group(tmp_path):
    running = control_processes.Controls(tmp_path, 3)
    for number in range(3):
        await running.start(number)
    await running.publish(0, 7, control_processes.FORMED_WITHIN_S)
    yield running
    await running.close()


async def start_successor(group, number):
    await group.start(number, first_start=False)
    await asyncio.sleep(CATCH_UP_S)


async def lose_disk_and_publish(group, lost, version):
    """Check that one more loss of a disk is borne."""
    await group.kill(lost, wipes=True)
    await group.publish(
        next(iter(group.process_by_number)), version, ACKNOWLEDGED_WITHIN_S
    )


@pytest.mark.parametrize("replaces_leader", [False, True])
async def test_loss_after_a_planned_replacement_is_borne(
    group, replaces_leader
):
    """Fault: the old machine's vote outlasted it, its successor had none."""
    leader = await group.leader()
    old = leader if replaces_leader else (leader + 1) % 3
    await start_successor(group, 3)
    await group.stop(old)
    await asyncio.sleep(LOSS_AFTER_S)
    await lose_disk_and_publish(group, (old + 1) % 3, 8)


async def test_loss_after_two_planned_replacements_is_borne(group):
    for old, new in ((0, 3), (1, 4)):
        await start_successor(group, new)
        await group.stop(old)
    await asyncio.sleep(LOSS_AFTER_S)
    await lose_disk_and_publish(group, 2, 8)


async def test_loss_after_a_removal_without_a_signal_is_borne(group):
    """The group notices the end by silence, and then repairs itself."""
    await start_successor(group, 3)
    await group.kill(0)
    await asyncio.sleep(2.0)
    await lose_disk_and_publish(group, 1, 8)


async def test_loss_after_a_late_successor_is_borne(group):
    await group.stop(0)
    await asyncio.sleep(1.0)
    await start_successor(group, 3)
    await lose_disk_and_publish(group, 1, 8)


async def test_successor_that_ends_again_weakens_nothing(group):
    """The machine that was to be replaced goes on."""
    await start_successor(group, 3)
    await group.kill(3, wipes=True)
    await asyncio.sleep(0.2)
    await group.publish(0, 8, ACKNOWLEDGED_WITHIN_S)
    await asyncio.sleep(CATCH_UP_S)
    await lose_disk_and_publish(group, 1, 9)
