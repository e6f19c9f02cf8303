"""Estimate which prompt parts engines still have in their KV cache.

Load pattern: requests for one model share the first parts of their prompts,
and the prefill of such a part takes an engine up to a second. An engine keeps
the parts of earlier prompts in the KV cache that its running requests leave
free, drops the least recently used ones first and loses all in a restart.

The estimate relies on what this instance sent. Prompts that other instances
sent evict parts too, so the chance of a part falls with the time since its
last use. Many instances send few requests each, so each beginning of a prompt
also has homes: engines drawn by a hash that is the same for all instances.
They are taken to hold it with a fixed chance, so that the requests of all
instances meet without messages between them.
"""

import collections
import collections.abc

import msgspec
import xxhash

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction import gateway_messages
from oriolejunction import ids

# Bound of memory: some 100 bytes per part. 512 parts of 170 tokens fill the
# KV cache of 88,000 tokens that engines have.
MAX_PARTS = 512
# Bound of memory; the largest deployment known has 89 engines.
MAX_ENGINES = 256
# Chance that a part is still there after the reuse window. A guess; nothing
# reports evictions.
CHANCE_AT_WINDOW = 0.5
# Fraction of all engines that are homes of a beginning, and the chance that
# one holds it; by the bench prompt-cache, see docs/design/cached-prompts.md.
HOME_FRACTION = 0.2
HOME_CHANCE = 0.5

Parts = collections.abc.Sequence[gateway_messages.PartTokens]


class _Held(msgspec.Struct, frozen=True):
    tokens: int
    used_at_ms: float


class _EngineParts:
    """The parts of one incarnation of an engine, least recent first."""

    def __init__(self, incarnation: tuple[str, int, str]) -> None:
        self.incarnation = incarnation
        self.tokens = 0
        self.held_by_part: collections.OrderedDict[ids.PromptPart, _Held] = (
            collections.OrderedDict()
        )

    def store(self, part: ids.PromptPart, held: _Held) -> None:
        """Add a part as the most recently used one."""
        former = self.held_by_part.pop(part, None)
        self.tokens += held.tokens - (former.tokens if former else 0)
        self.held_by_part[part] = held

    def evict(self, room: float) -> None:
        """Drop the least recently used parts that exceed the room."""
        while self.held_by_part and (
            self.tokens > room or len(self.held_by_part) > MAX_PARTS
        ):
            _, dropped = self.held_by_part.popitem(last=False)
            self.tokens -= dropped.tokens

    def evicted(self, room: float) -> frozenset[ids.PromptPart]:
        """Return the parts that an engine with this room has dropped."""
        excess = self.tokens - room
        dropped = []
        for part, held in self.held_by_part.items():
            if excess <= 0:
                break
            dropped.append(part)
            excess -= held.tokens
        return frozenset(dropped)


class CachedParts:
    """The parts that engines probably hold, by engine.

    Parts are forgotten `reuse_ms` after their last use. A home holds all
    parts but the last with `home_chance`.
    """

    def __init__(
        self, clock: clocks.Clock, reuse_ms: float, home_chance: float = 0.0
    ) -> None:
        self._home_chance = home_chance
        self._clock = clock
        self._reuse_ms = reuse_ms
        self._engine_by_id: collections.OrderedDict[
            ids.BackendId, _EngineParts
        ] = collections.OrderedDict()

    def record_sent(
        self, backend: backends.Backend, parts: Parts, room: float
    ) -> None:
        """Record a prompt sent to an engine.

        `room` is the number of tokens that its running requests leave free.
        """
        if not parts:
            return
        incarnation = _incarnation(backend)
        engine = self._engine_by_id.pop(backend.backend_id, None)
        if engine is None or engine.incarnation != incarnation:
            engine = _EngineParts(incarnation)
        self._engine_by_id[backend.backend_id] = engine
        if len(self._engine_by_id) > MAX_ENGINES:
            self._engine_by_id.popitem(last=False)
        now_ms = self._clock.now_ms()
        # Later parts are of no use without the earlier ones, so the earlier
        # ones count as used more recently.
        for part, tokens in reversed(parts):
            engine.store(part, _Held(tokens, now_ms))
        engine.evict(room)

    def forget(self, backend_id: ids.BackendId) -> None:
        """Forget all parts of an engine that was lost."""
        self._engine_by_id.pop(backend_id, None)

    def expected_tokens(
        self, backend: backends.Backend, parts: Parts, room: float
    ) -> float:
        """Return the tokens of a prompt that need no prefill, times chance.

        A part is of use only if all parts before it are held too. This
        changes no state.
        """
        return max(
            self._sent_tokens(backend, parts, room),
            self._home_tokens(backend.backend_id, parts, room),
        )

    def _home_tokens(
        self, backend_id: ids.BackendId, parts: Parts, room: float
    ) -> float:
        if not self._home_chance or len(parts) < 2:
            return 0.0
        if not _is_home(backend_id, parts[-2][0]):
            return 0.0
        tokens = sum(tokens for _, tokens in parts[:-1])
        return self._home_chance * tokens if tokens <= room else 0.0

    def _sent_tokens(
        self, backend: backends.Backend, parts: Parts, room: float
    ) -> float:
        engine = self._engine_by_id.get(backend.backend_id)
        if (
            engine is None
            or not parts
            or parts[0][0] not in engine.held_by_part
            or engine.incarnation != _incarnation(backend)
        ):
            return 0.0
        evicted = engine.evicted(room)
        now_ms, chance, expected = self._clock.now_ms(), 1.0, 0.0
        for part, tokens in parts:
            held = engine.held_by_part.get(part)
            if held is None or held.tokens != tokens or part in evicted:
                break
            age_ms = now_ms - held.used_at_ms
            if age_ms > self._reuse_ms:
                break
            chance = min(chance, CHANCE_AT_WINDOW ** (age_ms / self._reuse_ms))
            expected += tokens * chance
        return expected


def _is_home(backend_id: ids.BackendId, part: ids.PromptPart) -> bool:
    digest = xxhash.xxh64_intdigest(f"{part}/{backend_id}".encode())
    return digest < HOME_FRACTION * 2**64


def _incarnation(backend: backends.Backend) -> tuple[str, int, str]:
    return backend.software, backend.born, backend.address
