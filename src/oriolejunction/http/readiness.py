"""Readiness check that tells a load balancer where to open connections."""

import collections.abc

from aiohttp import web


def application(
    is_ready: collections.abc.Callable[[], bool],
) -> web.Application:
    """Return an application that answers every path with 200 or 503."""

    async def answer(request: web.Request) -> web.Response:
        return web.Response(status=200 if is_ready() else 503)

    app = web.Application()
    app.router.add_get("/{path:.*}", answer)
    return app
