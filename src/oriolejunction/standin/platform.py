"""Stand-in for the platform's delayed list of live and leaving instances."""

import time

from aiohttp import web
import msgspec

from oriolejunction.http import platform_list
from oriolejunction import ids
from oriolejunction import states


class StandinPlatform:
    """Serve the list as it was `lag_ms` ago."""

    def __init__(self, names: list[ids.EngineId], lag_ms: float) -> None:
        self._lag_ms = lag_ms
        self._changes_by_name: dict[
            ids.EngineId, list[tuple[float, states.ListedState]]
        ] = {name: [(0.0, states.ListedState.LIVE)] for name in names}

    def set_state(self, name: ids.EngineId, state: states.ListedState) -> None:
        """Set the state of an instance; the list shows it `lag_ms` later."""
        self._changes_by_name.setdefault(name, []).append((_now_ms(), state))

    def application(self) -> web.Application:
        """Return the HTTP application of the platform."""
        app = web.Application()
        app.add_routes([web.get("/instances", self._instances)])
        return app

    async def _instances(self, request: web.Request) -> web.Response:
        until_ms = _now_ms() - self._lag_ms
        listed = []
        for name, changes in self._changes_by_name.items():
            visible = [state for at_ms, state in changes if at_ms <= until_ms]
            if visible:
                listed.append(platform_list.ListedInstance(name, visible[-1]))
        return web.Response(
            body=msgspec.json.encode(listed), content_type="application/json"
        )


def _now_ms() -> float:
    return time.monotonic() * 1000.0
