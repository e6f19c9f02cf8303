"""Block parts of prompts that crash the engines which answer on them.

Load pattern: requests that differ in all but one part of their prompt come at
all instances at once, and each engine that begins an answer on that part
crashes. Sound requests share their callers and their other parts. The streams
beside such a request are lost too, and are sent again.

A lost engine accuses the shared parts of each request whose answer it had not
written for `BEGUN_MS`. An answer that is written for longer, or completely,
clears its parts at all instances. Crashes of one and the same request accuse
that request rather than its parts. A blocked part stays blocked while requests
with it come; now and then one of them is let through as a probe.
"""

import collections.abc
import math
import random

import msgspec
import structlog

from oriolejunction import clock as clocks
from oriolejunction.controllers import crash_suspects
from oriolejunction.controllers import loss_history
from oriolejunction import fleet_messages as fm
from oriolejunction import fleet_view
from oriolejunction import ids
from oriolejunction import listeners

# An engine that wrote for this long has not crashed by beginning the answer.
BEGUN_MS = 1_000.0
MIN_CRASHES = 3
MIN_REQUESTS = 2
# Crashes that need not be judged later, unless the part was cleared lately.
MIN_CRASHES_AT_ONCE = 4
# A crash is judged after this time, in which it may be taken back and other
# instances report the parts that they know to be sound.
JUDGE_DELAY_MS = 500.0
CRASH_TTL_MS = 300_000.0
# For this long after a part was cleared, it takes more crashes, close to each
# other, to block it.
CLEARED_MS = 10_000.0
CLEARED_MIN_CRASHES = 6
CLEARED_CRASH_TTL_MS = 5_000.0
BLOCK_MS = 600_000.0
# Mean time between probes of a blocked part by all instances together.
FIRST_PROBE_MS = 10_000.0
PROBE_BACKOFF = 6.0
MAX_PROBE_MS = 3_600_000.0
MAX_ACCUSED_PARTS = 256
MAX_CRASHES_PER_PART = 64
MAX_REPORTED_CRASHES = 64
MAX_CLEARED_PARTS = 2_048
MAX_BLOCKS = 64
_REPORTED_FIELDS = ("crashes_by_part", "cleared_parts", "blocked_parts")
_log = structlog.get_logger(__name__)

Parts = frozenset[ids.PromptPart]


class _Block(msgspec.Struct):
    """Parts blocked until `until_ms`; a request with all of them is refused.

    This instance sends a probe at `probe_at_ms` or later.
    """

    until_ms: float
    probe_interval_ms: float
    probe_at_ms: float


class PartGuard:
    """Judges crashes by the shared parts of prompts."""

    def __init__(
        self,
        clock: clocks.Clock,
        losses: loss_history.LossHistory,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._losses = losses
        self._rng = rng
        # When each engine was lost with a part, as this instance saw it and
        # as it heard from others.
        self._own: dict[ids.PromptPart, dict[fm.PartCrash, float]] = {}
        self._reported: dict[ids.PromptPart, dict[fm.PartCrash, float]] = {}
        # When parts were last cleared here, the oldest first.
        self._cleared_ms: dict[ids.PromptPart, float] = {}
        self._block_by_parts: dict[Parts, _Block] = {}
        self._others = fleet_view.FleetView()
        self._judge_at_ms = math.inf
        self.on_change: listeners.OnChange = listeners.no_op

    def record_crash(
        self,
        parts: collections.abc.Iterable[ids.PromptPart],
        backend_id: ids.BackendId,
        fingerprint: ids.Fingerprint,
    ) -> None:
        """Record that an engine was lost as it began to answer a request."""
        now_ms = self._clock.now_ms()
        for part in parts:
            crash = fm.PartCrash(part, backend_id, fingerprint)
            crashes = self._own.setdefault(part, {})
            crashes.setdefault(crash, now_ms)
            if len(crashes) > MAX_CRASHES_PER_PART:
                del crashes[next(iter(crashes))]
            self._postpone_probes(part)
        while len(self._own) > MAX_ACCUSED_PARTS:
            del self._own[next(iter(self._own))]
        self._judge_at(now_ms)
        self.on_change()

    def take_back(
        self,
        parts: collections.abc.Iterable[ids.PromptPart],
        backend_id: ids.BackendId,
        fingerprint: ids.Fingerprint,
    ) -> None:
        """Forget the crash of an engine that proved not to have crashed."""
        for part in parts:
            crashed = self._own.get(part, {})
            crashed.pop(fm.PartCrash(part, backend_id, fingerprint), None)
            if not crashed:
                self._own.pop(part, None)
        self.on_change()

    def record_answer(
        self, parts: collections.abc.Iterable[ids.PromptPart]
    ) -> None:
        """Record that an engine wrote an answer on parts without a crash."""
        now_ms = self._clock.now_ms()
        is_news = False
        for part in parts:
            self._cleared_ms.pop(part, None)
            self._cleared_ms[part] = now_ms
            is_news |= self._own.pop(part, None) is not None
            is_news |= self._is_accused_by_others(part)
            self._unblock(part, "an engine answered on it")
        while len(self._cleared_ms) > MAX_CLEARED_PARTS:
            del self._cleared_ms[next(iter(self._cleared_ms))]
        if is_news:
            self.on_change()

    def update_reported(self, others: fleet_view.FleetView) -> None:
        """Apply what the other instances report."""
        # Cleared parts outlive own crashes as time passes.
        if not others.cleared_parts and others.same_fields(
            self._others, _REPORTED_FIELDS
        ):
            self._others = others
            return
        cleared = self.cleared()
        previous, self._others = self._others, others
        if others.crashes_by_part is not previous.crashes_by_part:
            self._apply_crashes(others)
        for part in others.cleared_parts:
            self._drop_old_crashes(part)
            self._unblock(part, "another instance reports an answer on it")
        for parts in others.blocked_parts - previous.blocked_parts:
            if any(not self._is_cleared(part) for part in parts):
                self._block(parts, "another instance blocks it")
        if self.cleared() != cleared:
            self.on_change()

    def crashes(self) -> tuple[fm.PartCrash, ...]:
        """Return the newest own crashes, to be reported."""
        oldest_ms = self._clock.now_ms() - CRASH_TTL_MS
        for part in list(self._own):
            crashed = self._own[part]
            if max(crashed.values(), default=oldest_ms) <= oldest_ms:
                del self._own[part]
        pairs = (
            (at_ms, crash)
            for crashed in self._own.values()
            for crash, at_ms in crashed.items()
            if at_ms > oldest_ms
        )
        newest = sorted(pairs, key=lambda pair: pair[0], reverse=True)
        return tuple(crash for _, crash in newest[:MAX_REPORTED_CRASHES])

    def cleared(self) -> tuple[ids.PromptPart, ...]:
        """Return the parts cleared here that others accuse or block."""
        accused = set(self._others.crashes_by_part).union(
            *self._others.blocked_parts
        )
        return tuple(
            sorted(part for part in accused if self._is_cleared_here(part))
        )

    def blocked(self) -> tuple[tuple[ids.PromptPart, ...], ...]:
        """Return the sets of parts blocked here, to be reported."""
        self._judge()
        now_ms = self._clock.now_ms()
        for parts, block in list(self._block_by_parts.items()):
            if block.until_ms <= now_ms:
                del self._block_by_parts[parts]
                _log.info(
                    "prompt part unblocked",
                    parts=sorted(parts),
                    why="no request with it came",
                )
        return tuple(sorted(tuple(sorted(p)) for p in self._block_by_parts))

    def is_blocked(self, parts: tuple[ids.PromptPart, ...]) -> bool:
        """Return whether a request with these parts must not be sent."""
        return bool(self._blocks_of(parts))

    def take_probe(self, parts: tuple[ids.PromptPart, ...]) -> bool:
        """Return whether a request is sent although its parts are blocked."""
        blocks = self._blocks_of(parts)
        now_ms = self._clock.now_ms()
        if not blocks or any(b.probe_at_ms > now_ms for b in blocks):
            return False
        for block in blocks:
            self._schedule_probe(block)
        _log.info("blocked prompt part probed", parts=parts)
        return True

    def _blocks_of(self, parts: tuple[ids.PromptPart, ...]) -> list[_Block]:
        """Return the blocks of a request, which last longer therefore."""
        self._judge()
        if not self._block_by_parts:
            return []
        present = frozenset(parts)
        until_ms = self._clock.now_ms() + BLOCK_MS
        blocks = [b for p, b in self._block_by_parts.items() if p <= present]
        for block in blocks:
            block.until_ms = until_ms
        return blocks

    def _apply_crashes(self, others: fleet_view.FleetView) -> None:
        """Mirror the crashes that others report, with their first time."""
        now_ms = self._clock.now_ms()
        known = self._reported
        self._reported = {}
        for part, crashes in others.crashes_by_part.items():
            before = known.get(part, {})
            self._reported[part] = {
                crash: before.get(crash, now_ms) for crash in crashes
            }
            if crashes - before.keys():
                self._postpone_probes(part)
                self._judge_at(now_ms)

    def _drop_old_crashes(self, part: ids.PromptPart) -> None:
        """Drop the own crashes that a part which others clear outlived."""
        oldest_ms = self._clock.now_ms() - CLEARED_CRASH_TTL_MS
        crashed = self._own.get(part)
        if crashed is None:
            return
        recent = {
            crash: at_ms
            for crash, at_ms in crashed.items()
            if at_ms > oldest_ms
        }
        if len(recent) == len(crashed):
            return
        if recent:
            self._own[part] = recent
        else:
            del self._own[part]
        self.on_change()

    def _is_accused_by_others(self, part: ids.PromptPart) -> bool:
        return part in self._others.crashes_by_part or any(
            part in parts for parts in self._others.blocked_parts
        )

    def _is_cleared_here(self, part: ids.PromptPart) -> bool:
        cleared_ms = self._cleared_ms.get(part, -math.inf)
        return self._clock.now_ms() - cleared_ms < CLEARED_MS

    def _is_cleared(self, part: ids.PromptPart) -> bool:
        return self._is_cleared_here(part) or (
            part in self._others.cleared_parts
        )

    def _judge_at(self, at_ms: float) -> None:
        self._judge_at_ms = min(self._judge_at_ms, at_ms)

    def _judge(self) -> None:
        """Block the parts that explain the crashes known by now."""
        now_ms = self._clock.now_ms()
        if now_ms < self._judge_at_ms:
            return
        self._judge_at_ms = math.inf
        self._block_culprits(JUDGE_DELAY_MS, self._min_crashes)
        self._block_culprits(0.0, self._min_crashes_at_once)

    def _block_culprits(
        self,
        min_age_ms: float,
        min_crashes: collections.abc.Callable[[ids.PromptPart], float],
    ) -> None:
        """Block the parts that explain the crashes of this age or older."""
        now_ms = self._clock.now_ms()
        crashed_by_part = {
            part: crashed
            for part in self._own.keys() | self._reported.keys()
            if (crashed := self._crashes_of(part, now_ms, min_age_ms))
        }
        for parts in crash_suspects.find_culprits(
            crashed_by_part,
            self._losses,
            min_crashes,
            lambda part: part in self._cleared_ms or self._is_cleared(part),
        ):
            engines = set().union(*(crashed_by_part[p] for p in parts))
            self._block(parts, f"crashed {len(engines)} engines")

    def _crashes_of(
        self, part: ids.PromptPart, now_ms: float, min_age_ms: float
    ) -> crash_suspects.Engines:
        """Return the engines lost with a part in several requests."""
        ttl_ms = (
            CLEARED_CRASH_TTL_MS if self._is_cleared(part) else CRASH_TTL_MS
        )
        crashed = set()
        for source in (self._own, self._reported):
            for crash, at_ms in source.get(part, {}).items():
                age_ms = now_ms - at_ms
                if age_ms < min_age_ms:
                    self._judge_at(at_ms + min_age_ms)
                elif age_ms < ttl_ms:
                    crashed.add(crash)
        if len({crash.fingerprint for crash in crashed}) < MIN_REQUESTS:
            return frozenset()
        return frozenset(crash.backend_id for crash in crashed)

    def _min_crashes(self, part: ids.PromptPart) -> float:
        return CLEARED_MIN_CRASHES if self._is_cleared(part) else MIN_CRASHES

    def _min_crashes_at_once(self, part: ids.PromptPart) -> float:
        return math.inf if self._is_cleared(part) else MIN_CRASHES_AT_ONCE

    def _block(self, parts: Parts, why: str) -> None:
        if parts in self._block_by_parts or (
            len(self._block_by_parts) >= MAX_BLOCKS
        ):
            return
        block = _Block(
            self._clock.now_ms() + BLOCK_MS, FIRST_PROBE_MS, math.inf
        )
        self._schedule_probe(block)
        self._block_by_parts[parts] = block
        _log.warning("prompt part blocked", parts=sorted(parts), why=why)
        self.on_change()

    def _unblock(self, part: ids.PromptPart, why: str) -> None:
        """Take a part out of the blocked sets that contain it."""
        for parts, block in list(self._block_by_parts.items()):
            if part not in parts:
                continue
            del self._block_by_parts[parts]
            if rest := parts - {part}:
                self._block_by_parts.setdefault(rest, block)
            _log.info("prompt part unblocked", parts=[part], why=why)
            self.on_change()

    def _postpone_probes(self, part: ids.PromptPart) -> None:
        """Probe a blocked part less often after another crash."""
        for parts, block in self._block_by_parts.items():
            if part in parts:
                block.probe_interval_ms = min(
                    MAX_PROBE_MS, block.probe_interval_ms * PROBE_BACKOFF
                )
                self._schedule_probe(block)

    def _schedule_probe(self, block: _Block) -> None:
        """Draw the next time, so that all instances together keep the mean."""
        mean_ms = block.probe_interval_ms * self._others.entry_count
        block.probe_at_ms = self._clock.now_ms() + self._rng.expovariate(
            1.0 / mean_ms
        )
