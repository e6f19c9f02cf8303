"""Real control processes whose disks refuse writes."""

import asyncio

import pytest

from tests import control_processes

EXIT_WITHIN_S = 10.0
FORMED_WITHIN_S = control_processes.FORMED_WITHIN_S


@pytest.fixture
async def single(tmp_path):
    running = control_processes.Controls(tmp_path, 1)
    await running.start(0)
    yield running
    await running.close()


async def test_process_ends_with_the_task_of_its_replica(single):
    """Fault: a process without its replica went on, and nothing repaired it.

    A log that is gone can't be loaded, whatever the disk takes later.
    """
    await single.publish(0, 7, FORMED_WITHIN_S)
    for path in single.disk(0).glob("wal-*"):
        path.unlink()
    process = single.process_by_number[0]
    with single.refused_writes(0):
        with pytest.raises(TimeoutError):
            await single.publish(0, 8, 0.5)
    async with asyncio.timeout(EXIT_WITHIN_S):
        assert await process.wait() != 0


@pytest.fixture
async def three(tmp_path):
    running = control_processes.Controls(tmp_path, 3)
    for number in range(3):
        await running.start(number)
    yield running
    await running.close()


async def test_group_works_after_each_disk_was_full_in_turn(three):
    """Fault: replicas whose disks had been full took part no more.

    Load: one disk after the other is full for a while, never two at once,
    and twice on each machine.
    """
    version = 7
    await three.publish(0, version, FORMED_WITHIN_S)
    for number in [0, 1, 2, 2, 0, 1]:
        with three.refused_writes(number):
            for _ in range(3):
                version += 1
                await three.publish((number + 1) % 3, version, 4.0)
                await asyncio.sleep(0.3)
        await asyncio.sleep(1.5)
    await three.kill(0)
    # Two replicas are left: a change needs both.
    await three.publish(1, version + 1, 4.0)
    await three.publish(2, version + 2, 4.0)
