"""Listeners that a composition root sets after construction."""

import collections.abc

OnChange = collections.abc.Callable[[], None]


def no_op() -> None:
    """Do nothing; the default listener."""
