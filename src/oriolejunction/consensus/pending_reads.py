"""Reads that wait until the core confirms that this replica leads."""

import asyncio
import collections.abc

from oriolejunction.consensus import core_state


class PendingReads:
    """The reads of one replica, by number."""

    def __init__(self) -> None:
        self._last_id = 0
        self._future_by_id: dict[int, asyncio.Future[int | None]] = {}

    def add(self) -> int:
        """Begin to wait for a read; return its number."""
        self._last_id += 1
        future = asyncio.get_running_loop().create_future()
        self._future_by_id[self._last_id] = future
        return self._last_id

    async def wait(self, read_id: int) -> int | None:
        """Return the log index to read at, None if this is no leader."""
        try:
            return await self._future_by_id[read_id]
        finally:
            del self._future_by_id[read_id]

    def finish(
        self, results: collections.abc.Iterable[core_state.ReadResult]
    ) -> None:
        """End the waits that the core has results for."""
        for result in results:
            future = self._future_by_id.get(result.read_id)
            if future is not None and not future.done():
                future.set_result(result.index)

    def fail(self) -> None:
        """End all waits: this replica does not lead."""
        for future in self._future_by_id.values():
            if not future.done():
                future.set_result(None)
