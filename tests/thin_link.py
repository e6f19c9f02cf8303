"""An entry instance whose link to the control replicas is thin."""

import asyncio
import json
import pathlib
import random
import types

import grpc
import msgspec

from bench import thin_link
from oriolejunction.consensus import types as raft_types
from oriolejunction.controllers import fleet_hub
from oriolejunction.controllers import published_table
from oriolejunction.controllers import stream_origins
from oriolejunction import entry_wiring
from oriolejunction import fleet_messages as fm
from oriolejunction.peers import fleet_service
from oriolejunction.peers import listing_store
from oriolejunction.peers import rpc
from oriolejunction.platform import configuration_document
from oriolejunction import routing_table
from tests import event_loops
from tests import loopback
from tests.platform import gateway_rig
from tests.platform import test_configuration_document

# 7.5 Mbit/s, of which streams take three quarters.
BYTES_PER_S = 7.5e6 / 8 / 4
PEER_PORT, CALLER_PORT, READY_PORT = 17_210, 17_212, 17_213
ENTRY = loopback.node_address(30)
PROXIES = [loopback.node_address(number) for number in (31, 32, 33)]


class _Replica:
    """What the fleet service needs of a replica that follows a leader."""

    def __init__(self, number: int) -> None:
        members = tuple(
            raft_types.Member(f"r{n}", f"core-{n}", "z", f"{ip}:{PEER_PORT}")
            for n, ip in enumerate(PROXIES)
        )
        self.member = members[number]
        self.membership = raft_types.Membership(members)
        self.state = types.SimpleNamespace(
            table=published_table.PublishedTable()
        )
        self.leader_term = None
        self.last_index = 0
        self.on_apply = None
        self.is_fresh = True

    def is_connected(self, silence_ms: float) -> bool:
        return self.is_fresh


def _stub_for(address, method):
    async def call(request, timeout):
        return fm.Acknowledgement()

    return call


class Control:
    """A control replica behind a proxy, with a table that tests set."""

    service_type = fleet_service.FleetService

    def __init__(self, number: int, link: thin_link.ThinLink) -> None:
        self._number = number
        self._link = link
        self.replica = _Replica(number)

    async def start(self) -> None:
        clock = event_loops.LoopClock()
        self.service = self.service_type(
            fleet_service.FleetDependencies(
                incarnation=f"boot-{self._number}",
                replica=self.replica,
                clock=clock,
                hub=fleet_hub.FleetHub(clock),
                origins=stream_origins.OriginHub(clock),
                listing=listing_store.ListingStore(clock),
                read_table=configuration_document.read_table,
                stub_for=_stub_for,
            )
        )
        self.server = grpc.aio.server(options=rpc.SERVER_OPTIONS)
        self.service.add_to(self.server)
        port = self.server.add_insecure_port("127.0.0.1:0")
        await self.server.start()
        self._task = asyncio.create_task(self.service.run())
        self.proxy = thin_link.LinkProxy(self._link, port)
        await self.proxy.start(PROXIES[self._number], PEER_PORT)

    def apply(self, document: bytes) -> None:
        """Put a document in force, as a committed entry of the log does."""
        self.replica.state.table = published_table.PublishedTable(
            configuration_document.read_table(document).version,
            document,
            configuration_document.digest(document),
        )
        self.replica.on_apply()

    async def close(self) -> None:
        await self.proxy.close()
        self._task.cancel()
        await self.service.close()
        await self.server.stop(None)


class Deployment:
    """Three control replicas, and one entry instance on a thin link."""

    def __init__(self, folder: pathlib.Path, control_type=Control) -> None:
        self._folder = folder
        self.link = thin_link.ThinLink(BYTES_PER_S)
        self.controls = [
            control_type(number, self.link) for number in range(len(PROXIES))
        ]
        self.entry: entry_wiring.EntryNode | None = None

    async def start(self) -> None:
        for control in self.controls:
            await control.start()
        await self.start_entry()

    async def start_entry(self) -> None:
        path = self._folder / "entry.json"
        path.write_text(
            json.dumps(
                {
                    "instance_id": "entry",
                    "zone": "z",
                    "ip": ENTRY,
                    "peer_port": PEER_PORT,
                    "control_seeds": [f"{ip}:1" for ip in PROXIES],
                    "list_address": gateway_rig.UNREACHABLE_ADDRESS,
                    "caller_listen": f"{ENTRY}:{CALLER_PORT}",
                    "ready_listen": f"{ENTRY}:{READY_PORT}",
                    "grace_ms": 6_000,
                }
            )
        )
        self.entry = entry_wiring.EntryNode(path)
        await self.entry.start()

    def publish(self, document: bytes) -> None:
        """Put a document in force at all control replicas."""
        for control in self.controls:
            control.apply(document)

    def table(self) -> routing_table.RoutingTable | None:
        """Return what the entry instance obeys."""
        return self.entry._blackboard.table.read()

    async def wait_for(self, version: int, limit_s: float) -> None:
        """Wait until the entry instance obeys a version or a later one."""
        async with asyncio.timeout(limit_s):
            while (table := self.table()) is None or table.version < version:
                await asyncio.sleep(0.005)

    async def close(self) -> None:
        await self.entry.close()
        for control in self.controls:
            await control.close()


def document(
    version: int, routes: int, incompressible_bytes: int = 0, **changes
) -> bytes:
    """Return a document with some more routes.

    Each of them has a field of random content with `incompressible_bytes`.
    """
    rng = random.Random(routes)
    content = test_configuration_document.document(version=version)
    route = content["routes"][0]
    for number in range(routes):
        added = {
            **route,
            "name": f"r-{rng.randrange(36 ** 6):x}",
            "pathPrefix": f"/{rng.randrange(36 ** 5):x}-{number}/",
        }
        if incompressible_bytes:
            added["futureField"] = rng.randbytes(
                incompressible_bytes // 2
            ).hex()
        content["routes"].append(added)
    return msgspec.json.encode({**content, **changes})
