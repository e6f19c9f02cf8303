"""What a control replica offers to the shells around it."""

import typing

from oriolejunction import commands
from oriolejunction.controllers import control_state
from oriolejunction import messages


class NotLeader(Exception):
    """This replica did not commit it; `hint` is the leader's address."""

    def __init__(self, hint: str | None = None) -> None:
        super().__init__("not the leader")
        self.hint = hint


class OutcomeUnknown(Exception):
    """Leadership was lost while a command waited; it may be committed."""


class Replica(typing.Protocol):
    """A replica of the control state."""

    @property
    def state(self) -> control_state.ControlState:
        """Return the state as applied so far."""

    @property
    def leader_term(self) -> int | None:
        """Return the term that this replica leads, None elsewhere."""

    async def propose(
        self, command: commands.Command
    ) -> commands.CommandResult:
        """Commit a command durably and return its result.

        Raise `NotLeader` only where the command was not committed here,
        `OutcomeUnknown` where it may have been.
        """

    async def read_barrier(self) -> None:
        """Wait until `state` is at least as new as this call.

        Raise `NotLeader` where no majority confirms it.
        """

    def members(self) -> tuple[messages.ReplicaStatus, ...]:
        """Return the replicas of the group as known here."""

    async def audit(
        self, start: int, limit: int
    ) -> tuple[messages.AuditEntry, ...]:
        """Return entries of the trail after number `start`."""

    async def transfer_leadership(self) -> None:
        """Give leadership to another voter, where there is one."""

    async def close(self) -> None:
        """Stop and close the files."""
