"""Prefill queue, KV cache use and delayed load reports of an engine."""

import collections
import collections.abc
import time

import msgspec

from oriolejunction import engine_protocol
from oriolejunction import ids
from oriolejunction import prefix_blocks
from oriolejunction.standin import engine_stream
from oriolejunction.standin import prefix_cache

REPORT_INTERVAL_MS = 50.0
MAX_REPORTS = 512


class PrefillQueue:
    """Prefill prompts one after the other, skipping cached blocks."""

    def __init__(
        self, ms_per_token: float, cache: prefix_cache.PrefixCache
    ) -> None:
        self._ms_per_token = ms_per_token
        self._cache = cache
        self._free_at_ms = 0.0
        self._ready_at_ms: dict[ids.GenerationId, float] = {}

    def add(self, request: engine_protocol.GenerateRequest) -> None:
        """Queue the prefill of a request's prompt and forced tokens."""
        blocks = prefix_blocks.block_hashes(
            request.version, request.adapter, request.prompt
        )
        cached = self._cache.store(blocks) * prefix_blocks.BLOCK_TOKENS
        tokens = prefix_blocks.token_estimate(request.prompt)
        prefill_tokens = max(1, tokens + len(request.forced_ids) - cached)
        start_ms = max(now_ms(), self._free_at_ms)
        self._free_at_ms = start_ms + prefill_tokens * self._ms_per_token
        self._ready_at_ms[request.generation] = self._free_at_ms

    def ready(
        self, streams: list[engine_stream.EngineStream]
    ) -> list[engine_stream.EngineStream]:
        """Return the streams whose prefill is done."""
        now = now_ms()
        return [
            stream
            for stream in streams
            if self._ready_at_ms.get(stream.request.generation, 0.0) <= now
        ]

    def remove(self, stream: engine_stream.EngineStream) -> None:
        """Remove a stream that ended."""
        self._ready_at_ms.pop(stream.request.generation, None)


class DelayedReports:
    """Load reports that become visible `lag_ms` after they are made."""

    def __init__(self, lag_ms: float) -> None:
        self._lag_ms = lag_ms
        self._reports: collections.deque[
            tuple[float, engine_protocol.LoadReport]
        ] = collections.deque(maxlen=MAX_REPORTS)

    def record(self, report: engine_protocol.LoadReport) -> None:
        """Store a report of the current load."""
        self._reports.append((now_ms(), report))

    def latest_visible(
        self, current: engine_protocol.LoadReport
    ) -> engine_protocol.LoadReport:
        """Return the newest report that is at least `lag_ms` old.

        Before there is one, report an idle engine that is not leaving.
        The incarnation is always the current one.
        """
        if not self._lag_ms:
            return current
        now = now_ms()
        visible = [
            (at_ms, report)
            for at_ms, report in self._reports
            if at_ms <= now - self._lag_ms
        ]
        if not visible:
            at_ms, report = now, msgspec.structs.replace(
                current, running=0, waiting=0, leaving=False
            )
        else:
            at_ms, report = visible[-1]
        return msgspec.structs.replace(
            report, incarnation=current.incarnation, age_ms=now - at_ms
        )


def kv_tokens(stream: engine_stream.EngineStream) -> int:
    """Return the tokens that a stream occupies in the KV cache."""
    prompt = prefix_blocks.token_estimate(stream.request.prompt)
    return prompt + stream.offset


def select_running(
    streams: collections.abc.Iterable[engine_stream.EngineStream],
    max_running: int,
    kv_limit_tokens: int,
) -> list[engine_stream.EngineStream]:
    """Return the first streams that fit the slots and the KV cache."""
    selected: list[engine_stream.EngineStream] = []
    used = 0
    for stream in streams:
        used += kv_tokens(stream)
        if len(selected) >= max_running or used > kv_limit_tokens:
            break
        selected.append(stream)
    return selected


def now_ms() -> float:
    """Return the monotonic time in ms."""
    return time.monotonic() * 1000.0
