"""A piece of work that runs again and again beside another one."""

import asyncio
import collections.abc
import typing

import structlog

from oriolejunction import clock as clocks

Result = typing.TypeVar("Result")
_log = structlog.get_logger(__name__)


class RepeatedTask(typing.Generic[Result]):
    """Starts `run` at intervals in ms, one run at a time.

    An error of a run is logged and counts as no result.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        run: collections.abc.Callable[
            [], collections.abc.Coroutine[typing.Any, typing.Any, Result]
        ],
        interval_ms: float,
        first_ms: float = 0.0,
    ) -> None:
        self._clock = clock
        self._run = run
        self._interval_ms = interval_ms
        self._due_ms = clock.now_ms() + first_ms
        self.task: asyncio.Task[Result] | None = None

    def start_if_due(self) -> float:
        """Start a run if one is due; return the time to the next one."""
        now_ms = self._clock.now_ms()
        if self.task is None and now_ms >= self._due_ms:
            self.task = asyncio.create_task(self._run())
            self._due_ms = now_ms + self._interval_ms
        if self.task is not None:
            return float("inf")
        return self._due_ms - now_ms

    def take(self) -> Result | None:
        """Return the result of a finished run once, None without one."""
        if self.task is None or not self.task.done():
            return None
        task, self.task = self.task, None
        if task.cancelled():
            return None
        if (error := task.exception()) is not None:
            _log.error("repeated task failed", exc_info=error)
            return None
        return task.result()

    async def cancel(self) -> Result | None:
        """End the running task; return its result if it has finished."""
        if self.task is None:
            return None
        self.task.cancel()
        await asyncio.wait({self.task})
        return self.take()
