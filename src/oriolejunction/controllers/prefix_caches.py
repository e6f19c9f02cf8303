"""Estimate which prompt prefixes engines have in their KV cache.

The estimate relies on the cache events of engines. Events may be late or
missing, so each block is a hint whose weight decays with its age, and a gap
in the event numbers lowers the trust in all hints on an engine. Dispatches
of this instance also count as hints until events confirm them.
"""

import collections
import dataclasses

from oriolejunction import clock as clocks
from oriolejunction import engine_protocol
from oriolejunction import ids

HINT_HALF_LIFE_MS = 60_000.0
TRUST_AFTER_GAP = 0.5
TRUST_RECOVERY = 0.05
MAX_BLOCKS = 20_000


@dataclasses.dataclass
class EngineCache:
    """Blocks that an engine probably stores, with the time of each hint."""

    incarnation: str = ""
    last_number: int = 0
    trust: float = 1.0
    seen_at_ms_by_block: collections.OrderedDict[int, float] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )

    def store(self, block: int, now_ms: float) -> None:
        """Add a block; drop the oldest if there are more than `MAX_BLOCKS`."""
        self.seen_at_ms_by_block[block] = now_ms
        self.seen_at_ms_by_block.move_to_end(block)
        if len(self.seen_at_ms_by_block) > MAX_BLOCKS:
            self.seen_at_ms_by_block.popitem(last=False)


class PrefixCaches:
    """Hints on the prefix caches of all engines, by engine."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._cache_by_id: dict[ids.EngineId, EngineCache] = {}

    def last_number(self, engine_id: ids.EngineId) -> int:
        """Return the number of the last event applied, 0 for none.

        The engine is asked for the events after it.
        """
        cache = self._cache_by_id.get(engine_id)
        return cache.last_number if cache else 0

    def observe(
        self, engine_id: ids.EngineId, reported: engine_protocol.CacheEvents
    ) -> None:
        """Apply reported cache events.

        A new incarnation discards all hints on the engine.
        """
        cache = self._cache_by_id.setdefault(engine_id, EngineCache())
        if reported.incarnation != cache.incarnation:
            cache = EngineCache(incarnation=reported.incarnation)
            self._cache_by_id[engine_id] = cache
        for event in reported.events:
            self._apply(cache, event)

    def record_dispatch(
        self, engine_id: ids.EngineId, blocks: tuple[int, ...]
    ) -> None:
        """Record that an engine will prefill and cache a prompt."""
        cache = self._cache_by_id.setdefault(engine_id, EngineCache())
        now_ms = self._clock.now_ms()
        for block in blocks:
            cache.store(block, now_ms)

    def cached_blocks(
        self, engine_id: ids.EngineId, blocks: tuple[int, ...]
    ) -> float:
        """Return the expected number of leading blocks that are cached."""
        cache = self._cache_by_id.get(engine_id)
        if cache is None:
            return 0.0
        now_ms = self._clock.now_ms()
        expected = 0.0
        weight = cache.trust
        for block in blocks:
            seen_at_ms = cache.seen_at_ms_by_block.get(block)
            if seen_at_ms is None:
                break
            age = (now_ms - seen_at_ms) / HINT_HALF_LIFE_MS
            expected += weight * 0.5**age
        return expected

    def _apply(
        self, cache: EngineCache, event: engine_protocol.CacheEvent
    ) -> None:
        if event.number <= cache.last_number:
            return
        if event.number > cache.last_number + 1:
            cache.trust *= TRUST_AFTER_GAP
        else:
            cache.trust += TRUST_RECOVERY * (1.0 - cache.trust)
        cache.last_number = event.number
        now_ms = self._clock.now_ms()
        for block in event.stored:
            cache.store(block, now_ms)
        for block in event.dropped:
            cache.seen_at_ms_by_block.pop(block, None)
