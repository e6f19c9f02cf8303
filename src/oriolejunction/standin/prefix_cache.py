"""Bounded prefix cache of a stand-in engine, with delayed, lossy events."""

import collections
import random
import time

from oriolejunction import engine_protocol

MAX_EVENTS = 4_096


class PrefixCache:
    """LRU cache of blocks; its events become visible `lag_ms` late.

    Each event is lost with the probability `event_loss`, which leaves a gap
    in the event numbers.
    """

    def __init__(
        self, capacity_blocks: int, lag_ms: float, event_loss: float, seed: str
    ) -> None:
        self._capacity_blocks = capacity_blocks
        self._lag_ms = lag_ms
        self._event_loss = event_loss
        self._rng = random.Random(seed)
        self._blocks: collections.OrderedDict[int, None]
        self._blocks = collections.OrderedDict()
        self._events: collections.deque[
            tuple[float, engine_protocol.CacheEvent]
        ] = collections.deque(maxlen=MAX_EVENTS)
        self._last_event_number = 0

    def store(self, blocks: tuple[int, ...]) -> int:
        """Store the blocks of a prompt; return how many were cached."""
        cached = 0
        while cached < len(blocks) and blocks[cached] in self._blocks:
            cached += 1
        stored = tuple(b for b in blocks if b not in self._blocks)
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        dropped = []
        while len(self._blocks) > self._capacity_blocks:
            dropped.append(self._blocks.popitem(last=False)[0])
        if stored or dropped:
            self._record_event(stored, tuple(dropped))
        return cached

    def clear(self) -> None:
        """Drop all blocks and events, as a restart does."""
        self._blocks.clear()
        self._events.clear()
        self._last_event_number = 0

    def events_since(
        self, number: int
    ) -> tuple[engine_protocol.CacheEvent, ...]:
        """Return the visible events with a higher number."""
        until_ms = _now_ms() - self._lag_ms
        return tuple(
            event
            for at_ms, event in self._events
            if event.number > number and at_ms <= until_ms
        )

    def _record_event(
        self, stored: tuple[int, ...], dropped: tuple[int, ...]
    ) -> None:
        self._last_event_number += 1
        if self._rng.random() < self._event_loss:
            return
        event = engine_protocol.CacheEvent(
            self._last_event_number, stored, dropped
        )
        self._events.append((_now_ms(), event))


def _now_ms() -> float:
    return time.monotonic() * 1000.0
