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


def updated(held: FleetSight, sight: fm.Sight, now_ms: float) -> FleetSight:
    """Return what is known after a reply with news was taken in."""
    loads = {} if sight.whole else dict(held.load_by_id)
    for load in sight.loads:
        if load.streams or load.kv_tokens or load.prefill_tokens:
            loads[load.backend_id] = load
        else:
            loads.pop(load.backend_id, None)
    speeds = {} if sight.whole else dict(held.speed_by_id)
    for speed in sight.speeds:
        if speed.event_ms or speed.prefill_ms_per_k:
            speeds[speed.backend_id] = speed
        else:
            speeds.pop(speed.backend_id, None)
    return FleetSight(
        load_by_id=loads,
        suspects=frozenset(sight.suspects),
        crashes_by_request={
            note.fingerprint: note.crashes for note in sight.crashes
        },
        speed_by_id=speeds,
        entries=sight.entries,
        at_ms=now_ms,
    )
