"""The platform's list as held by one process, and how old it is."""

import hashlib

import msgspec

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction import fleet_messages as fm

_encode = msgspec.msgpack.Encoder().encode


class ListingStore:
    """Keeps the list that was read last, by whomever."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.backends: tuple[backends.Backend, ...] = ()
        self.digest = ""
        self.read_at_ms = float("-inf")

    @property
    def age_ms(self) -> float:
        """Return how long ago the list was read."""
        return self._clock.now_ms() - self.read_at_ms

    def store_fetched(self, found: tuple[backends.Backend, ...]) -> bool:
        """Keep a list read just now; return whether it differs."""
        # The rest of a cold start passes by itself and is no news.
        steady = [msgspec.structs.replace(b, cold_ms=0.0) for b in found]
        digest = hashlib.sha256(_encode(steady)).hexdigest()[:16]
        changed = digest != self.digest
        self.backends = found
        self.digest = digest
        self.read_at_ms = self._clock.now_ms()
        return changed

    def store_received(self, listing: fm.ListingSnapshot | None) -> bool:
        """Keep a list that another process read; return if it differs.

        One that was read earlier than the list held is dropped.
        """
        if listing is None:
            return False
        read_at_ms = self._clock.now_ms() - listing.age_ms
        if read_at_ms <= self.read_at_ms:
            return False
        if listing.backends is None:
            if listing.digest == self.digest:
                self.read_at_ms = read_at_ms
            return False
        changed = listing.digest != self.digest
        self.backends = listing.backends
        self.digest = listing.digest
        self.read_at_ms = read_at_ms
        return changed

    def snapshot(self, known_digest: str) -> fm.ListingSnapshot | None:
        """Return the list for another process that holds a digest."""
        if not self.digest:
            return None
        known = known_digest == self.digest
        return fm.ListingSnapshot(
            self.age_ms, self.digest, None if known else self.backends
        )
