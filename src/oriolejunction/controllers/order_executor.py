"""Bring the engines to what the configuration in force says, by orders.

One instance at a time is the executor. It sends only while its lease,
counted from when it asked for the renewal, has not run out; the next one
waits that long before its first order, because engines that check no fence
number would take an order of either.
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
    """An engine did not tell whether it took an order."""

    code = "no_acknowledgement"
    outcome = states.Outcome.UNKNOWN


class LeaseRanOut(errors.NotRunError):
    """The executor's lease ran out before the order was sent."""

    code = "executor_lease_ran_out"


@dataclasses.dataclass(frozen=True)
class EngineHoldings:
    """What an engine reports to hold, and whether it runs requests."""

    loaded: tuple[commands.OrderTarget, ...]
    busy: bool = False


class EnginePort(typing.Protocol):
    """The engines as an executor sees them; both raise `Failure`."""

    async def observe(
        self, engine: configuration.Engine
    ) -> EngineHoldings | None:
        """Return what the engine holds; None where it takes no orders."""

    async def send(
        self,
        engine: configuration.Engine,
        intent: commands.OrderIntent,
        may_send: collections.abc.Callable[[], bool],
    ) -> None:
        """Send an order and return once the engine acknowledged it.

        `may_send` is asked at the last moment before the order leaves.
        """


Propose = collections.abc.Callable[
    [commands.Command], collections.abc.Awaitable[commands.CommandResult]
]


@dataclasses.dataclass(frozen=True)
class ExecutorDependencies:
    """What an executor needs; `content` and `book` read its replica."""

    owner: ids.InstanceId
    clock: clocks.Clock
    propose: Propose
    engines: EnginePort
    content: collections.abc.Callable[[], configuration.Configuration | None]
    book: collections.abc.Callable[[], orders.OrderBook]


class OrderExecutor:
    """One term of one instance as the executor."""

    def __init__(self, parts: ExecutorDependencies, epoch: int) -> None:
        self._deps = parts
        self.epoch = epoch
        self._lease_until_ms = 0.0
        self._backoff_until_by_engine: dict[ids.EngineId, float] = {}
        self._holdings_by_engine: dict[ids.EngineId, EngineHoldings] = {}

    def may_send(self) -> bool:
        """Return whether the lease has not run out."""
        return self._deps.clock.now_ms() < self._lease_until_ms

    async def run(
        self, is_wanted: collections.abc.Callable[[], bool] = lambda: True
    ) -> None:
        """Wait out the executor before, then work until replaced."""
        await self._deps.clock.sleep_ms(orders.TAKE_OVER_WAIT_MS)
        while is_wanted() and self._deps.book().epoch <= self.epoch:
            content = self._deps.content()
            if content is not None:
                await self._reconcile_all(content)
            await self._deps.clock.sleep_ms(RECONCILE_INTERVAL_MS)

    async def _ensure_lease(self) -> bool:
        """Renew the lease once half of it is over."""
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
        quiet_until = self._backoff_until_by_engine.get(engine.engine_id, 0)
        if self._deps.clock.now_ms() < quiet_until:
            return
        try:
            await self._reconcile(engine, content)
        except errors.Failure as failure:
            _log.debug("engine not brought nearer", why=str(failure))

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
        held = await self._deps.engines.observe(engine)
        if held is None:
            self._back_off(engine, NO_ORDERS_RECHECK_MS)
            return
        if held != self._holdings_by_engine.get(engine.engine_id):
            await self._resolve(engine, 0, held)
        step = next_order(engine, content, held)
        if step is None or not await self._ensure_lease():
            return
        action, target = step
        placed = await self._deps.propose(
            commands.PlaceOrder(
                epoch=self.epoch,
                engine_id=engine.engine_id,
                action=action,
                target=target,
                in_use=held.busy,
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
        """Send an order again whose end is not known."""
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
        held = await self._deps.engines.observe(engine)
        if held is not None:
            await self._resolve(engine, intent.fence, held)

    def _back_off(
        self, engine: configuration.Engine, duration_ms: float
    ) -> None:
        """Wait, so that a copy of an order on its way arrives first."""
        self._backoff_until_by_engine[engine.engine_id] = (
            self._deps.clock.now_ms() + duration_ms
        )

    async def _resolve(
        self, engine: configuration.Engine, fence: int, held: EngineHoldings
    ) -> None:
        resolved = await self._deps.propose(
            commands.ResolveOrder(
                self.epoch, engine.engine_id, fence, held.loaded
            )
        )
        if resolved.accepted:
            self._holdings_by_engine[engine.engine_id] = held


def next_order(
    engine: configuration.Engine,
    content: configuration.Configuration,
    held: EngineHoldings,
) -> tuple[states.OrderAction, commands.OrderTarget] | None:
    """Return the next order that brings an engine nearer, loads first."""
    wanted = [
        target
        for target in sorted(
            orders.configured_targets(content),
            key=lambda target: (target.version, target.adapter),
        )
        if target.model == engine.model
    ]
    for target in wanted:
        if target not in held.loaded:
            return states.OrderAction.LOAD, target
    for target in held.loaded:
        if target not in wanted and not held.busy:
            return states.OrderAction.UNLOAD, target
    return None


async def become_executor(
    parts: ExecutorDependencies, seen_epoch: int
) -> OrderExecutor | None:
    """Become the executor if nobody else did since `seen_epoch`."""
    result = await parts.propose(
        commands.TakeExecutor(parts.owner, seen_epoch, parts.clock.now_ms())
    )
    if not result.accepted:
        return None
    return OrderExecutor(parts, result.epoch)
