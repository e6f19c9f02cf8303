"""Listeners and background tasks that all nodes of a deployment share."""

import asyncio
import collections.abc
import pathlib
import random

from aiohttp import web
import aioprometheus

from oriolejunction import clock as clocks
from oriolejunction.http import node_status
from oriolejunction.peers import listing_store
from oriolejunction import settings as addresses
from oriolejunction import settings_file
from oriolejunction import supervision

# Time for operators' requests in flight when a node stops; a request that
# never arrives completely must not delay the exit.
CLOSE_TIMEOUT_S = 0.3
LISTEN_BACKLOG = 1_024


class Node:
    """Base of entry instances and control replicas."""

    def __init__(self, path: pathlib.Path, settings_type: type) -> None:
        self.settings_file = settings_file.SettingsFile(path, settings_type)
        self.clock = clocks.SystemClock()
        self.rng = random.Random()
        self.listing = listing_store.ListingStore(self.clock)
        self.dropped_log_lines: collections.abc.Callable[[], int] = lambda: 0
        # Set if a part has failed without which the process must not go on.
        self.failed = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self._runners: list[web.BaseRunner] = []

    def spawn(self, work: supervision.Work) -> None:
        """Run a background task, restarted on failure, until `close`."""
        task = asyncio.create_task(
            supervision.run_supervised(work, self.clock)
        )
        self._tasks.append(task)

    async def listen(
        self, runner: web.BaseRunner, address: str
    ) -> web.TCPSite:
        """Serve at ``IP:PORT``."""
        host, port = addresses.split_address(address)
        await runner.setup()
        site = web.TCPSite(
            runner, host, port, backlog=LISTEN_BACKLOG, reuse_address=True
        )
        await site.start()
        self._runners.append(runner)
        return site

    async def serve_status(
        self, registry: aioprometheus.Registry, status: node_status.Status
    ) -> None:
        """Serve metrics and status where the settings give an address."""
        address = self.settings_file.current.metrics_listen
        if address is not None:
            app = node_status.application(
                registry, status, lambda: self.dropped_log_lines()
            )
            await self.listen(internal_runner(app), address)

    async def start(self) -> None:
        """Open the listeners; implemented by each role."""
        raise NotImplementedError

    async def drain(self) -> None:
        """Finish the work in flight; implemented by each role."""
        raise NotImplementedError

    async def close(self) -> None:
        """Close the listeners and end the tasks."""
        for runner in self._runners:
            await runner.cleanup()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def internal_runner(app: web.Application) -> web.AppRunner:
    """Return a runner for a listener that doesn't serve callers."""
    return web.AppRunner(
        app, access_log=None, shutdown_timeout=CLOSE_TIMEOUT_S
    )
