"""The newest rollout of each service, as a deterministic state.

It contains the allowances that entry instances hold, so that a new control
leader and all replicas know every one that was ever given out. An allowance
is never taken back while its rollout runs: what a lost or restarted instance
did not report counts as used.

Load pattern: an operator sends an order again, to any control replica, while
its answer is lost or late.
"""

import dataclasses

from oriolejunction import commands
from oriolejunction import ids
from oriolejunction import states

# A copy of an order arrives at most this long after the order. Operators
# resend for 6 s at most; the rest is for a slow commit and for the
# difference between the wall clocks of two leaders.
RESEND_WINDOW_MS = 8_000
_NEXT_PHASES = {
    states.RolloutPhase.OBSERVING: (
        states.RolloutPhase.MOVING,
        states.RolloutPhase.REVERTED,
    ),
    states.RolloutPhase.MOVING: (states.RolloutPhase.REVERTED,),
}


@dataclasses.dataclass
class Grant:
    """Allowance of one incarnation of an entry instance."""

    boot: str
    allowance: int


@dataclasses.dataclass
class Rollout:
    """One order and what became of it.

    `retired` is the sum of the allowances of incarnations that other ones
    have followed.
    """

    number: int
    service: ids.ServiceName
    target: ids.SoftwareVersion
    duration_ms: float
    at_ms: int
    state: states.RolloutState = states.RolloutState.IN_PROGRESS
    phase: states.RolloutPhase = states.RolloutPhase.OBSERVING
    reason: str = ""
    evidence: str = ""
    grant_by_instance: dict[ids.InstanceId, Grant] = dataclasses.field(
        default_factory=dict
    )
    retired: int = 0

    @property
    def granted(self) -> int:
        """Return the sum of all allowances ever given out."""
        return self.retired + sum(
            grant.allowance for grant in self.grant_by_instance.values()
        )

    def allowance(self, instance: ids.InstanceId, boot: str) -> int:
        """Return the allowance of an incarnation."""
        grant = self.grant_by_instance.get(instance)
        return grant.allowance if grant and grant.boot == boot else 0


@dataclasses.dataclass
class RolloutBook:
    """The newest rollout by service.

    `in_force_by_service` holds the target of the last completed one.
    """

    newest_by_service: dict[ids.ServiceName, Rollout] = dataclasses.field(
        default_factory=dict
    )
    in_force_by_service: dict[ids.ServiceName, ids.SoftwareVersion] = (
        dataclasses.field(default_factory=dict)
    )
    last_number: int = 0

    def in_progress(self) -> list[Rollout]:
        """Return the rollouts that have not ended."""
        return [
            each
            for each in self.newest_by_service.values()
            if each.state is states.RolloutState.IN_PROGRESS
        ]


_Command = (
    commands.BeginRollout
    | commands.GrantExposure
    | commands.MoveRollout
    | commands.DecideRollout
)
_Result = commands.RolloutBegun | commands.RolloutRefused | commands.Recorded


def apply_rollout(book: RolloutBook, command: _Command) -> _Result:
    """Apply a command about rollouts."""
    if isinstance(command, commands.BeginRollout):
        return _begin(book, command)
    rollout = book.newest_by_service.get(command.service)
    if rollout is None or rollout.number != command.number:
        return _refusal(
            states.RolloutRefusal.NOT_IN_PROGRESS,
            f"rollout {command.number} is not the newest of its service",
        )
    if isinstance(command, commands.DecideRollout):
        return _decide(book, rollout, command)
    if rollout.state is not states.RolloutState.IN_PROGRESS:
        return _refusal(
            states.RolloutRefusal.NOT_IN_PROGRESS,
            f"rollout {command.number} is {rollout.state.value}",
        )
    if isinstance(command, commands.GrantExposure):
        return _grant(rollout, command)
    return _move(rollout, command)


def _refusal(
    refusal: states.RolloutRefusal, message: str
) -> commands.RolloutRefused:
    return commands.RolloutRefused(refusal, message)


def is_copy(book: RolloutBook, command: commands.BeginRollout) -> bool:
    """Return whether an order is a copy of the newest one of its service."""
    newest = book.newest_by_service.get(command.service)
    if newest is None or (newest.target, newest.duration_ms) != (
        command.target,
        command.duration_ms,
    ):
        return False
    return (
        newest.state is states.RolloutState.IN_PROGRESS
        or command.at_ms - newest.at_ms <= RESEND_WINDOW_MS
    )


def _begin(book: RolloutBook, command: commands.BeginRollout) -> _Result:
    newest = book.newest_by_service.get(command.service)
    if newest is not None:
        if is_copy(book, command):
            return commands.RolloutBegun(newest.number)
        if newest.state is states.RolloutState.IN_PROGRESS:
            return _refusal(
                states.RolloutRefusal.OTHER_IN_PROGRESS,
                f"a rollout of {command.service} to {newest.target} within"
                f" {newest.duration_ms / 1e3:g} s is in progress",
            )
    book.last_number += 1
    book.newest_by_service[command.service] = Rollout(
        book.last_number,
        command.service,
        command.target,
        command.duration_ms,
        command.at_ms,
    )
    return commands.RolloutBegun(book.last_number)


def _grant(rollout: Rollout, command: commands.GrantExposure) -> _Result:
    if rollout.phase is not states.RolloutPhase.OBSERVING:
        return _refusal(
            states.RolloutRefusal.WRONG_PHASE,
            f"no allowances while {rollout.phase.value}",
        )
    added = sum(
        max(
            0,
            grant.allowance - rollout.allowance(grant.instance, grant.boot),
        )
        for grant in command.grants
    )
    if rollout.granted + added > command.ceiling:
        return _refusal(
            states.RolloutRefusal.OVER_CEILING,
            f"{rollout.granted} + {added} exceed {command.ceiling}",
        )
    for grant in command.grants:
        held = rollout.grant_by_instance.get(grant.instance)
        if held is not None and held.boot != grant.boot:
            rollout.retired += held.allowance
            held = None
        if held is None or held.allowance < grant.allowance:
            rollout.grant_by_instance[grant.instance] = Grant(
                grant.boot, grant.allowance
            )
    return commands.Recorded()


def _move(rollout: Rollout, command: commands.MoveRollout) -> _Result:
    if command.phase is rollout.phase:
        return commands.Recorded()
    if command.phase not in _NEXT_PHASES.get(rollout.phase, ()):
        return _refusal(
            states.RolloutRefusal.WRONG_PHASE,
            f"{command.phase.value} does not follow {rollout.phase.value}",
        )
    rollout.phase = command.phase
    rollout.reason, rollout.evidence = command.reason, command.evidence
    return commands.Recorded()


def _decide(
    book: RolloutBook, rollout: Rollout, command: commands.DecideRollout
) -> _Result:
    if rollout.state is not states.RolloutState.IN_PROGRESS:
        if rollout.state is command.state:
            return commands.Recorded()
        return _refusal(
            states.RolloutRefusal.NOT_IN_PROGRESS,
            f"rollout {command.number} is {rollout.state.value}",
        )
    completed = command.state is states.RolloutState.COMPLETED
    if completed and rollout.phase is not states.RolloutPhase.MOVING:
        return _refusal(
            states.RolloutRefusal.WRONG_PHASE,
            f"not completed while {rollout.phase.value}",
        )
    if completed:
        rollout.phase = states.RolloutPhase.DONE
        book.in_force_by_service[rollout.service] = rollout.target
    else:
        rollout.phase = states.RolloutPhase.REVERTED
    rollout.state = command.state
    rollout.reason, rollout.evidence = command.reason, command.evidence
    # Allowances concern a rollout in progress only.
    rollout.grant_by_instance.clear()
    return commands.Recorded()
