"""Control replicas of a deployment as real processes, on loopback."""

import asyncio
import json
import os
import shutil
import signal
import sys

import aiohttp

from tests import full_disk
from tests import loopback
from tests import test_fleet_nodes

FORMED_WITHIN_S = 8.0


def address(number):
    """Return the IP address of a process; the first ones are the seeds."""
    return loopback.node_address(number + 1 if number < 3 else number + 20)


class Controls:
    """Control processes, each with a disk and an address of its own."""

    def __init__(self, folder, count):
        self._folder = folder
        self._count = count
        self._seeds = test_fleet_nodes.SEEDS[:count]
        self.process_by_number = {}

    def disk(self, number):
        return self._folder / f"disk-{number}"

    async def start(self, number, first_start=True):
        ip = address(number)
        port = test_fleet_nodes.CONTROL_PORT
        path = test_fleet_nodes.settings(
            self._folder,
            f"core-{number}",
            ip=ip,
            operator_listen=f"{ip}:{port}",
            control_seeds=[f"{seed}:{port}" for seed in self._seeds],
            data_dir=str(self.disk(number)),
            first_start=first_start,
            losses_borne=(self._count - 1) // 2,
        )
        self.process_by_number[number] = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "oriolejunction.node", "control"),
            str(path),
            stdout=asyncio.subprocess.DEVNULL,
            env={**os.environ, "PYTHONPATH": "src"},
        )

    async def stop(self, number):
        """Send SIGTERM and wait for the end."""
        await self._end(number, signal.SIGTERM)

    async def kill(self, number, wipes=False):
        """Kill a process, which loses its disk with `wipes`."""
        await self._end(number, signal.SIGKILL)
        if wipes:
            shutil.rmtree(self.disk(number))

    async def _end(self, number, signal_number):
        process = self.process_by_number.pop(number)
        process.send_signal(signal_number)
        await process.wait()

    async def close(self):
        for process in self.process_by_number.values():
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def publish(self, number, version, limit_s):
        """Publish a version until it is acknowledged."""
        ip = address(number)
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

    async def status(self, number):
        """Return what a process says of itself and its group."""
        url = f"http://{address(number)}:{test_fleet_nodes.STATUS_PORT}/status"
        async with aiohttp.ClientSession() as asker:
            async with asker.get(url) as response:
                return json.loads(await response.read())

    async def leader(self):
        """Return the number of the process that leads the group."""
        async with asyncio.timeout(FORMED_WITHIN_S):
            while True:
                for number in list(self.process_by_number):
                    if (await self.status(number))["leader_term"] is not None:
                        return number
                await asyncio.sleep(0.05)

    def refused_writes(self, number):
        return full_disk.refused_writes(
            process_id=self.process_by_number[number].pid
        )
