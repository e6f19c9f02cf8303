"""Listeners of changes.

Written here instead of taken from a library of observables, which took a
twentieth of a node's start and a lock for each notification.
"""

import collections.abc
import typing

Value = typing.TypeVar("Value")
OnChange = collections.abc.Callable[[], None]
Listener = collections.abc.Callable[[Value], object]


def no_op() -> None:
    """Do nothing; the default listener."""


class Changes(typing.Generic[Value]):
    """A stream of values to those who subscribed before."""

    def __init__(self) -> None:
        # Replaced, not changed: a listener may subscribe while it is called.
        self._listeners: tuple[Listener[Value], ...] = ()

    def subscribe(self, listener: Listener[Value]) -> OnChange:
        """Call `listener` with each value from now on.

        Returns the function that ends the subscription.
        """
        self._listeners += (listener,)

        def unsubscribe() -> None:
            self._listeners = tuple(
                each for each in self._listeners if each is not listener
            )

        return unsubscribe

    def notify(self, value: Value) -> None:
        """Call all listeners in the order in which they subscribed."""
        for listener in self._listeners:
            listener(value)
