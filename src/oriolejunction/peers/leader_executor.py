"""Runs the order executor on the leader of the control group."""

import structlog

from oriolejunction.consensus import replica as replicas
from oriolejunction.controllers import order_executor
from oriolejunction import errors

POLL_MS = 500
_log = structlog.get_logger(__name__)


class LeaderExecutor:
    """Runs the order executor while this replica leads."""

    def __init__(
        self,
        replica: replicas.Replica,
        deps: order_executor.ExecutorDependencies,
    ) -> None:
        self._replica = replica
        self._deps = deps

    async def run(self) -> None:
        """Become the executor whenever this replica leads, until cancelled."""
        while True:
            if self._replica.leader_term is not None:
                try:
                    await self._run_executor()
                except errors.Failure as failure:
                    _log.debug("orders interrupted", why=str(failure))
            await self._deps.clock.sleep_ms(POLL_MS)

    async def _run_executor(self) -> None:
        seen_epoch = self._replica.state.orders.epoch
        executor = await order_executor.become_executor(self._deps, seen_epoch)
        if executor is None:
            return
        _log.info("sending orders to engines", epoch=executor.epoch)
        await executor.run(lambda: self._replica.leader_term is not None)
