"""Choice of the engine for an attempt."""

import random

from oriolejunction import blackboard as blackboards
from oriolejunction import configuration
from oriolejunction.controllers import route_request
from oriolejunction import states


def random_choice(
    blackboard: blackboards.Blackboard, rng: random.Random
) -> route_request.ChooseEngine:
    """Return a chooser that takes any live engine; the baseline."""

    async def choose(
        route: route_request.RouteRequest,
    ) -> configuration.Engine | None:
        in_force = blackboard.in_force.read()
        state_by_id = blackboard.engine_state_by_id.read()
        candidates = [
            engine
            for engine in in_force.configuration.engines_of(route.model)
            if engine.engine_id not in route.excluded
            and state_by_id.get(engine.engine_id, states.EngineState.LIVE)
            is states.EngineState.LIVE
        ]
        return rng.choice(candidates) if candidates else None

    return choose
