"""Sums by backend server that tell what changed since a change number.

Load pattern: hundreds of entry instances watch the sums, of which a few change
at a time.
"""

import collections.abc

from oriolejunction.controllers import report_counts
from oriolejunction import ids

# Backend servers without work are retained, so that watching instances learn
# that the work ended; each takes a few hundred bytes.
MAX_IDLE_BACKENDS = 512


class ChangeTrackedSums:
    """Sums by backend server, in the order of their last change."""

    def __init__(self) -> None:
        self._total_by_id: dict[ids.BackendId, list[int]] = {}
        self._changed_by_id: dict[ids.BackendId, int] = {}
        self._idle: set[ids.BackendId] = set()

    def replace(
        self,
        before: dict[ids.BackendId, report_counts.Counts],
        after: dict[ids.BackendId, report_counts.Counts],
        number: int,
    ) -> None:
        """Replace the counts of one instance by its new ones."""
        if before is after:
            return
        for key in {key for key, _ in before.items() ^ after.items()}:
            old, new = before.get(key), after.get(key)
            counts = old or new
            total = self._total_by_id.setdefault(key, [0] * len(counts))
            for index in range(len(counts)):
                total[index] += new[index] if new else 0
                total[index] -= old[index] if old else 0
            self._changed_by_id.pop(key, None)
            self._changed_by_id[key] = number
            if any(total):
                self._idle.discard(key)
            else:
                self._idle.add(key)

    def changed_since(
        self, number: int, own: dict[ids.BackendId, report_counts.Counts]
    ) -> collections.abc.Iterator[tuple[ids.BackendId, list[int]]]:
        """Yield the sums that changed after a change number, less `own`."""
        for key, changed in reversed(self._changed_by_id.items()):
            if changed <= number:
                return
            total = self._total_by_id[key]
            own_counts = own.get(key, (0,) * len(total))
            yield key, [a - b for a, b in zip(total, own_counts, strict=True)]

    def drop_idle(self) -> bool:
        """Drop all idle backend servers once there are too many.

        Return whether they were dropped.
        """
        if len(self._idle) <= MAX_IDLE_BACKENDS:
            return False
        for key in self._idle:
            del self._total_by_id[key]
            del self._changed_by_id[key]
        self._idle.clear()
        return True
