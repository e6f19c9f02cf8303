"""Real ``serve`` and stand-in processes on loopback for benches."""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import os
import pathlib
import signal
import sys

import aiohttp

from oriolejunction import clock as clocks
from oriolejunction import local_deployment
from oriolejunction import operator_client
from oriolejunction.questionnaire import answers as answer_files

READY_POLL_S = 0.05
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
OPERATOR_TOKEN = "bench-operator-token"
COMMAND = (sys.executable, "-m", "oriolejunction")


@dataclasses.dataclass
class ManagedProcess:
    """A process started by the bench; signals go only to its own id."""

    name: str
    arguments: tuple[str, ...]
    log_path: pathlib.Path
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and append its output to its log file."""
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND,
                *self.arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"GRPC_VERBOSITY": "NONE"},
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def pause(self) -> None:
        """Pause the process with SIGSTOP, which it can't catch."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def terminate(self) -> int:
        """Request a graceful shutdown and return the exit status."""
        self.signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self.process.wait()


@dataclasses.dataclass
class ServeProcess:
    """A ``serve`` process with its addresses."""

    managed: ManagedProcess
    caller_url: str
    operator_url: str
    peer_address: str
    data_dir: pathlib.Path | None


def serve_processes(
    folder: pathlib.Path,
    zones: collections.abc.Sequence[str],
    replicas: int,
    extra: tuple[str, ...] = (),
) -> list[ServeProcess]:
    """Return one instance for each zone, not started yet.

    The first `replicas` instances are control replicas and have a data
    directory. `extra` is appended to the arguments of all.
    """
    host = local_deployment.HOST
    ports = local_deployment.free_ports(3 * len(zones))
    peers = ",".join(
        f"instance-{number}={host}:{ports[3 * number + 2]}"
        for number in range(replicas)
    )
    instances = []
    for number, zone in enumerate(zones):
        caller, operator, peer = ports[3 * number : 3 * number + 3]
        data_dir = folder / f"data-{number}" if number < replicas else None
        arguments = (
            "serve",
            f"--instance-id=instance-{number}",
            f"--zone={zone}",
            f"--caller-listen={host}:{caller}",
            f"--operator-listen={host}:{operator}",
            f"--peer-listen={host}:{peer}",
            f"--control-peers={peers}",
            f"--operator-token={OPERATOR_TOKEN}",
            "--log-level=warning",
            *([f"--data-dir={data_dir}"] if data_dir else []),
            *extra,
        )
        instances.append(
            ServeProcess(
                ManagedProcess(
                    f"instance-{number}",
                    arguments,
                    folder / f"instance-{number}.log",
                ),
                caller_url=f"http://{host}:{caller}",
                operator_url=f"http://{host}:{operator}",
                peer_address=f"{host}:{peer}",
                data_dir=data_dir,
            )
        )
    return instances


async def wait_until_live(urls: collections.abc.Iterable[str]) -> None:
    """Wait until the callers' listener of each instance answers."""
    async with aiohttp.ClientSession() as session:
        async with asyncio.timeout(START_TIMEOUT_S):
            for url in urls:
                await _wait_until_ok(session, url + "/live")


async def wait_until_ready(urls: collections.abc.Iterable[str]) -> None:
    """Wait until each instance has a configuration in force."""
    async with aiohttp.ClientSession() as session:
        async with asyncio.timeout(START_TIMEOUT_S):
            for url in urls:
                await _wait_until_ok(session, url + "/ready")


async def _wait_until_ok(session: aiohttp.ClientSession, url: str) -> None:
    while True:
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with session.get(url) as response:
                if response.status == 200:
                    return
        await asyncio.sleep(READY_POLL_S)


async def start_configured(
    serves: collections.abc.Sequence[ServeProcess],
    answers: answer_files.Answers,
) -> None:
    """Start instances and put the configuration from `answers` in force."""
    for serve in serves:
        await serve.managed.start()
    urls = [serve.caller_url for serve in serves]
    await wait_until_live(urls)
    client = operator_client.OperatorClient(
        serves[0].operator_url, OPERATOR_TOKEN
    )
    text = answer_files.dump(answer_files.redact_keys(answers))
    clock = clocks.SystemClock()
    draft = await operator_client.retry_until_done(
        lambda: client.submit(text), clock
    )
    await operator_client.retry_until_done(
        lambda: client.accept(draft["draft_id"]), clock
    )
    await wait_until_ready(urls)


async def service_counts(url: str) -> collections.Counter[str]:
    """Return how often a stand-in service ran each key."""
    async with aiohttp.ClientSession() as session:
        async with session.get(url + "/counts") as response:
            return collections.Counter(await response.json())


def violated_invariants(folder: pathlib.Path) -> list[str]:
    """Return the instances' log lines that report violated invariants."""
    return [
        line
        for path in folder.glob("instance-*.log")
        for line in path.read_text(errors="replace").splitlines()
        if "invariant violated" in line
    ]


async def stop_all(
    processes: collections.abc.Iterable[ManagedProcess],
) -> None:
    """Kill all processes that still run, including paused ones."""
    for process in processes:
        if process.process is not None:
            process.resume()
            await process.kill()
