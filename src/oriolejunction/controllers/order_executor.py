"""Reconcile the engines with the configuration in force, by orders.

One instance at a time is the executor. It sends only while its lease,
counted from when it requested the renewal, is valid. A new executor waits
longer than such a lease before its first order, because engines that do not
check fencing tokens would accept orders from both.
"""

import asyncio
import collections.abc
import dataclasses
import typing

import structlog

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction import configuration
from oriolejunction.controllers import orders
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import states

RECONCILE_INTERVAL_MS = 1_000
NO_ORDERS_RECHECK_MS = 30_000
_log = structlog.get_logger(__name__)


class NoAcknowledgement(errors.ServingError):
    """An engine did not acknowledge an order that it may have accepted."""

    code = "no_acknowledgement"
    outcome = states.Outcome.UNKNOWN


class LeaseRanOut(errors.NotRunError):
    """The executor's lease expired before the order was sent."""

    code = "executor_lease_ran_out"


@dataclasses.dataclass(frozen=True)
class EngineHoldings:
    """Targets that an engine has loaded, and whether it runs requests."""

    loaded: tuple[commands.OrderTarget, ...]
    busy: bool = False


class EnginePort(typing.Protocol):
    """Access to the engines; both methods raise `Failure`."""

    async def observe(
        self, engine: configuration.Engine
    ) -> EngineHoldings | None:
        """Return what the engine has loaded; None if it takes no orders."""

    async def send(
        self,
        engine: configuration.Engine,
        intent: commands.OrderIntent,
        may_send: collections.abc.Callable[[], bool],
    ) -> None:
        """Send an order and return once the engine acknowledged it.

        `may_send` is called immediately before the order is sent.
        """


Propose = collections.abc.Callable[
    [commands.Command], collections.abc.Awaitable[commands.CommandResult]
]


@dataclasses.dataclass(frozen=True)
class ExecutorDependencies:
    """Dependencies of an executor.

    `content` and `book` read the control replica of its instance.
    """

    owner: ids.InstanceId
    clock: clocks.Clock
    propose: Propose
    engines: EnginePort
    content: collections.abc.Callable[[], configuration.Configuration | None]
    book: collections.abc.Callable[[], orders.OrderBook]


class OrderExecutor:
    """One instance's term as the executor, identified by its epoch."""

    def __init__(self, deps: ExecutorDependencies, epoch: int) -> None:
        self._deps = deps
        self.epoch = epoch
        self._lease_until_ms = 0.0
        self._backoff_until_by_engine: dict[ids.EngineId, float] = {}
        self._holdings_by_engine: dict[ids.EngineId, EngineHoldings] = {}

    def may_send(self) -> bool:
        """Return whether the lease is still valid."""
        return self._deps.clock.now_ms() < self._lease_until_ms

    async def run(
        self, is_wanted: collections.abc.Callable[[], bool] = lambda: True
    ) -> None:
        """Wait out the former executor's lease, then reconcile.

        Return once replaced or no longer wanted.
        """
        await self._deps.clock.sleep_ms(orders.TAKE_OVER_WAIT_MS)
        while is_wanted() and self._deps.book().epoch <= self.epoch:
            content = self._deps.content()
            if content is not None:
                await self._reconcile_all(content)
            await self._deps.clock.sleep_ms(RECONCILE_INTERVAL_MS)

    async def _ensure_lease(self) -> bool:
        """Renew the lease once half of it has passed.

        Return whether it is valid.
        """
        now_ms = self._deps.clock.now_ms()
        if self._lease_until_ms - now_ms > orders.EXECUTOR_LEASE_MS / 2:
            return True
        result = await self._deps.propose(
            commands.RenewExecutor(self._deps.owner, self.epoch)
        )
        if result.accepted:
            self._lease_until_ms = now_ms + orders.EXECUTOR_LEASE_MS
        return result.accepted

    async def _reconcile_all(
        self, content: configuration.Configuration
    ) -> None:
        await asyncio.gather(
            *(
                self._try_reconcile(engine, content)
                for engine in content.engines
            )
        )

    async def _try_reconcile(
        self,
        engine: configuration.Engine,
        content: configuration.Configuration,
    ) -> None:
        backoff_until_ms = self._backoff_until_by_engine.get(
            engine.engine_id, 0
        )
        if self._deps.clock.now_ms() < backoff_until_ms:
            return
        try:
            await self._reconcile(engine, content)
        except errors.Failure as failure:
            _log.debug("engine not reconciled", why=str(failure))

    async def _reconcile(
        self,
        engine: configuration.Engine,
        content: configuration.Configuration,
    ) -> None:
        book = self._deps.book()
        intent = book.outstanding_by_engine.get(engine.engine_id)
        if intent is not None:
            await self._resend(engine, intent)
            return
        holdings = await self._deps.engines.observe(engine)
        if holdings is None:
            self._back_off(engine, NO_ORDERS_RECHECK_MS)
            return
        if holdings != self._holdings_by_engine.get(engine.engine_id):
            await self._resolve(engine, 0, holdings)
        step = next_order(engine, content, holdings)
        if step is None or not await self._ensure_lease():
            return
        action, target = step
        placed = await self._deps.propose(
            commands.PlaceOrder(
                epoch=self.epoch,
                engine_id=engine.engine_id,
                action=action,
                target=target,
                in_use=holdings.busy,
                at_ms=self._deps.clock.now_ms(),
            )
        )
        if placed.accepted:
            await self._send(
                engine,
                commands.OrderIntent(
                    placed.fence, engine.engine_id, action, target
                ),
            )

    async def _resend(
        self, engine: configuration.Engine, intent: commands.OrderIntent
    ) -> None:
        """Resend an order whose result is unknown."""
        if not await self._ensure_lease():
            return
        allowed = await self._deps.propose(
            commands.RetryOrder(
                self.epoch,
                engine.engine_id,
                intent.fence,
                self._deps.clock.now_ms(),
            )
        )
        if allowed.accepted:
            await self._send(engine, intent)

    async def _send(
        self, engine: configuration.Engine, intent: commands.OrderIntent
    ) -> None:
        try:
            await self._deps.engines.send(engine, intent, self.may_send)
        except errors.Failure:
            self._back_off(engine, orders.ORDER_TIMEOUT_MS)
            raise
        holdings = await self._deps.engines.observe(engine)
        if holdings is not None:
            await self._resolve(engine, intent.fence, holdings)

    def _back_off(
        self, engine: configuration.Engine, duration_ms: float
    ) -> None:
        """Delay the next order until a copy in flight has arrived."""
        self._backoff_until_by_engine[engine.engine_id] = (
            self._deps.clock.now_ms() + duration_ms
        )

    async def _resolve(
        self,
        engine: configuration.Engine,
        fence: int,
        holdings: EngineHoldings,
    ) -> None:
        resolved = await self._deps.propose(
            commands.ResolveOrder(
                self.epoch, engine.engine_id, fence, holdings.loaded
            )
        )
        if resolved.accepted:
            self._holdings_by_engine[engine.engine_id] = holdings


def next_order(
    engine: configuration.Engine,
    content: configuration.Configuration,
    holdings: EngineHoldings,
) -> tuple[states.OrderAction, commands.OrderTarget] | None:
    """Return the next order towards the configuration, loads first.

    Return None if the engine needs no order.
    """
    wanted = [
        target
        for target in sorted(
            orders.configured_targets(content),
            key=lambda target: (target.version, target.adapter),
        )
        if target.model == engine.model
    ]
    for target in wanted:
        if target not in holdings.loaded:
            return states.OrderAction.LOAD, target
    for target in holdings.loaded:
        if target not in wanted and not holdings.busy:
            return states.OrderAction.UNLOAD, target
    return None


async def become_executor(
    deps: ExecutorDependencies, seen_epoch: int
) -> OrderExecutor | None:
    """Become the executor unless another did since `seen_epoch`."""
    result = await deps.propose(
        commands.TakeExecutor(deps.owner, seen_epoch, deps.clock.now_ms())
    )
    if not result.accepted:
        return None
    return OrderExecutor(deps, result.epoch)
