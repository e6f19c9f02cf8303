"""Shared observations and decisions, one writer for each cell.

Controllers read cells and write decisions to cells that they own. The modules
that do I/O subscribe to changes and act on them.
"""

import typing

import msgspec
import reactivex
from reactivex import subject

from oriolejunction import backends
from oriolejunction import configuration
from oriolejunction import fleet_view
from oriolejunction import ids
from oriolejunction import invariants
from oriolejunction import messages
from oriolejunction import routing_table
from oriolejunction import states

Value = typing.TypeVar("Value")


class Cell(typing.Generic[Value]):
    """One value on the blackboard with a stream of its changes."""

    def __init__(self, value: Value) -> None:
        self._value = value
        self._writer: str | None = None
        self._changes: subject.Subject = subject.Subject()

    def read(self) -> Value:
        """Return the current value."""
        return self._value

    def changes(self) -> reactivex.Observable:
        """Return an observable of the values written from now on."""
        return self._changes

    def claim_writer(self, writer: str) -> typing.Callable[[Value], None]:
        """Make `writer` the only writer and return its write function."""
        invariants.require(
            "one_writer_per_cell",
            self._writer in (None, writer),
            owner=self._writer,
            writer=writer,
        )
        self._writer = writer
        return self._write

    def _write(self, value: Value) -> None:
        self._value = value
        self._changes.on_next(value)


class InForce(msgspec.Struct, frozen=True):
    """The configuration that an instance applies now."""

    revision: ids.Revision
    configuration: configuration.Configuration


class ConfigurationLease(msgspec.Struct, frozen=True):
    """Right to serve with the configuration in force until `until_ms`."""

    until_ms: float


class EngineReport(msgspec.Struct, frozen=True):
    """Last load report of an engine and when it was measured.

    `tokens_per_s` is the decode speed of one stream. A limit of 0 is
    unknown.
    """

    running: int
    waiting: int
    tokens_per_s: float
    measured_at_ms: float
    max_running: int = 0
    kv_tokens: int = 0
    kv_limit_tokens: int = 0


class AttemptLoss(msgspec.Struct, frozen=True):
    """An attempt that an engine lost, in ms of the instance's clock.

    It may still continue if it is reported as stalled.
    `engine_wide` means that no other stream of the engine was progressing.
    """

    engine_id: ids.EngineId
    generation: ids.GenerationId
    workspace: ids.WorkspaceId
    fingerprint: ids.Fingerprint
    cause: states.LossCause
    at_ms: float
    engine_wide: bool


class Blackboard:
    """All cells of one instance."""

    def __init__(self) -> None:
        self.instance_state = Cell(states.InstanceState.STARTING)
        self.in_force: Cell[InForce | None] = Cell(None)
        self.lease = Cell(ConfigurationLease(until_ms=0.0))
        self.instance_by_id: Cell[dict[ids.InstanceId, messages.PeerInstance]]
        self.instance_by_id = Cell({})
        self.engine_report_by_id: Cell[dict[ids.EngineId, EngineReport]]
        self.engine_report_by_id = Cell({})
        self.engine_state_by_id: Cell[dict[ids.EngineId, states.EngineState]]
        self.engine_state_by_id = Cell({})
        self.table: Cell[routing_table.RoutingTable | None] = Cell(None)
        self.backends = Cell(backends.BackendSnapshot({}, float("-inf")))
        self.fleet = Cell(fleet_view.FleetView())
        self.attempt_losses: subject.Subject = subject.Subject()
        self.attempt_stalls: subject.Subject = subject.Subject()
