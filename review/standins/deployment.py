"""The project's own processes of a small deployment, and its platform."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import time

from standins import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Where the build of the deploy file puts the program and its libraries.
PACKAGES = ROOT / "target" / "deps"
ZONES = ("a", "b", "c", "d")
GRACE_S = 8.0


class CannotRun(Exception):
    """The case can't run on this machine."""


class Record:
    """What was sent, answered and run, as lines of `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def add(self, text: str) -> None:
        """Write a line with the time since the start."""
        now_s = time.monotonic() - self._began_s
        self._file.write(f"{now_s:8.3f} s  {text}\n")
        self._file.flush()


class Machine:
    """One process; a restart keeps its name, address and, mostly, disk."""

    def __init__(self, name: str, ip: str, role: str, settings: dict) -> None:
        self.name, self.ip, self.role = name, ip, role
        self.settings = settings
        self.process: asyncio.subprocess.Process | None = None


class Deployment:
    """Machines, the platform's list and the operator's API."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        if not (PACKAGES / "oriolejunction").exists():
            raise CannotRun("the build of the deploy file is missing")
        self.folder, self.record = folder, record
        self.subnet, self.ports = _free_network()
        self.peer, self.control, self.client, self.ready = self.ports[:4]
        self.list_port, self.metrics, self.server = self.ports[4:]
        self.machines: dict[str, Machine] = {}
        self.seeds = [self.ip(number) for number in (1, 2, 3)]
        # Entries of the platform's list.
        self.listed: list[dict] = []
        self._list = wire.Server(
            self.ip(250), self.list_port, self._serve_list
        )

    def ip(self, number: int) -> str:
        """Return the address of a machine."""
        return f"{self.subnet}.{number}"

    async def start_platform(self) -> None:
        """Serve the platform's list."""
        await self._list.start()

    async def _serve_list(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        body = json.dumps({"instances": self.listed, "next": None}).encode()
        writer.write(
            wire.encode(
                "HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body
            )
        )

    def add_core(self, number: int, is_first_start: bool) -> Machine:
        """Return a new machine of the core, which doesn't run yet."""
        name, ip = f"core-{number}", self.ip(number)
        return self._add(
            name,
            ip,
            "control",
            number,
            {
                "operator_listen": f"{ip}:{self.control}",
                "data_dir": str(self.folder / f"disk-{number}"),
                "first_start": is_first_start,
                "losses_borne": 2,
                "rollouts": None,
            },
        )

    def add_front(self, number: int) -> Machine:
        """Return a new machine for clients, which doesn't run yet."""
        name, ip = f"front-{number}", self.ip(100 + number)
        return self._add(
            name,
            ip,
            "entry",
            number,
            {
                "caller_listen": f"{ip}:{self.client}",
                "ready_listen": f"{ip}:{self.ready}",
                "grace_ms": GRACE_S * 1e3,
                "retry_ratio": 0.8,
                "retry_extra": 150,
                "retry_window_ms": 10e3,
                "rollouts": None,
            },
        )

    def _add(
        self, name: str, ip: str, role: str, number: int, fields: dict
    ) -> Machine:
        # As rendered by deploy/control.json and deploy/entry.json.
        settings = {
            "instance_id": name,
            "zone": ZONES[number % len(ZONES)],
            "ip": ip,
            "peer_port": self.peer,
            "control_seeds": [f"{seed}:{self.control}" for seed in self.seeds],
            "list_address": f"{self.ip(250)}:{self.list_port}",
            "metrics_listen": f"{ip}:{self.metrics}",
            **fields,
        }
        machine = self.machines[name] = Machine(name, ip, role, settings)
        return machine

    async def start(self, machine: Machine) -> None:
        """Start a machine's process with the command of the deploy file."""
        path = self.folder / f"{machine.name}.json"
        path.write_text(json.dumps(machine.settings))
        if machine.role == "control":
            pathlib.Path(machine.settings["data_dir"]).mkdir(exist_ok=True)
        log = (self.folder / f"{machine.name}.log").open("ab")
        machine.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "oriolejunction.node", machine.role),
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": str(self.folder),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(PACKAGES),
                "ORIOLEJUNCTION_BOOT": str(path),
            },
        )
        log.close()
        self.record.add(f"{machine.name} starts")

    async def kill(self, machine: Machine) -> None:
        """End a process at once."""
        machine.process.kill()
        await machine.process.wait()
        self.record.add(f"{machine.name} is killed")

    async def stop(self, machine: Machine) -> None:
        """Send SIGTERM, and SIGKILL after the grace period."""
        machine.process.send_signal(signal.SIGTERM)
        self.record.add(f"{machine.name} gets SIGTERM")
        try:
            async with asyncio.timeout(GRACE_S):
                await machine.process.wait()
        except TimeoutError:
            await self.kill(machine)
        self.record.add(f"{machine.name} has ended")

    def wipe(self, machine: Machine) -> None:
        """Empty the disk of a machine that doesn't run."""
        shutil.rmtree(machine.settings["data_dir"], ignore_errors=True)
        machine.settings["first_start"] = False
        self.record.add(f"{machine.name} loses its disk")

    async def close(self) -> None:
        """End all processes that were started."""
        for machine in self.machines.values():
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        self._list.close()

    async def replace(
        self, machine: Machine, document: dict, timeout_s: float = 1.0
    ) -> int | None:
        """Send a configuration to a machine; return the status, if any."""
        answer = await wire.call(
            f"{machine.ip}:{self.control}",
            "POST",
            "/v1/Configuration.Replace",
            {"Content-Type": "application/json"},
            json.dumps(document).encode(),
            timeout_s,
        )
        return answer and answer.status

    async def publish(
        self, machines: list[Machine], document: dict, within_s: float
    ) -> bool:
        """Send a configuration until it is acknowledged."""
        version = document["version"]
        self.record.add(f"operator sends version {version}")
        until_s = time.monotonic() + within_s
        while time.monotonic() < until_s:
            machine = random.choice(machines)
            status = await self.replace(machine, document)
            if status == 200:
                self.record.add(f"{machine.name} acknowledges {version}")
                return True
            await asyncio.sleep(0.2)
        self.record.add(f"no acknowledgement of {version} in {within_s} s")
        return False

    async def read(self, machine: Machine) -> int | None:
        """Return the version that a machine answers a read with, if any."""
        answer = await wire.call(
            f"{machine.ip}:{self.control}", "GET", "/v1/Configuration.Read"
        )
        if answer is None or answer.status != 200:
            return None
        return json.loads(answer.body)["version"]


def document(version: int) -> dict:
    """Return a configuration with a route of each kind of call."""
    call = {
        "host": "ficu95.example",
        "timeoutMs": 800,
        "targetLatencyMs": 100,
        "priority": 2,
        "service": "registro",
        "anonymous": False,
    }
    return {
        "version": version,
        "routes": [
            {
                **call,
                "name": "handover",
                "pathPrefix": "/handover/",
                "kind": "non_idempotent",
                "maxAttempts": 1,
            },
            {
                **call,
                "name": "lookup",
                "pathPrefix": "/lookup/",
                "kind": "idempotent",
                "maxAttempts": 2,
            },
        ],
        "services": [
            {
                "name": "registro",
                "healthPath": "/health",
                "connectionLimit": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "huka270", "apiKeys": ["k1"], "priority": 1}],
    }


def add_streams(content: dict) -> dict:
    """Add a route of streams that may be resumed, and its service."""
    content["routes"].append(
        {
            "name": "summary",
            "host": "ficu95.example",
            "pathPrefix": "/summary/",
            "kind": "streaming",
            "timeoutMs": 25000,
            "targetLatencyMs": 4500,
            "priority": 1,
            "service": "redactor",
            "maxAttempts": 5,
            "anonymous": False,
            "sticky": True,
            "resumable": True,
            "targetGapMs": 700,
        }
    )
    content["services"].append(
        {
            "name": "redactor",
            "healthPath": "/health",
            "connectionLimit": 180,
            "protocol": "h1",
            "tls": False,
            "engine": {
                "slots": 16,
                "kvCacheTokens": 88000,
                "kvBytes": 18432,
                "linkMbps": 180000.0,
                "moves": False,
                "backups": False,
                "stride": 8,
                "most": 12,
                "pinMs": 4000.0,
                "holdMs": 2000.0,
                "handleTtlS": 4.0,
                "models": [{"name": "m"}],
            },
        }
    )
    return content


def _free_network() -> tuple[str, list[int]]:
    """Return a subnet of loopback, and ports that are free there."""
    numbers = (*range(1, 10), *range(101, 110), 250)
    for _ in range(20):
        subnet = f"127.{random.randint(40, 120)}.{random.randint(1, 250)}"
        first = random.randint(20_000, 29_000)
        ports = list(range(first, first + 7))
        if all(_is_free(f"{subnet}.{n}", p) for n in numbers for p in ports):
            return subnet, ports
    raise CannotRun("no free loopback addresses")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True
