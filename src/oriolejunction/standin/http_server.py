"""HTTP server for a stand-in that runs as its own process."""

from aiohttp import web

from oriolejunction import settings
from oriolejunction import stop_signals


async def serve(app: web.Application, listen: str) -> None:
    """Serve an application at ``IP:PORT`` until SIGINT or SIGTERM."""
    host, port = settings.split_address(listen)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    await stop_signals.stop_event().wait()
    await runner.cleanup()
