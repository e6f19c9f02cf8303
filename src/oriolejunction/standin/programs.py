"""Running of a stand-in as a program of its own."""

import asyncio
import signal

from aiohttp import web

from oriolejunction import settings


async def serve(app: web.Application, listen: str) -> None:
    """Serve an application at ``IP:PORT`` until SIGINT or SIGTERM."""
    host, port = settings.split_address(listen)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    await stop_signal()
    await runner.cleanup()


async def stop_signal() -> None:
    """Wait for SIGINT or SIGTERM."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
