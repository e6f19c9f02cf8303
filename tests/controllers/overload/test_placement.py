"""Placement under its load patterns, simulated without engines."""

import collections
import random

import msgspec
import pytest

from oriolejunction import backends
from oriolejunction.controllers.overload import placement
from oriolejunction import ids

ZONES = ("z0", "z1", "z2")
PROMPT = 8_200
KV = 9_300
KV_LIMIT = 88_000


class Fleet:
    """Twelve engines; each of three zones has one with each speed."""

    def __init__(self, speeds=(0.7, 0.7, 1.7, 1.0)):
        self.engines = []
        for number in range(12):
            self.engines.append(
                {
                    "id": f"e{number}",
                    "zone": ZONES[number % 3],
                    "speed": speeds[number // 3],
                    "prefill": 0,
                    "streams": 0,
                    "kv": 0,
                    "up": True,
                }
            )

    def candidates(self, engines=None):
        return [
            placement.Candidate(
                backend=backends.Backend(
                    ids.BackendId(e["id"]),
                    ids.ServiceName("llm"),
                    e["id"],
                    ids.ZoneId(e["zone"]),
                ),
                streams=e["streams"],
                kv_tokens=e["kv"],
                prefill_tokens=e["prefill"],
                kv_limit=KV_LIMIT,
                slots=24,
                event_ms=32 * e["speed"],
                prefill_ms_per_k=125 * e["speed"],
            )
            for e in (engines or self.engines)
            if e["up"]
        ]

    def begin(self, backend_id, prompt=PROMPT):
        engine = self.by_id(backend_id)
        engine["prefill"] += prompt
        engine["streams"] += 1
        engine["kv"] += KV

    def by_id(self, backend_id):
        return next(e for e in self.engines if e["id"] == backend_id)


REQUIREMENTS = placement.StreamRequirements(PROMPT, KV, ids.ZoneId("z0"))


def test_simultaneous_prompts_get_separate_engines():
    """Load: a burst of one prompt for each fast engine."""
    fleet = Fleet()
    rng = random.Random(1)
    for _ in range(6):
        chosen = placement.choose_engine(fleet.candidates(), REQUIREMENTS, rng)
        fleet.begin(chosen.backend.backend_id)
    assert max(e["streams"] for e in fleet.engines) == 1


def test_streams_of_a_lost_zone_are_spread_over_the_survivors():
    """Load: eight streams are lost with a zone and placed at once."""
    fleet = Fleet()
    for engine in fleet.engines:
        engine["streams"], engine["kv"] = 2, 2 * KV
        engine["up"] = engine["zone"] != "z1"
    rng = random.Random(1)
    for _ in range(8):
        chosen = placement.choose_engine(fleet.candidates(), REQUIREMENTS, rng)
        assert chosen.backend.zone != "z1"
        fleet.begin(chosen.backend.backend_id, prompt=200)
    assert max(e["streams"] for e in fleet.engines if e["up"]) <= 4


def test_engine_with_a_full_kv_cache_gets_no_stream():
    """Load: nine streams fill an engine's KV cache but not its slots."""
    fleet = Fleet()
    for engine in fleet.engines:
        engine["streams"], engine["kv"] = 9, 9 * KV
    rng = random.Random(1)
    assert (
        placement.choose_engine(fleet.candidates(), REQUIREMENTS, rng) is None
    )
    fleet.engines[4]["kv"] -= 2 * KV
    chosen = placement.choose_engine(fleet.candidates(), REQUIREMENTS, rng)
    assert chosen.backend.backend_id == "e4"


@pytest.mark.parametrize("zone", ZONES)
def test_kv_cache_copy_is_in_another_zone(zone):
    fleet = Fleet()
    rng = random.Random(1)
    runs_on = next(e for e in fleet.candidates() if e.backend.zone == zone)
    for _ in range(30):
        copy = placement.choose_kv_copy_engine(
            fleet.candidates(), REQUIREMENTS, runs_on.backend, rng
        )
        assert copy.backend.zone != zone


def test_kv_cache_copy_goes_to_the_engine_with_free_memory():
    fleet = Fleet()
    for engine in fleet.engines:
        engine["kv"] = 9 * KV
    fleet.engines[5]["kv"] = 0
    rng = random.Random(1)
    runs_on = fleet.candidates()[0]
    copy = placement.choose_kv_copy_engine(
        fleet.candidates(), REQUIREMENTS, runs_on.backend, rng
    )
    assert copy.backend.backend_id == "e5"


def mean_wait_ms(choose, seed):
    """Simulate 4 prompts a second; an engine prefills them one by one."""
    rng = random.Random(seed)
    fleet = Fleet()
    free_at = {e["id"]: 0.0 for e in fleet.engines}
    now, waits = 0.0, []
    for _ in range(400):
        now += rng.expovariate(4.0) * 1e3
        for e in fleet.engines:
            busy_ms = max(0.0, free_at[e["id"]] - now)
            e["prefill"] = int(busy_ms / (0.125 * e["speed"]))
        chosen = choose(fleet.candidates(), rng)
        engine = fleet.by_id(chosen.backend.backend_id)
        start = max(now, free_at[engine["id"]])
        free_at[engine["id"]] = start + PROMPT * 0.125 * engine["speed"]
        waits.append(free_at[engine["id"]] - now)
    return sum(waits) / len(waits)


def test_scored_placement_waits_less_than_a_random_one():
    def scored(candidates, rng):
        return placement.choose_engine(candidates, REQUIREMENTS, rng)

    def random_choice(candidates, rng):
        return rng.choice(candidates)

    for seed in range(5):
        ratio = mean_wait_ms(scored, seed) / mean_wait_ms(random_choice, seed)
        assert ratio < 0.75


def test_engines_of_a_failing_zone_are_avoided():
    """Load: two engines of a zone are known to be lost, two are not."""
    fleet = Fleet()
    listed = [c.backend for c in fleet.candidates()]
    lost = {"e0", "e3"}
    failing = placement.failing_zones(listed, lost)
    assert failing == {"z0"}
    assert placement.failing_zones(listed, {"e0", "e1", "e2"}) == frozenset()
    candidates = [
        msgspec.structs.replace(c, zone_failing=c.backend.zone in failing)
        for c in fleet.candidates()
        if c.backend.backend_id not in lost
    ]
    rng = random.Random(1)
    for _ in range(30):
        chosen = placement.choose_engine(candidates, REQUIREMENTS, rng)
        assert chosen.backend.zone != "z0"
        copy = placement.choose_kv_copy_engine(
            candidates, REQUIREMENTS, chosen.backend, rng
        )
        assert copy.backend.zone not in ("z0", chosen.backend.zone)
    neighbours = [c for c in candidates if c.zone_failing]
    assert placement.choose_engine(neighbours, REQUIREMENTS, rng) is not None


class TimedFleet(Fleet):
    """A fleet whose engines prefill one prompt after the other."""

    def __init__(self, speeds):
        super().__init__(speeds)
        self.pending = []
        self.answer_ms = []

    def advance(self, now_ms):
        """Finish the prefills and answers that are due."""
        for due_ms, engine, change in sorted(
            (p for p in self.pending if p[0] <= now_ms), key=lambda p: p[0]
        ):
            for key, value in change.items():
                engine[key] -= value
        self.pending = [p for p in self.pending if p[0] > now_ms]

    def place(self, now_ms, requirements, rng):
        chosen = placement.choose_engine(self.candidates(), requirements, rng)
        engine = self.by_id(chosen.backend.backend_id)
        first_ms = placement.first_event_ms(chosen, PROMPT)
        answer_ms = first_ms + 140 * chosen.event_ms
        self.begin(engine["id"])
        self.pending += [
            (now_ms + first_ms, engine, {"prefill": PROMPT}),
            (now_ms + answer_ms, engine, {"streams": 1, "kv": KV}),
        ]
        self.answer_ms.append(answer_ms)
        return engine, first_ms


def test_answers_run_on_fast_engines_while_these_have_capacity():
    """Load: four streams a second, and every third engine is slow.

    An answer takes a slow engine 9 s and a fast one 4 s.
    """
    fleet = TimedFleet(speeds=(0.7, 0.7, 1.7, 0.7))
    rng = random.Random(1)
    requirements = msgspec.structs.replace(
        REQUIREMENTS, events=140.0, first_event_ms=4_500.0
    )
    latest_first_ms = 0.0
    for now_ms in range(0, 60_000, 250):
        fleet.advance(now_ms)
        _, first_ms = fleet.place(now_ms, requirements, rng)
        latest_first_ms = max(latest_first_ms, first_ms)
    assert max(fleet.answer_ms) < 6_000
    assert latest_first_ms < 4_500


def test_instances_with_the_same_view_spread_a_wave():
    """Load: 15 instances place a lost zone's streams on what they know.

    None of them knows of the others' choices yet.
    """
    fleet = Fleet(speeds=(0.7, 0.7, 0.7, 0.7))
    for number, engine in enumerate(fleet.engines):
        engine["speed"] = 0.7 + 0.003 * number
    requirements = msgspec.structs.replace(REQUIREMENTS, events=140.0)
    most = []
    for seed in range(20):
        rng = random.Random(seed)
        counts = collections.Counter(
            placement.choose_engine(
                fleet.candidates(), requirements, rng
            ).backend.backend_id
            for _ in range(15)
        )
        most.append(max(counts.values()))
    assert sum(most) / len(most) <= 5


def test_slow_engine_in_time_goes_before_a_fast_one_that_is_late():
    """Load: a zone's streams return at once and fill the fast engines."""
    fleet = Fleet(speeds=(0.7, 0.7, 1.7, 0.7))
    for engine in fleet.engines:
        if engine["speed"] < 1.0:
            engine["prefill"], engine["streams"] = 6 * PROMPT, 6
    requirements = msgspec.structs.replace(
        REQUIREMENTS, events=140.0, first_event_ms=4_500.0
    )
    chosen = placement.choose_engine(
        fleet.candidates(), requirements, random.Random(1)
    )
    assert fleet.by_id(chosen.backend.backend_id)["speed"] == 1.7
