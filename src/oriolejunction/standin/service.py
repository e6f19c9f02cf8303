"""Stand-in plain service that counts the calls that it ran."""

import collections

from aiohttp import web


class StandinService:
    """Run each call and count the runs by idempotency key."""

    def __init__(self) -> None:
        self.runs_by_key: collections.Counter[str] = collections.Counter()

    def application(self) -> web.Application:
        """Return the HTTP application of this service."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/counts", self._counts),
                web.route("*", "/{path:.*}", self._run),
            ]
        )
        return app

    async def _run(self, request: web.Request) -> web.Response:
        body = await request.read()
        key = request.headers.get("Idempotency-Key", "")
        self.runs_by_key[key] += 1
        return web.json_response(
            {
                "ran": request.path,
                "bytes": len(body),
                "run": self.runs_by_key.total(),
            }
        )

    async def _counts(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.runs_by_key))
