"""Connects to a sample of backend servers when reaching them is in doubt."""

import asyncio
import random

from oriolejunction import backends
from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction.controllers import reachability
from oriolejunction.http import backend_connection
from oriolejunction.http import connection_pool

CONNECT_TIMEOUT_MS = 50.0
CONNECT_TRIES = 2
# While no server is reached, a sample is connected to this often.
RECHECK_INTERVAL_MS = 250.0


class IsolationCheck:
    """Tells whether this instance reaches no backend server at all."""

    def __init__(
        self,
        clock: clocks.Clock,
        blackboard: blackboards.Blackboard,
        pool: connection_pool.ConnectionPool,
        reached: reachability.Reachability,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._blackboard = blackboard
        self._pool = pool
        self._reached = reached
        self._rng = rng
        self._sample_task: asyncio.Task | None = None
        self._recheck_task: asyncio.Task | None = None

    @property
    def is_isolated(self) -> bool:
        """Return what is known now, without any connection."""
        return self._reached.is_isolated

    async def check(self) -> bool:
        """Return whether this instance is isolated; sample if in doubt."""
        if self._reached.is_in_doubt and not self._reached.is_isolated:
            if self._sample_task is None or self._sample_task.done():
                self._sample_task = asyncio.create_task(self._sample())
            # Others may wait for the same sample.
            await asyncio.shield(self._sample_task)
        return self._reached.is_isolated

    async def close(self) -> None:
        """End the tasks."""
        tasks = [t for t in (self._sample_task, self._recheck_task) if t]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _sample(self) -> None:
        began_ms = self._clock.now_ms()
        servers = self._reached.sample(
            self._blackboard.backends.read().by_id.values(), self._rng
        )
        await self._connect_to_any(servers, began_ms)
        self._reached.confirm(len(servers), began_ms)
        if self._reached.is_isolated and (
            self._recheck_task is None or self._recheck_task.done()
        ):
            self._recheck_task = asyncio.create_task(self._recheck())

    async def _recheck(self) -> None:
        while self._reached.is_isolated:
            await self._clock.sleep_ms(RECHECK_INTERVAL_MS)
            await self._sample()

    async def _connect_to_any(
        self, servers: list[backends.Backend], began_ms: float
    ) -> None:
        """Return once a connection was opened, or all have failed."""
        tasks = {
            asyncio.create_task(self._connect(each.address))
            for each in servers
        }
        try:
            while tasks and not self._reached.has_connected_since(began_ms):
                _, tasks = await asyncio.wait(
                    tasks, return_when=asyncio.FIRST_COMPLETED
                )
        finally:
            for task in tasks:
                task.cancel()

    async def _connect(self, address: str) -> None:
        try:
            connection = await self._pool.connect(
                address, CONNECT_TIMEOUT_MS, CONNECT_TRIES
            )
        except backend_connection.RequestNotSent:
            return
        self._pool.release(connection)
