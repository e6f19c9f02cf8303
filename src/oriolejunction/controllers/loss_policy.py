"""Policies for suspected and lost attempts.

The `measure` of the questionnaire selects the policy of a deployment:
`EARLY` for latency, `THRIFT` for resources. The other policies are baselines
that the benches compare these with.
"""

import dataclasses
import enum

from oriolejunction import blackboard as blackboards
from oriolejunction.controllers import silence_detector
from oriolejunction import states


class Resumption(enum.Enum):
    """How the next attempt reaches the offset already delivered."""

    RESTART = "restart"
    CONTINUE = "continue"


@dataclasses.dataclass(frozen=True)
class LossPolicy:
    """When an attempt is suspected or given up on, and what follows.

    If `suspect` and `suspect_first` are set, a second attempt starts in
    parallel with a suspected one. `give_up` and `give_up_first` bound the
    silence after which an attempt is replaced; it stays open until another
    engine is found, for at most `search_ceiling_ms`. The names with `_first`
    apply before the first token, the others while decoding.
    `first_ceiling_ms` is the longest wait for a first token while other
    streams of the engine make progress. `reattach` allows a lost connection
    to be resumed on the same engine.
    """

    resumption: Resumption
    suspect: silence_detector.SilenceBounds | None
    suspect_first: silence_detector.SilenceBounds | None
    give_up: silence_detector.SilenceBounds
    give_up_first: silence_detector.SilenceBounds
    first_ceiling_ms: float = 10_000.0
    search_ceiling_ms: float = 10_000.0
    reattach: bool = True


RESTART = LossPolicy(
    resumption=Resumption.RESTART,
    suspect=None,
    suspect_first=None,
    give_up=silence_detector.SilenceBounds(0.0, 1_500.0, 1_500.0),
    give_up_first=silence_detector.SilenceBounds(0.0, 1_500.0, 1_500.0),
    reattach=False,
)
FIXED = dataclasses.replace(RESTART, resumption=Resumption.CONTINUE)
THRIFT = LossPolicy(
    resumption=Resumption.CONTINUE,
    suspect=None,
    suspect_first=None,
    give_up=silence_detector.SilenceBounds(16.0, 1_200.0, 1_800.0),
    give_up_first=silence_detector.SilenceBounds(8.0, 900.0, 1_200.0),
)
ADAPTIVE = dataclasses.replace(
    THRIFT,
    give_up=silence_detector.SilenceBounds(12.0, 400.0, 1_200.0),
    give_up_first=silence_detector.SilenceBounds(8.0, 500.0, 1_200.0),
)
EARLY = dataclasses.replace(
    ADAPTIVE,
    suspect=silence_detector.SilenceBounds(6.0, 120.0, 600.0),
    suspect_first=silence_detector.SilenceBounds(6.0, 250.0, 800.0),
)
POLICY_BY_MEASURE = {
    states.Objective.LATENCY: EARLY,
    states.Objective.RESOURCES: THRIFT,
}


class PolicyChoice:
    """The policy in force, by the measure unless a bench overrides it."""

    def __init__(self, blackboard: blackboards.Blackboard) -> None:
        self.override: LossPolicy | None = None
        self._blackboard = blackboard

    def current(self) -> LossPolicy:
        """Return the policy for an attempt that begins now."""
        if self.override is not None:
            return self.override
        in_force = self._blackboard.in_force.read()
        if in_force is None:
            return THRIFT
        return POLICY_BY_MEASURE[in_force.configuration.measure]
