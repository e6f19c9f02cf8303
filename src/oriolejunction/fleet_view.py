"""An entry instance's view of the other entry instances."""

import collections
import collections.abc

import msgspec

from oriolejunction import fleet_messages as fm
from oriolejunction import ids

# Counts of resends are used for this long after the last watch reply.
MAX_USE_AGE_MS = 1_000.0


class FleetView(msgspec.Struct, frozen=True):
    """Loads and observations of the others, received at `updated_at_ms`."""

    load_by_id: dict[ids.BackendId, fm.BackendLoad] = msgspec.field(
        default_factory=dict
    )
    suspects: frozenset[ids.BackendId] = frozenset()
    crashes_by_request: dict[ids.Fingerprint, tuple[fm.EngineCrash, ...]] = (
        msgspec.field(default_factory=dict)
    )
    answered: frozenset[ids.Fingerprint] = frozenset()
    crashes_by_part: dict[ids.PromptPart, frozenset[fm.PartCrash]] = (
        msgspec.field(default_factory=dict)
    )
    cleared_parts: frozenset[ids.PromptPart] = frozenset()
    blocked_parts: frozenset[frozenset[ids.PromptPart]] = frozenset()
    limit_by_id: dict[ids.BackendId, float] = msgspec.field(
        default_factory=dict
    )
    speed_by_id: dict[ids.BackendId, fm.EngineSpeed] = msgspec.field(
        default_factory=dict
    )
    helpers: tuple[str, ...] = ()
    leaving: tuple[fm.LeavingServer, ...] = ()
    entry_count: int = 1
    use_by_service: dict[ids.ServiceName, fm.ServiceUse] = msgspec.field(
        default_factory=dict
    )
    updated_at_ms: float = float("-inf")

    def same_fields(
        self, other: "FleetView", names: collections.abc.Iterable[str]
    ) -> bool:
        """Return whether a later view holds the same objects in fields.

        A reply leaves the fields that it does not change as they are.
        """
        return all(
            getattr(self, name) is getattr(other, name) for name in names
        )

    def use_by_others(
        self, service: ids.ServiceName, now_ms: float
    ) -> fm.ServiceUse | None:
        """Return what the others sent to a service, None if too old."""
        if now_ms - self.updated_at_ms > MAX_USE_AGE_MS:
            return None
        return self.use_by_service.get(service, fm.ServiceUse(service, 0, 0))


def apply_reply(
    current: FleetView, reply: fm.WatchReply, now_ms: float
) -> FleetView:
    """Return the view after a watch reply with changes is applied."""
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
    return msgspec.structs.replace(
        apply_observations(apply_counts(current, reply, now_ms), reply),
        load_by_id=loads,
        speed_by_id=speeds,
    )


def apply_observations(current: FleetView, reply: fm.WatchReply) -> FleetView:
    """Return the view with all of a reply but loads, speeds and counts."""
    return msgspec.structs.replace(
        current,
        suspects=frozenset(reply.suspects),
        crashes_by_request=_by_request(reply.crashes),
        answered=frozenset(reply.answered),
        crashes_by_part=_by_part(reply.part_crashes),
        cleared_parts=frozenset(reply.cleared_parts),
        blocked_parts=frozenset(map(frozenset, reply.blocked_parts)),
        # The lowest one, if instances were told different limits.
        limit_by_id={
            limit.backend_id: limit.per_s
            for limit in sorted(reply.limits, reverse=True)
        },
        helpers=tuple(reply.helpers),
        leaving=tuple(reply.leaving),
    )


def _by_request(
    crashes: tuple[fm.EngineCrash, ...],
) -> dict[ids.Fingerprint, tuple[fm.EngineCrash, ...]]:
    by_request: dict[ids.Fingerprint, list[fm.EngineCrash]]
    by_request = collections.defaultdict(list)
    for crash in crashes:
        by_request[crash.fingerprint].append(crash)
    return {key: tuple(each) for key, each in by_request.items()}


def _by_part(
    crashes: tuple[fm.PartCrash, ...],
) -> dict[ids.PromptPart, frozenset[fm.PartCrash]]:
    by_part: dict[ids.PromptPart, set[fm.PartCrash]]
    by_part = collections.defaultdict(set)
    for crash in crashes:
        by_part[crash.part].add(crash)
    return {part: frozenset(each) for part, each in by_part.items()}


def apply_counts(
    current: FleetView, reply: fm.WatchReply, now_ms: float
) -> FleetView:
    """Return the view with the counts that each reply contains."""
    return msgspec.structs.replace(
        current,
        entry_count=reply.entries,
        use_by_service={use.service: use for use in reply.uses},
        updated_at_ms=now_ms,
    )
