"""What engines probably hold of prompt prefixes, from cache events.

Events come late and with gaps: what they tell is a hint whose weight falls
with its age, and a gap lowers the trust in all that is known of an engine.
Own dispatches are hints too, until events can confirm them.
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
    """Blocks that an engine was seen to store, with the time of the hint."""

    incarnation: str = ""
    last_number: int = 0
    trust: float = 1.0
    seen_at_ms_by_block: collections.OrderedDict[int, float] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )

    def store(self, block: int, now_ms: float) -> None:
        """Note a block, forgetting the oldest where there are too many."""
        self.seen_at_ms_by_block[block] = now_ms
        self.seen_at_ms_by_block.move_to_end(block)
        if len(self.seen_at_ms_by_block) > MAX_BLOCKS:
            self.seen_at_ms_by_block.popitem(last=False)


class PrefixCaches:
    """Hints on the prefix caches of all engines."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._cache_by_id: dict[ids.EngineId, EngineCache] = {}

    def last_number(self, engine_id: ids.EngineId) -> int:
        """Return the number of the last event seen, to ask for the next."""
        cache = self._cache_by_id.get(engine_id)
        return cache.last_number if cache else 0

    def observe(
        self, engine_id: ids.EngineId, told: engine_protocol.CacheEvents
    ) -> None:
        """Take in events; a restart forgets, a gap lowers the trust."""
        cache = self._cache_by_id.setdefault(engine_id, EngineCache())
        if told.incarnation != cache.incarnation:
            cache = EngineCache(incarnation=told.incarnation)
            self._cache_by_id[engine_id] = cache
        for event in told.events:
            self._apply(cache, event)

    def record_dispatch(
        self, engine_id: ids.EngineId, blocks: tuple[int, ...]
    ) -> None:
        """Note that an engine is about to compute and store a prompt."""
        cache = self._cache_by_id.setdefault(engine_id, EngineCache())
        now_ms = self._clock.now_ms()
        for block in blocks:
            cache.store(block, now_ms)

    def cached_blocks(
        self, engine_id: ids.EngineId, blocks: tuple[int, ...]
    ) -> float:
        """Return how many leading blocks are expected to be cached."""
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
