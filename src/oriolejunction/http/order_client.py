"""HTTP client of the engines' order protocol."""

import collections.abc

import aiohttp
import msgspec

from oriolejunction import commands
from oriolejunction import configuration
from oriolejunction.controllers import order_executor
from oriolejunction.controllers import orders
from oriolejunction import engine_protocol
from oriolejunction import errors
from oriolejunction.http import bounded_body
from oriolejunction.http import fetch_errors

OBSERVE_TIMEOUT_S = 1.0
_encode = msgspec.json.Encoder().encode
_decode_holdings = msgspec.json.Decoder(engine_protocol.LoadedModels).decode


class OrderClient:
    """Observe the engines' models and send each order once."""

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(
                total=orders.ORDER_TIMEOUT_MS / 1000.0
            ),
        )

    async def observe(
        self, engine: configuration.Engine
    ) -> order_executor.EngineHoldings | None:
        """Return the models on an engine; None where it takes no orders.

        Raise `Failure` with `NoEngine`.
        """
        timeout = aiohttp.ClientTimeout(total=OBSERVE_TIMEOUT_S)
        try:
            async with self._session.get(
                engine.url + "/holdings", timeout=timeout
            ) as response:
                if response.status == 404:
                    return None
                response.raise_for_status()
                holdings = _decode_holdings(await bounded_body.read(response))
        except fetch_errors.FETCH_ERRORS as error:
            raise errors.Failure(errors.NoEngine(repr(error)))
        return order_executor.EngineHoldings(holdings.loaded, holdings.busy)

    async def send(
        self,
        engine: configuration.Engine,
        intent: commands.OrderIntent,
        may_send: collections.abc.Callable[[], bool],
    ) -> None:
        """Send an order and return once it is acknowledged.

        The body follows the headers only if `may_send` is still true, so
        that an engine never receives a complete order after the lease has
        run out. Raise `Failure` with `NoAcknowledgement`.
        """

        async def body():
            if not may_send():
                raise errors.Failure(
                    order_executor.LeaseRanOut("not sent: the lease ran out")
                )
            yield _encode(intent)

        try:
            async with self._session.post(
                engine.url + "/orders", data=body()
            ) as response:
                response.raise_for_status()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise errors.Failure(order_executor.NoAcknowledgement(repr(error)))

    async def close(self) -> None:
        """Close the session."""
        await self._session.close()
