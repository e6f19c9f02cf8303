"""Bounds the waits of one task, one after another, by a single timer.

`asyncio.timeout` starts and cancels a timer for each wait. The waits for the
events of a stream nearly always end long before their limit, so their timer
is left running and only moved when it fires.
"""

import asyncio
import collections.abc
import typing

Result = typing.TypeVar("Result")


class SharedTimer:
    """A timer for waits that don't overlap."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.TimerHandle | None = None
        self._task: asyncio.Task | None = None
        self._due_s = 0.0
        self._is_expired = False

    async def bound(
        self,
        work: collections.abc.Callable[[], collections.abc.Awaitable[Result]],
        timeout_ms: float,
    ) -> Result:
        """Return the result of `work`; raise `TimeoutError` if it is late."""
        task = asyncio.current_task()
        cancelling = task.cancelling()
        self._task = task
        self._is_expired = False
        self._due_s = self._loop.time() + timeout_ms / 1e3
        if self._handle is None or self._due_s < self._handle.when():
            self._start()
        try:
            return await work()
        except asyncio.CancelledError:
            # Another cancellation, as that of a caller who left, has priority.
            if self._is_expired and task.cancelling() - 1 <= cancelling:
                raise TimeoutError from None
            raise
        finally:
            self._task = None
            if self._is_expired:
                task.uncancel()

    def _start(self) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._handle = self._loop.call_at(self._due_s, self._on_timer)

    def _on_timer(self) -> None:
        fired_s = self._handle.when()
        self._handle = None
        if self._task is None:
            return
        if self._due_s > fired_s:
            self._start()
            return
        self._is_expired = True
        self._task.cancel()
