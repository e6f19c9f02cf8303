"""Stand-in plain service that counts the calls that it ran."""

import collections
import random

from aiohttp import web

from oriolejunction import clock as clocks
from oriolejunction.standin import version_faults

# Time that a server of a slow version takes at least.
CALL_MS = 5.0


class StandinService:
    """Run each call and count the runs by idempotency key.

    The server has a software version, which may be a bad one.
    """

    def __init__(
        self,
        software: str = "",
        fault: version_faults.VersionFault = version_faults.NO_FAULT,
        clock: clocks.Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.software = software
        self.runs_by_key: collections.Counter[str] = collections.Counter()
        self._fault = fault
        self._clock = clock or clocks.SystemClock()
        self._rng = rng or random.Random()
        self._started_ms = self._clock.now_ms()
        self._running = 0

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
        number = self.runs_by_key.total()
        self._running += 1
        try:
            answer = version_faults.draw(
                self._fault,
                self._clock.now_ms() - self._started_ms,
                self._running,
                request.path.split("/")[1],
                self._rng,
            )
            if answer.slowdown > 1.0:
                await self._clock.sleep_ms(CALL_MS * answer.slowdown)
        finally:
            self._running -= 1
        if answer.fails:
            return web.json_response(
                {"error": f"version {self.software} is broken"}, status=500
            )
        return web.json_response(
            {
                "ran": request.path,
                "bytes": len(body),
                "run": number,
                "software": self.software,
            }
        )

    async def _counts(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.runs_by_key))
