"""Builds the reports of an entry instance to the control replicas."""

import collections.abc
import dataclasses

from oriolejunction import fleet_messages as fm
from oriolejunction.http import gateway_common
from oriolejunction import ids


@dataclasses.dataclass
class EntryReports:
    """Numbers the reports of one incarnation, `boot`, of an instance.

    `helpers` returns where the instance serves requests of others.
    """

    deps: gateway_common.GatewayDependencies
    instance: ids.InstanceId
    boot: str
    helpers: collections.abc.Callable[[], tuple[str, ...]]
    number: int = 0

    def next_report(self) -> fm.EntryReport:
        """Return the load and observations of now."""
        deps = self.deps
        self.number += 1
        return fm.EntryReport(
            instance=self.instance,
            boot=self.boot,
            number=self.number,
            loads=tuple(deps.own_loads.loads().values()),
            suspects=deps.health.suspects(),
            crashes=deps.guard.crashes(),
            speeds=deps.speeds.own_speeds(),
            uses=deps.budget.uses(deps.queue.waiting_by_service()),
            answered=deps.guard.answered(),
            part_crashes=deps.parts.crashes(),
            cleared_parts=deps.parts.cleared(),
            blocked_parts=deps.parts.blocked(),
            limits=deps.intake.limits.named(),
            helpers=self.helpers(),
            leaving=deps.intake.departures.to_report(),
        )
