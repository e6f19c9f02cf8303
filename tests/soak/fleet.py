"""Real processes of one deployment, and the servers that they talk to."""

import asyncio
import collections.abc
import dataclasses
import functools
import json
import os
import pathlib
import shutil
import signal
import sys

from aiohttp import web

from tests import loopback
from tests.platform import gateway_rig
from tests.platform import test_configuration_document
from tests.soak import fault_proxy as proxies
from tests.soak import guarantees
from tests.soak import server_process

PEER_PORT, CONTROL_PORT, ENTRY_PORT = 17_300, 17_301, 17_302
READY_PORT, LIST_PORT, STATUS_PORT = 17_303, 17_304, 17_305
GRACE_MS = 6_000
CONTROLS, ENTRIES, ENGINES, CALL_SERVERS, ZONES = 3, 3, 4, 2, 2
HOST = "ficu95.example"
OWN_SOURCE = "src"
# Time for which a server wants no request of the instance that it rejects.
PAUSE_S = 1.5
# A stopping process that outlasts its grace period by 1 s is killed.
EXIT_TIMEOUT_S = GRACE_MS / 1e3 + 1.0


def document(version: int, marker: str = "", more_routes: int = 0) -> dict:
    """Return a configuration document with one route of each kind, and more.

    `marker` distinguishes documents of the same version.
    """
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
        *(
            {**call, "name": f"r-{number}", "pathPrefix": f"/more/{number}/"}
            for number in range(more_routes)
        ),
    ]
    base["services"] = [llm, {**desk, "connectionLimit": 100}]
    return base


@dataclasses.dataclass
class Node:
    """One process; a restart keeps its name and address."""

    name: str
    role: str
    ip: str
    zone: str
    settings: pathlib.Path
    log: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    boot: int = 0  # Number of starts so far.
    # Boots that were killed or paused: a missing answer or a failed exit of
    # theirs violates no guarantee.
    disturbed_boots: set[int] = dataclasses.field(default_factory=set)
    is_paused: bool = False
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    # Where the node's package is, and how Python is to run it.
    source: str = OWN_SOURCE
    python_options: tuple[str, ...] = ()

    async def start(self) -> None:
        """Start the process and append its output to its log."""
        self.boot += 1
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, *self.python_options),
                *("-m", "oriolejunction.node", self.role, str(self.settings)),
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": self.source},
            )

    def signal_process(self, number: signal.Signals) -> None:
        """Send a signal to this process if it still runs."""
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
    """Processes, backend servers behind proxies and the platform's list."""

    def __init__(
        self,
        folder: pathlib.Path,
        number: int,
        entries: int = ENTRIES,
        has_server_processes: bool = False,
        repeats_answers: bool = False,
    ) -> None:
        """Use a subnet for each number, so that fleets can run at once.

        With `has_server_processes`, the servers are processes, which nodes
        reach without a proxy. With `repeats_answers`, they are too, and write
        some answers twice; a proxy stands before them unless both are set.
        """
        self._has_proxies = not has_server_processes
        self._has_server_processes = has_server_processes or repeats_answers
        self.observations = guarantees.Observations()
        self._folder = folder
        self._subnet = f"{loopback.SOAK_NETWORK}.{number % 250}"
        self._list_address = f"{self._subnet}.250:{LIST_PORT}"
        self._seeds = [self._control_ip(index) for index in range(CONTROLS)]
        self.controls = [
            self._make_control(index, f"z{index}", first_start=True)
            for index in range(CONTROLS)
        ]
        self.entries = [
            self._make_entry(index, f"z{index % ENTRIES}")
            for index in range(entries)
        ]
        # Nodes that were replaced by new machines.
        self.removed: list[Node] = []
        self.engines = [
            self._make_server(
                f"i-llm-{index}", "repeating" if repeats_answers else "stream"
            )
            for index in range(ENGINES)
        ]
        self.call_servers = [
            self._make_server(
                f"i-desk-{index}", "repeating" if repeats_answers else "call"
            )
            for index in range(CALL_SERVERS)
        ]
        # Names of the servers that ask for pauses now.
        self.resting: set[str] = set()
        self.fault_proxies: list[proxies.FaultProxy] = []
        self.proxy_by_name: dict[str, proxies.FaultProxy] = {}
        self.unlisted: set[str] = set()
        # JSON that stands among the entries of the list.
        self.odd_entry: bytes | None = None
        self._listed_servers: list[dict] = []
        self._starting: dict[str, asyncio.Lock] = {}
        app = web.Application()
        app.router.add_get("/instances", self._serve_list)
        self._list_runner = web.AppRunner(app, access_log=None)

    def _control_ip(self, index: int) -> str:
        return f"{self._subnet}.{index + 1}"

    def _write_settings(
        self, name: str, ip: str, zone: str, **fields: object
    ) -> pathlib.Path:
        path = self._folder / f"{name}.json"
        content = {
            "instance_id": name,
            "zone": zone,
            "ip": ip,
            "peer_port": PEER_PORT,
            "control_seeds": self._seed_addresses(),
            "list_address": self._list_address,
            "metrics_listen": f"{ip}:{STATUS_PORT}",
            **fields,
        }
        _replace_text(path, json.dumps(content))
        return path

    def _seed_addresses(self) -> list[str]:
        return [f"{ip}:{CONTROL_PORT}" for ip in self._seeds]

    def _make_control(self, index: int, zone: str, first_start: bool) -> Node:
        name, ip = f"core-{index}", self._control_ip(index)
        path = self._write_settings(
            name,
            ip,
            zone,
            operator_listen=f"{ip}:{CONTROL_PORT}",
            data_dir=str(self._folder / f"disk-{index}"),
            first_start=first_start,
            losses_borne=1,
        )
        log = self._folder / f"{name}.log"
        return Node(name, "control", ip, zone, path, log)

    def _make_entry(self, index: int, zone: str) -> Node:
        name, ip = f"entry-{index}", f"{self._subnet}.{index + 41}"
        path = self._write_settings(
            name,
            ip,
            zone,
            caller_listen=f"{ip}:{ENTRY_PORT}",
            ready_listen=f"{ip}:{READY_PORT}",
            grace_ms=GRACE_MS,
        )
        log = self._folder / f"{name}.log"
        return Node(name, "entry", ip, zone, path, log)

    def replace_machine(self, old: Node) -> Node:
        """Put a new node in the place of one, without starting it.

        It has an address and, if it is a control replica, an empty disk of
        its own. The seeds in the settings of all nodes follow.
        """
        number = len(self.nodes) + len(self.removed)
        if old.role == "entry":
            new = self._make_entry(number, old.zone)
            self.entries[self.entries.index(old)] = new
        else:
            self._seeds[self._seeds.index(old.ip)] = self._control_ip(number)
            new = self._make_control(number, old.zone, first_start=False)
            self.controls[self.controls.index(old)] = new
        self.removed.append(old)
        for node in [*self.nodes, old]:
            content = json.loads(node.settings.read_text())
            content["control_seeds"] = self._seed_addresses()
            _replace_text(node.settings, json.dumps(content))
        return new

    def _make_server(
        self, name: str, kind: str
    ) -> gateway_rig.Engine | server_process.ServerProcess:
        if self._has_server_processes:
            return server_process.ServerProcess(
                name, kind, self._record_run, self._record_stream
            )
        work = server_process.Work(
            functools.partial(self._record_run, name),
            functools.partial(self._record_stream, name),
        )
        behave = work.serve_call if kind == "call" else work.serve_stream
        return gateway_rig.Engine(
            name, functools.partial(self._serve, name, behave)
        )

    def _record_run(self, server: str, request_id: str) -> None:
        self.observations.runs_by_id[request_id] += 1

    def _record_stream(
        self, server: str, request_id: str, began_s: float, ended_s: float
    ) -> None:
        self.observations.stream_runs.append(
            guarantees.StreamRun(request_id, server, began_s, ended_s)
        )

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
            for index, server in enumerate(servers):
                await server.start()
                self._starting[server.name] = asyncio.Lock()
                proxy = proxies.FaultProxy(server.address)
                await proxy.start()
                self.fault_proxies.append(proxy)
                self.proxy_by_name[server.name] = proxy
                self._listed_servers.append(
                    {
                        "id": server.name,
                        "service": service,
                        "address": (
                            proxy.address
                            if self._has_proxies
                            else server.address
                        ),
                        "zone": f"z{index % ZONES}",
                        "state": "ready",
                        "slots": 16,
                    }
                )
        await self._list_runner.setup()
        host, port = self._list_address.rsplit(":", 1)
        await web.TCPSite(self._list_runner, host, int(port)).start()
        for node in self.nodes:
            await node.start()

    async def restart_server(
        self, server: server_process.ServerProcess, lag_s: float
    ) -> None:
        """Kill a server, which is back at its address under a new id.

        The list shows the former entry beside the new one for `lag_s`.
        """
        async with self._starting[server.name]:
            former = next(
                entry
                for entry in self._listed_servers
                if entry["id"] == server.server_id
            )
            await server.restart()
            self._listed_servers.append({**former, "id": server.server_id})
        await asyncio.sleep(lag_s)
        self._listed_servers.remove(former)

    def clear_first_start(
        self, indexes: collections.abc.Iterable[int] = range(CONTROLS)
    ) -> None:
        """Make later starts of replicas treat an empty disk as a lost one."""
        for index in indexes:
            zone = self.controls[index].zone
            self._make_control(index, zone, first_start=False)

    def wipe(self, index: int) -> None:
        """Delete the data of a control replica that does not run."""
        disk = self._folder / f"disk-{index}"
        shutil.rmtree(disk, ignore_errors=True)

    async def close(self) -> None:
        """Kill the processes by their own handles and close the servers."""
        for node in [*self.nodes, *self.removed]:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        await self._list_runner.cleanup()
        for server_or_proxy in (
            *self.fault_proxies,
            *self.engines,
            *self.call_servers,
        ):
            await server_or_proxy.close()

    def log_lines(self) -> collections.abc.Iterator[tuple[str, str]]:
        """Yield the name of a process and a line of its log, for all lines."""
        for node in [*self.nodes, *self.removed]:
            for line in node.log.read_text(errors="replace").splitlines():
                yield node.name, line

    async def _serve_list(self, request: web.Request) -> web.Response:
        listed = [
            i for i in self._listed_servers if i["id"] not in self.unlisted
        ]
        entries = [json.dumps(each).encode() for each in listed]
        if self.odd_entry is not None:
            entries.insert(len(entries) // 2, self.odd_entry)
        return web.Response(
            body=b'{"instances":[%s],"next":null}' % b",".join(entries),
            content_type="application/json",
        )

    async def _serve(
        self,
        name: str,
        behave: gateway_rig.Behaviour,
        arrival: gateway_rig.Arrival,
    ) -> None:
        """Serve a request, unless the server asks for pauses now."""
        seen = self.observations
        now_s = asyncio.get_running_loop().time()
        sender = seen.sender_by_id[arrival.headers["attempt-id"]]
        seen.arrivals.append(guarantees.Arrival(now_s, name, sender))
        if name not in self.resting:
            await behave(arrival)
            return
        arrival.refuse(b"Retry-After: %.1f\r\n" % PAUSE_S)
        # The instance may never read an answer that is delayed or lost.
        if self.proxy_by_name[name].faults == proxies.LinkFaults():
            seen.pauses.append(
                guarantees.Pause(now_s, now_s + PAUSE_S, name, sender)
            )


def _replace_text(path: pathlib.Path, text: str) -> None:
    """Write a file that its readers see whole at any time."""
    part = path.with_suffix(".part")
    part.write_text(text)
    part.replace(path)
