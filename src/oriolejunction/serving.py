"""The components of an instance that choose engines and admit requests.

They are built once for each instance, and share one membership, one table of
dispatches and one quarantine.
"""

import asyncio
import dataclasses
import random

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction.controllers import dispatcher as dispatchers
from oriolejunction.controllers import dispatches as dispatch_state
from oriolejunction.controllers import engine_losses
from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import generation_attempt
from oriolejunction.controllers import membership as memberships
from oriolejunction.controllers.overload import admission as admissions
from oriolejunction.controllers.overload import retry_budget
from oriolejunction.controllers.overload import serving_capacity
from oriolejunction.controllers import prefix_caches
from oriolejunction.controllers import quarantine as quarantines
from oriolejunction.controllers import routing
from oriolejunction.http import admission_gate
from oriolejunction.http import load_reports
from oriolejunction.http import platform_list
from oriolejunction.http import tracked_engines
from oriolejunction import ids
from oriolejunction.peers import gossip_service
from oriolejunction.peers import gossip_state
from oriolejunction.peers import transport as transports
from oriolejunction import supervision


@dataclasses.dataclass(frozen=True)
class ServingOptions:
    """Policies and limits; only benches choose other policies."""

    routing_policy: routing.RoutingPolicy = routing.RoutingPolicy.SCORED
    admission_policy: admissions.AdmissionPolicy = (
        admissions.AdmissionPolicy.FAIR
    )
    quarantine_policy: quarantines.QuarantinePolicy = (
        quarantines.QuarantinePolicy.ISOLATE
    )
    max_requests: int = 4_096
    platform_list_url: str | None = None


class Serving:
    """Membership, routing, admission and quarantine of one instance."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        clock: clocks.Clock,
        blackboard: blackboards.Blackboard,
        engines: generation_attempt.EnginePort,
        transport: transports.PeerTransport,
        options: ServingOptions,
    ) -> None:
        self._clock = clock
        self.membership = memberships.Membership(blackboard, clock)
        self.dispatches = dispatch_state.Dispatches(clock)
        self.caches = prefix_caches.PrefixCaches(clock)
        self._retries = retry_budget.RetryBudget()
        state = routing.RoutingState(blackboard, self.dispatches, self.caches)
        capacity = serving_capacity.ServingCapacity(
            state, options.max_requests
        )
        self.quarantine = quarantines.Quarantine(
            clock, capacity.engines_in_zone, options.quarantine_policy
        )
        self.dispatcher = dispatchers.Dispatcher(
            dispatchers.DispatcherDependencies(
                clock=clock,
                blackboard=blackboard,
                membership=self.membership,
                dispatches=self.dispatches,
                caches=self.caches,
                quarantine=self.quarantine,
                retries=self._retries,
                free_slots_on=(
                    capacity.free_slots_on
                    if options.admission_policy
                    is admissions.AdmissionPolicy.FAIR
                    else lambda engine_id: 1
                ),
                pick=routing.make_picker(
                    options.routing_policy, state, random.Random(instance_id)
                ),
            )
        )
        self.admission = admissions.Admission(clock, capacity.capacity)
        blackboard.in_force.changes().subscribe(self._expect_requests)
        self.gate = admission_gate.AdmissionGate(
            admission_gate.GateDependencies(
                clock=clock,
                admission=self.admission,
                dispatcher=self.dispatcher,
                free_slots=lambda: capacity.free_slots(self.admission.running),
                end_generation=self._forget_generation,
                policy=options.admission_policy,
            )
        )
        self.engines = tracked_engines.TrackedEngines(
            engines, self.membership, self.dispatches, self.quarantine
        )
        self.gossip = gossip_service.GossipService(
            instance_id,
            clock,
            blackboard,
            gossip_state.GossipState(
                instance_id, clock, self.membership, self.quarantine
            ),
            transport,
        )
        engine_losses.subscribe(
            blackboard, self.membership, self.quarantine, capacity.zone_of
        )
        self._load_reports = load_reports.LoadReportPoller(
            load_reports.ReportDependencies(
                clock, blackboard, self.membership, self.caches
            )
        )
        self._platform_list = platform_list.PlatformListPoller(
            options.platform_list_url, clock, self.membership
        )

    def start(self) -> list[asyncio.Task]:
        """Start the pollers, the admission gate and the gossip."""
        components = (
            self._load_reports,
            self._platform_list,
            self.gate,
            self.gossip,
        )
        return [
            asyncio.create_task(
                supervision.run_supervised(each.run, self._clock)
            )
            for each in components
        ]

    async def close(self) -> None:
        """Close all connections."""
        for client in (self._load_reports, self._platform_list, self.gossip):
            await client.close()

    def _expect_requests(self, in_force: blackboards.InForce | None) -> None:
        if in_force is not None:
            self.admission.expect_requests(in_force.configuration.workspaces)

    def _forget_generation(self, generation: generations.Generation) -> None:
        self.dispatches.forget(generation.generation_id)
        self.quarantine.forget(generation.generation_id)
        self._retries.forget(generation.generation_id)
