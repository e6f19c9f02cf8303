"""What engines hold of prompts, and placement that relies on it."""

import collections
import random

import msgspec

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers import cached_parts
from oriolejunction.controllers.overload import placement
from oriolejunction import ids

ENGINE = backends.Backend(
    ids.BackendId("e0"),
    ids.ServiceName("llm"),
    "10.0.0.1:1",
    ids.ZoneId("z"),
    born=5,
)
PARTS = ((ids.PromptPart("a"), 1_000), (ids.PromptPart("b"), 3_000))
REUSE_MS = 8_000.0


def new_model():
    clock = clocks.ManualClock()
    return clock, cached_parts.CachedParts(clock, REUSE_MS)


def test_only_leading_parts_count():
    """Failure: a later part is taken to save prefill without the earlier."""
    _, model = new_model()
    model.record_sent(ENGINE, PARTS, 88_000)
    other = (ids.PromptPart("c"), 10)
    assert model.expected_tokens(ENGINE, PARTS, 88_000) == 4_000
    assert model.expected_tokens(ENGINE, (PARTS[0], other), 88_000) == 1_000
    assert model.expected_tokens(ENGINE, PARTS[1:], 88_000) == 3_000
    assert model.expected_tokens(ENGINE, (other, *PARTS), 88_000) == 0


def test_least_recent_parts_are_forgotten_as_running_requests_grow():
    """Failure: parts that no longer fit into the KV cache attract requests."""
    _, model = new_model()
    model.record_sent(ENGINE, PARTS, 88_000)
    newer = ((ids.PromptPart("n"), 2_000),)
    model.record_sent(ENGINE, newer, 88_000)
    assert model.expected_tokens(ENGINE, PARTS, 4_000) == 1_000
    assert model.expected_tokens(ENGINE, newer, 4_000) == 2_000
    # A lookup evicts nothing.
    assert model.expected_tokens(ENGINE, PARTS, 6_000) == 4_000
    model.record_sent(ENGINE, newer, 2_000)
    assert model.expected_tokens(ENGINE, PARTS, 88_000) == 0


def test_restart_version_loss_and_age_forget():
    """Failure: a restarted engine is taken to hold what it has lost."""
    clock, model = new_model()
    model.record_sent(ENGINE, PARTS, 88_000)
    for change in ({"born": 6}, {"software": "v2"}):
        changed = msgspec.structs.replace(ENGINE, **change)
        assert model.expected_tokens(changed, PARTS, 88_000) == 0
    clock.advance(REUSE_MS)
    assert model.expected_tokens(ENGINE, PARTS, 88_000) == 2_000
    clock.advance(1)
    assert model.expected_tokens(ENGINE, PARTS, 88_000) == 0
    model.record_sent(ENGINE, PARTS, 88_000)
    model.forget(ENGINE.backend_id)
    assert model.expected_tokens(ENGINE, PARTS, 88_000) == 0


def test_memory_is_bounded():
    """Failure: prompts with many parts or many engines fill the memory."""
    _, model = new_model()
    many = tuple(
        (ids.PromptPart(str(n)), 1) for n in range(3 * cached_parts.MAX_PARTS)
    )
    model.record_sent(ENGINE, many, float("inf"))
    held = model.expected_tokens(ENGINE, many, float("inf"))
    assert held == cached_parts.MAX_PARTS
    for n in range(cached_parts.MAX_ENGINES):
        other = msgspec.structs.replace(ENGINE, backend_id=f"o{n}")
        model.record_sent(other, PARTS, 88_000)
    assert model.expected_tokens(ENGINE, many, float("inf")) == 0


def test_popular_part_gets_a_second_holder():
    """Failure: all requests with one popular part go to one engine."""
    _, model = new_model()
    rng, streams = random.Random(1), collections.Counter()
    engines = [
        msgspec.structs.replace(ENGINE, backend_id=ids.BackendId(f"e{n}"))
        for n in range(4)
    ]
    chosen_in_order = []
    for _ in range(16):
        candidates = []
        for each in engines:
            kv = 9_300 * streams[each.backend_id]
            cached = model.expected_tokens(each, PARTS, 88_000 - kv)
            candidates.append(
                placement.Candidate(
                    backend=each,
                    streams=streams[each.backend_id],
                    kv_tokens=kv,
                    prefill_tokens=0,
                    kv_limit=88_000,
                    slots=12,
                    event_ms=32.0,
                    prefill_ms_per_k=125.0,
                    cached_tokens=cached,
                )
            )
        chosen = placement.choose_engine(
            candidates,
            placement.StreamRequirements(8_200, 9_300, ids.ZoneId("z")),
            rng,
        )
        model.record_sent(
            chosen.backend, PARTS, chosen.kv_limit - chosen.kv_tokens
        )
        streams[chosen.backend.backend_id] += 1
        chosen_in_order.append(chosen.backend.backend_id)
    assert len(set(chosen_in_order)) > 1
    assert max(streams.values()) <= 8


def test_homes_are_few_and_the_same_for_all_instances():
    """Failure: instances that know nothing of each other scatter a part."""
    engines = [
        msgspec.structs.replace(ENGINE, backend_id=ids.BackendId(f"e{n}"))
        for n in range(200)
    ]
    homes = []
    for _ in range(2):
        model = cached_parts.CachedParts(clocks.ManualClock(), REUSE_MS, 0.5)
        tokens = [model.expected_tokens(e, PARTS, 88_000) for e in engines]
        assert set(tokens) == {0.0, 500.0}
        homes.append([e for e, count in zip(engines, tokens) if count])
        assert not any(model.expected_tokens(e, PARTS, 900) for e in engines)
    assert homes[0] == homes[1]
    assert 20 <= len(homes[0]) <= 60
