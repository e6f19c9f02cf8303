"""Runs rollouts on the control leader, and tells entry instances of them.

Every control replica collects the counts of entry instances and answers
watches from the state that it has applied. Only the leader decides, and each
decision is committed before anybody acts on it.
"""

import asyncio
import collections.abc
import dataclasses

import structlog

from oriolejunction import clock as clocks
from oriolejunction import commands
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import replica as replicas
from oriolejunction.controllers import rollout_book
from oriolejunction.controllers import rollout_leader
from oriolejunction.controllers import rollout_orders
from oriolejunction.controllers import rollout_tally
from oriolejunction.controllers import rollout_windows
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction import node_settings
from oriolejunction.peers import listing_store
from oriolejunction import rollout_messages as rm
from oriolejunction import rollout_telemetry
from oriolejunction import states

# Reports bring counts some ten times a second.
STEP_INTERVAL_MS = 200.0
# With thousands of routes a step takes long: at most a tenth of the time.
INTERVAL_PER_STEP_TIME = 10.0
COMMIT_TIMEOUT_S = 0.9
# A replica that lost the leader answers as if current for this long.
LEADER_TIMEOUT_MS = 500.0
# Time from the expiry of an order to the last request that was chosen by it.
CHOICE_MARGIN_MS = 100.0
# The longest time that a report of a lost instance matters.
FORGET_MS = 10_000.0
_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class ControlDependencies:
    """Dependencies of the control of rollouts."""

    replica: raft_replica.RaftReplica
    clock: clocks.Clock
    listing: listing_store.ListingStore
    bounds: node_settings.RolloutBounds
    telemetry: rollout_telemetry.RolloutTelemetry


class NoRollouts:
    """What the fleet service asks, on a deployment without rollouts."""

    def observe(
        self, reports: collections.abc.Iterable[fm.EntryReport]
    ) -> bool:
        """Take the counts of reports; return whether any rose."""
        return False

    def note_listing_read(self) -> None:
        """Record that this replica read the list of servers itself."""

    def take_relay(self, request: fm.RelayRequest) -> None:
        """Take counts, and from which log index on the list is known."""

    def have_orders_changed(self) -> bool:
        """Return whether any order has changed since the last call."""
        return False

    def has_changed(self, request: fm.WatchRequest) -> bool:
        """Return whether an instance was last sent other orders."""
        return False

    def take_orders(
        self, request: fm.WatchRequest
    ) -> tuple[fm.RolloutOrder, ...] | None:
        """Return the orders for an instance, and record them as sent."""
        return None


class RolloutControl(NoRollouts):
    """Leads the rollouts in progress, if its replica leads the group."""

    def __init__(self, deps: ControlDependencies) -> None:
        self._deps = deps
        self._replica = deps.replica
        self._tally = rollout_tally.RolloutTally()
        self._origin = rollout_orders.ListingOrigin()
        self._ttl_ms = rollout_orders.ttl_ms(deps.bounds.rollback_ms)
        self._term: int | None = None
        self._took_ms = 0.0
        self._last_orders: list[tuple] = []
        self._leader_by_number: dict[int, rollout_leader.RolloutLeader] = {}
        self._begun_ms: dict[int, float] = {}
        self._sent_by_instance: dict[
            ids.InstanceId, tuple[fm.RolloutOrder, ...] | None
        ] = {}

    def observe(
        self, reports: collections.abc.Iterable[fm.EntryReport]
    ) -> bool:
        """Take the counts of reports; return whether any rose."""
        if not self._book.in_progress():
            return False
        now_ms = self._deps.clock.now_ms()
        return any([self._tally.put(each, now_ms) for each in reports])

    def note_listing_read(self) -> None:
        """Record that this replica read the list of servers itself."""
        self._origin.note_read(
            self._deps.listing.digest,
            self._replica.last_index,
            self._replica.leader_term is not None,
            self._deps.clock.now_ms(),
        )

    def take_relay(self, request: fm.RelayRequest) -> None:
        """Take counts, and from which log index on the list is known."""
        self.observe(request.shares)
        listing = request.listing
        if listing is not None and listing.digest == self._deps.listing.digest:
            self._origin.note_relayed(listing.digest, request.log_index)

    def orders_for(
        self, request: fm.WatchRequest
    ) -> tuple[fm.RolloutOrder, ...] | None:
        """Return the orders for an instance, None if they may be old."""
        silence_ms = self._origin.contact_needed_ms(
            self._deps.clock.now_ms(), LEADER_TIMEOUT_MS
        )
        if not self._origin.is_known(self._replica.applied_index):
            return None
        if not self._replica.is_connected(silence_ms):
            return None
        return rollout_orders.orders_for(
            self._book, request.instance, request.entry_boot, self._ttl_ms
        )

    def have_orders_changed(self) -> bool:
        """Return whether any order has changed since the last call."""
        orders = [
            (each.number, each.phase, each.state, each.granted)
            for each in self._book.newest_by_service.values()
        ]
        changed = orders != self._last_orders
        self._last_orders = orders
        return changed

    def has_changed(self, request: fm.WatchRequest) -> bool:
        """Return whether an instance was last sent other orders."""
        if not request.entry_boot:
            # An instance of an earlier version doesn't take orders.
            return False
        orders = self.orders_for(request)
        return (
            orders is not None
            and self._sent_by_instance.get(request.instance) != orders
        )

    def take_orders(
        self, request: fm.WatchRequest
    ) -> tuple[fm.RolloutOrder, ...] | None:
        """Return the orders for an instance, and record them as sent."""
        orders = self.orders_for(request)
        self._sent_by_instance[request.instance] = orders
        return orders

    def progress(self, rollout: rollout_book.Rollout) -> rm.Progress | None:
        """Return what the leader knows of a rollout in progress."""
        leader = self._leader_by_number.get(rollout.number)
        if leader is None or rollout.state is not (
            states.RolloutState.IN_PROGRESS
        ):
            return None
        key = (rollout.service, rollout.number)
        window = rollout_windows.pair_counts(
            self._tally.sums(key), rollout.target
        )
        pairs = window.values()
        target_sent = sum(pair.target.sent for pair in pairs)
        return rm.Progress(
            verdict=leader.verdict.value,
            reason=leader.waits_for,
            instances=sum(1 for _ in self._tally.instances(key)),
            requests=target_sent + sum(pair.old.sent for pair in pairs),
            target_sent=target_sent,
            granted=rollout.granted,
            limit=leader.limit,
            old_running=sum(pair.old.sent - pair.old.ended for pair in pairs),
            routes=tuple(
                rm.RouteProgress(
                    route,
                    pair.old.ended,
                    pair.old.failed,
                    pair.target.ended,
                    pair.target.failed,
                )
                for route, pair in sorted(window.items())
            ),
        )

    async def run(self) -> None:
        """Lead the rollouts in progress until cancelled."""
        while True:
            await self._deps.clock.sleep_ms(
                max(STEP_INTERVAL_MS, INTERVAL_PER_STEP_TIME * self._took_ms)
            )
            self._took_ms = 0.0
            running = self._book.in_progress()
            self._forget_ended(running)
            if not running or not await self._lead():
                continue
            for rollout in running:
                await self._step(rollout)

    @property
    def _book(self) -> rollout_book.RolloutBook:
        return self._replica.state.rollouts

    def _forget_ended(self, running: list[rollout_book.Rollout]) -> None:
        now_ms = self._deps.clock.now_ms()
        numbers = {each.number for each in running}
        for number in self._leader_by_number.keys() - numbers:
            del self._leader_by_number[number]
        for number in self._begun_ms.keys() - numbers:
            del self._begun_ms[number]
        for each in running:
            # The wall clock may step; elapsed time is taken from it once.
            elapsed_ms = self._deps.clock.wall_ms() - each.at_ms
            elapsed_ms = min(max(0.0, elapsed_ms), each.duration_ms)
            self._begun_ms.setdefault(each.number, now_ms - elapsed_ms)
        self._tally.keep_only(
            {(each.service, each.number) for each in running},
            now_ms - FORGET_MS,
        )

    async def _lead(self) -> bool:
        """Return whether this replica leads and has applied all."""
        term = self._replica.leader_term
        if term is None:
            self._term = None
            self._leader_by_number.clear()
            return False
        if term != self._term:
            try:
                async with asyncio.timeout(COMMIT_TIMEOUT_S):
                    await self._replica.read_barrier()
            except (TimeoutError, replicas.NotLeader) as error:
                _log.info("rollouts wait for a majority", why=repr(error))
                return False
            self._leader_by_number.clear()
            self._term = term
            _log.info(
                "leading rollouts",
                term=term,
                numbers=[each.number for each in self._book.in_progress()],
            )
        return True

    def _observation(
        self, rollout: rollout_book.Rollout
    ) -> rollout_leader.Observation:
        now_ms = self._deps.clock.now_ms()
        key = (rollout.service, rollout.number)
        listed = [
            each.software == rollout.target
            for each in self._deps.listing.backends
            if each.service == rollout.service and not each.leaving
        ]
        in_force = self._book.in_force_by_service.get(rollout.service)
        return rollout_leader.Observation(
            now_ms=now_ms,
            elapsed_ms=now_ms - self._begun_ms.get(rollout.number, now_ms),
            counts=self._tally.sums(key),
            instances=tuple(self._tally.instances(key)),
            target_servers=sum(listed),
            old_servers=len(listed) - sum(listed),
            hold_ms=LEADER_TIMEOUT_MS + self._ttl_ms + CHOICE_MARGIN_MS,
            in_force=in_force == rollout.target,
        )

    async def _step(self, rollout: rollout_book.Rollout) -> None:
        leader = self._leader_by_number.setdefault(
            rollout.number, rollout_leader.RolloutLeader(self._deps.bounds)
        )
        seen = self._observation(rollout)
        step = leader.step(rollout, seen)
        self._deps.telemetry.record(rollout, seen.counts)
        self._took_ms += self._deps.clock.now_ms() - seen.now_ms
        if step is None:
            return
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                result = await self._replica.propose(step)
        except (
            TimeoutError,
            replicas.NotLeader,
            replicas.OutcomeUnknown,
        ) as error:
            # The step is decided anew, by this or by the next leader.
            _log.warning(
                "rollout step not confirmed",
                service=rollout.service,
                number=rollout.number,
                step=type(step).__name__,
                why=repr(error),
            )
            return
        self._log_step(rollout, seen, leader, step, result)

    def _log_step(
        self,
        rollout: rollout_book.Rollout,
        seen: rollout_leader.Observation,
        leader: rollout_leader.RolloutLeader,
        step: rollout_leader.Step,
        result: commands.CommandResult,
    ) -> None:
        ages = [seen.now_ms - each.received_ms for each in seen.instances]
        log = _log.bind(
            service=rollout.service,
            number=rollout.number,
            target=rollout.target,
            elapsed_ms=round(seen.elapsed_ms),
            term=self._term,
            instances=len(ages),
            oldest_report_ms=round(max(ages, default=0.0)),
            list_age_ms=clocks.round_age_ms(self._deps.listing.age_ms),
            target_servers=seen.target_servers,
            old_servers=seen.old_servers,
        )
        match result, step:
            case commands.RolloutRefused(), _:
                log.error("rollout step refused", why=result.message)
            case _, commands.GrantExposure():
                log.debug(
                    "rollout allowances raised",
                    granted=rollout.granted,
                    limit=step.ceiling,
                    waits_for=leader.waits_for,
                )
            case _, commands.MoveRollout():
                log.info(
                    "rollout phase changed",
                    phase=step.phase.value,
                    verdict=leader.verdict.value,
                    reason=step.reason,
                    evidence=step.evidence,
                )
            case _:
                log.info(
                    "rollout ended",
                    state=step.state.value,
                    verdict=leader.verdict.value,
                    reason=step.reason,
                    evidence=step.evidence,
                )
