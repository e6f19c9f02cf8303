"""Records by id, of which the oldest are dropped first.

They are stored in generations by age: after many removals, a dict takes a
time that grows with its size to find its oldest entry.
"""

import collections.abc
import typing

import msgspec

from oriolejunction import clock as clocks

Value = typing.TypeVar("Value")

GENERATIONS = 8
# Memory of a record besides the text of its id, with its part of a dict.
RECORD_BYTES = 176


class _Generation(msgspec.Struct, typing.Generic[Value]):
    started_ms: float
    last_put_ms: float
    value_by_id: dict[str, Value]
    size_bytes: int = 0


def _size_bytes(record_id: str) -> int:
    return RECORD_BYTES + len(record_id)


class AgedRecords(typing.Generic[Value]):
    """Small values by id, each kept for `kept_ms` or an eighth longer.

    `size_bytes` is an upper estimate of the memory of all records.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        kept_ms: collections.abc.Callable[[], float],
    ) -> None:
        self._clock = clock
        self._kept_ms = kept_ms
        self.size_bytes = 0
        # The newest one last.
        self._generations: list[_Generation[Value]] = []

    def put(self, record_id: str, value: Value) -> bool:
        """Set the value of an id; return whether its age begins anew.

        The age of a record that was put a short time ago stays the same.
        """
        self._drop_expired()
        now_ms = self._clock.now_ms()
        newest = self._newest(now_ms)
        newest.last_put_ms = now_ms
        if record_id in newest.value_by_id:
            newest.value_by_id[record_id] = value
            return False
        self.remove(record_id)
        newest.value_by_id[record_id] = value
        self._add_size(newest, _size_bytes(record_id))
        return True

    def get(self, record_id: str) -> Value | None:
        """Return the value of an id, None without one."""
        self._drop_expired()
        for generation in reversed(self._generations):
            value = generation.value_by_id.get(record_id)
            if value is not None:
                return value
        return None

    def remove(self, record_id: str) -> None:
        """Remove an id, if it is known."""
        for generation in reversed(self._generations):
            if generation.value_by_id.pop(record_id, None) is not None:
                self._add_size(generation, -_size_bytes(record_id))
                return

    def remove_oldest(self) -> bool:
        """Remove a record of the oldest generation; return if there is any."""
        while self._generations:
            oldest = self._generations[0]
            if oldest.value_by_id:
                record_id, _ = oldest.value_by_id.popitem()
                self._add_size(oldest, -_size_bytes(record_id))
                return True
            del self._generations[0]
        return False

    def items(self) -> collections.abc.Iterator[tuple[str, Value]]:
        """Return all ids and values, the oldest first."""
        self._drop_expired()
        for generation in self._generations:
            yield from generation.value_by_id.items()

    def _newest(self, now_ms: float) -> _Generation[Value]:
        width_ms = self._kept_ms() / GENERATIONS
        if (
            not self._generations
            or now_ms - self._generations[-1].started_ms > width_ms
        ):
            self._generations.append(_Generation(now_ms, now_ms, {}))
        return self._generations[-1]

    def _add_size(self, generation: _Generation, size_bytes: int) -> None:
        generation.size_bytes += size_bytes
        self.size_bytes += size_bytes

    def _drop_expired(self) -> None:
        if not self._generations:
            return
        oldest_ms = self._clock.now_ms() - self._kept_ms()
        while self._generations and (
            self._generations[0].last_put_ms < oldest_ms
        ):
            self.size_bytes -= self._generations.pop(0).size_bytes
