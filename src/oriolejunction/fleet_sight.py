"""What an entry instance knows of the others, on the blackboard."""

import dataclasses

from oriolejunction import fleet_messages as fm
from oriolejunction import ids


@dataclasses.dataclass(frozen=True)
class FleetSight:
    """What the others hold and believe, as last told, at `at_ms`."""

    load_by_id: dict[ids.BackendId, fm.BackendLoad] = dataclasses.field(
        default_factory=dict
    )
    suspects: frozenset[ids.BackendId] = frozenset()
    crashes_by_request: dict[ids.Fingerprint, int] = dataclasses.field(
        default_factory=dict
    )
    speed_by_id: dict[ids.BackendId, fm.EngineSpeed] = dataclasses.field(
        default_factory=dict
    )
    entries: int = 1
    at_ms: float = float("-inf")
