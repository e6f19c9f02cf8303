"""Choice of the engine for an attempt.

The score of an engine is the expected time to the first token plus the time
to decode a typical answer. It is computed from the load in the engine's last
report plus this instance's dispatches since, the observed speed, and the
prefill tokens that the engine's prefix cache does not save.
"""

import collections.abc
import dataclasses
import enum
import random

from oriolejunction import blackboard as blackboards
from oriolejunction import configuration
from oriolejunction.controllers import dispatches as dispatch_state
from oriolejunction.controllers import prefix_caches
from oriolejunction.controllers import route_request
from oriolejunction import ids
from oriolejunction import prefix_blocks
from oriolejunction import states

SAMPLE_SIZE = 3
TYPICAL_ANSWER_TOKENS = 64
DEFAULT_TOKEN_MS = 20.0
DEFAULT_PREFILL_MS = 0.2
AFFINITY_LOAD_BOUND = 1.25


class RoutingPolicy(enum.Enum):
    """Ways to pick an engine; the last two are baselines of the benches."""

    SCORED = "scored"
    RANDOM = "random"
    ROUND_ROBIN = "round_robin"


@dataclasses.dataclass(frozen=True)
class RoutingState:
    """Inputs of the scores."""

    blackboard: blackboards.Blackboard
    dispatches: dispatch_state.Dispatches
    caches: prefix_caches.PrefixCaches


Pick = collections.abc.Callable[
    [route_request.RouteRequest, list[configuration.Engine]],
    configuration.Engine,
]


def candidates(
    blackboard: blackboards.Blackboard, route: route_request.RouteRequest
) -> list[configuration.Engine]:
    """Return the live engines that may run an attempt."""
    in_force = blackboard.in_force.read()
    if in_force is None:
        return []
    state_by_id = blackboard.engine_state_by_id.read()
    return [
        engine
        for engine in in_force.configuration.engines_for(route.model)
        if engine.engine_id not in route.excluded
        and state_by_id.get(engine.engine_id) is states.EngineState.LIVE
    ]


def make_picker(
    policy: RoutingPolicy, state: RoutingState, rng: random.Random
) -> Pick:
    """Return the function that picks one of several candidates."""
    match policy:
        case RoutingPolicy.RANDOM:
            return lambda route, engines: rng.choice(engines)
        case RoutingPolicy.ROUND_ROBIN:
            return _round_robin_picker()
        case RoutingPolicy.SCORED:
            return _scored_picker(state, rng)


def estimated_streams(state: RoutingState, engine_id: ids.EngineId) -> int:
    """Return the estimated number of streams on an engine."""
    own_streams = state.dispatches.open_count(engine_id)
    report = state.blackboard.engine_report_by_id.read().get(engine_id)
    if report is None:
        return own_streams
    reported = report.running + report.waiting
    begun_since = state.dispatches.net_started_since(
        engine_id, report.measured_at_ms
    )
    return max(own_streams, reported + begun_since)


def first_token_ms(
    state: RoutingState,
    engine_id: ids.EngineId,
    prompt_tokens: int,
    cached_tokens: float,
) -> float:
    """Return the expected time in ms to the first token on an engine."""
    speed = state.dispatches.speed_by_id[engine_id]
    report = state.blackboard.engine_report_by_id.read().get(engine_id)
    token_ms = token_time_ms(state, engine_id)
    per_token_ms = speed.prefill_ms_per_token
    if per_token_ms is None:
        per_token_ms = DEFAULT_PREFILL_MS * token_ms / DEFAULT_TOKEN_MS
    prefill_ms = per_token_ms * max(1.0, prompt_tokens - cached_tokens)
    slots = report.max_running if report else 0
    streams = estimated_streams(state, engine_id)
    if not slots or streams < slots:
        return prefill_ms + token_ms
    streams_ahead = streams - slots + 1
    return (
        prefill_ms + streams_ahead * TYPICAL_ANSWER_TOKENS * token_ms / slots
    )


def token_time_ms(state: RoutingState, engine_id: ids.EngineId) -> float:
    """Return the expected time in ms of one token at the current load."""
    speed = state.dispatches.speed_by_id[engine_id]
    if speed.token_ms is not None:
        return speed.token_ms
    report = state.blackboard.engine_report_by_id.read().get(engine_id)
    if report is not None and report.tokens_per_s > 0:
        return 1000.0 / report.tokens_per_s
    return DEFAULT_TOKEN_MS


def score_ms(
    state: RoutingState,
    engine_id: ids.EngineId,
    prompt_tokens: int,
    cached_tokens: float,
) -> float:
    """Return the expected time in ms of a typical answer."""
    report = state.blackboard.engine_report_by_id.read().get(engine_id)
    slots = report.max_running if report else 0
    load_factor = 1.0 + estimated_streams(state, engine_id) / max(1, slots)
    decode_ms = TYPICAL_ANSWER_TOKENS * token_time_ms(state, engine_id)
    first_ms = first_token_ms(state, engine_id, prompt_tokens, cached_tokens)
    return first_ms + decode_ms * load_factor


def _round_robin_picker() -> Pick:
    position = 0

    def pick(
        route: route_request.RouteRequest, engines: list[configuration.Engine]
    ) -> configuration.Engine:
        nonlocal position
        position += 1
        return engines[position % len(engines)]

    return pick


def _scored_picker(state: RoutingState, rng: random.Random) -> Pick:
    def pick(
        route: route_request.RouteRequest, engines: list[configuration.Engine]
    ) -> configuration.Engine:
        blocks = prefix_blocks.block_hashes(
            route.version, route.adapter, route.prompt
        )
        tokens = prefix_blocks.token_estimate(route.prompt) + route.delivered
        cached_by_id = {
            engine.engine_id: prefix_blocks.BLOCK_TOKENS
            * state.caches.cached_blocks(engine.engine_id, blocks)
            for engine in engines
        }
        sample = rng.sample(engines, min(SAMPLE_SIZE, len(engines)))
        warmest = max(engines, key=lambda e: cached_by_id[e.engine_id])
        if cached_by_id[warmest.engine_id] > 0 and _is_below_load_bound(
            state, warmest, engines
        ):
            sample.append(warmest)
        return min(
            sample,
            key=lambda e: score_ms(
                state, e.engine_id, tokens, cached_by_id[e.engine_id]
            ),
        )

    return pick


def _is_below_load_bound(
    state: RoutingState,
    engine: configuration.Engine,
    engines: list[configuration.Engine],
) -> bool:
    """Return whether prefix affinity may add a stream to an engine.

    The load of an engine is its number of streams times its time per token.
    It may be at most `AFFINITY_LOAD_BOUND` times the mean load.
    """
    loads_ms = [
        (1 + estimated_streams(state, e.engine_id))
        * token_time_ms(state, e.engine_id)
        for e in engines
    ]
    load_ms = (1 + estimated_streams(state, engine.engine_id)) * token_time_ms(
        state, engine.engine_id
    )
    return load_ms <= AFFINITY_LOAD_BOUND * sum(loads_ms) / len(loads_ms)
