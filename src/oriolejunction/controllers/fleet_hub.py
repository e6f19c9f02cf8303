"""What one control replica knows of all entry instances.

Load pattern: many entry instances choose among the same engines within the
same tenth of a second. Each learns the others' choices through the hub, so
that two long prompts rarely meet on one engine. Each is told only what has
changed since it was told last, so that what is sent grows with the work
that begins and ends, not with instances times engines.
"""

import collections
import collections.abc
import dataclasses

from oriolejunction import clock as clocks
from oriolejunction import fleet_messages as fm
from oriolejunction import ids

# An entry instance tells its share at least once a second.
REPORT_TTL_MS = 3_000.0
# Backend servers without work that are remembered, so that who watches
# learns that the work ended; some hundred bytes each.
MAX_IDLE_BACKENDS = 512

_Counts = tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class FleetUpdate:
    """What the other entry instances do and found, up to change `seen`.

    Loads and speeds are those that changed, or all there are where
    `whole`; suspects and crashes are all there are.
    """

    seen: int
    whole: bool
    loads: tuple[fm.BackendLoad, ...] = ()
    speeds: tuple[fm.EngineSpeed, ...] = ()
    suspects: tuple[ids.BackendId, ...] = ()
    crashes: tuple[fm.CrashCount, ...] = ()


class _ChangeTrackedSums:
    """Sums by backend server, in the order of their last change."""

    def __init__(self) -> None:
        self._total_by_id: dict[ids.BackendId, list[int]] = {}
        self._changed_by_id: dict[ids.BackendId, int] = {}
        self._idle: set[ids.BackendId] = set()

    def replace(
        self,
        before: dict[ids.BackendId, _Counts],
        after: dict[ids.BackendId, _Counts],
        number: int,
    ) -> None:
        """Count one instance's figures in place of its former ones."""
        for key in before.keys() | after.keys():
            was, now = before.get(key), after.get(key)
            if was == now:
                continue
            figures = was or now
            total = self._total_by_id.setdefault(key, [0] * len(figures))
            for place in range(len(figures)):
                total[place] += now[place] if now else 0
                total[place] -= was[place] if was else 0
            self._changed_by_id.pop(key, None)
            self._changed_by_id[key] = number
            if any(total):
                self._idle.discard(key)
            else:
                self._idle.add(key)

    def changed_since(
        self, number: int, own: dict[ids.BackendId, _Counts]
    ) -> collections.abc.Iterator[tuple[ids.BackendId, list[int]]]:
        """Yield the sums that changed after a change number, less `own`."""
        for key, changed in reversed(self._changed_by_id.items()):
            if changed <= number:
                return
            total = self._total_by_id[key]
            mine = own.get(key, (0,) * len(total))
            yield key, [a - b for a, b in zip(total, mine, strict=True)]

    def drop_idle(self) -> bool:
        """Forget what has ended once it is much; return whether it was."""
        if len(self._idle) <= MAX_IDLE_BACKENDS:
            return False
        for key in self._idle:
            del self._total_by_id[key]
            del self._changed_by_id[key]
        self._idle.clear()
        return True


class FleetHub:
    """The newest share of each entry instance, and their sums."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        # In the order in which the instances were heard.
        self._report_by_instance: dict[
            ids.InstanceId, tuple[fm.EntryReport, float]
        ] = {}
        self._unforwarded: dict[ids.InstanceId, fm.EntryReport] = {}
        self._loads = _ChangeTrackedSums()
        self._speeds = _ChangeTrackedSums()
        self._suspects: collections.Counter[ids.BackendId]
        self._suspects = collections.Counter()
        self._crashes: collections.Counter[ids.Fingerprint]
        self._crashes = collections.Counter()
        self._full_before = 0
        self._change_number = 0

    @property
    def change_number(self) -> int:
        """Return the number of the last change of any share."""
        self._expire_reports()
        return self._change_number

    def put(self, share: fm.EntryReport, direct: bool) -> bool:
        """Take in a share; return whether it is news.

        `direct` shares come from the entry instance itself and are handed
        on to the other control replicas.
        """
        self._expire_reports()
        held = self._report_of(share.instance)
        if held is not None and held.boot == share.boot:
            if share.number < held.number:
                return False
        self._report_by_instance.pop(share.instance, None)
        self._report_by_instance[share.instance] = (
            share,
            self._clock.now_ms(),
        )
        if direct:
            self._unforwarded[share.instance] = share
        if held is not None and _content(held) == _content(share):
            return False
        self._replace(held, share)
        return True

    def take_unforwarded(self) -> tuple[fm.EntryReport, ...]:
        """Return and forget the shares that are to be handed on."""
        taken = tuple(self._unforwarded.values())
        self._unforwarded.clear()
        return taken

    def entry_count(self) -> int:
        """Return how many entry instances were heard of late."""
        self._expire_reports()
        return len(self._report_by_instance)

    def update_for(self, instance: ids.InstanceId, seen: int) -> FleetUpdate:
        """Return what changed since `seen` at all but one instance.

        A load or a speed of zeros tells that there is none any more.
        """
        self._expire_reports()
        if seen == self._change_number:
            return FleetUpdate(seen, whole=False)
        whole = not self._full_before <= seen < self._change_number
        since = 0 if whole else seen
        own = self._report_of(instance)
        return FleetUpdate(
            seen=self._change_number,
            whole=whole,
            loads=tuple(
                fm.BackendLoad(key, *figures)
                for key, figures in self._loads.changed_since(
                    since, _loads(own)
                )
            ),
            speeds=tuple(
                fm.EngineSpeed(key, _mean(*sums[:2]), _mean(*sums[2:]))
                for key, sums in self._speeds.changed_since(
                    since, _speeds(own)
                )
            ),
            suspects=tuple(sorted(self._suspects - _suspects(own))),
            crashes=tuple(
                fm.CrashCount(fingerprint, count)
                for fingerprint, count in (
                    self._crashes - _crashes(own)
                ).items()
            ),
        )

    def _report_of(self, instance: ids.InstanceId) -> fm.EntryReport | None:
        share, _ = self._report_by_instance.get(instance, (None, 0.0))
        return share

    def _replace(
        self, before: fm.EntryReport | None, after: fm.EntryReport | None
    ) -> None:
        self._change_number += 1
        number = self._change_number
        self._loads.replace(_loads(before), _loads(after), number)
        self._speeds.replace(_speeds(before), _speeds(after), number)
        self._suspects = self._suspects - _suspects(before) + _suspects(after)
        self._crashes = self._crashes - _crashes(before) + _crashes(after)
        for sums in (self._loads, self._speeds):
            if sums.drop_idle():
                self._full_before = number

    def _expire_reports(self) -> None:
        oldest_ms = self._clock.now_ms() - REPORT_TTL_MS
        while self._report_by_instance:
            instance = next(iter(self._report_by_instance))
            share, heard_ms = self._report_by_instance[instance]
            if heard_ms >= oldest_ms:
                return
            del self._report_by_instance[instance]
            self._replace(share, None)


def _content(share: fm.EntryReport) -> tuple:
    """Return what a share tells, apart from its number."""
    return share.boot, share.loads, share.suspects, share.crashes, share.speeds


def _loads(share: fm.EntryReport | None) -> dict[ids.BackendId, _Counts]:
    return {
        load.backend_id: (load.streams, load.kv_tokens, load.prefill_tokens)
        for load in (share.loads if share is not None else ())
    }


def _speeds(share: fm.EntryReport | None) -> dict[ids.BackendId, _Counts]:
    """Return the speeds in tenths, each with a one where it is known."""
    return {
        speed.backend_id: (
            round(speed.event_ms * 10),
            int(speed.event_ms > 0),
            round(speed.prefill_ms_per_k * 10),
            int(speed.prefill_ms_per_k > 0),
        )
        for speed in (share.speeds if share is not None else ())
    }


def _suspects(
    share: fm.EntryReport | None,
) -> collections.Counter[ids.BackendId]:
    return collections.Counter(share.suspects if share is not None else ())


def _crashes(
    share: fm.EntryReport | None,
) -> collections.Counter[ids.Fingerprint]:
    return collections.Counter(
        {
            note.fingerprint: note.crashes
            for note in (share.crashes if share is not None else ())
        }
    )


def _mean(tenths: int, count: int) -> float:
    """Return a mean in whole units, 0 where nothing is known."""
    return round(tenths / count / 10, 1) if count else 0.0
