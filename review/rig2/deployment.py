"""A small deployment on loopback: the real programs, the platform, clients.

The programs are started with the commands of the deploy file, as the platform
starts them, with settings like those that it renders from the templates.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib

from rig2 import http

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("za", "zb", "zc")
HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
GRACE_S = 8.0


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


def _free(ips, count):
    """Return ports that are free on all of these addresses."""
    rng = random.Random()
    found = []
    while len(found) < count:
        port = rng.randrange(20_000, 31_000)
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


class Node:
    """One machine of the system with its process."""

    def __init__(self, deployment, name, role, ip, zone, settings):
        self.deployment, self.name, self.role = deployment, name, role
        self.ip, self.zone, self.settings = ip, zone, settings
        self.path = deployment.folder / f"{name}.json"
        self.log = deployment.folder / f"{name}.log"
        self.process = None

    async def start(self):
        self.path.write_text(json.dumps(self.settings), encoding="utf-8")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["ORIOLEJUNCTION_BOOT"] = str(self.path)
        with self.log.open("ab") as log:
            self.process = await self.deployment.spawn(
                *self.deployment.commands[self.role],
                cwd=REPOSITORY,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.deployment.record.write(f"start {self.name} at {self.ip}")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.deployment.record.write(
                f"{signal.Signals(number).name} to {self.name}"
            )
            self.process.send_signal(number)

    async def stop(self):
        """SIGTERM, and SIGKILL after the grace period, as the platform."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.deployment.record.write(
            f"{self.name} has ended with {self.process.returncode}"
        )

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()


class Deployment:
    """Machines, the platform's list, and the operator."""

    def __init__(self, record, cores=3, fronts=2):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads(
            (REPOSITORY / "deploy/system.toml").read_text(encoding="utf-8")
        )
        self.commands = {
            name: role["run"].split() for name, role in deploy["roles"].items()
        }
        self._subnet = f"127.{random.randrange(64, 120)}.{os.getpid() % 250}"
        ips = [f"{self._subnet}.{number}" for number in range(1, 60)]
        self.ports = _free(ips, 6)
        self._ips = iter(ips)
        self._core_count = cores
        self.seeds = []
        self.cores, self.fronts = [], []
        self.servers = []
        self.hidden = set()
        # All that were ever started, so that none is left running.
        self._spawned = []
        self.list_address = f"{next(self._ips)}:{self.ports[5]}"
        self._list_server = None
        seeds = [next(self._ips) for _ in range(cores)]
        self.seeds = [f"{ip}:{self.ports[1]}" for ip in seeds[:3]]
        for index, ip in enumerate(seeds):
            self.cores.append(self.new_core(f"core-{index}", ip, index, True))
        for index in range(fronts):
            self.fronts.append(
                self._new_front(f"front-{index}", next(self._ips), index)
            )

    async def spawn(self, *command, **options):
        """Start a process that ends with the deployment at the latest."""
        starting = asyncio.create_task(
            asyncio.create_subprocess_exec(*command, **options)
        )
        self._spawned.append(starting)
        return await asyncio.shield(starting)

    def next_ip(self):
        return next(self._ips)

    def new_core(self, name, ip, index, first_start):
        peer, control, _, _, status, _ = self.ports
        return Node(
            self,
            name,
            "control",
            ip,
            ZONES[index % 3],
            {
                "instance_id": name,
                "zone": ZONES[index % 3],
                "ip": ip,
                "peer_port": peer,
                "control_seeds": self.seeds,
                "list_address": self.list_address,
                "operator_listen": f"{ip}:{control}",
                "metrics_listen": f"{ip}:{status}",
                "data_dir": str(self.folder / f"disk-{name}"),
                "first_start": first_start,
                "losses_borne": (self._core_count - 1) // 2,
                "rollouts": None,
            },
        )

    def _new_front(self, name, ip, index):
        peer, _, caller, ready, status, _ = self.ports
        return Node(
            self,
            name,
            "entry",
            ip,
            ZONES[index % 3],
            {
                "instance_id": name,
                "zone": ZONES[index % 3],
                "ip": ip,
                "peer_port": peer,
                "control_seeds": self.seeds,
                "list_address": self.list_address,
                "caller_listen": f"{ip}:{caller}",
                "ready_listen": f"{ip}:{ready}",
                "metrics_listen": f"{ip}:{status}",
                "grace_ms": 8e3,
                "retry_ratio": 0.8,
                "retry_extra": 150,
                "retry_window_ms": 10e3,
                "rollouts": None,
            },
        )

    async def start(self):
        # A script that is told to end takes its processes with it.
        script = asyncio.current_task()

        def end_once():
            if not script.cancelling():
                script.cancel()

        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, end_once
        )
        host, _, port = self.list_address.rpartition(":")
        self._list_server = await asyncio.start_server(
            self._serve_list, host, int(port)
        )
        await asyncio.gather(
            *(node.start() for node in (*self.cores, *self.fronts))
        )

    async def _serve_list(self, reader, writer):
        try:
            while (head := await http.read_head(reader)) is not None:
                entries = [
                    each.entry()
                    for each in self.servers
                    if each.id not in self.hidden
                ]
                body = json.dumps({"instances": entries, "next": None}).encode()
                writer.write(
                    http.encode(
                        "HTTP/1.1 200 OK",
                        {
                            "Content-Type": "application/json",
                            "Content-Length": str(len(body)),
                        },
                        body,
                    )
                )
                await writer.drain()
        except (http.Broken, ConnectionError):
            pass
        finally:
            writer.close()

    def caller_address(self, front):
        return front.settings["caller_listen"]

    async def is_ready(self, front):
        try:
            status, _, _ = await http.call(
                front.settings["ready_listen"],
                "GET",
                "/v1/readiness",
                limit_s=1.0,
            )
        except (OSError, TimeoutError, http.Broken):
            return False
        return status == 200

    async def wait_ready(self, limit_s=20.0):
        async with asyncio.timeout(limit_s):
            for front in self.fronts:
                while not await self.is_ready(front):
                    await asyncio.sleep(0.1)

    async def publish(self, document, limit_s=15.0, cores=None):
        """Send a configuration as the operator does, until it is clear.

        Return the status that ended the call, None without one.
        """
        body = json.dumps(document).encode()
        version = document["version"]
        end = time.monotonic() + limit_s
        delay = 0.05
        while time.monotonic() < end:
            for core in cores or self.cores:
                address = core.settings["operator_listen"]
                for _ in range(3):
                    try:
                        status, headers, _ = await http.call(
                            address,
                            "POST",
                            "/v1/Configuration.Replace",
                            {"Content-Type": "application/json"},
                            body,
                            limit_s=1.0,
                        )
                    except (OSError, TimeoutError, http.Broken) as error:
                        self.record.write(
                            f"version {version} to {core.name}: {error!r}"
                        )
                        break
                    self.record.write(
                        f"version {version} to {core.name}: {status}"
                    )
                    if status == 307:
                        place = headers["location"].split("//", 1)[1]
                        address = place.split("/", 1)[0]
                        continue
                    if status in (200, 400, 409, 412, 413, 422):
                        return status
                    break
                await asyncio.sleep(delay)
            delay = min(1.0, delay * 2)
        return None

    async def read_configuration(self, core, limit_s=2.0):
        """Return status and document of a read at one machine."""
        try:
            status, _, body = await http.call(
                core.settings["operator_listen"],
                "GET",
                "/v1/Configuration.Read",
                limit_s=limit_s,
            )
        except (OSError, TimeoutError, http.Broken) as error:
            return None, repr(error)
        return status, json.loads(body) if status == 200 else body

    async def close(self, keep_logs=None):
        processes = await asyncio.gather(*self._spawned)
        for process in processes:
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(each.wait() for each in processes))
        for server in self.servers:
            server.close()
        if self._list_server is not None:
            self._list_server.close()
        if keep_logs:
            keep_logs.mkdir(exist_ok=True)
            for log in self.folder.glob("*.log"):
                shutil.copy(log, keep_logs)
        shutil.rmtree(self.folder, ignore_errors=True)


def document(version, **changes):
    """Return a configuration with one route of each kind."""
    call = {
        "host": HOST,
        "timeoutMs": 4200,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": "desk",
        "anonymous": False,
        "sticky": False,
        "resumable": False,
    }
    stream = {
        "name": "r-stream",
        "host": HOST,
        "pathPrefix": "/stream/",
        "kind": "streaming",
        "timeoutMs": 25000,
        "targetLatencyMs": 4500,
        "priority": 1,
        "service": "llm",
        "maxAttempts": 5,
        "anonymous": False,
        "sticky": True,
        "resumable": True,
        "targetGapMs": 700,
    }
    engine = {
        "slots": 24,
        "kvCacheTokens": 88000,
        "kvBytes": 18432,
        "linkMbps": 180000.0,
        "moves": True,
        "backups": True,
        "stride": 8,
        "most": 12,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "handleTtlS": 4.0,
        "models": [{"name": "m"}],
    }
    base = {
        "version": version,
        "routes": [
            stream,
            {
                **call,
                "name": "r-order",
                "pathPrefix": "/order/",
                "kind": "non_idempotent",
                "maxAttempts": 1,
            },
            {
                **call,
                "name": "r-look",
                "pathPrefix": "/look/",
                "kind": "idempotent",
                "maxAttempts": 2,
            },
        ],
        "services": [
            {
                "name": "llm",
                "healthPath": "/health",
                "connectionLimit": 200,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            },
            {
                "name": "desk",
                "healthPath": "/health",
                "connectionLimit": 100,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "huka270", "apiKeys": [KEY], "priority": 1}],
    }
    base.update(changes)
    return base
