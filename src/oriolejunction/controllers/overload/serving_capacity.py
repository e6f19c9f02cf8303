"""This instance's part of the capacity of all live engines."""

import math

from oriolejunction import configuration
from oriolejunction.controllers.overload import admission as admissions
from oriolejunction.controllers import routing
from oriolejunction import ids
from oriolejunction import states

DEFAULT_SLOTS = 32
UNKNOWN_ZONE = ids.ZoneId("")


class ServingCapacity:
    """Computes capacities from the state on the blackboard."""

    def __init__(self, state: routing.RoutingState, max_requests: int) -> None:
        self._state = state
        self._max_requests = max_requests

    def capacity(self) -> admissions.Capacity:
        """Return this instance's part of the engines' tokens per second."""
        instances = max(1, len(self._state.blackboard.instance_by_id.read()))
        total = sum(
            self._slots(engine.engine_id)
            * 1000.0
            / routing.token_time_ms(self._state, engine.engine_id)
            for engine in self._live_engines()
        )
        return admissions.Capacity(
            total / instances, instances, self._max_requests
        )

    def free_slots(self, running: int) -> int:
        """Return how many more requests the live engines can take.

        `running` counts the admitted requests, some of which still wait for
        an engine.
        """
        free = sum(
            self.free_slots_on(engine.engine_id)
            for engine in self._live_engines()
        )
        undispatched = max(0, running - self._state.dispatches.total_open())
        return max(0, free - undispatched)

    def free_slots_on(self, engine_id: ids.EngineId) -> int:
        """Return how many more requests this instance may give an engine.

        All instances read the same delayed reports. Each may always use its
        equal part of an engine's slots, whatever the last report says, and
        its part of the free slots in the report where that is more.
        """
        slots = self._slots(engine_id)
        instances = max(1, len(self._state.blackboard.instance_by_id.read()))
        guaranteed = math.ceil(slots / instances)
        own = self._state.dispatches.open_count(engine_id)
        free = slots - routing.estimated_streams(self._state, engine_id)
        return max(0, guaranteed - own, int(free // instances))

    def engines_in_zone(self, zone: ids.ZoneId) -> int:
        """Return the number of configured engines in a zone."""
        return sum(engine.zone == zone for engine in self._engines())

    def zone_of(self, engine_id: ids.EngineId) -> ids.ZoneId:
        """Return the zone of a configured engine."""
        return next(
            (e.zone for e in self._engines() if e.engine_id == engine_id),
            UNKNOWN_ZONE,
        )

    def _engines(self) -> tuple[configuration.Engine, ...]:
        in_force = self._state.blackboard.in_force.read()
        return in_force.configuration.engines if in_force else ()

    def _live_engines(self) -> list[configuration.Engine]:
        state_by_id = self._state.blackboard.engine_state_by_id.read()
        return [
            engine
            for engine in self._engines()
            if state_by_id.get(engine.engine_id) is states.EngineState.LIVE
        ]

    def _slots(self, engine_id: ids.EngineId) -> int:
        report_by_id = self._state.blackboard.engine_report_by_id.read()
        report = report_by_id.get(engine_id)
        return (report.max_running if report else 0) or DEFAULT_SLOTS
