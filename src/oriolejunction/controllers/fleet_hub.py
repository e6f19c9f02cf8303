"""What one control replica knows of all entry instances.

Load pattern: many entry instances choose among the same engines within the
same tenth of a second. Each learns the others' choices through the hub, so
that two long prompts rarely meet on one engine.
"""

import collections

from oriolejunction import clock as clocks
from oriolejunction import fleet_messages as fm
from oriolejunction import ids

# An entry instance tells its share at least once a second.
SHARE_LIFE_MS = 3_000.0


class FleetHub:
    """The newest share of each entry instance, and their sums."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._share_by_instance: dict[
            ids.InstanceId, tuple[fm.EntryShare, float]
        ] = {}
        self._direct: dict[ids.InstanceId, fm.EntryShare] = {}
        self.change_number = 0

    def put(self, share: fm.EntryShare, direct: bool) -> bool:
        """Take in a share; return whether it is news.

        `direct` shares come from the entry instance itself and are handed
        on to the other control replicas.
        """
        held, _ = self._share_by_instance.get(share.instance, (None, 0.0))
        if held is not None and held.boot == share.boot:
            if share.number < held.number:
                return False
        self._share_by_instance[share.instance] = (
            share,
            self._clock.now_ms(),
        )
        if direct:
            self._direct[share.instance] = share
        if held == share:
            return False
        self.change_number += 1
        return True

    def take_direct(self) -> tuple[fm.EntryShare, ...]:
        """Return and forget the shares that are to be handed on."""
        taken = tuple(self._direct.values())
        self._direct.clear()
        return taken

    def entries(self) -> int:
        """Return how many entry instances were heard of late."""
        self._forget()
        return len(self._share_by_instance)

    def loads_without(
        self, instance: ids.InstanceId
    ) -> tuple[fm.BackendLoad, ...]:
        """Return the summed loads of all but one entry instance."""
        sums: dict[ids.BackendId, list[int]] = {}
        for share in self._others(instance):
            for load in share.loads:
                total = sums.setdefault(load.backend_id, [0, 0, 0])
                total[0] += load.streams
                total[1] += load.kv_tokens
                total[2] += load.prefill_tokens
        return tuple(fm.BackendLoad(key, *sums[key]) for key in sums)

    def suspects_without(
        self, instance: ids.InstanceId
    ) -> tuple[ids.BackendId, ...]:
        """Return the backend servers that others found lost."""
        found = {
            suspect
            for share in self._others(instance)
            for suspect in share.suspects
        }
        return tuple(sorted(found))

    def crashes_without(
        self, instance: ids.InstanceId
    ) -> tuple[fm.CrashNote, ...]:
        """Return the summed crashes that others saw, by request."""
        sums: collections.Counter[ids.Fingerprint] = collections.Counter()
        for share in self._others(instance):
            for note in share.crashes:
                sums[note.fingerprint] += note.crashes
        return tuple(fm.CrashNote(key, count) for key, count in sums.items())

    def speeds_without(
        self, instance: ids.InstanceId
    ) -> tuple[fm.EngineSpeed, ...]:
        """Return the mean speeds that others observed."""
        seen = collections.defaultdict(list)
        for share in self._others(instance):
            for speed in share.speeds:
                seen[speed.backend_id].append(speed)
        return tuple(
            fm.EngineSpeed(
                backend_id,
                round(sum(s.event_ms for s in found) / len(found), 1),
                round(sum(s.prefill_ms_per_k for s in found) / len(found), 1),
            )
            for backend_id, found in seen.items()
        )

    def _others(self, instance: ids.InstanceId) -> list[fm.EntryShare]:
        self._forget()
        return [
            share
            for key, (share, _) in self._share_by_instance.items()
            if key != instance
        ]

    def _forget(self) -> None:
        oldest_ms = self._clock.now_ms() - SHARE_LIFE_MS
        gone = [
            key
            for key, (_, heard_ms) in self._share_by_instance.items()
            if heard_ms < oldest_ms
        ]
        for key in gone:
            del self._share_by_instance[key]
            self.change_number += 1
