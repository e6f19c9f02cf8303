"""A service's newest rollout at one instance, and what requests use of it.

Load pattern: an instance is granted a few sends to a target at a time, by one
control leader after another. A stream that breaks must be able to go on at
its version although the allowance is used up, so it holds a send in reserve.
"""

import collections.abc

import msgspec

from oriolejunction import clock as clocks
from oriolejunction.controllers import rollout_canary
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import states

OVER = (states.RolloutPhase.DONE, states.RolloutPhase.REVERTED)
_RANK_BY_PHASE = {
    states.RolloutPhase.OBSERVING: 0,
    states.RolloutPhase.MOVING: 1,
    states.RolloutPhase.DONE: 2,
    states.RolloutPhase.REVERTED: 2,
}


class RolloutUse:
    """What one request has used of a rollout's allowance.

    `begun_at` returns the version of the events that the caller has, None
    without one. A request that `may_try` can be one of the first at a target.
    """

    def __init__(
        self,
        service: ids.ServiceName,
        route: str,
        is_stream: bool,
        may_try: bool = True,
    ) -> None:
        self.service = service
        self.route = route
        self.may_try = may_try
        self.begun_at: collections.abc.Callable[
            [], ids.SoftwareVersion | None
        ] = lambda: None
        self.cost = 2 if is_stream else 1
        # Number of the rollout of which it holds one more send.
        self.reserved_of: int | None = None


class Rollout:
    """The newest order of a service, and what was sent to its target."""

    def __init__(
        self, order: fm.RolloutOrder, salt: int, now_ms: float
    ) -> None:
        self.order = order
        self.phase_since_ms = now_ms
        self.heard_ms = now_ms
        self.sent = 0
        self.reserved = 0
        self.turns = rollout_canary.CanaryTurns(order.number, salt, now_ms)
        self.target_listed_ms = now_ms
        # Versions first listed after the rollout was over.
        self.later: set[ids.SoftwareVersion] = set()
        self._valid_until_ms = now_ms
        self._until_by_allowance: dict[int, float] = {}

    @property
    def is_over(self) -> bool:
        """Return whether the rollout was completed or rolled back."""
        return self.order.phase in OVER

    def status(self, now_ms: float) -> dict[str, object]:
        """Return the order and its use for the status page."""
        return {
            "service": self.order.service,
            "number": self.order.number,
            "target": self.order.target,
            "phase": self.order.phase.value,
            "allowance": self.allowance(now_ms),
            "sent_to_target": self.sent,
            "age_ms": clocks.round_age_ms(now_ms - self.heard_ms),
        }

    def is_behind(self, order: fm.RolloutOrder) -> bool:
        """Return whether an order of the same number has a later phase."""
        rank = _RANK_BY_PHASE[self.order.phase]
        return rank < _RANK_BY_PHASE[order.phase]

    def is_valid(self, now_ms: float) -> bool:
        """Return whether the order was heard of lately enough."""
        return now_ms < self._valid_until_ms

    def renew(self, until_ms: float) -> None:
        """Take the order as valid until a time."""
        self._valid_until_ms = max(self._valid_until_ms, until_ms)

    def grant(self, allowance: int, until_ms: float, now_ms: float) -> None:
        """Add an allowance; an earlier one holds until its own end."""
        before = self.left(now_ms)
        known_ms = self._until_by_allowance.get(allowance, until_ms)
        self._until_by_allowance[allowance] = max(known_ms, until_ms)
        if self.left(now_ms) > before == 0:
            self.turns.restart_wait(now_ms)

    def allowance(self, now_ms: float) -> int:
        """Return the allowance that is valid now."""
        self._until_by_allowance = {
            allowance: until_ms
            for allowance, until_ms in self._until_by_allowance.items()
            if until_ms > now_ms
        }
        return max(self._until_by_allowance, default=0)

    def left(self, now_ms: float) -> int:
        """Return how many sends to the target are left, never below 0."""
        used = self.sent + self.reserved
        return max(0, self.allowance(now_ms) - used)


class RolloutFacts(msgspec.Struct, frozen=True):
    """Why a rollout allowed a send, for the log."""

    number: int
    phase: states.RolloutPhase
    is_target: bool
    left: int
    age_ms: float

    @property
    def is_unchanged(self) -> bool:
        """Return whether the send is the usual one of its phase."""
        return (
            self.phase is states.RolloutPhase.OBSERVING and not self.is_target
        )
