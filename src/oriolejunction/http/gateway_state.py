"""Creates the state that an instance serves its requests with."""

import math
import random

import msgspec

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction.controllers import answer_lengths
from oriolejunction.controllers import backend_health
from oriolejunction.controllers import backend_view
from oriolejunction.controllers import cached_parts
from oriolejunction.controllers import crash_guard
from oriolejunction.controllers import engine_speeds
from oriolejunction.controllers import load_table
from oriolejunction.controllers.overload import buffer_budget
from oriolejunction.controllers.overload import reported_loads
from oriolejunction.controllers.overload import resend_budget
from oriolejunction.controllers.overload import server_departures
from oriolejunction.controllers.overload import server_intake
from oriolejunction.controllers.overload import server_limits
from oriolejunction.controllers.overload import server_pauses
from oriolejunction.controllers.overload import wait_forecast
from oriolejunction.controllers import part_guard
from oriolejunction.controllers import reachability
from oriolejunction.controllers import rollout_gate
from oriolejunction import fleet_view
from oriolejunction import gateway_messages
from oriolejunction.http import answer_body
from oriolejunction.http import connection_pool
from oriolejunction.http import gateway_common
from oriolejunction.http import isolation_check
from oriolejunction.http import placement_queue
from oriolejunction.http import report_probe
from oriolejunction.http import stop_limit
from oriolejunction import ids
from oriolejunction.peers import origin_client
from oriolejunction import telemetry

_PLACEMENT_FIELDS = ("load_by_id", "speed_by_id", "suspects", "limit_by_id")


def new_dependencies(
    clock: clocks.Clock,
    blackboard: blackboards.Blackboard,
    wire_format: gateway_messages.WireFormat,
    limits: resend_budget.BudgetLimits,
    zone: ids.ZoneId,
    rng: random.Random,
    exposure_share: float | None = None,
    buffer_bytes: float = math.inf,
    prompt_reuse_ms: float | None = None,
) -> gateway_common.GatewayDependencies:
    """Return the dependencies of one instance, with empty state.

    `exposure_share` is that of rollouts, None where there are none.
    `buffer_bytes` is the memory for bodies and unread answers together.
    `prompt_reuse_ms` is how long engines are expected to keep the parts of
    prompts, None to ignore them.
    """
    unread = buffer_budget.BufferBudget(
        (1.0 - buffer_budget.BODIES_FRACTION) * buffer_bytes
    )
    # Without rollouts, the seed must give the same choices as before.
    salt = 0 if exposure_share is None else rng.getrandbits(32)
    rollouts = rollout_gate.RolloutGate(clock, exposure_share, salt)
    own_loads = load_table.LoadTable()
    speeds = engine_speeds.EngineSpeeds(clock)
    health = backend_health.BackendHealth(clock)
    guard = crash_guard.CrashGuard(clock)
    parts = part_guard.PartGuard(clock, guard.losses, rng)
    budget = resend_budget.ResendBudget(clock, limits)

    def share_of(service: ids.ServiceName) -> float:
        fleet = blackboard.fleet.read()
        others = fleet.use_by_others(service, clock.now_ms())
        return budget.share(service, fleet.entry_count, others)

    def hears_others() -> bool:
        age_ms = clock.now_ms() - blackboard.fleet.read().updated_at_ms
        return age_ms <= fleet_view.MAX_USE_AGE_MS

    limit_table = server_limits.ServerLimits(
        clock, rng, share_of, hears_others
    )
    intake = server_intake.ServerIntake(
        limit_table,
        server_pauses.ServerPauses(clock, rng),
        server_departures.ServerDepartures(clock),
    )
    queue = placement_queue.PlacementQueue(clock)
    rollouts.on_change = queue.notify_capacity
    reached = reachability.Reachability(clock)
    pool = connection_pool.ConnectionPool(
        clock, reached.record_connection, unread=unread
    )
    origins = origin_client.OriginClient(clock)
    blackboard.backends.changes().subscribe(
        lambda snapshot: origins.history.observe(
            snapshot.by_id.values(), snapshot.read_at_ms
        )
    )
    blackboard.fleet.changes().subscribe(
        lambda fleet: guard.update_reported(
            fleet, blackboard.backends.read().by_id
        )
    )
    blackboard.fleet.changes().subscribe(parts.update_reported)
    blackboard.fleet.changes().subscribe(
        lambda fleet: limit_table.update_reported(
            fleet.limit_by_id, blackboard.backends.read().by_id
        )
    )
    blackboard.backends.changes().subscribe(intake.departures.observe_listed)
    blackboard.fleet.changes().subscribe(
        lambda fleet: intake.departures.observe_reported(fleet.leaving)
    )
    blackboard.backends.changes().subscribe(
        lambda snapshot: rollouts.observe_listed(snapshot.by_id)
    )
    blackboard.table.changes().subscribe(origins.retention.follow)
    blackboard.backends.changes().subscribe(lambda _: queue.notify_capacity())
    blackboard.fleet.changes().subscribe(_CapacityChanges(queue).observe)
    view = backend_view.BackendView(
        blackboard,
        own_loads,
        speeds,
        health,
        intake,
        reported_loads.ReportedLoads(clock, rng),
        zone,
        rng,
        rollouts,
    )
    if prompt_reuse_ms is not None:
        view = msgspec.structs.replace(
            view,
            cached=cached_parts.CachedParts(
                clock, prompt_reuse_ms, cached_parts.HOME_CHANCE
            ),
        )
        blackboard.fleet.changes().subscribe(
            lambda fleet: view.forget_parts(fleet.suspects)
        )
    return gateway_common.GatewayDependencies(
        clock=clock,
        blackboard=blackboard,
        wire_format=wire_format,
        pool=pool,
        peer_pool=connection_pool.ConnectionPool(
            clock, keep_alive=True, unread=unread
        ),
        isolation=isolation_check.IsolationCheck(
            clock, blackboard, pool, reached, rng
        ),
        reached=reached,
        reports=report_probe.EngineReports(clock, pool, wire_format, intake),
        view=view,
        rollouts=rollouts,
        own_loads=own_loads,
        speeds=speeds,
        health=health,
        budget=budget,
        guard=guard,
        parts=parts,
        intake=intake,
        lengths=answer_lengths.AnswerLengths(),
        telemetry=telemetry.GatewayTelemetry(),
        queue=queue,
        release_intervals=wait_forecast.IntervalCache(clock),
        returns=wait_forecast.ReturnSchedule(clock),
        stop_limit=stop_limit.StopLimit(),
        origins=origins,
        bodies=buffer_budget.BufferBudget(
            buffer_budget.BODIES_FRACTION * buffer_bytes
        ),
        answers=buffer_budget.BufferBudget(answer_body.MAX_HELD_BYTES),
    )


class _CapacityChanges:
    """Notifies the placement queue of views that may change a placement."""

    def __init__(self, queue: placement_queue.PlacementQueue) -> None:
        self._queue = queue
        self._last = fleet_view.FleetView()

    def observe(self, view: fleet_view.FleetView) -> None:
        """Notify the queue if loads, speeds or suspects are others now.

        The parts of limits follow the counts of requests, which each view
        renews.
        """
        last, self._last = self._last, view
        if view.limit_by_id or not view.same_fields(last, _PLACEMENT_FIELDS):
            self._queue.notify_capacity()
