"""How many records go into one call with a constant time limit.

Load pattern: records pile up while their receiver is lost or a link is full.
A batch of all of them may need longer than the limit of the call, and would
then be sent in vain again and again.
"""


class BatchLimit:
    """A limit that falls while calls fail, and rises again afterwards."""

    def __init__(self, most: int) -> None:
        self._most = most
        self.current = most

    def record(self, count: int, is_answered: bool) -> None:
        """Adapt the limit to the outcome of a call with `count` records."""
        if is_answered:
            more = self.current // 8 + 1
            self.current = min(self._most, self.current + more)
        else:
            self.current = max(1, count // 2)
