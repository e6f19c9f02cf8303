"""Answers which servers of a service a request may go to during a rollout.

Load pattern: all instances send to two versions of a service at once, each
within its own allowance. Instances freeze, restart, and hear of orders from
control replicas that lag or have lost their leader; none of that may send a
request to a version that is not allowed. An order therefore only ever moves
forward (a later number, a later phase), an allowance ends by itself, and a
version that appears on the list waits for word of the control replicas.
"""

import collections

import structlog

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers import rollout_canary
from oriolejunction.controllers import rollout_counts
from oriolejunction.controllers import rollout_use
from oriolejunction.controllers import rollout_versions
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import listeners
from oriolejunction import states

# Other versions may be used again once a completed rollout's target is on
# the list no more for this long: they belong to a later release. Crashed
# servers are listed again sooner, and lists lag by less than a second.
REPLACED_TARGET_MS = 10_000.0
# Time for the last report of the counts once a rollout is over.
KEEP_COUNTS_MS = 10_000.0
# Without any list or request for longer, this process was paused. A rollout
# may have been completed meanwhile, and a watch reply says so within the
# second time (the former watch ends, and the next is answered at once).
PAUSED_MS = 1_500.0
WAKE_HOLD_MS = 400.0
_log = structlog.get_logger(__name__)


class RolloutGate:
    """The rollouts of all services, as one instance may act on them.

    `exposure_share` is None where the deployment has no rollouts; then
    everything is allowed and nothing is counted.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        exposure_share: float | None = None,
        salt: int = 0,
    ) -> None:
        self._clock = clock
        self._share = exposure_share
        self._salt = salt
        self.counts = rollout_counts.RolloutCounts()
        self._rollout_by_service: dict[
            ids.ServiceName, rollout_use.Rollout
        ] = {}
        self._routes: collections.defaultdict[
            ids.ServiceName, rollout_canary.ActiveRoutes
        ] = collections.defaultdict(rollout_canary.ActiveRoutes)
        self._by_id: dict[ids.BackendId, backends.Backend] = {}
        self._versions = rollout_versions.RolloutVersions()
        self._active_ms = self._woke_ms = float("-inf")
        self.on_change: listeners.OnChange = listeners.no_op

    @property
    def is_active(self) -> bool:
        """Return whether the deployment has rollouts."""
        return self._share is not None

    def observe_listed(
        self, by_id: dict[ids.BackendId, backends.Backend]
    ) -> None:
        """Take note of the versions on the list of servers."""
        if not self.is_active:
            return
        self._note_pause()
        if by_id is self._by_id:
            return
        self._by_id = by_id
        new = self._versions.observe(by_id.values(), self._clock.now_ms())
        for service, software in new:
            rollout = self._rollout_by_service.get(service)
            if rollout is not None and rollout.is_over:
                rollout.later.add(software)

    def update(
        self,
        orders: tuple[fm.RolloutOrder, ...] | None,
        sent_ms: float,
        is_current: bool,
        listed: tuple[backends.Backend, ...] = (),
    ) -> None:
        """Apply the orders of a watch reply that was asked for at `sent_ms`.

        `is_current` tells that the replica is in touch with its leader;
        `listed` are the servers on the list of its reply.
        """
        if not self.is_active:
            return
        self._note_pause()
        if orders is None:
            return
        now_ms = self._clock.now_ms()
        for order in orders:
            until_ms = sent_ms + order.ttl_ms if is_current else None
            self._apply(order, until_ms, now_ms)
        if orders:
            self.on_change()
        if is_current:
            self._versions.vouch(sent_ms, listed)

    def _apply(
        self, order: fm.RolloutOrder, until_ms: float | None, now_ms: float
    ) -> None:
        """Apply an order that is valid until a time, None if it may be old."""
        current = self._rollout_by_service.get(order.service)
        if current is None or order.number > current.order.number:
            self._replace(current, order, now_ms)
            current = rollout_use.Rollout(order, self._salt, now_ms)
            self._rollout_by_service[order.service] = current
        elif order.number < current.order.number:
            return
        elif current.is_behind(order):
            current.order = order
            current.phase_since_ms = now_ms
            self._log_order(order)
        elif order.phase is not current.order.phase:
            return
        if until_ms is None:
            return
        current.heard_ms = now_ms
        current.renew(until_ms)
        if order.phase is states.RolloutPhase.OBSERVING:
            current.grant(order.allowance, until_ms, now_ms)
        elif (
            current.is_over
            and now_ms - current.phase_since_ms > KEEP_COUNTS_MS
        ):
            self.counts.stop(order.service)

    def _replace(
        self,
        former: rollout_use.Rollout | None,
        order: fm.RolloutOrder,
        now_ms: float,
    ) -> None:
        """Withdraw what the former rollout has ended; begin a new one."""
        if former is not None and former.is_over:
            self._versions.withdraw(
                [
                    version
                    for version in self._versions.of_service(order.service)
                    if self._versions.is_known(version)
                    and not self._is_allowed(*version, None)
                ],
                now_ms,
            )
        self._versions.restore((order.service, order.target))
        if order.phase not in rollout_use.OVER:
            self.counts.start(order.service, order.number)
        self._log_order(order)

    def _log_order(self, order: fm.RolloutOrder) -> None:
        _log.info(
            "rollout phase begins",
            service=order.service,
            number=order.number,
            target=order.target,
            phase=order.phase.value,
            allowance=order.allowance,
        )

    def open(
        self,
        service: ids.ServiceName,
        route: str,
        is_stream: bool,
        may_try: bool = True,
    ) -> rollout_use.RolloutUse:
        """Return the state of a new request."""
        if self.is_active:
            self._note_pause()
            self._routes[service].observe(route, self._clock.now_ms())
        return rollout_use.RolloutUse(service, route, is_stream, may_try)

    def close(self, use: rollout_use.RolloutUse) -> None:
        """Give back what a request holds in reserve."""
        rollout = self._rollout_by_service.get(use.service)
        if rollout is not None and use.reserved_of == rollout.order.number:
            rollout.reserved -= 1
        use.reserved_of = None

    def _note_pause(self) -> None:
        """Take note of the time, and whether the process was paused."""
        now_ms = self._clock.now_ms()
        if now_ms - self._active_ms > PAUSED_MS:
            self._woke_ms = now_ms
        self._active_ms = now_ms

    def is_in_progress(self, service: ids.ServiceName) -> bool:
        """Return whether a rollout of the service is not over."""
        rollout = self._rollout_by_service.get(service)
        return rollout is not None and not rollout.is_over

    def is_barred(self, use: rollout_use.RolloutUse) -> bool:
        """Return whether a stream's version must not be used any more."""
        rollout = self._rollout_by_service.get(use.service)
        software = use.begun_at()
        if rollout is None or software is None:
            return False
        return rollout.is_over and not self._is_allowed(
            use.service, software, software
        )

    def tiers(
        self,
        use: rollout_use.RolloutUse,
        servers: list[backends.Backend],
    ) -> list[list[backends.Backend]]:
        """Return the servers that a request may go to, the best ones first.

        `servers` are those of its service that would take it. The next list
        is for a request that no server of the former ones has room for.
        """
        if not self.is_active:
            return [servers]
        self._note_pause()
        begun_at = use.begun_at()
        versions = {
            software
            for software in {each.software for each in servers}
            if self._is_allowed(use.service, software, begun_at)
        }
        allowed = [each for each in servers if each.software in versions]
        rollout = self._rollout_by_service.get(use.service)
        if (
            rollout is None
            or rollout.order.phase is not states.RolloutPhase.OBSERVING
        ):
            return [allowed]
        target = rollout.order.target
        old = [each for each in allowed if each.software != target]
        if not self._has_send(rollout, use, begun_at):
            return [old]
        new = [each for each in allowed if each.software == target]
        if begun_at is not None:
            return [new or old]
        if use.may_try and new and self._is_due(rollout, use):
            first = rollout_canary.canary_servers(
                rollout.order.number, new, self._share
            )
            # Once they are full, others see load.
            return [first, new, old]
        return [old or new]

    def _is_due(
        self, rollout: rollout_use.Rollout, use: rollout_use.RolloutUse
    ) -> bool:
        now_ms = self._clock.now_ms()
        return rollout.turns.is_due(
            use.route,
            self._routes[use.service].weights(now_ms),
            rollout.left(now_ms) // use.cost,
            now_ms,
        )

    def _has_send(
        self,
        rollout: rollout_use.Rollout,
        use: rollout_use.RolloutUse,
        begun_at: ids.SoftwareVersion | None,
    ) -> bool:
        """Return whether the allowance covers a send to the target."""
        if use.reserved_of == rollout.order.number:
            return True
        cost = use.cost if begun_at is None else 1
        return rollout.left(self._clock.now_ms()) >= cost

    def _is_allowed(
        self,
        service: ids.ServiceName,
        software: ids.SoftwareVersion,
        begun_at: ids.SoftwareVersion | None,
    ) -> bool:
        """Return whether work may run at a version, by its phase alone."""
        if begun_at is not None and software != begun_at:
            return False
        rollout = self._rollout_by_service.get(service)
        if rollout is not None and software == rollout.order.target:
            return self._is_target_allowed(rollout)
        version = service, software
        if not self._versions.is_known(version):
            return False
        if self._versions.is_withdrawn(version):
            return False
        if rollout is None:
            return True
        if self._may_be_outdated(rollout):
            return False
        phase = rollout.order.phase
        if phase is states.RolloutPhase.MOVING:
            return begun_at is not None
        if phase is states.RolloutPhase.DONE:
            return software in rollout.later or self._is_replaced(rollout)
        return True

    def _is_target_allowed(self, rollout: rollout_use.Rollout) -> bool:
        phase = rollout.order.phase
        if phase is states.RolloutPhase.MOVING:
            # The leader may have taken it back meanwhile.
            return rollout.is_valid(self._clock.now_ms())
        return phase is not states.RolloutPhase.REVERTED

    def _may_be_outdated(self, rollout: rollout_use.Rollout) -> bool:
        """Return whether news of the time of a pause are on their way."""
        return (
            not rollout.is_over
            and rollout.heard_ms < self._woke_ms
            and self._clock.now_ms() < self._woke_ms + WAKE_HOLD_MS
        )

    def _is_replaced(self, rollout: rollout_use.Rollout) -> bool:
        """Return whether the target of a completed rollout is gone."""
        now_ms = self._clock.now_ms()
        order = rollout.order
        if self._versions.is_listed((order.service, order.target)):
            rollout.target_listed_ms = now_ms
        return now_ms - rollout.target_listed_ms > REPLACED_TARGET_MS

    def begin_send(
        self, use: rollout_use.RolloutUse, software: ids.SoftwareVersion
    ) -> rollout_counts.CountedSend | None:
        """Count a request that is sent now; return None if it may not be."""
        if not self.is_active:
            return rollout_counts.CountedSend(
                None, (use.service, software, use.route), None
            )
        self._note_pause()
        begun_at = use.begun_at()
        if not self._is_allowed(use.service, software, begun_at):
            return None
        rollout = self._rollout_by_service.get(use.service)
        if rollout is not None:
            if software != rollout.order.target:
                self.close(use)
            elif not self._spend(rollout, use, begun_at):
                return None
        use.may_try = False
        return self.counts.begin(use.service, software, use.route)

    def _spend(
        self,
        rollout: rollout_use.Rollout,
        use: rollout_use.RolloutUse,
        begun_at: ids.SoftwareVersion | None,
    ) -> bool:
        """Charge a send to the target; return whether it is allowed."""
        if rollout.order.phase is states.RolloutPhase.OBSERVING:
            if not self._has_send(rollout, use, begun_at):
                return False
            if use.reserved_of == rollout.order.number:
                self.close(use)
            elif use.cost > 1 and begun_at is None:
                use.reserved_of = rollout.order.number
                rollout.reserved += 1
        rollout.sent += 1
        rollout.turns.record_send(use.route, self._clock.now_ms())
        return True

    def status(self) -> list[dict[str, object]]:
        """Return the newest order of each service, for the status page."""
        now_ms = self._clock.now_ms()
        return [
            each.status(now_ms) for each in self._rollout_by_service.values()
        ]

    def facts(
        self, service: ids.ServiceName, software: ids.SoftwareVersion
    ) -> rollout_use.RolloutFacts | None:
        """Return what the log says of a send, None without a rollout."""
        rollout = self._rollout_by_service.get(service)
        if rollout is None or rollout.is_over:
            return None
        now_ms = self._clock.now_ms()
        return rollout_use.RolloutFacts(
            rollout.order.number,
            rollout.order.phase,
            software == rollout.order.target,
            rollout.left(now_ms),
            now_ms - rollout.heard_ms,
        )
