"""Listeners and background tasks that all nodes of a deployment share."""

import asyncio
import collections
import collections.abc
import pathlib
import random

from aiohttp import web
import aioprometheus
import structlog

from oriolejunction import clock as clocks
from oriolejunction.controllers.overload import arrivals
from oriolejunction.http import guarded_connection
from oriolejunction.http import listener_guard
from oriolejunction.http import node_status
from oriolejunction.peers import listing_store
from oriolejunction import routing_table
from oriolejunction import settings as addresses
from oriolejunction import settings_file
from oriolejunction import supervision

# Time for operators' requests in flight when a node stops; a request that
# never arrives completely must not delay the exit.
CLOSE_TIMEOUT_S = 0.3
# Of a listener for readiness, or metrics and status: its clients are few.
INTERNAL_LIMITS = arrivals.ArrivalLimits(
    max_connections=32, max_arriving=16, max_bytes=1 << 20
)
_log = structlog.get_logger(__name__)


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
        self._guards: list[listener_guard.ListenerGuard] = []

    def spawn(self, work: supervision.Work) -> None:
        """Run a background task, restarted on failure, until `close`."""
        task = asyncio.create_task(
            supervision.run_supervised(work, self.clock)
        )
        self._tasks.append(task)

    async def listen(
        self,
        name: str,
        runner: web.BaseRunner,
        address: str,
        limits: arrivals.ArrivalLimits = INTERNAL_LIMITS,
        caller_limits: listener_guard.CallerLimitsSource = (
            routing_table.CallerLimits
        ),
    ) -> web.BaseSite:
        """Serve at ``IP:PORT``; `name` stands in logs and metrics."""
        host, port = addresses.split_address(address)
        await runner.setup()
        guard = listener_guard.ListenerGuard(name, limits, caller_limits)
        site = listener_guard.GuardedSite(runner, host, port, guard)
        await site.start()
        self._runners.append(runner)
        if not self._guards:
            self.spawn(self._sweep_connections)
        self._guards.append(guard)
        return site

    async def _sweep_connections(self) -> None:
        while True:
            await self.clock.sleep_ms(listener_guard.SWEEP_INTERVAL_MS)
            for guard in self._guards:
                guard.sweep()

    def _connections_closed(self) -> dict[str, collections.Counter[str]]:
        """Return how many connections each listener has closed, and why."""
        return {each.name: each.closed_by_reason for each in self._guards}

    async def serve_status(
        self, registry: aioprometheus.Registry, status: node_status.Status
    ) -> None:
        """Serve metrics and status where the settings give an address."""
        address = self.settings_file.current.metrics_listen
        if address is not None:
            app = node_status.application(
                registry,
                status,
                lambda: self.dropped_log_lines(),
                self._connections_closed,
            )
            await self.listen("status", internal_runner(app), address)

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
        _log.info("listeners closed", tasks=len(self._tasks))
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        _log.info("tasks ended")


def internal_runner(app: web.Application) -> web.AppRunner:
    """Return a runner for a listener that doesn't serve callers."""
    return web.AppRunner(
        app,
        access_log=None,
        shutdown_timeout=CLOSE_TIMEOUT_S,
        lingering_time=guarded_connection.LINGER_S,
        read_bufsize=listener_guard.READ_BYTES,
    )
