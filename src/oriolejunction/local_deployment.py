"""A complete deployment in one process on loopback."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import errno
import pathlib
import random
import secrets
import socket
import tempfile

from aiohttp import web
import structlog

from oriolejunction import clock as clocks
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction import serving
from oriolejunction import settings as instance_settings
from oriolejunction.standin import engine as standin_engine
from oriolejunction.standin import service as standin_service
from oriolejunction import states
from oriolejunction import wiring

HOST = "127.0.0.1"
STOP_TIMEOUT_S = 0.1
ZONES = ("fukuoka", "kumamoto", "kagoshima")
MODEL = "brew-assist"
MODEL_VERSION = "1"
SERVICE = "order-desk"
ENGINE_COUNT = 5
STANDIN_SHUTDOWN_S = 0.1
CONTROL_REPLICAS = 3
KEY_BY_WORKSPACE = {"hakata": "hakata-key", "aso": "aso-key"}
# An outgoing connection may get a port from 32768 on at any time.
LISTEN_PORTS = range(20_000, 32_768)
_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class LocalEngineOptions:
    """One stand-in engine of a local deployment."""

    zone: str
    slowdown: float = 1.0
    max_running: int = 32
    report_lag_ms: float = 0.0
    prefill_ms_per_token: float = 0.02
    cache_blocks: int = 512


@dataclasses.dataclass(frozen=True)
class LocalOptions:
    """Instances, engines and workspaces of a local deployment.

    `zones` holds the availability zone of each entry instance, and
    `key_by_workspace` the bearer key of each workspace.
    """

    zones: tuple[str, ...] = ZONES
    engines: tuple[LocalEngineOptions, ...] = tuple(
        LocalEngineOptions(ZONES[number % len(ZONES)])
        for number in range(ENGINE_COUNT)
    )
    measure: states.Objective = states.Objective.LATENCY
    key_by_workspace: dict[str, str] = dataclasses.field(
        default_factory=lambda: dict(KEY_BY_WORKSPACE)
    )
    serving_options: serving.ServingOptions = serving.ServingOptions()


@dataclasses.dataclass(frozen=True)
class Addresses:
    """URLs and credentials of a local deployment, as printed in JSON."""

    callers_urls: tuple[str, ...]
    operators_urls: tuple[str, ...]
    engine_urls: tuple[str, ...]
    service_urls: tuple[str, ...]
    workspace_keys: dict[str, str]
    models: tuple[str, ...]
    operator_token: str


class LocalDeployment:
    """Instances, stand-in engines and a stand-in service."""

    def __init__(self, data_root: pathlib.Path, options: LocalOptions) -> None:
        self.options = options
        self.instances: list[wiring.Instance] = []
        self.engines: list[standin_engine.StandinEngine] = []
        self.service = standin_service.StandinService()
        self._runners: list[web.AppRunner] = []
        self._data_root = data_root
        self.addresses: Addresses

    async def start(self) -> None:
        """Start the stand-ins and the instances."""
        engine_urls = [
            await self._start_engine(number, engine)
            for number, engine in enumerate(self.options.engines)
        ]
        service_url = await self._serve(self.service.application())
        token = secrets.token_hex(16)
        ports = free_ports(3 * len(self.options.zones))
        for number, zone in enumerate(self.options.zones):
            await self._start_instance(number, zone, ports, token)
        self.addresses = Addresses(
            callers_urls=tuple(
                f"http://{i.settings.caller_listen}" for i in self.instances
            ),
            operators_urls=tuple(
                f"http://{i.settings.operator_listen}" for i in self.instances
            ),
            engine_urls=tuple(engine_urls),
            service_urls=(service_url,),
            workspace_keys=dict(self.options.key_by_workspace),
            models=(MODEL,),
            operator_token=token,
        )

    async def stop(self) -> None:
        """Stop the instances and stand-ins without draining."""
        for instance in self.instances:
            await instance.stop()
        for runner in self._runners:
            await runner.cleanup()

    def sample_answers(self) -> answer_files.Answers:
        """Return the answers that describe this deployment."""
        return answer_files.Answers(
            measure=self.options.measure,
            zones=tuple(dict.fromkeys(self.options.zones)),
            models=(answer_files.ModelAnswer(MODEL, MODEL_VERSION),),
            engines=tuple(
                answer_files.EngineAnswer(
                    f"engine-{number}", url, engine.zone, MODEL
                )
                for number, (engine, url) in enumerate(
                    zip(self.options.engines, self.addresses.engine_urls)
                )
            ),
            services=(
                answer_files.ServiceAnswer(
                    SERVICE,
                    self.addresses.service_urls,
                    never_twice=("POST /orders",),
                ),
            ),
            workspaces=tuple(
                answer_files.WorkspaceAnswer(name, key)
                for name, key in self.options.key_by_workspace.items()
            ),
        )

    async def _start_engine(
        self, number: int, options: LocalEngineOptions
    ) -> str:
        engine = standin_engine.StandinEngine(
            standin_engine.EngineOptions(
                f"engine-{number}",
                MODEL,
                MODEL_VERSION,
                slowdown=options.slowdown,
                max_running=options.max_running,
                report_lag_ms=options.report_lag_ms,
                prefill_ms_per_token=options.prefill_ms_per_token,
                cache_blocks=options.cache_blocks,
            )
        )
        self.engines.append(engine)
        return await self._serve(engine.application())

    async def _start_instance(
        self, number: int, zone: str, ports: list[int], token: str
    ) -> None:
        caller, operator, peer = ports[3 * number : 3 * number + 3]
        settings = instance_settings.Settings(
            instance_id=f"instance-{number}",
            zone=zone,
            caller_listen=f"{HOST}:{caller}",
            operator_listen=f"{HOST}:{operator}",
            peer_listen=f"{HOST}:{peer}",
            control_peers=",".join(
                f"instance-{replica}={HOST}:{ports[3 * replica + 2]}"
                for replica in range(min(CONTROL_REPLICAS, len(ports) // 3))
            ),
            operator_token=token,
            data_dir=(
                str(self._data_root / str(number))
                if number < CONTROL_REPLICAS
                else None
            ),
            drain_delay_ms=100,
        )
        instance = wiring.Instance(
            settings, clocks.SystemClock(), self.options.serving_options
        )
        await instance.start()
        self.instances.append(instance)

    async def _serve(self, app: web.Application) -> str:
        runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=STANDIN_SHUTDOWN_S
        )
        await runner.setup()
        site = web.TCPSite(runner, HOST, 0)
        await site.start()
        self._runners.append(runner)
        port = runner.addresses[0][1]
        return f"http://{HOST}:{port}"


def free_ports(count: int) -> list[int]:
    """Return distinct free ports of the loopback address.

    Raise `OSError` if there are not so many.
    """
    candidates = random.SystemRandom().sample(LISTEN_PORTS, len(LISTEN_PORTS))
    ports: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            if not candidates:
                raise OSError(errno.EADDRINUSE, "no free port is left")
            port = candidates.pop()
            listener = stack.enter_context(socket.socket())
            try:
                listener.bind((HOST, port))
            except OSError as error:
                _log.debug("port not free", port=port, why=str(error))
            else:
                ports.append(port)
    return ports


@contextlib.asynccontextmanager
async def run_deployment(
    options: LocalOptions = LocalOptions(),
) -> collections.abc.AsyncIterator[LocalDeployment]:
    """Run a local deployment for the duration of a ``with`` block."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = LocalDeployment(pathlib.Path(folder), options)
        await deployment.start()
        try:
            yield deployment
        finally:
            await deployment.stop()


async def wait_until_ready(deployment: LocalDeployment) -> None:
    """Wait until each instance applies a configuration."""
    for instance in deployment.instances:
        while instance.blackboard.in_force.read() is None:
            await asyncio.sleep(0.02)
