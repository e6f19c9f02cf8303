"""One reader of the platform's list, and who reads while it cannot.

The control leader reads and tells the others. A process whose copy has
grown old, because the leader is cut off or there is none, reads by itself.
"""

import collections.abc
import random

import aiohttp
import structlog

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction import errors
from oriolejunction import listeners
from oriolejunction.peers import listing_store

# Two reads a second leave most of the bound on leaving servers unused.
READ_INTERVAL_MS = 500.0
# Reads by the leader reach everyone well within this age.
STALE_AFTER_MS = 1_600.0
BACKUP_INTERVAL_MS = 700.0
CHECK_INTERVAL_MS = 100.0
_log = structlog.get_logger(__name__)

Fetch = collections.abc.Callable[
    [aiohttp.ClientSession],
    collections.abc.Awaitable[tuple[backends.Backend, ...]],
]


class ListPoller:
    """Keeps a listing store up to date."""

    def __init__(
        self,
        clock: clocks.Clock,
        store: listing_store.ListingStore,
        fetch: Fetch,
        is_primary: collections.abc.Callable[[], bool],
        on_change: listeners.OnChange,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._store = store
        self._fetch = fetch
        self._is_primary = is_primary
        self._on_change = on_change
        self._rng = rng
        self._reachable = True

    async def run(self) -> None:
        """Read for as long as the process lives."""
        async with aiohttp.ClientSession() as session:
            while True:
                if self._is_primary():
                    await self._fetch_list(session)
                    await self._clock.sleep_ms(READ_INTERVAL_MS)
                elif self._store.age_ms > STALE_AFTER_MS:
                    await self._fetch_list(session)
                    spread = self._rng.uniform(0.8, 1.2)
                    await self._clock.sleep_ms(BACKUP_INTERVAL_MS * spread)
                else:
                    await self._clock.sleep_ms(CHECK_INTERVAL_MS)

    async def _fetch_list(self, session: aiohttp.ClientSession) -> None:
        try:
            found = await self._fetch(session)
        except errors.Failure as failure:
            if self._reachable:
                _log.warning(
                    "list of backend servers lost",
                    why=failure.error.message,
                    age_ms=clocks.round_age_ms(self._store.age_ms),
                )
            self._reachable = False
            return
        if not self._reachable:
            _log.info("list of backend servers regained", count=len(found))
        self._reachable = True
        if self._store.store_fetched(found):
            _log.info(
                "backend servers changed",
                count=len(found),
                leaving=sum(each.leaving for each in found),
            )
        self._on_change()
