"""Polls the platform's list of backend servers.

The control leader reads the list and distributes it. A process whose copy
is stale, because the leader is partitioned or absent, reads the list itself.

Load pattern: after a power loss hundreds of processes start at once with no
copy. One without a routing table serves nobody, and the control replica that
sends it the table sends the list too, so it leaves the platform alone.
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

# Two reads a second use little of the time within which a leaving backend
# server must stop receiving work.
READ_INTERVAL_MS = 500.0
# The leader's reads reach every process well before its copy is this old.
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
        is_primary: collections.abc.Callable[[], bool] | None,
        is_needed: collections.abc.Callable[[], bool],
        on_change: listeners.OnChange,
        rng: random.Random,
        term: collections.abc.Callable[[], int | None] = lambda: None,
    ) -> None:
        """Create a poller; `term` is that of this process as leader."""
        """Create the poller; `is_primary` is None if it never is."""
        self._clock = clock
        self._store = store
        self._fetch = fetch
        self._is_primary = is_primary
        self._is_needed = is_needed
        self._on_change = on_change
        self._rng = rng
        self._term = term
        self._reachable = True

    async def run(self) -> None:
        """Poll the list until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                if self._is_primary is not None and self._is_primary():
                    await self._fetch_list(session)
                    await self._clock.sleep_ms(READ_INTERVAL_MS)
                elif self._is_stale() and self._is_needed():
                    await self._fetch_list(session)
                    jitter = self._rng.uniform(0.8, 1.2)
                    await self._clock.sleep_ms(BACKUP_INTERVAL_MS * jitter)
                else:
                    await self._clock.sleep_ms(self._check_in_ms())

    def _check_in_ms(self) -> float:
        """Return when the list may have to be read, at the earliest."""
        if self._is_primary is not None:
            return CHECK_INTERVAL_MS
        return max(CHECK_INTERVAL_MS, STALE_AFTER_MS - self._store.age_ms)

    def _is_stale(self) -> bool:
        return self._store.age_ms > STALE_AFTER_MS

    async def _fetch_list(self, session: aiohttp.ClientSession) -> None:
        term = self._term()
        try:
            fetched = await self._fetch(session)
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
            _log.info("list of backend servers regained", count=len(fetched))
        self._reachable = True
        # One that led as the read began, and still leads.
        if term != self._term():
            term = None
        if self._store.store_fetched(fetched, term or 0):
            _log.info(
                "backend servers changed",
                count=len(fetched),
                leaving=sum(each.leaving for each in fetched),
            )
        self._on_change()
