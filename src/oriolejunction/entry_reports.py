"""Builds the reports of an entry instance to the control replicas."""

import collections.abc

from oriolejunction import commands
from oriolejunction.controllers.overload import urgency
from oriolejunction import fleet_messages as fm
from oriolejunction.http import gateway_common
from oriolejunction import ids


class EntryReports:
    """Numbers the reports of one incarnation, `boot`, of an instance.

    `helpers` returns where the instance serves requests of others.
    """

    def __init__(
        self,
        deps: gateway_common.GatewayDependencies,
        instance: ids.InstanceId,
        boot: str,
        helpers: collections.abc.Callable[[], tuple[str, ...]],
    ) -> None:
        self._deps = deps
        self.instance = instance
        self.boot = boot
        self._helpers = helpers
        self._number = 0

    def next_report(self) -> fm.EntryReport:
        """Return the load and observations of now."""
        deps = self._deps
        self._number += 1
        return fm.EntryReport(
            instance=self.instance,
            boot=self.boot,
            number=self._number,
            loads=tuple(deps.own_loads.loads().values()),
            suspects=deps.health.suspects(),
            crashes=deps.guard.crashes(),
            speeds=deps.speeds.own_speeds(),
            uses=self._uses(),
            answered=deps.guard.answered(),
            part_crashes=deps.parts.crashes(),
            cleared_parts=deps.parts.cleared(),
            blocked_parts=deps.parts.blocked(),
            limits=deps.intake.limits.named(),
            helpers=self._helpers(),
            rollout_counts=deps.rollouts.counts.messages(),
            leaving=deps.intake.departures.to_report(),
            protocol=commands.PROTOCOL,
        )

    def _uses(self) -> tuple[fm.ServiceUse, ...]:
        queue = self._deps.queue
        waiting = queue.waiting_by_service()
        urgent = {
            service: urgency.count_urgent(
                self._ranks_of(service), queue.count_by_rank(service)
            )
            for service in waiting
        }
        return self._deps.budget.uses(waiting, urgent)

    def _ranks_of(self, service: ids.ServiceName) -> tuple[int, ...]:
        """Return the ranks of a service's requests, the urgent first."""
        table = self._deps.blackboard.table.read()
        ranks = table.ranks_by_service if table is not None else {}
        return ranks.get(service, ())

    def is_urgent(self, service: ids.ServiceName, rank: int) -> bool:
        """Return whether any request of a service has a later rank."""
        return any(rank < other for other in self._ranks_of(service))
