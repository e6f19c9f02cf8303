"""Routing by expected time, with dispatches newer than the reports."""

import random

import hypothesis
from hypothesis import strategies

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers import dispatches as dispatch_state
from oriolejunction.controllers.overload import retry_budget
from oriolejunction.controllers import prefix_caches
from oriolejunction.controllers import route_request
from oriolejunction.controllers import routing
from oriolejunction import engine_protocol
from oriolejunction import prefix_blocks

PROMPT = "x" * 640


def _state(tokens_per_s_by_id, running=0):
    clock = clocks.ManualClock(10_000.0)
    blackboard = blackboards.Blackboard()
    blackboard.engine_report_by_id.claim_writer("test")(
        {
            engine_id: blackboards.EngineReport(
                running, 0, speed, measured_at_ms=8_000.0, max_running=8
            )
            for engine_id, speed in tokens_per_s_by_id.items()
        }
    )
    state = routing.RoutingState(
        blackboard,
        dispatch_state.Dispatches(clock),
        prefix_caches.PrefixCaches(clock),
    )
    return state, clock


def _route(name="g", prompt="p", delivered=0):
    return route_request.RouteRequest(
        generation=name,
        workspace="w",
        model="m",
        version="1",
        adapter="",
        prompt=prompt,
        excluded=frozenset(),
        continuation=False,
        fingerprint="f",
        delivered=delivered,
    )


def _engines(*names):
    return [configuration.Engine(name, "", "z", "m") for name in names]


def _begin(state, name, engine_id):
    placement = route_request.Placement(name, engine_id)
    state.dispatches.begin(placement, 10, 10)
    return placement


def test_estimated_streams_include_dispatches_since_the_report():
    state, clock = _state({"a": 100.0}, running=2)
    clock.advance(10)
    placements = [_begin(state, str(n), "a") for n in range(3)]
    assert routing.estimated_streams(state, "a") == 5
    clock.advance(10)
    state.dispatches.end(placements[0])
    assert routing.estimated_streams(state, "a") == 4


def test_burst_spreads_evenly_without_new_reports():
    state, _ = _state({"a": 100.0, "b": 100.0, "c": 100.0})
    pick = routing.make_picker(
        routing.RoutingPolicy.SCORED, state, random.Random(1)
    )
    for number in range(24):
        chosen = pick(_route(), _engines("a", "b", "c"))
        _begin(state, str(number), chosen.engine_id)
    counts = [state.dispatches.open_count(e) for e in "abc"]
    assert counts == [8, 8, 8]


def test_observed_speed_overrides_the_reported_speed():
    state, clock = _state({"a": 100.0, "b": 100.0})
    placement = _begin(state, "g", "a")
    for _ in range(50):
        clock.advance(80)
        state.dispatches.record_progress(placement, 1)
    state.dispatches.end(placement)
    pick = routing.make_picker(
        routing.RoutingPolicy.SCORED, state, random.Random(1)
    )
    assert pick(_route(), _engines("a", "b")).engine_id == "b"


def test_cached_prefix_is_preferred_until_its_engine_is_loaded():
    state, _ = _state(dict.fromkeys("abcd", 100.0))
    blocks = prefix_blocks.block_hashes("1", "", PROMPT)
    state.caches.record_dispatch("d", blocks)
    pick = routing.make_picker(
        routing.RoutingPolicy.SCORED, state, random.Random(1)
    )
    engines = _engines(*"abcd")
    assert pick(_route(prompt=PROMPT), engines).engine_id == "d"
    for number in range(20):
        _begin(state, str(number), "d")
    assert pick(_route(prompt=PROMPT), engines).engine_id != "d"


def test_gap_lowers_trust_and_restart_discards_cache_hints():
    state, _ = _state({"a": 100.0})
    blocks = prefix_blocks.block_hashes("1", "", PROMPT)
    event = engine_protocol.CacheEvent(1, blocks)
    state.caches.observe("a", engine_protocol.CacheEvents("1", (event,)))
    assert state.caches.cached_blocks("a", blocks) == len(blocks)
    after_gap = engine_protocol.CacheEvent(5)
    state.caches.observe("a", engine_protocol.CacheEvents("1", (after_gap,)))
    assert state.caches.cached_blocks("a", blocks) == len(blocks) / 2
    state.caches.observe("a", engine_protocol.CacheEvents("2", ()))
    assert state.caches.cached_blocks("a", blocks) == 0


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abc"),
            strategies.integers(0, 9),
            strategies.booleans(),
        ),
        max_size=60,
    )
)
def test_open_attempts_are_those_begun_and_not_ended(steps):
    state, clock = _state({"a": 100.0})
    expected = set()
    for engine_id, number, begins in steps:
        placement = route_request.Placement(str(number), engine_id)
        clock.advance(1)
        if begins:
            state.dispatches.begin(placement, 10, 10)
            expected.add(placement)
        else:
            state.dispatches.end(placement)
            expected.discard(placement)
    assert state.dispatches.total_open() == len(expected)
    for engine_id in "abc":
        expected_on_engine = [p for p in expected if p.engine_id == engine_id]
        assert state.dispatches.open_count(engine_id) == len(
            expected_on_engine
        )
        assert state.dispatches.kv_tokens(engine_id) == 10 * len(
            expected_on_engine
        )


@hypothesis.given(strategies.lists(strategies.integers(0, 20), max_size=400))
def test_retry_budget_bounds_extra_attempts(generations):
    budget = retry_budget.RetryBudget()
    spent = 0
    for number in generations:
        route = _route(str(number))
        if budget.allows(route):
            budget.spend(route)
            spent += 1
    distinct = len(set(generations))
    free = retry_budget.FREE_ATTEMPTS * distinct
    refilled = retry_budget.REFILL_PER_GENERATION * distinct
    assert spent <= free + retry_budget.MAX_BUDGET + refilled
