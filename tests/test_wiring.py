"""Background tasks of an instance outlive their failures."""

import asyncio
import errno

from oriolejunction import demonstration
from oriolejunction import local_deployment
from oriolejunction.peers import raft_formation


async def test_group_is_formed_after_its_task_failed(monkeypatch):
    """Fault: a full disk ended the task that forms and repairs the group."""
    run = raft_formation.GroupFormation.run
    failed = set()

    async def fail_once(formation):
        if formation not in failed:
            failed.add(formation)
            raise OSError(errno.ENOSPC, "no space left on device")
        await run(formation)

    monkeypatch.setattr(raft_formation.GroupFormation, "run", fail_once)
    async with asyncio.timeout(20.0):
        async with local_deployment.run_deployment() as deployment:
            await demonstration.apply_sample_config(deployment)
            assert len(failed) == 3
