"""The composition root: build one instance from its settings."""

import asyncio
import pathlib
import random
import uuid

from aiohttp import web
import grpc
import structlog

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction.consensus import raft_replica
from oriolejunction.consensus import types
from oriolejunction.controllers import generation_runner
from oriolejunction.controllers import graceful_shutdown
from oriolejunction.controllers import journal_replica
from oriolejunction.controllers import loss_policy
from oriolejunction.controllers import order_executor
from oriolejunction.controllers import silence_detector
from oriolejunction.http import callers
from oriolejunction.http import engine_client
from oriolejunction.http import operators
from oriolejunction.http import order_client
from oriolejunction.http import service_calls
from oriolejunction.http import service_client
from oriolejunction import ids
from oriolejunction.peers import configuration_watch
from oriolejunction.peers import control_client
from oriolejunction.peers import control_service
from oriolejunction.peers import journal_client
from oriolejunction.peers import journal_service
from oriolejunction.peers import leader_executor
from oriolejunction.peers import raft_formation
from oriolejunction.peers import raft_service
from oriolejunction.peers import raft_transport
from oriolejunction.peers import transport as transports
from oriolejunction import serving
from oriolejunction import settings as instance_settings
from oriolejunction import source_digest
from oriolejunction import states
from oriolejunction import supervision
from oriolejunction import telemetry as metrics

STOP_TIMEOUT_S = 0.1
_log = structlog.get_logger(__name__)


class Instance:
    """One instance with its listeners, background tasks and clients."""

    def __init__(
        self,
        settings: instance_settings.Settings,
        clock: clocks.Clock,
        serving_options: serving.ServingOptions | None = None,
    ) -> None:
        self._serving_options = serving_options or serving.ServingOptions(
            max_requests=settings.max_requests,
            platform_list_url=settings.platform_list_url,
        )
        self.settings = settings
        self.clock = clock
        self.blackboard = blackboards.Blackboard()
        self.telemetry = metrics.Telemetry()
        self.loss_policy = loss_policy.PolicyChoice(self.blackboard)
        self._transport = transports.from_settings(settings)
        self._write_state = self.blackboard.instance_state.claim_writer(
            "wiring"
        )
        # Set if a part has failed without which the process must not go on.
        self.failed = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self._runners: list[web.AppRunner] = []
        self._server: grpc.aio.Server | None = None
        self._replica: raft_replica.RaftReplica | None = None
        self._journal_service = journal_service.JournalService(
            journal_replica.JournalReplica(), clock
        )
        self._graceful_shutdown = graceful_shutdown.GracefulShutdown(
            clock,
            self._write_state,
            settings.drain_delay_ms,
            self._journal_service.active_count,
        )

    async def start(self) -> None:
        """Open the listeners and start serving."""
        settings = self.settings
        instance_id = ids.InstanceId(settings.instance_id)
        self._engines = engine_client.EngineClient()
        self.serving = serving.Serving(
            instance_id,
            self.clock,
            self.blackboard,
            self._engines,
            self._transport,
            self._serving_options,
        )
        await self._start_peer_listener(instance_id)
        self._control = control_client.ControlClient(
            settings.control_address_by_id(), self._transport
        )
        self._services = service_client.ServiceClient()
        self._service_calls = service_calls.ServiceCalls(
            instance_id, self.clock, self._services, self._control
        )
        self.journals = journal_client.JournalClient(
            instance_id,
            ids.ZoneId(settings.zone),
            self.clock,
            self.blackboard,
            self.telemetry,
            self._journal_service,
            self._transport.channel,
        )
        watch = configuration_watch.ConfigurationWatch(
            instance_id,
            ids.ZoneId(settings.zone),
            self.clock,
            self.blackboard,
            self._control,
            settings.peer_listen,
        )
        self._spawn(watch.run)
        self._orders = order_client.OrderClient()
        if self._replica is not None:
            self._spawn(self._new_leader_executor(instance_id).run)
        self._tasks.extend(self.serving.start())
        self._spawn(self._journal_service.run)
        caller_app = callers.application(
            self._caller_dependencies(instance_id)
        )
        caller_app.middlewares.append(self._count_in_flight)
        await self._listen(caller_app, settings.caller_listen)
        operator_app = operators.application(
            operators.OperatorDependencies(
                settings.operator_token,
                self.clock,
                self._control,
                settings.operator_name_by_token(),
            )
        )
        await self._listen(operator_app, settings.operator_listen)
        self._write_state(states.InstanceState.READY)
        _log.info(
            "instance started",
            instance=instance_id,
            sources=source_digest.source_digest(),
        )

    def _spawn(self, work: supervision.Work) -> None:
        """Run a background task, restarted on failure, until `stop`."""
        self._tasks.append(
            asyncio.create_task(supervision.run_supervised(work, self.clock))
        )

    async def drain(self) -> None:
        """Finish all requests in flight, then transfer control leadership."""
        await self._graceful_shutdown.run()
        while self._service_calls.pending:
            await self.clock.sleep_ms(graceful_shutdown.POLL_MS)
        if self._replica is not None:
            await self._formation.leave()

    async def stop(self) -> None:
        """Close listeners, tasks and clients without draining."""
        for runner in self._runners:
            await runner.cleanup()
        for task in self._tasks:
            await configuration_watch.stop_task(task)
        await self._service_calls.close()
        await self.serving.close()
        for client in (
            self.journals,
            self._engines,
            self._services,
            self._orders,
            self._control,
        ):
            await client.close()
        await self.stop_peer_listener()
        if self._replica is not None:
            await self._replica.close()
            await self._raft_transport.close()
        self._write_state(states.InstanceState.STOPPED)

    async def stop_peer_listener(self) -> None:
        """Stop answering the other instances."""
        if self._server is not None:
            await self._server.stop(None)

    async def _start_peer_listener(self, instance_id: ids.InstanceId) -> None:
        self._server = grpc.aio.server()
        if self.settings.data_dir is not None:
            self._add_replica(instance_id)
        self.serving.gossip.add_to(self._server)
        self._journal_service.add_to(self._server)
        self._transport.listen(self._server, self.settings.peer_listen)
        await self._server.start()

    def _add_replica(self, instance_id: ids.InstanceId) -> None:
        data_dir = pathlib.Path(self.settings.data_dir)
        data_dir.mkdir(parents=True, exist_ok=True)
        transport = raft_transport.RaftTransport(
            self.settings.peer_listen, self._transport
        )
        self._replica = raft_replica.RaftReplica(
            data_dir,
            self._replica_member,
            transport,
            self.clock,
            random.Random(),
            initial_voters=tuple(self._control_addresses()),
        )
        self._replica.on_failure = self.failed.set
        raft_service.RaftService(self._replica, transport).add_to(self._server)
        control_service.ControlService(
            instance_id, self._replica, self.clock
        ).add_to(self._server)
        self._formation = raft_formation.GroupFormation(
            self._replica,
            transport,
            self.clock,
            self._control_addresses,
        )
        self._replica.start()
        self._spawn(self._formation.run)
        self._raft_transport = transport

    def _control_addresses(self) -> list[str]:
        return list(self.settings.control_address_by_id().values())

    def _new_leader_executor(
        self, instance_id: ids.InstanceId
    ) -> leader_executor.LeaderExecutor:
        replica = self._replica
        return leader_executor.LeaderExecutor(
            replica,
            order_executor.ExecutorDependencies(
                owner=instance_id,
                clock=self.clock,
                propose=self._control.propose,
                engines=self._orders,
                content=lambda: replica.state.history.content,
                book=lambda: replica.state.orders,
            ),
        )

    def _replica_member(self, replica: types.ReplicaId) -> types.Member:
        return types.Member(
            replica,
            self.settings.instance_id,
            self.settings.zone,
            self.settings.peer_listen,
        )

    def _caller_dependencies(self, instance_id: ids.InstanceId):
        return callers.CallerDependencies(
            instance_id=instance_id,
            clock=self.clock,
            blackboard=self.blackboard,
            telemetry=self.telemetry,
            runner=generation_runner.RunnerDependencies(
                engines=self.serving.engines,
                choose_engine=self.serving.dispatcher.choose,
                telemetry=self.telemetry,
                clock=self.clock,
                attempt_losses=self.blackboard.attempt_losses,
                attempt_stalls=self.blackboard.attempt_stalls,
                detector=silence_detector.SilenceDetector(),
                policy=self.loss_policy.current,
            ),
            services=self._service_calls,
            gate=self.serving.gate,
            journals=self.journals,
            new_generation_id=lambda: ids.GenerationId(uuid.uuid4().hex),
            max_body_bytes=self.settings.max_body_bytes,
        )

    @web.middleware
    async def _count_in_flight(self, request, handler):
        with self._graceful_shutdown.track_request():
            return await handler(request)

    async def _listen(self, app: web.Application, address: str) -> None:
        host, port = instance_settings.split_address(address)
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        await runner.setup()
        await web.TCPSite(runner, host, port).start()
        self._runners.append(runner)
