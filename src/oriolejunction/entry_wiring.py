"""Composition root of a deployment's entry instances.

An entry instance serves the deployment's own routes. Only this module and
`control_wiring` import the platform's adapter; they are separate so that a
program loads the modules of its own role only.
"""

import asyncio
import contextlib
import functools
import math
import pathlib
import secrets

import structlog

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction.controllers import graceful_shutdown
from oriolejunction.controllers.overload import resend_budget
from oriolejunction import entry_reports
from oriolejunction import fleet_messages as fm
from oriolejunction.http import gateway
from oriolejunction.http import gateway_state
from oriolejunction.http import readiness
from oriolejunction import ids
from oriolejunction import node_base
from oriolejunction import node_settings
from oriolejunction.peers import channels
from oriolejunction.peers import fleet_session
from oriolejunction.peers import fleet_watch
from oriolejunction.peers import list_poller
from oriolejunction.peers import table_follower
from oriolejunction.platform import backend_list
from oriolejunction.platform import gateway_dialect
from oriolejunction import routing_table
from oriolejunction import source_digest
from oriolejunction import states

# The load balancer checks readiness once a second and stops sending requests
# within two checks.
LEAVE_DELAY_MS = 2_500.0
# Reserved at the end of the grace period to close the last answers.
GRACE_MARGIN_MS = 400.0
# Reserved before that to answer the requests that still wait.
ANSWER_MARGIN_MS = 200.0
_log = structlog.get_logger(__name__)


class EntryNode(node_base.Node):
    """An entry instance of a deployment."""

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__(path, node_settings.EntrySettings)
        settings = self.settings_file.current
        self._blackboard = blackboards.Blackboard()
        self._write_state = self._blackboard.instance_state.claim_writer(
            "fleet_wiring"
        )
        self._incarnation = secrets.token_hex(6)
        self._shutdown = graceful_shutdown.GracefulShutdown(
            self.clock,
            self._write_state,
            LEAVE_DELAY_MS,
            lambda: 0,
            self._stop_accepting,
        )
        self._deps = gateway_state.new_dependencies(
            self.clock,
            self._blackboard,
            gateway_dialect.WIRE_FORMAT,
            resend_budget.BudgetLimits(
                settings.retry_ratio,
                settings.retry_extra,
                settings.retry_window_ms,
            ),
            ids.ZoneId(settings.zone),
            self.rng,
            settings.rollouts and settings.rollouts.exposure_share,
            settings.buffer_bytes or math.inf,
            settings.prompt_reuse_ms,
        )

    async def start(self) -> None:
        """Open the listeners and start watching the control replicas."""
        settings = self.settings_file.current
        self._channels = channels.ChannelPool()
        reports = entry_reports.EntryReports(
            self._deps,
            ids.InstanceId(settings.instance_id),
            self._incarnation,
            self._helper_addresses,
        )
        self._tables = table_follower.TableFollower(
            table_follower.FollowerDependencies(
                reports.instance,
                self.clock,
                self._blackboard,
                gateway_dialect.WIRE_FORMAT.read_table,
                lambda: self._watch.replicas(),
                self._channels.stub_for,
            )
        )
        self._watch = fleet_watch.FleetWatch(
            fleet_watch.WatchDependencies(
                instance=reports.instance,
                boot=reports.boot,
                zone=ids.ZoneId(settings.zone),
                clock=self.clock,
                blackboard=self._blackboard,
                listing=self.listing,
                seeds=lambda: self.settings_file.current.seed_addresses(),
                report=reports.next_report,
                tables=self._tables,
                session=fleet_session.FleetSession(
                    self.clock,
                    self._channels.stub_for,
                    self._channels.stream_to,
                ),
                rng=self.rng,
                on_move=self._deps.origins.resend,
                on_reply=self._update_rollouts,
            )
        )
        self._deps.origins.connect(
            self._watch.replicas,
            self._channels.stub_for,
            lambda: self.listing.read_at_ms,
        )
        self._blackboard.backends.changes().subscribe(self._drop_unlisted)
        self._blackboard.fleet.changes().subscribe(
            lambda view: self._deps.speeds.update_reported(view.speed_by_id)
        )
        self._deps.own_loads.on_change = self._watch.notify_loads
        # The control leader acts on the counts five times a second.
        self._deps.rollouts.counts.on_change = self._watch.notify_loads
        for source in (
            self._deps.health,
            self._deps.guard,
            self._deps.parts,
            self._deps.intake.limits,
            self._deps.intake.departures,
            self._deps.budget,
        ):
            source.on_change = self._watch.notify_report

        def report_waiter(service: ids.ServiceName, rank: int) -> None:
            if reports.is_urgent(service, rank):
                self._watch.notify_report()

        self._deps.queue.on_first_waiter = report_waiter
        self._deps.reached.on_change = self._on_reachability
        self.spawn(self._watch.run)
        self.spawn(self._watch.run_reports)
        self.spawn(self._tables.run)
        self.spawn(self._deps.origins.run)
        self.spawn(self._deps.origins.run_renewals)
        self.spawn(functools.partial(self.settings_file.watch, self.clock))
        self.spawn(
            list_poller.ListPoller(
                self.clock,
                self.listing,
                functools.partial(
                    backend_list.fetch, address=settings.list_address
                ),
                None,
                lambda: self._blackboard.table.read() is not None,
                self._watch.publish_listing,
                self.rng,
            ).run
        )
        time_to_exit_ms = self._deps.stop_limit.time_to_exit_ms
        self._gateway = gateway.Gateway(
            self._deps, self._shutdown.track_request, time_to_exit_ms
        )
        self._caller_site = await self.listen(
            "callers",
            self._gateway.runner(),
            settings.caller_listen,
            settings.arrival_limits(),
            self._caller_limits,
        )
        self._peer_gateway = gateway.Gateway(
            self._deps,
            self._shutdown.track_request,
            time_to_exit_ms,
            serves_peers=True,
        )
        self._peer_site = await self.listen(
            "peers",
            self._peer_gateway.runner(),
            settings.peer_listen,
            settings.arrival_limits(),
            self._caller_limits,
        )
        await self.listen(
            "readiness",
            node_base.internal_runner(readiness.application(self._is_ready)),
            settings.ready_listen,
        )
        await self.serve_status(self._deps.telemetry.registry, self._status)
        self._write_state(states.InstanceState.READY)
        _log.info(
            "entry instance started",
            listen=settings.caller_listen,
            sources=source_digest.running_sources(),
        )

    async def drain(self) -> None:
        """Finish the requests in flight within the grace period."""
        limit_ms = self.settings_file.current.grace_ms - GRACE_MARGIN_MS
        self._deps.stop_limit.exit_in(limit_ms)
        self._deps.stop_limit.stop_in(limit_ms - ANSWER_MARGIN_MS)
        _log.info("entry instance leaving", in_flight=self._shutdown.in_flight)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_ms / 1e3):
                await self._shutdown.run()
        _log.info("entry instance stopped", in_flight=self._shutdown.in_flight)

    async def close(self) -> None:
        """Close all listeners and connections at once."""
        await super().close()
        await self._deps.isolation.close()
        self._deps.pool.close()
        self._deps.peer_pool.close()
        await self._channels.close()

    async def _stop_accepting(self) -> None:
        """Stop listening, so that callers reconnect to other instances."""
        await self._gateway.stop_accepting(self._caller_site)
        await self._peer_gateway.stop_accepting(self._peer_site)

    def _caller_limits(self) -> routing_table.CallerLimits:
        table = self._blackboard.table.read()
        return table.limits if table else routing_table.CallerLimits()

    def _on_reachability(self) -> None:
        """Let go of what was believed of servers before links were lost."""
        if self._deps.isolation.is_isolated:
            self._deps.health.forget_suspects()
            # Those that still look open may hang.
            self._deps.pool.close()
        self._watch.notify_report()
        self._deps.queue.notify_capacity()

    def _status(self) -> dict[str, object]:
        now_ms = self.clock.now_ms()
        snapshot = self._blackboard.backends.read()
        fleet = self._blackboard.fleet.read()
        return {
            "instance": self.settings_file.current.instance_id,
            "state": self._blackboard.instance_state.read().value,
            "ready": self._is_ready(),
            "isolated": self._deps.isolation.is_isolated,
            "in_flight": self._shutdown.in_flight,
            **self._tables.status(),
            "backends": sorted(snapshot.by_id),
            "list_age_ms": clocks.round_age_ms(self.listing.age_ms),
            "others_age_ms": clocks.round_age_ms(now_ms - fleet.updated_at_ms),
            "entries": fleet.entry_count,
            "suspects": self._deps.health.suspects(),
            "suspects_told": sorted(fleet.suspects),
            "loads": list(self._deps.own_loads.loads().values()),
            "rollouts": self._deps.rollouts.status(),
        }

    def _helper_addresses(self) -> tuple[str, ...]:
        """Return where this instance serves requests of others, if it can."""
        is_open = (
            self._is_ready()
            and not self._deps.isolation.is_isolated
            and self._deps.stop_limit.time_to_exit_ms() is None
        )
        address = self.settings_file.current.peer_listen
        return (address,) if is_open else ()

    def _is_ready(self) -> bool:
        fleet = self._blackboard.fleet.read()
        if self._deps.isolation.is_isolated and not fleet.helpers:
            return False
        return (
            self._blackboard.instance_state.read()
            is states.InstanceState.READY
            and self._blackboard.table.read() is not None
            and bool(self._blackboard.backends.read().by_id)
        )

    def _update_rollouts(self, reply: fm.WatchReply, sent_ms: float) -> None:
        self._deps.rollouts.update(
            reply.rollouts,
            sent_ms,
            reply.fresh,
            self.listing.listed_in(reply.listing),
        )

    def _drop_unlisted(self, snapshot) -> None:
        if not snapshot.by_id:
            return
        listed = set(snapshot.by_id)
        self._deps.health.retain_only(listed)
        self._deps.intake.retain_only(listed)
        self._deps.view.reported.retain_only(listed)
        self._deps.speeds.update_listed(snapshot.by_id)
        addresses = {b.address for b in snapshot.by_id.values()}
        self._deps.pool.retain_only(addresses)
        self._deps.reached.retain_only(addresses)
