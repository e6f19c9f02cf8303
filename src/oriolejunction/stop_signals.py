"""The signals that ask a process to stop."""

import asyncio
import signal


def stop_event() -> asyncio.Event:
    """Return an event that SIGINT or SIGTERM sets, from now on."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    return stop
