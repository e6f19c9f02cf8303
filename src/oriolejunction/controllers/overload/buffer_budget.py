"""How many bytes an instance holds for others: bodies and unread answers.

Load pattern: callers send large bodies that wait for servers, or read their
answers slowly, while servers send on. Each connection is bounded by itself,
but an instance with 136 MB of memory serves hundreds of them. A workspace
whose callers do so must not take the memory of all others.

Bodies are refused once the budget is used up: nothing of the request has run.
Answers are not abandoned; while the budget is used up, less of each is taken
from the socket ahead of its caller, so that the server has to wait.
"""

import collections
import math

from oriolejunction import ids

# Part of the bodies' budget that one workspace may use.
WORKSPACE_FRACTION = 0.5
# Part of an instance's budget for bodies; the rest is for answers.
BODIES_FRACTION = 0.5


class BufferBudget:
    """Bytes held in all and by workspace, against one limit."""

    def __init__(self, limit_bytes: float = math.inf) -> None:
        self._limit_bytes = limit_bytes
        self._used_bytes = 0
        self._used_by_workspace: collections.Counter[ids.WorkspaceId]
        self._used_by_workspace = collections.Counter()

    @property
    def used_bytes(self) -> int:
        """Return the bytes that are held."""
        return self._used_bytes

    @property
    def is_exceeded(self) -> bool:
        """Return whether more is held than allowed."""
        return self._used_bytes > self._limit_bytes

    def add(self, count: int) -> None:
        """Count bytes that are held, or no longer if `count` is negative."""
        self._used_bytes += count

    def hold(self) -> "HeldBytes":
        """Return the account of one request."""
        return HeldBytes(self)

    def add_of(self, workspace: ids.WorkspaceId, count: int) -> bool:
        """Count bytes of a workspace; return whether it may hold them."""
        self._used_by_workspace[workspace] += count
        used = self._used_by_workspace[workspace]
        if not used:
            del self._used_by_workspace[workspace]
        return used <= WORKSPACE_FRACTION * self._limit_bytes


class HeldBytes:
    """Bytes held for one request, released at its end."""

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._count = 0
        self._workspace: ids.WorkspaceId | None = None

    def __enter__(self) -> "HeldBytes":
        return self

    def __exit__(self, *_: object) -> None:
        self._budget.add(-self._count)
        if self._workspace is not None:
            self._budget.add_of(self._workspace, -self._count)

    def add(self, count: int) -> bool:
        """Hold more bytes; return whether the budget allows them."""
        self._count += count
        self._budget.add(count)
        return not self._budget.is_exceeded

    def assign(self, workspace: ids.WorkspaceId) -> bool:
        """Charge a workspace; return whether it may hold the bytes."""
        self._workspace = workspace
        return self._budget.add_of(workspace, self._count)
