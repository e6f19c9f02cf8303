"""The signals and failures that end a process."""

import asyncio
import signal


def stop_event() -> asyncio.Event:
    """Return an event that SIGINT or SIGTERM sets, from now on."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    return stop


async def wait_for_end(stop: asyncio.Event, failed: asyncio.Event) -> bool:
    """Wait for a signal to stop or a failure; return whether it failed."""
    waits = [asyncio.create_task(event.wait()) for event in (stop, failed)]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
    return failed.is_set()
