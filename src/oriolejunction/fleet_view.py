"""What an entry instance knows of the others, on the blackboard."""

import dataclasses

from oriolejunction import fleet_messages as fm
from oriolejunction import ids


@dataclasses.dataclass(frozen=True)
class FleetView:
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
    entry_count: int = 1
    updated_at_ms: float = float("-inf")


def apply_reply(
    current: FleetView, reply: fm.WatchReply, now_ms: float
) -> FleetView:
    """Return what is known after a reply with news was taken in."""
    loads = {} if reply.whole else dict(current.load_by_id)
    for load in reply.loads:
        if load.streams or load.kv_tokens or load.prefill_tokens:
            loads[load.backend_id] = load
        else:
            loads.pop(load.backend_id, None)
    speeds = {} if reply.whole else dict(current.speed_by_id)
    for speed in reply.speeds:
        if speed.event_ms or speed.prefill_ms_per_k:
            speeds[speed.backend_id] = speed
        else:
            speeds.pop(speed.backend_id, None)
    return FleetView(
        load_by_id=loads,
        suspects=frozenset(reply.suspects),
        crashes_by_request={
            note.fingerprint: note.crashes for note in reply.crashes
        },
        speed_by_id=speeds,
        entry_count=reply.entries,
        updated_at_ms=now_ms,
    )
