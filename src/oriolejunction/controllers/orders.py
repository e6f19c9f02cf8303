"""Orders to engines, as a deterministic state.

The intent of an order is committed before the order is sent, and fencing
tokens (`fence`) only increase. An engine has at most one outstanding order, so
that a new executor has to finish it before it may place another.
"""

import dataclasses

from oriolejunction import commands
from oriolejunction import configuration
from oriolejunction import ids
from oriolejunction import states

EXECUTOR_LEASE_MS = 3_000
ORDER_TIMEOUT_MS = 2_000
CLOCK_RATE_MARGIN_MS = 300
# By then the former executor's lease has ended, and an order that it gave up
# on is assumed to have arrived.
TAKE_OVER_WAIT_MS = EXECUTOR_LEASE_MS + ORDER_TIMEOUT_MS + CLOCK_RATE_MARGIN_MS
# The weight store limits loads per minute. A load may start later than it was
# placed, by up to the lease and the timeout, so it counts that much longer.
LOAD_WINDOW_MS = 60_000 + EXECUTOR_LEASE_MS + ORDER_TIMEOUT_MS

OrderCommand = (
    commands.TakeExecutor
    | commands.RenewExecutor
    | commands.PlaceOrder
    | commands.RetryOrder
    | commands.ResolveOrder
)


@dataclasses.dataclass
class OrderBook:
    """The executor, the outstanding orders and the targets of each engine.

    `load_at_ms` is on the executor's monotonic clock. A new executor has
    another clock, so it counts all earlier loads as made at its takeover.
    """

    epoch: int = 0
    executor: ids.InstanceId = ids.InstanceId("")
    fence: int = 0
    outstanding_by_engine: dict[ids.EngineId, commands.OrderIntent] = (
        dataclasses.field(default_factory=dict)
    )
    engines_by_target: dict[commands.OrderTarget, list[ids.EngineId]] = (
        dataclasses.field(default_factory=dict)
    )
    load_at_ms: list[float] = dataclasses.field(default_factory=list)


def apply_order(
    book: OrderBook,
    command: OrderCommand,
    content: configuration.Configuration | None,
) -> commands.OrderResult:
    """Apply a committed command under the configuration in force."""
    match command:
        case commands.TakeExecutor():
            return _take(book, command)
        case commands.RenewExecutor():
            return _result(book, command.epoch == book.epoch)
        case commands.PlaceOrder():
            return _place(book, command, content)
        case commands.RetryOrder():
            return _retry(book, command, content)
        case commands.ResolveOrder():
            return _resolve(book, command)


def configured_targets(
    content: configuration.Configuration | None,
) -> frozenset[commands.OrderTarget]:
    """Return every configured model version and adapter."""
    if content is None:
        return frozenset()
    return frozenset(
        commands.OrderTarget(model.name, model.version, adapter)
        for model in content.models
        for adapter in ("", *model.adapters)
    )


def _result(
    book: OrderBook,
    accepted: bool,
    refusal: states.OrderRefusal | None = None,
    fence: int = 0,
) -> commands.OrderResult:
    if not accepted and refusal is None:
        refusal = states.OrderRefusal.NOT_EXECUTOR
    return commands.OrderResult(accepted, book.epoch, fence, refusal)


def _take(
    book: OrderBook, command: commands.TakeExecutor
) -> commands.OrderResult:
    if command.seen_epoch != book.epoch:
        return _result(book, False)
    book.epoch += 1
    book.executor = command.owner
    book.load_at_ms = [command.at_ms for _ in book.load_at_ms]
    return _result(book, True)


def _place(
    book: OrderBook,
    command: commands.PlaceOrder,
    content: configuration.Configuration | None,
) -> commands.OrderResult:
    refusal = _refusal(book, command, content)
    if refusal is not None:
        return _result(book, False, refusal)
    if command.action is states.OrderAction.LOAD:
        book.load_at_ms.append(command.at_ms)
    book.fence += 1
    book.outstanding_by_engine[command.engine_id] = commands.OrderIntent(
        fence=book.fence,
        engine_id=command.engine_id,
        action=command.action,
        target=command.target,
    )
    return _result(book, True, fence=book.fence)


def _refusal(
    book: OrderBook,
    command: commands.PlaceOrder,
    content: configuration.Configuration | None,
) -> states.OrderRefusal | None:
    if command.epoch != book.epoch:
        return states.OrderRefusal.NOT_EXECUTOR
    if command.engine_id in book.outstanding_by_engine:
        return states.OrderRefusal.OUTSTANDING
    if command.action is states.OrderAction.LOAD:
        if not _may_load(book, command.at_ms, content):
            return states.OrderRefusal.STORE_LIMIT
    if command.action is states.OrderAction.UNLOAD:
        if _is_last_copy(book, command, content):
            return states.OrderRefusal.LAST_COPY
    return None


def _may_load(
    book: OrderBook,
    at_ms: float,
    content: configuration.Configuration | None,
) -> bool:
    since_ms = at_ms - LOAD_WINDOW_MS
    book.load_at_ms = [ms for ms in book.load_at_ms if ms > since_ms]
    limit = content.weight_loads_per_minute if content else 0
    return len(book.load_at_ms) < limit


def _is_last_copy(
    book: OrderBook,
    command: commands.PlaceOrder,
    content: configuration.Configuration | None,
) -> bool:
    if not (command.in_use or command.target in configured_targets(content)):
        return False
    others = set(book.engines_by_target.get(command.target, ()))
    others.discard(command.engine_id)
    unloading = {
        intent.engine_id
        for intent in book.outstanding_by_engine.values()
        if intent.action is states.OrderAction.UNLOAD
        and intent.target == command.target
    }
    return not others - unloading


def _retry(
    book: OrderBook,
    command: commands.RetryOrder,
    content: configuration.Configuration | None,
) -> commands.OrderResult:
    """Allow an outstanding order to be sent again.

    A load counts against the limit each time.
    """
    if command.epoch != book.epoch:
        return _result(book, False)
    intent = book.outstanding_by_engine.get(command.engine_id)
    if intent is None or intent.fence != command.fence:
        return _result(book, False, states.OrderRefusal.RESOLVED)
    if intent.action is states.OrderAction.LOAD:
        if not _may_load(book, command.at_ms, content):
            return _result(book, False, states.OrderRefusal.STORE_LIMIT)
        book.load_at_ms.append(command.at_ms)
    return _result(book, True, fence=intent.fence)


def _resolve(
    book: OrderBook, command: commands.ResolveOrder
) -> commands.OrderResult:
    if command.epoch != book.epoch:
        return _result(book, False)
    intent = book.outstanding_by_engine.get(command.engine_id)
    if intent is not None and intent.fence == command.fence:
        del book.outstanding_by_engine[command.engine_id]
    _update_holdings(book, command.engine_id, command.loaded)
    return _result(book, True, fence=command.fence)


def _update_holdings(
    book: OrderBook,
    engine_id: ids.EngineId,
    loaded: tuple[commands.OrderTarget, ...],
) -> None:
    for target in list(book.engines_by_target):
        engines = book.engines_by_target[target]
        if engine_id in engines:
            engines.remove(engine_id)
        if not engines:
            del book.engines_by_target[target]
    for target in loaded:
        book.engines_by_target.setdefault(target, []).append(engine_id)
