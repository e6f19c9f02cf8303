"""Keeps the work of a process going through faults of its own."""

import collections.abc

import structlog

from oriolejunction import clock as clocks

# Long enough that a fault which comes back at once costs little.
RESTART_DELAY_MS = 500.0
_log = structlog.get_logger(__name__)

Work = collections.abc.Callable[
    [], collections.abc.Coroutine[None, None, None]
]


async def run_supervised(work: Work, clock: clocks.Clock) -> None:
    """Run work until it returns; begin it anew where it fails.

    A process that went on without its reader or its watch would believe
    old things for ever.
    """
    while True:
        try:
            await work()
        except Exception as error:
            _log.exception(
                "work failed and is begun again",
                work=getattr(work, "__qualname__", repr(work)),
                why=repr(error),
            )
            await clock.sleep_ms(RESTART_DELAY_MS)
        else:
            return
