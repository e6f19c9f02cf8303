"""Choice of the engine for an attempt."""

import random

from oriolejunction import blackboard as blackboards
from oriolejunction import configuration
from oriolejunction.controllers import generation_runner
from oriolejunction import ids
from oriolejunction import states


def random_choice(
    blackboard: blackboards.Blackboard, rng: random.Random
) -> generation_runner.ChooseEngine:
    """Return a chooser that takes any live engine; the baseline."""

    def choose(
        model: ids.ModelName, excluded: frozenset[ids.EngineId]
    ) -> configuration.Engine | None:
        in_force = blackboard.in_force.read()
        state_by_id = blackboard.engine_state_by_id.read()
        candidates = [
            engine
            for engine in in_force.configuration.engines_of(model)
            if engine.engine_id not in excluded
            and state_by_id.get(engine.engine_id, states.EngineState.LIVE)
            is states.EngineState.LIVE
        ]
        return rng.choice(candidates) if candidates else None

    return choose
