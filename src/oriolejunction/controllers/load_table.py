"""Own work on each backend server, as reported to other instances."""

import collections

import msgspec

from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import listeners


class LoadEntry(msgspec.Struct):
    """A stream on an engine, or its KV cache copy on another."""

    backend_id: ids.BackendId
    kv_tokens: int
    prefill_tokens: int
    is_kv_copy: bool = False


class LoadTable:
    """Streams and calls of this instance, summed by backend server."""

    def __init__(self) -> None:
        self._entry_by_key: dict[int, LoadEntry] = {}
        self._calls: collections.Counter[ids.BackendId]
        self._calls = collections.Counter()
        self._last_key = 0
        self.on_change: listeners.OnChange = listeners.no_op

    def begin(self, entry: LoadEntry) -> int:
        """Add an entry and return its key."""
        self._last_key += 1
        self._entry_by_key[self._last_key] = entry
        self.on_change()
        return self._last_key

    def mark_prefilled(self, key: int) -> None:
        """Record that the prefill of an entry has ended."""
        entry = self._entry_by_key.get(key)
        if entry is not None and entry.prefill_tokens:
            entry.prefill_tokens = 0
            self.on_change()

    def end(self, key: int | None) -> None:
        """Remove an entry that ended or was given up on."""
        if key is not None and self._entry_by_key.pop(key, None) is not None:
            self.on_change()

    def begin_call(self, backend_id: ids.BackendId) -> None:
        """Count a call to a plain service."""
        self._calls[backend_id] += 1

    def end_call(self, backend_id: ids.BackendId) -> None:
        """Count the end of a call to a plain service."""
        self._calls[backend_id] -= 1
        if not self._calls[backend_id]:
            del self._calls[backend_id]

    def calls(self, backend_id: ids.BackendId) -> int:
        """Return how many calls are open on a backend server."""
        return self._calls[backend_id]

    def loads(self) -> dict[ids.BackendId, fm.BackendLoad]:
        """Return the summed load of own streams by backend server."""
        sums: dict[ids.BackendId, list[int]] = {}
        for entry in self._entry_by_key.values():
            total = sums.setdefault(entry.backend_id, [0, 0, 0])
            total[0] += not entry.is_kv_copy
            total[1] += entry.kv_tokens
            total[2] += entry.prefill_tokens
        return {key: fm.BackendLoad(key, *sums[key]) for key in sums}
