"""Interface of a control replica for the services that use it."""

import typing

from oriolejunction import commands
from oriolejunction.consensus import types
from oriolejunction.consensus import wire
from oriolejunction.controllers import control_state
from oriolejunction import messages


class NotLeader(Exception):
    """Not committed or confirmed here; `hint` is the leader's address."""

    def __init__(self, hint: str | None = None) -> None:
        super().__init__("not the leader")
        self.hint = hint


class OutcomeUnknown(Exception):
    """Leadership was lost while a command waited; it may be committed."""


class Transport(typing.Protocol):
    """Sends messages to replicas; may lose, delay or repeat them."""

    def send(
        self, group: types.GroupId, message: wire.Message, address: str | None
    ) -> None:
        """Queue a message; `address` is the receiver's, if known."""


class Replica(typing.Protocol):
    """A replica of the control state."""

    @property
    def state(self) -> control_state.ControlState:
        """Return the state as applied so far."""

    @property
    def leader_term(self) -> int | None:
        """Return the term that this replica leads, None on a follower."""

    async def propose(
        self, command: commands.Command
    ) -> commands.CommandResult:
        """Commit a command durably and return its result.

        Raise `NotLeader` only where the command was not committed,
        `OutcomeUnknown` where it may have been.
        """

    async def read_barrier(self) -> None:
        """Wait until `state` is at least as new as this call.

        Raise `NotLeader` where no majority confirms this leader.
        """

    def members(self) -> tuple[messages.ReplicaStatus, ...]:
        """Return the replicas of the group as known here."""

    async def audit(
        self, start: int, limit: int
    ) -> tuple[messages.AuditEntry, ...]:
        """Return up to `limit` audit log entries after number `start`."""

    async def transfer_leadership(self) -> None:
        """Transfer leadership to another voter, where there is one."""

    async def close(self) -> None:
        """Stop and close the files."""
