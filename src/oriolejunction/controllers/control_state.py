"""The replicated state machine: each committed command in log order."""

import dataclasses

from oriolejunction.controllers import configuration_history
from oriolejunction.controllers import ledger as ledgers
from oriolejunction import messages


@dataclasses.dataclass
class ControlState:
    """Everything that must survive, as committed so far."""

    history: configuration_history.ConfigurationHistory = dataclasses.field(
        default_factory=configuration_history.ConfigurationHistory
    )
    ledger: ledgers.Ledger = dataclasses.field(default_factory=ledgers.Ledger)


def apply(
    state: ControlState, command: messages.Command
) -> messages.CommandResult:
    """Apply one committed command and return its result.

    Deterministic: the result depends on the state and the command alone.
    """
    match command:
        case messages.ClaimCall():
            return ledgers.claim(state.ledger, command)
        case messages.RecordCallOutcome():
            return ledgers.record_outcome(state.ledger, command)
        case _:
            return configuration_history.apply_change(state.history, command)
