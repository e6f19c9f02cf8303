"""One attempt as the quarantine follows it."""

import dataclasses

from oriolejunction import ids


@dataclasses.dataclass
class TrackedAttempt:
    """One attempt on an engine.

    It is suspect until `offset` reaches `probation_end`. An isolated attempt
    shares its engine with no other suspect. `struck` is set if its request
    has its strike already, for a stall.
    """

    fingerprint: ids.Fingerprint
    engine_id: ids.EngineId
    offset: int
    probation_end: int
    isolated: bool
    dispatched_at_ms: float
    struck: bool = False

    @property
    def suspect(self) -> bool:
        """Return whether the attempt may still crash its engine."""
        return self.offset < self.probation_end
