"""Messages of the model engines' HTTP protocol.

``POST /v1/generate`` answers with server-sent events; each `EngineEvent`
carries token ids with the text that they complete. A continuation passes
the ids delivered so far as `forced_ids`; they count towards `max_tokens`.
"""

import msgspec

from oriolejunction import commands
from oriolejunction import ids
from oriolejunction import states
from oriolejunction import tolerant_json

LEAVING_HEADER = "X-Engine-Leaving"


class Sampling(msgspec.Struct, frozen=True):
    """Sampling parameters, fixed for the whole generation."""

    temperature: float = 0.0
    top_p: float = 1.0
    seed: int | None = None
    presence_penalty: float = 0.0
    frequency_penalty: float = 0.0


class GenerateRequest(msgspec.Struct, frozen=True):
    """Request for one attempt at a generation."""

    generation: ids.GenerationId
    attempt: ids.AttemptNumber
    model: ids.ModelName
    version: ids.ModelVersion
    adapter: str
    prompt: str
    max_tokens: int
    sampling: Sampling = Sampling()
    forced_ids: tuple[int, ...] = ()
    priority: int = 0


class EngineEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tokens at an offset, or the end if `finish_reason` is set.

    `safe` is false if the ids end inside a UTF-8 sequence.
    """

    generation: ids.GenerationId
    attempt: ids.AttemptNumber
    offset: tolerant_json.Count
    ids: tuple[tolerant_json.Count, ...] = ()
    text: str = ""
    safe: bool = True
    finish_reason: states.FinishReason | None = None
    prompt_tokens: tolerant_json.Count = 0


class LoadReport(msgspec.Struct, frozen=True):
    """Load of an engine; `tokens_per_s` is the speed of one stream.

    `age_ms` is the time since the load was measured. A limit of 0 means
    that the limit is unknown.
    """

    engine_id: ids.EngineId
    incarnation: str
    running: tolerant_json.Count
    waiting: tolerant_json.Count
    tokens_per_s: tolerant_json.Amount
    leaving: bool = False
    age_ms: tolerant_json.Amount = 0.0
    max_running: tolerant_json.Count = 0
    kv_tokens: tolerant_json.Count = 0
    kv_limit_tokens: tolerant_json.Count = 0


class CacheEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """Blocks of prompt prefixes that an engine's cache stored or dropped."""

    number: int
    stored: tuple[int, ...] = ()
    dropped: tuple[int, ...] = ()


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events after a number; a skipped number is a lost event."""

    incarnation: str
    events: tuple[CacheEvent, ...] = ()


class LoadedModels(msgspec.Struct, frozen=True):
    """Models and adapters loaded on an engine, and whether it is busy."""

    loaded: tuple[commands.OrderTarget, ...]
    busy: bool = False


class InjectedFault(msgspec.Struct, frozen=True):
    """A fault to inject into a stand-in engine."""

    kind: str
    duration_ms: int = 0
    marker: str = ""
