"""Real processes of one deployment on loopback, and what is before them."""

import asyncio
import collections.abc
import dataclasses
import json
import os
import pathlib
import shutil
import signal
import sys

from aiohttp import web

from tests.platform import gateway_rig
from tests.platform import test_configuration_document
from tests.soak import fault_proxy as proxies
from tests.soak import guarantees

PEER_PORT, CONTROL_PORT, ENTRY_PORT = 17_300, 17_301, 17_302
READY_PORT, LIST_PORT, STATUS_PORT = 17_303, 17_304, 17_305
GRACE_MS = 6_000
CONTROLS, ENTRIES, ENGINES, CALL_SERVERS, ZONES = 3, 3, 4, 2, 2
HOST = "ficu95.example"
# A process that was asked to stop is killed after its grace.
EXIT_TIMEOUT_S = GRACE_MS / 1e3 + 1.0


def document(version: int, marker: str = "") -> dict:
    """Return a document with one route of each kind."""
    base = test_configuration_document.document(version=version)
    llm, desk = base["services"]
    stream = {**base["routes"][0], "futureField": marker}
    call = {
        **stream,
        "service": "desk",
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "resumable": False,
    }
    base["routes"] = [
        stream,
        {
            **call,
            "name": "order",
            "pathPrefix": "/order/",
            "kind": "non_idempotent",
            "maxAttempts": 1,
        },
        {
            **call,
            "name": "look",
            "pathPrefix": "/look/",
            "kind": "idempotent",
            "maxAttempts": 2,
        },
    ]
    base["services"] = [llm, {**desk, "connectionLimit": 100}]
    return base


@dataclasses.dataclass
class Node:
    """One process, started again under the same name and address."""

    name: str
    role: str
    ip: str
    settings: pathlib.Path
    log: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    boot: int = 0
    # Boots that were killed or paused: what they cut off was not theirs.
    disturbed_boots: set[int] = dataclasses.field(default_factory=set)
    is_paused: bool = False
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    async def start(self) -> None:
        """Start the process, its output at the end of its log."""
        self.boot += 1
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "oriolejunction.node", self.role),
                str(self.settings),
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": "src"},
            )

    def signal_process(self, number: signal.Signals) -> None:
        """Send a signal to the process that was started here."""
        if number in (signal.SIGKILL, signal.SIGSTOP):
            self.disturbed_boots.add(self.boot)
        self.is_paused = number is signal.SIGSTOP
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal_process(signal.SIGKILL)
        await self.process.wait()


class Fleet:
    """Nodes, backend servers behind proxies and the platform's list."""

    def __init__(self, folder: pathlib.Path, number: int) -> None:
        """Use the addresses 127.20.`number`.x, so that fleets run beside."""
        self.observations = guarantees.Observations()
        self._folder = folder
        self._net = f"127.20.{number % 250}"
        self._list_address = f"{self._net}.250:{LIST_PORT}"
        self.controls = [
            self._control(place, first_start=True) for place in range(CONTROLS)
        ]
        self.entries = [self._entry(place) for place in range(ENTRIES)]
        self.engines = [
            gateway_rig.Engine(f"i-llm-{place}", self._stream)
            for place in range(ENGINES)
        ]
        self.call_servers = [
            gateway_rig.Engine(f"i-desk-{place}", self._call)
            for place in range(CALL_SERVERS)
        ]
        self.fault_proxies: list[proxies.FaultProxy] = []
        self.unlisted: set[str] = set()
        self._listed: list[dict] = []
        app = web.Application()
        app.router.add_get("/instances", self._list)
        self._list_runner = web.AppRunner(app, access_log=None)

    def _write_settings(
        self, name: str, ip: str, **fields: object
    ) -> pathlib.Path:
        path = self._folder / f"{name}.json"
        content = {
            "instance_id": name,
            "zone": f"z{name[-1]}",
            "ip": ip,
            "peer_port": PEER_PORT,
            "control_seeds": [
                f"{self._net}.{place + 1}:{CONTROL_PORT}"
                for place in range(CONTROLS)
            ],
            "list_address": self._list_address,
            "metrics_listen": f"{ip}:{STATUS_PORT}",
            **fields,
        }
        path.write_text(json.dumps(content))
        return path

    def _control(self, place: int, first_start: bool) -> Node:
        name, ip = f"core-{place}", f"{self._net}.{place + 1}"
        path = self._write_settings(
            name,
            ip,
            operator_listen=f"{ip}:{CONTROL_PORT}",
            data_dir=str(self._folder / f"disk-{place}"),
            first_start=first_start,
            losses_borne=1,
        )
        return Node(name, "control", ip, path, self._folder / f"{name}.log")

    def _entry(self, place: int) -> Node:
        name, ip = f"entry-{place}", f"{self._net}.{place + 11}"
        path = self._write_settings(
            name,
            ip,
            caller_listen=f"{ip}:{ENTRY_PORT}",
            ready_listen=f"{ip}:{READY_PORT}",
            grace_ms=GRACE_MS,
        )
        return Node(name, "entry", ip, path, self._folder / f"{name}.log")

    @property
    def nodes(self) -> list[Node]:
        """Return all processes."""
        return [*self.controls, *self.entries]

    async def start(self) -> None:
        """Start the backend servers, the list and all processes."""
        for service, servers in (
            ("llm", self.engines),
            ("desk", self.call_servers),
        ):
            for place, server in enumerate(servers):
                await server.start()
                link = proxies.FaultProxy(server.address)
                await link.start()
                self.fault_proxies.append(link)
                self._listed.append(
                    {
                        "id": server.name,
                        "service": service,
                        "address": link.address,
                        "zone": f"z{place % ZONES}",
                        "state": "ready",
                        "slots": 16,
                    }
                )
        await self._list_runner.setup()
        host, port = self._list_address.rsplit(":", 1)
        await web.TCPSite(self._list_runner, host, int(port)).start()
        for node in self.nodes:
            await node.start()

    def clear_first_start(self) -> None:
        """Have an empty disk mean a lost one from the next start on."""
        for place in range(CONTROLS):
            self._control(place, first_start=False)

    def wipe(self, place: int) -> None:
        """Empty the disk of a control replica that does not run."""
        disk = self._folder / f"disk-{place}"
        shutil.rmtree(disk, ignore_errors=True)

    async def close(self) -> None:
        """End what was started, by its own handle."""
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        await self._list_runner.cleanup()
        for part in (*self.fault_proxies, *self.engines, *self.call_servers):
            await part.close()

    def log_lines(self) -> collections.abc.Iterator[tuple[str, str]]:
        """Yield each line that a process wrote, with its name."""
        for node in self.nodes:
            for line in node.log.read_text(errors="replace").splitlines():
                yield node.name, line

    async def _list(self, request: web.Request) -> web.Response:
        listed = [i for i in self._listed if i["id"] not in self.unlisted]
        return web.json_response({"instances": listed, "next": None})

    async def _stream(self, arrival: gateway_rig.Arrival) -> None:
        self.observations.runs_by_id[arrival.headers["attempt-id"]] += 1
        first = int(arrival.headers.get("last-event-id", 0)) + 1
        arrival.begin()
        for number in range(first, guarantees.EVENTS_PER_STREAM + 1):
            arrival.events([number])
            await arrival.writer.drain()
            await asyncio.sleep(0.02)
        arrival.end()

    async def _call(self, arrival: gateway_rig.Arrival) -> None:
        number = int(arrival.headers["attempt-id"].rsplit("-", 1)[1])
        if number % 11 == 0:
            arrival.refuse()
            return
        self.observations.runs_by_id[arrival.headers["attempt-id"]] += 1
        await asyncio.sleep(0.01)
        if number % 13 == 0:
            arrival.answer(b"failed", "500 Failed")
        else:
            arrival.answer(b"done")
