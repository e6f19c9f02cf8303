"""Let the instance that leads the control group give the orders."""

import structlog

from oriolejunction.consensus import replica as replicas
from oriolejunction.controllers import order_executor
from oriolejunction import errors

POLL_MS = 500
_log = structlog.get_logger(__name__)


class OrderDuty:
    """Become the executor for as long as this replica leads."""

    def __init__(
        self,
        replica: replicas.Replica,
        parts: order_executor.ExecutorParts,
    ) -> None:
        self._replica = replica
        self._parts = parts

    async def run(self) -> None:
        """Take over and work for as long as the instance lives."""
        while True:
            if self._replica.leader_term is not None:
                try:
                    await self._work()
                except errors.Failure as failure:
                    _log.debug("orders interrupted", why=str(failure))
            await self._parts.clock.sleep_ms(POLL_MS)

    async def _work(self) -> None:
        seen_epoch = self._replica.state.orders.epoch
        executor = await order_executor.take(self._parts, seen_epoch)
        if executor is None:
            return
        _log.info("gives orders to engines", epoch=executor.epoch)
        await executor.run(lambda: self._replica.leader_term is not None)
