"""One process's copy of the platform's list, and its age."""

import hashlib

import msgspec

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction import fleet_messages as fm

_NO_ORDER = (0, 0)
_encode = msgspec.msgpack.Encoder().encode


class ListingStore:
    """Stores the most recent list, whichever process read it."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.backends: tuple[backends.Backend, ...] = ()
        self.digest = ""
        self.read_at_ms = float("-inf")
        # Term and number of the stored list, see `ListingSnapshot`.
        self._order = _NO_ORDER
        self._reads = 0

    @property
    def age_ms(self) -> float:
        """Return how long ago the list was read."""
        return self._clock.now_ms() - self.read_at_ms

    def store_fetched(
        self, fetched: tuple[backends.Backend, ...], term: int = 0
    ) -> bool:
        """Store a list read just now; return whether it changed.

        `term` is that of this process as control leader.
        """
        self._reads += 1
        self._order = (term, self._reads) if term else _NO_ORDER
        # The remaining cold start time falls by itself: not a change.
        without_cold_ms = [
            msgspec.structs.replace(each, cold_ms=0.0) for each in fetched
        ]
        digest = hashlib.sha256(_encode(without_cold_ms)).hexdigest()[:16]
        changed = digest != self.digest
        self.backends = fetched
        self.digest = digest
        self.read_at_ms = self._clock.now_ms()
        return changed

    def store_received(self, listing: fm.ListingSnapshot | None) -> bool:
        """Store a list another process read; return whether it changed.

        A list that was read earlier than the stored one is ignored. Its age
        is too low if its sender was paused, so its order counts first.
        """
        if listing is None:
            return False
        order = (listing.term, listing.number)
        has_orders = _NO_ORDER not in (order, self._order)
        if has_orders and order <= self._order:
            return False
        read_at_ms = self._clock.now_ms() - listing.age_ms
        if read_at_ms <= self.read_at_ms:
            return False
        if listing.backends is None:
            if listing.digest == self.digest:
                self.read_at_ms = read_at_ms
                self._order = order
            return False
        changed = listing.digest != self.digest
        self.backends = listing.backends
        self.digest = listing.digest
        self.read_at_ms = read_at_ms
        self._order = order
        return changed

    def listed_in(
        self, listing: fm.ListingSnapshot | None
    ) -> tuple[backends.Backend, ...]:
        """Return the servers on a received list, as far as they are known."""
        if listing is None:
            return ()
        if listing.backends is not None:
            return listing.backends
        return self.backends if listing.digest == self.digest else ()

    def snapshot(self, known_digest: str) -> fm.ListingSnapshot | None:
        """Return the list for a process whose copy has `known_digest`.

        If that copy is current, the backend servers are left out.
        """
        if not self.digest:
            return None
        known = known_digest == self.digest
        return fm.ListingSnapshot(
            self.age_ms,
            self.digest,
            None if known else self.backends,
            *self._order,
        )
