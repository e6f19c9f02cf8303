"""Real control processes whose disks refuse writes."""

import asyncio
import json
import os
import sys

import aiohttp
import pytest

from tests import full_disk
from tests import test_fleet_nodes

EXIT_WITHIN_S = 10.0
FORMED_WITHIN_S = 8.0


class Controls:
    """Control processes, each with a disk and an address of its own."""

    def __init__(self, folder, count):
        self._folder = folder
        self._seeds = test_fleet_nodes.SEEDS[:count]
        self.process_by_number = {}

    def disk(self, number):
        return self._folder / f"disk-{number}"

    async def start(self, number, first_start=True):
        ip = self._seeds[number]
        port = test_fleet_nodes.CONTROL_PORT
        path = test_fleet_nodes.settings(
            self._folder,
            f"core-{number}",
            ip=ip,
            operator_listen=f"{ip}:{port}",
            control_seeds=[f"{seed}:{port}" for seed in self._seeds],
            data_dir=str(self.disk(number)),
            first_start=first_start,
            losses_borne=(len(self._seeds) - 1) // 2,
        )
        self.process_by_number[number] = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "oriolejunction.node", "control"),
            str(path),
            stdout=asyncio.subprocess.DEVNULL,
            env={**os.environ, "PYTHONPATH": "src"},
        )

    async def close(self):
        for process in self.process_by_number.values():
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def publish(self, number, version, limit_s):
        """Publish a version until it is acknowledged."""
        ip = self._seeds[number]
        url = (
            f"http://{ip}:{test_fleet_nodes.CONTROL_PORT}"
            "/v1/Configuration.Replace"
        )
        content = test_fleet_nodes.document(version=version)
        async with asyncio.timeout(limit_s), aiohttp.ClientSession() as asker:
            while True:
                try:
                    async with asker.post(url, json=content) as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    async def voters(self, number):
        """Return the names of the voters as a process knows them."""
        ip = self._seeds[number]
        url = f"http://{ip}:{test_fleet_nodes.STATUS_PORT}/status"
        async with aiohttp.ClientSession() as asker:
            async with asker.get(url) as response:
                members = json.loads(await response.read())["members"]
        return {each["instance"] for each in members if each["votes"]}

    def refused_writes(self, number):
        return full_disk.refused_writes(
            process_id=self.process_by_number[number].pid
        )


@pytest.fixture
async def single(tmp_path):
    running = Controls(tmp_path, 1)
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
