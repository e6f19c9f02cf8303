"""Composition root of a deployment's control replicas.

A control replica stores the state that must survive.
"""

import functools
import pathlib
import secrets

import aioprometheus
import grpc
import structlog

from oriolejunction import clock as clocks
from oriolejunction.consensus import compaction
from oriolejunction.consensus import core_state
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import types
from oriolejunction.consensus import version_file
from oriolejunction.controllers import fleet_hub
from oriolejunction.controllers import stream_origins
from oriolejunction import node_base
from oriolejunction import node_settings
from oriolejunction.peers import fleet_protocols
from oriolejunction.peers import fleet_service
from oriolejunction.peers import list_poller
from oriolejunction.peers import origin_service
from oriolejunction.peers import raft_formation
from oriolejunction.peers import raft_service
from oriolejunction.peers import raft_transport
from oriolejunction.peers import rollout_control
from oriolejunction.peers import rollout_service
from oriolejunction.peers import rpc
from oriolejunction.peers import table_publication
from oriolejunction.peers import transport as transports
from oriolejunction.platform import backend_list
from oriolejunction.platform import configuration_document
from oriolejunction.platform import operator_calls
from oriolejunction import rollout_telemetry
from oriolejunction import source_digest

# A removed machine must have lost its vote 4 s after its successor started. A
# voter is replaced once it is as silent as a leader that others replace.
CONTROL_TIMING = core_state.Timing(
    first_election_ms=300.0,
    lost_after_ms=core_state.Timing().election_min_ms,
    learner_lost_after_ms=2_500.0,
)
# Configuration documents with thousands of routes reach some MB.
LOG_LIMITS = compaction.LogLimits(
    max_entries=1_024,
    max_bytes=8 << 20,
    retained=32,
    retained_bytes=2 << 20,
)
# A process that ends during its start is back by then.
FORM_WITHOUT_MS = 3_000.0
_log = structlog.get_logger(__name__)


class ControlNode(node_base.Node):
    """A control replica of a deployment."""

    def __init__(self, path: pathlib.Path) -> None:
        rpc.load_lazy_modules()
        super().__init__(path, node_settings.ControlSettings)
        self._registry = aioprometheus.Registry()

    async def start(self) -> None:
        """Open the listeners and form or join the control group."""
        settings = self.settings_file.current
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
            settings.initial_voters(),
        )
        self._replica.on_failure = self.failed.set
        # Not if only the disk dates from the first start: the group may have
        # been formed without it since.
        origins = stream_origins.OriginHub(
            self.clock,
            version_file.VersionFile(data_dir, settings.first_start),
        )
        hub = fleet_hub.FleetHub(self.clock)
        control = self._rollout_control = self._new_rollout_control(settings)
        self._service = fleet_service.FleetService(
            fleet_service.FleetDependencies(
                incarnation=secrets.token_hex(6),
                replica=self._replica,
                clock=self.clock,
                hub=hub,
                origins=origins,
                listing=self.listing,
                read_table=configuration_document.read_table,
                stub_for=self._transport.stub_for,
                rollouts=control or rollout_control.NoRollouts(),
            )
        )
        self._server = grpc.aio.server(
            options=rpc.server_options(settings.max_connections)
        )
        raft_service.RaftService(self._replica, self._transport).add_to(
            self._server
        )
        self._service.add_to(self._server)
        publication = table_publication.TablePublication(
            self._replica, self._transport.stub_for
        )
        publication.add_to(self._server)
        origin_service.OriginService(
            origins, self._replica, self._transport.stub_for
        ).add_to(self._server)
        rollouts = None
        if control is not None:
            protocols = fleet_protocols.FleetProtocols(
                self._replica, self._transport.stub_for, hub, self.clock
            )
            self.spawn(protocols.run)
            rollouts = rollout_service.RolloutService(
                rollout_service.RolloutDependencies(
                    self._replica,
                    self.clock,
                    configuration_document.read_table,
                    self._transport.stub_for,
                    control.progress,
                    protocols.is_known_to_all,
                )
            )
            rollouts.add_to(self._server)
            self.spawn(control.run)
        transports.PLAINTEXT.listen(self._server, settings.peer_listen)
        await self._server.start()
        self._replica.start()
        self._formation = self._new_formation(settings)
        self.spawn(self._formation.run)
        self.spawn(self._service.run)
        self.spawn(functools.partial(self.settings_file.watch, self.clock))
        self.spawn(self._new_list_poller(settings).run)
        await self.listen(
            "operators",
            node_base.internal_runner(
                operator_calls.application(publication, rollouts)
            ),
            settings.operator_listen,
            settings.arrival_limits(),
        )
        await self.serve_status(self._registry, self._status)
        _log.info(
            "control replica started",
            replica=self._replica.member.replica,
            group=self._replica.group,
            first_start=settings.first_start,
            listen=settings.operator_listen,
            sources=source_digest.running_sources(),
        )

    def _status(self) -> dict[str, object]:
        return {
            "instance": self.settings_file.current.instance_id,
            "replica": self._replica.member.replica,
            "group": self._replica.group,
            "leader_term": self._replica.leader_term,
            "leader": self._replica.leader_address(),
            "table_version": self._replica.state.table.version,
            "list_age_ms": clocks.round_age_ms(self.listing.age_ms),
            "members": self._replica.group_changes.members(),
        }

    def _new_formation(
        self, settings: node_settings.ControlSettings
    ) -> raft_formation.GroupFormation:
        return raft_formation.GroupFormation(
            self._replica,
            self._transport,
            self.clock,
            lambda: self.settings_file.current.seed_addresses(),
            voter_target=settings.voter_target,
            form_without_ms=FORM_WITHOUT_MS,
        )

    def _new_rollout_control(
        self, settings: node_settings.ControlSettings
    ) -> rollout_control.RolloutControl | None:
        """Return the control of rollouts where the deployment has them."""
        if settings.rollouts is None:
            return None
        metrics = rollout_telemetry.RolloutTelemetry()
        self._registry = metrics.registry
        return rollout_control.RolloutControl(
            rollout_control.ControlDependencies(
                self._replica,
                self.clock,
                self.listing,
                settings.rollouts,
                metrics,
            )
        )

    def _new_list_poller(
        self, settings: node_settings.ControlSettings
    ) -> list_poller.ListPoller:
        return list_poller.ListPoller(
            self.clock,
            self.listing,
            functools.partial(
                backend_list.fetch, address=settings.list_address
            ),
            lambda: self._replica.leader_term is not None,
            lambda: True,
            self._service.notify_listing,
            self.rng,
            lambda: self._replica.leader_term,
        )

    async def drain(self) -> None:
        """Hand over leadership and the vote before the process stops."""
        _log.info("control replica leaving")
        await self._formation.leave()

    async def close(self) -> None:
        """Close the listeners, the replica and its connections at once."""
        await super().close()
        await self._service.close()
        await self._server.stop(None)
        await self._replica.close()
        await self._transport.close()
