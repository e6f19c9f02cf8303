"""The log in memory: entries after a base index, and memberships."""

import bisect
import collections.abc

from oriolejunction.consensus import types
from oriolejunction import invariants


class Log:
    """Entries after `base_index`; a snapshot covers the earlier ones."""

    def __init__(
        self,
        membership: types.Membership,
        membership_index: int = 0,
        base_index: int = 0,
        base_term: int = 0,
        entries: collections.abc.Iterable[types.Entry] = (),
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[types.Entry] = []
        self._memberships = [(membership_index, membership)]
        self.append(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.term_at(self.last_index)

    @property
    def membership(self) -> types.Membership:
        """Return the latest membership, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Return the index of the latest membership."""
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> tuple[int, types.Membership]:
        """Return the latest membership up to `index`, after its own index."""
        position = bisect.bisect_right(
            self._memberships, index, key=lambda pair: pair[0]
        )
        return self._memberships[max(0, position - 1)]

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None outside this log."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entry(self, index: int) -> types.Entry:
        """Return the entry at `index`, which must be in this log."""
        return self._entries[index - self.base_index - 1]

    def entries_from(
        self, start: int, count: int, max_bytes: int
    ) -> tuple[types.Entry, ...]:
        """Return up to `count` entries from `start` on.

        At least one is returned, where there is one, even if its command
        exceeds `max_bytes`.
        """
        chosen = []
        size = 0
        first = start - self.base_index - 1
        for entry in self._entries[first : first + count]:
            size += len(entry.command or b"")
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def entries_after(self, index: int) -> tuple[types.Entry, ...]:
        """Return all entries after `index`."""
        return tuple(self._entries[index - self.base_index :])

    def append(self, entries: collections.abc.Iterable[types.Entry]) -> None:
        """Append entries, which must follow the last one."""
        for entry in entries:
            invariants.require(
                "log_is_contiguous",
                entry.index == self.last_index + 1,
                last=self.last_index,
                index=entry.index,
            )
            self._entries.append(entry)
            if (
                entry.membership is not None
                and entry.index > self.membership_index
            ):
                self._memberships.append((entry.index, entry.membership))

    def truncate(self, index: int) -> None:
        """Drop the entries from `index` on."""
        del self._entries[index - self.base_index - 1 :]
        while len(self._memberships) > 1 and self.membership_index >= index:
            self._memberships.pop()

    def compact(self, index: int) -> None:
        """Drop the entries up to `index`, which a snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        base_membership = self.membership_at(index)
        later = [pair for pair in self._memberships if pair[0] > index]
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
        self._memberships = [base_membership, *later]

    def reset(self, snapshot: types.Snapshot) -> None:
        """Drop all entries and continue after a snapshot."""
        self._entries.clear()
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self._memberships = [(snapshot.membership_index, snapshot.membership)]
