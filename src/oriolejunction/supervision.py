"""Restarts background tasks of a process that fail."""

import collections.abc

import structlog

from oriolejunction import clock as clocks

# Limits the cost of a task that fails again at once.
RESTART_DELAY_MS = 500.0
_log = structlog.get_logger(__name__)

Work = collections.abc.Callable[
    [], collections.abc.Coroutine[None, None, None]
]


async def run_supervised(work: Work, clock: clocks.Clock) -> None:
    """Run work until it returns; restart it when it raises.

    A process that continued without, say, its list poller or its fleet watch
    would act on outdated data forever.
    """
    while True:
        try:
            await work()
        except Exception as error:
            _log.exception(
                "work failed, restarting it",
                work=getattr(work, "__qualname__", repr(work)),
                why=repr(error),
            )
            await clock.sleep_ms(RESTART_DELAY_MS)
        else:
            return
