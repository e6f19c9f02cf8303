"""The replicated state machine; applies committed commands in order."""

import dataclasses

import msgspec

from oriolejunction import commands
from oriolejunction.controllers import configuration_history
from oriolejunction.controllers import ledger as ledgers
from oriolejunction.controllers import orders as order_books
from oriolejunction.controllers import published_table
from oriolejunction.controllers import rollout_book
from oriolejunction import errors
from oriolejunction import messages


@dataclasses.dataclass
class ControlState:
    """All replicated state that results from the committed commands."""

    history: configuration_history.ConfigurationHistory = dataclasses.field(
        default_factory=configuration_history.ConfigurationHistory
    )
    ledger: ledgers.Ledger = dataclasses.field(default_factory=ledgers.Ledger)
    orders: order_books.OrderBook = dataclasses.field(
        default_factory=order_books.OrderBook
    )
    table: published_table.PublishedTable = dataclasses.field(
        default_factory=published_table.PublishedTable
    )
    rollouts: rollout_book.RolloutBook = dataclasses.field(
        default_factory=rollout_book.RolloutBook
    )


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ControlState)


def apply(
    state: ControlState, command: commands.Command
) -> commands.CommandResult:
    """Apply one committed command and return its result.

    Deterministic: the result depends only on the state and the command.
    """
    match command:
        case commands.ClaimCall():
            return ledgers.claim(state.ledger, command)
        case commands.RecordCallOutcome():
            return ledgers.record_outcome(state.ledger, command)
        case commands.VoidCall():
            return ledgers.void(state.ledger, command)
        case commands.ResolveCall():
            return ledgers.resolve(state.ledger, command)
        case (
            commands.TakeExecutor()
            | commands.RenewExecutor()
            | commands.PlaceOrder()
            | commands.RetryOrder()
            | commands.ResolveOrder()
        ):
            return order_books.apply_order(
                state.orders, command, state.history.content
            )
        case commands.PublishTable():
            return published_table.publish(state.table, command)
        case (
            commands.BeginRollout()
            | commands.GrantExposure()
            | commands.MoveRollout()
            | commands.DecideRollout()
        ):
            return rollout_book.apply_rollout(state.rollouts, command)
        case _:
            return configuration_history.apply_change(state.history, command)


def drain_audit(state: ControlState) -> list[messages.AuditEntry]:
    """Remove and return the audit entries appended since the last call.

    A caller that drains after each `apply` stores the audit log itself; for
    one that never drains, ``state.history.audit`` is the complete log.
    """
    entries = state.history.audit
    state.history.audit = []
    return entries


def dump(state: ControlState) -> bytes:
    """Return a snapshot, including audit entries that are not drained."""
    return _encoder.encode(state)


def load(data: bytes) -> ControlState:
    """Return the state that a snapshot contains.

    Raise `Failure` with `CorruptLog` if it cannot be decoded.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as error:
        raise errors.Failure(
            errors.CorruptLog(f"cannot decode snapshot: {error}")
        )
