"""The composition root of the nodes of a deployment.

An entry instance serves a deployment's own routes; a control replica keeps
what must survive. Only this module knows the adapter of the platform.
"""

import asyncio
import contextlib
import functools
import pathlib
import secrets

import aioprometheus
import grpc
import structlog

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction.consensus import compaction
from oriolejunction.consensus import core_state
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import types
from oriolejunction.controllers import fleet_hub
from oriolejunction.controllers import planned_stop
from oriolejunction.controllers import resend_budget
from oriolejunction import fleet_messages as fm
from oriolejunction.http import gateway
from oriolejunction.http import gateway_parts
from oriolejunction.http import readiness
from oriolejunction import ids
from oriolejunction import node_base
from oriolejunction import node_settings
from oriolejunction.peers import channels
from oriolejunction.peers import fleet_service
from oriolejunction.peers import fleet_watch
from oriolejunction.peers import list_reader
from oriolejunction.peers import raft_formation
from oriolejunction.peers import raft_service
from oriolejunction.peers import raft_transport
from oriolejunction.peers import rpc
from oriolejunction.peers import transport as transports
from oriolejunction.platform import backend_list
from oriolejunction.platform import gateway_dialect
from oriolejunction.platform import operator_calls
from oriolejunction import states

# The balancer notices within two of its checks, one a second.
LEAVE_DELAY_MS = 2_500.0
# What is left of the grace when the last answers are closed.
GRACE_MARGIN_MS = 400.0
# A removed machine must not count once its successor has had 4 s.
CONTROL_TIMING = core_state.Timing(
    first_election_ms=300.0, lost_after_ms=2_500.0
)
# Documents of many routes reach 100 KB.
LOG_LIMITS = compaction.LogLimits(entries=1_024, bytes=8 << 20, kept=32)
_log = structlog.get_logger(__name__)


class EntryNode(node_base.Node):
    """An entry instance of a deployment."""

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__(path, node_settings.EntrySettings)
        settings = self.file.current
        self._board = blackboards.Blackboard()
        self._write_state = self._board.instance_state.own("fleet_wiring")
        self._boot = secrets.token_hex(6)
        self._share_number = 0
        self._stops_at_ms: float | None = None
        self._stop = planned_stop.PlannedStop(
            self.clock,
            self._write_state,
            LEAVE_DELAY_MS,
            lambda: 0,
            self._stop_accepting,
        )
        self._parts = gateway_parts.new_parts(
            self.clock,
            self._board,
            gateway_dialect.DIALECT,
            resend_budget.BudgetTerms(
                settings.retry_ratio,
                settings.retry_extra,
                settings.retry_window_ms,
            ),
            ids.ZoneId(settings.zone),
            self.rng,
        )

    async def start(self) -> None:
        """Open the listeners and begin to watch the control replicas."""
        settings = self.file.current
        self._channels = channels.Channels()
        self._watch = fleet_watch.FleetWatch(
            fleet_watch.WatchParts(
                instance=ids.InstanceId(settings.instance_id),
                zone=ids.ZoneId(settings.zone),
                clock=self.clock,
                blackboard=self._board,
                listing=self.listing,
                seeds=lambda: self.file.current.seed_addresses(),
                share=self._share,
                read_table=gateway_dialect.DIALECT.read_table,
                caller=self._channels.caller,
                rng=self.rng,
            )
        )
        self._board.backends.changes().subscribe(self._forget_unlisted)
        self._board.fleet.changes().subscribe(
            lambda sight: self._parts.speeds.take_told(sight.speed_by_id)
        )
        for part in (self._parts.runs, self._parts.health, self._parts.guard):
            part.on_change = self._watch.note_share
        self.spawn(self._watch.run)
        self.spawn(self._watch.run_shares)
        self.spawn(functools.partial(self.file.follow, self.clock))
        self.spawn(
            list_reader.ListReader(
                self.clock,
                self.listing,
                functools.partial(
                    backend_list.fetch, address=settings.list_address
                ),
                lambda: False,
                self._watch.publish_listing,
                self.rng,
            ).run
        )
        self._gateway = gateway.Gateway(
            self._parts, self._stop.request, self._left_ms
        )
        self._caller_site = await self.listen(
            self._gateway.runner(), settings.caller_listen
        )
        await self.listen(
            node_base.runner(readiness.application(self._is_ready)),
            settings.ready_listen,
        )
        await self.show(self._parts.telemetry.registry, self._status)
        self._write_state(states.InstanceState.READY)
        _log.info("entry instance started", listen=settings.caller_listen)

    async def drain(self) -> None:
        """Finish what runs, as far as the grace allows."""
        limit_ms = self.file.current.grace_ms - GRACE_MARGIN_MS
        self._stops_at_ms = self.clock.now_ms() + limit_ms
        _log.info("entry instance leaving", in_flight=self._stop.in_flight)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_ms / 1e3):
                await self._stop.run()
        _log.info("entry instance stopped", in_flight=self._stop.in_flight)

    async def close(self) -> None:
        """Close everything at once."""
        await super().close()
        self._parts.pool.close()
        await self._channels.close()

    async def _stop_accepting(self) -> None:
        """Have all callers come back elsewhere."""
        await self._caller_site.stop()
        self._gateway.close_idle()

    def _left_ms(self) -> float | None:
        if self._stops_at_ms is None:
            return None
        return self._stops_at_ms - self.clock.now_ms()

    def _status(self) -> dict[str, object]:
        now_ms = self.clock.now_ms()
        table = self._board.table.read()
        known = self._board.backends.read()
        fleet = self._board.fleet.read()
        return {
            "instance": self.file.current.instance_id,
            "state": self._board.instance_state.read().value,
            "ready": self._is_ready(),
            "in_flight": self._stop.in_flight,
            "table_version": table and table.version,
            "backends": sorted(known.by_id),
            "list_age_ms": clocks.rounded_age(now_ms - known.read_at_ms),
            "others_age_ms": clocks.rounded_age(now_ms - fleet.at_ms),
            "entries": fleet.entries,
            "suspects": self._parts.health.suspects(),
            "suspects_told": sorted(fleet.suspects),
            "loads": list(self._parts.runs.loads().values()),
        }

    def _is_ready(self) -> bool:
        return (
            self._board.instance_state.read() is states.InstanceState.READY
            and self._board.table.read() is not None
            and bool(self._board.backends.read().by_id)
        )

    def _share(self) -> fm.EntryShare:
        self._share_number += 1
        return fm.EntryShare(
            instance=ids.InstanceId(self.file.current.instance_id),
            boot=self._boot,
            number=self._share_number,
            loads=tuple(self._parts.runs.loads().values()),
            suspects=self._parts.health.suspects(),
            crashes=tuple(
                fm.CrashNote(fingerprint, count)
                for fingerprint, count in self._parts.guard.crashes().items()
            ),
            speeds=self._parts.speeds.told(),
        )

    def _forget_unlisted(self, known) -> None:
        if not known.by_id:
            return
        listed = set(known.by_id)
        self._parts.health.keep_only(listed)
        self._parts.speeds.keep_only(listed)
        self._parts.pool.keep_only({b.address for b in known.by_id.values()})


class ControlNode(node_base.Node):
    """A control replica of a deployment."""

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__(path, node_settings.ControlSettings)

    async def start(self) -> None:
        """Open the listeners and form or join the group."""
        settings = self.file.current
        data_dir = pathlib.Path(settings.data_dir)
        data_dir.mkdir(parents=True, exist_ok=True)
        self._transport = raft_transport.RaftTransport(settings.peer_listen)
        self._replica = raft_replica.RaftReplica(
            data_dir,
            lambda replica: types.Member(
                replica,
                settings.instance_id,
                settings.zone,
                settings.peer_listen,
            ),
            self._transport,
            self.clock,
            self.rng,
            CONTROL_TIMING,
            LOG_LIMITS,
        )
        self._service = fleet_service.FleetService(
            fleet_service.FleetParts(
                boot=secrets.token_hex(6),
                replica=self._replica,
                clock=self.clock,
                hub=fleet_hub.FleetHub(self.clock),
                listing=self.listing,
                caller=self._transport.caller,
            )
        )
        self._server = grpc.aio.server(options=rpc.SERVER_OPTIONS)
        raft_service.RaftService(self._replica, self._transport).add_to(
            self._server
        )
        self._service.add_to(self._server)
        transports.PLAIN.listen(self._server, settings.peer_listen)
        await self._server.start()
        self._replica.start()
        self.spawn(self._formation(settings).run)
        self.spawn(self._service.run)
        self.spawn(functools.partial(self.file.follow, self.clock))
        self.spawn(self._list_reader(settings).run)
        await self.listen(
            node_base.runner(operator_calls.application(self._service)),
            settings.operator_listen,
        )
        await self.show(aioprometheus.Registry(), self._status)
        _log.info(
            "control replica started",
            replica=self._replica.member.replica,
            listen=settings.operator_listen,
        )

    def _status(self) -> dict[str, object]:
        return {
            "instance": self.file.current.instance_id,
            "replica": self._replica.member.replica,
            "group": self._replica.group,
            "leader_term": self._replica.leader_term,
            "leader": self._replica.leader_address(),
            "table_version": self._replica.state.table.version,
            "list_age_ms": clocks.rounded_age(self.listing.age_ms),
            "members": self._replica.changes.members(),
        }

    def _formation(
        self, settings: node_settings.ControlSettings
    ) -> raft_formation.Formation:
        return raft_formation.Formation(
            self._replica,
            self._transport,
            self.clock,
            lambda: self.file.current.seed_addresses(),
            may_form=settings.first_start,
            voter_target=settings.voter_target,
        )

    def _list_reader(
        self, settings: node_settings.ControlSettings
    ) -> list_reader.ListReader:
        return list_reader.ListReader(
            self.clock,
            self.listing,
            functools.partial(
                backend_list.fetch, address=settings.list_address
            ),
            lambda: self._replica.leader_term is not None,
            self._service.note_listing,
            self.rng,
        )

    async def drain(self) -> None:
        """Hand leadership over, so that no election is waited for."""
        _log.info("control replica leaving")
        await self._replica.changes.hand_over()

    async def close(self) -> None:
        """Close everything at once."""
        await super().close()
        await self._service.close()
        await self._server.stop(None)
        await self._replica.close()
        await self._transport.close()
