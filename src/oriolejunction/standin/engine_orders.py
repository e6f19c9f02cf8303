"""Orders to a stand-in engine that may or may not check fencing tokens."""

import collections.abc

from aiohttp import web
import msgspec

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction import engine_protocol
from oriolejunction import states

_decode_intent = msgspec.json.Decoder(commands.OrderIntent).decode


class EngineOrders:
    """The loaded models of an engine and the orders that it received.

    `stale_applied` counts orders applied after one with a higher fencing
    token. `load_times_ms` holds the times of reads from the weight store.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        checks_fencing: bool,
        loaded: tuple[commands.OrderTarget, ...] = (),
        is_busy: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_busy = is_busy
        self._clock = clock
        self.checks_fencing = checks_fencing
        self.loaded = list(loaded)
        self.highest_fence = 0
        self.stale_applied = 0
        self.stale_refused = 0
        self.applied = 0
        self.load_times_ms: list[float] = []
        self.role = ""

    def is_loaded(self, model: str, version: str) -> bool:
        """Return whether a version of a model is loaded."""
        return any(
            (target.model, target.version) == (model, version)
            for target in self.loaded
        )

    def apply(self, intent: commands.OrderIntent) -> bool:
        """Apply an order; return False if it is refused as stale."""
        if intent.fence < self.highest_fence:
            if self.checks_fencing:
                self.stale_refused += 1
                return False
            self.stale_applied += 1
        self.highest_fence = max(self.highest_fence, intent.fence)
        self.applied += 1
        match intent.action:
            case states.OrderAction.LOAD:
                self.load_times_ms.append(self._clock.now_ms())
                if intent.target not in self.loaded:
                    self.loaded.append(intent.target)
            case states.OrderAction.UNLOAD:
                if intent.target in self.loaded:
                    self.loaded.remove(intent.target)
            case states.OrderAction.SET_ROLE:
                self.role = intent.target.role
        return True

    def routes(self) -> list[web.RouteDef]:
        """Return the routes to add to an engine's application."""
        return [
            web.post("/orders", self._order),
            web.get("/holdings", self._holdings),
        ]

    async def _order(self, request: web.Request) -> web.Response:
        intent = _decode_intent(await request.read())
        if not self.apply(intent):
            return web.json_response({"error": "old fence"}, status=409)
        return web.json_response({"fence": intent.fence})

    async def _holdings(self, request: web.Request) -> web.Response:
        holdings = engine_protocol.LoadedModels(
            tuple(self.loaded), self._is_busy()
        )
        return web.Response(
            body=msgspec.json.encode(holdings), content_type="application/json"
        )
