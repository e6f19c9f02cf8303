"""Starts and kills servers, which run as processes of their own."""

import asyncio
import os
import sys

from standins import deployment as deployments


class EngineProcess:
    """One server at an address that it keeps over restarts."""

    def __init__(
        self,
        site: deployments.Deployment,
        number: int,
        service: str,
    ) -> None:
        self.name = f"i-{service}-{number}"
        self.address = f"{site.ip(100 + number)}:{site.server}"
        self._site = site
        self._process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task | None = None
        # Called with each line that the server tells.
        self.on_line = lambda engine, line: None
        site.listed.append(
            {
                "id": self.name,
                "service": service,
                "address": self.address,
                "zone": deployments.ZONES[number % len(deployments.ZONES)],
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "coldRemainingMs": 0,
            }
        )

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        ip, _, port = self.address.rpartition(":")
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "standins.engine", ip, port, self.name),
            cwd=deployments.ROOT / "review",
            stdout=asyncio.subprocess.PIPE,
            env={"PATH": os.environ.get("PATH", "")},
        )
        await self._process.stdout.readline()
        self._site.record.add(f"{self.name} listens")
        self._reader = asyncio.create_task(self._read(self._process.stdout))

    async def _read(self, stdout: asyncio.StreamReader) -> None:
        while line := (await stdout.readline()).decode().strip():
            self._site.record.add(f"{self.name}: {line}")
            self.on_line(self, line)

    def kill(self) -> None:
        """Crash the process at once."""
        self._process.kill()
        self._site.record.add(f"{self.name} crashes")

    async def close(self) -> None:
        """End the process, if it runs."""
        if self._process is not None:
            if self._process.returncode is None:
                self._process.kill()
            await self._process.wait()
            await self._reader
