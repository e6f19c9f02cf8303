"""A gateway on loopback in front of engines that a test scripts."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random
import socket
import struct

import aiohttp

from oriolejunction import backends
from oriolejunction import blackboard as blackboards
from oriolejunction.controllers.overload import arrivals
from oriolejunction.controllers.overload import resend_budget
from oriolejunction.http import gateway
from oriolejunction.http import gateway_state
from oriolejunction.http import listener_guard
from oriolejunction import ids
from oriolejunction.platform import engine_report
from oriolejunction.platform import gateway_dialect
from oriolejunction import routing_table
from oriolejunction import states
from tests import event_loops

HOST = "shop.example"
KEY = "key-of-brewer"
LLM = ids.ServiceName("llm")
DESK = ids.ServiceName("desk")
SIGNATURE = b"Response-Signature: s1\r\n"
UNREACHABLE_ADDRESS = "127.0.0.1:1"
ARRIVAL_LIMITS = arrivals.ArrivalLimits(500, 100, 8 << 20)
BUDGET = resend_budget.BudgetLimits(0.8, 150.0, 10_000.0)


@dataclasses.dataclass
class Arrival:
    """A request as an engine received it, with its connection."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def head(self, status: str = "200 OK", extra: bytes = b"") -> bytes:
        """Return a signed head that repeats the request's id."""
        request_id = self.headers["attempt-id"].encode()
        return (
            b"HTTP/1.1 "
            + status.encode()
            + b"\r\nAttempt-Id: "
            + request_id
            + b"\r\n"
            + SIGNATURE
            + extra
            + b"\r\n"
        )

    def answer(self, body: bytes = b"whole", status: str = "200 OK") -> None:
        """Write a complete answer with its length."""
        length = b"Content-Length: %d\r\n" % len(body)
        self.writer.write(self.head(status, length) + body)

    def refuse(self, extra: bytes = b"", body: bytes = b"") -> None:
        """Answer that the request was not run."""
        request_id = self.headers["attempt-id"].encode()
        self.writer.write(
            b"HTTP/1.1 503 Full\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n"
            b"Content-Length: %d\r\n%s\r\n%s"
            % (request_id, len(body), extra, body)
        )

    def begin(self) -> None:
        """Write the head of a stream."""
        self.writer.write(self.head(extra=b"Transfer-Encoding: chunked\r\n"))

    def events(self, numbers: collections.abc.Iterable[int]) -> None:
        """Write events of a stream."""
        for number in numbers:
            self.chunk(b"id: %d\ndata: piece%d\n\n" % (number, number))

    def chunk(self, data: bytes) -> None:
        """Write one chunk."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def end(self) -> None:
        """Write the last chunk."""
        self.writer.write(b"0\r\n\r\n")

    def reset(self) -> None:
        """Reset the connection."""
        reset(self.writer)


Behaviour = collections.abc.Callable[
    [Arrival], collections.abc.Awaitable[None]
]


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, unless it is closed already."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        no_linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


class Listener:
    """A server on loopback; its connections end with it.

    A connection that outlives its event loop raises when it is collected.
    """

    def __init__(self, on_connection) -> None:
        self._on_connection = on_connection
        self._is_closed = False
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> str:
        """Listen, if no port is given at a free one; return the address."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    def _serve(self, reader, writer) -> collections.abc.Coroutine:
        self._writers.append(writer)
        if self._is_closed:
            # It was being accepted when the server closed.
            writer.transport.abort()
        return self._on_connection(reader, writer)

    def close(self) -> None:
        """Stop at once."""
        self._is_closed = True
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()


async def listen(on_connection, port: int = 0) -> tuple[Listener, str]:
    """Serve connections at a loopback port, 0 for a free one."""
    listener = Listener(on_connection)
    return listener, await listener.start(port)


class Engine:
    """A backend server whose answers a test scripts.

    `report` is the body of its report on the requests that it runs.
    """

    def __init__(self, name: str, behave: Behaviour) -> None:
        self.name = name
        self.behave = behave
        self.arrivals: list[Arrival] = []
        self.address = ""
        self.report: bytes | None = None
        self._server: Listener | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on loopback, if no port is given at a free one."""
        self._server, self.address = await listen(self._serve_connection, port)

    async def _serve_connection(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                arrival = await read_request(reader, writer)
                if arrival.target == engine_report.TARGET:
                    self._send_report(writer)
                    continue
                self.arrivals.append(arrival)
                await self.behave(arrival)
                await writer.drain()

    def _send_report(self, writer) -> None:
        status = b"200 OK" if self.report is not None else b"404 Not Found"
        body = self.report or b""
        writer.write(
            b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s"
            % (status, len(body), body)
        )

    async def close(self) -> None:
        """Stop at once."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def read_request(reader, writer) -> Arrival:
    """Read one request that states its length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip().split("\r\n")
    method, target, _ = first.split(" ")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Arrival(method, target, headers, body, reader, writer)


def table(
    version: int = 1, stream_goal_ms: float = 600.0, **changes
) -> routing_table.RoutingTable:
    """Return a table with a stream, idempotent and non-idempotent route."""

    def route(prefix: str, kind: states.RequestKind, service, **overrides):
        return routing_table.Route(
            name=prefix.strip("/"),
            host=HOST,
            prefix=prefix,
            kind=kind,
            services=(routing_table.WeightedService(service, 1.0),),
            timeout_ms=overrides.pop("timeout_ms", 3_000.0),
            latency_goal_ms=overrides.pop("goal_ms", 600.0),
            rank=1,
            max_attempts=overrides.pop("max_attempts", 5),
            **overrides,
        )

    fields = {
        "version": routing_table.TableVersion(version),
        "routes": (
            route(
                "/brief/",
                states.RequestKind.STREAM,
                LLM,
                goal_ms=stream_goal_ms,
                resumable=True,
                max_event_gap_ms=700.0,
            ),
            route(
                "/look/", states.RequestKind.IDEMPOTENT, DESK, max_attempts=2
            ),
            route(
                "/order/", states.RequestKind.NEVER_TWICE, DESK, max_attempts=1
            ),
        ),
        "services": (
            routing_table.Service(
                LLM,
                200,
                routing_table.EngineCapabilities(24, 88_000, 8, True, 4_000.0),
            ),
            routing_table.Service(DESK, 100),
        ),
        "workspaces": (
            routing_table.Workspace(ids.WorkspaceId("brewer"), (KEY,)),
        ),
    }
    return routing_table.RoutingTable(**{**fields, **changes})


class Rig:
    """A gateway, its engines and a caller's session."""

    def __init__(
        self,
        engines_by_service: dict,
        table_in_force,
        budget,
        exposure_share=None,
    ) -> None:
        self.blackboard = blackboards.Blackboard()
        self.clock = event_loops.LoopClock()
        self.engines_by_service = engines_by_service
        self.put_in_force = self.blackboard.table.claim_writer("rig")
        self._write_backends = self.blackboard.backends.claim_writer("rig")
        self.write_fleet = self.blackboard.fleet.claim_writer("rig")
        self.put_in_force(table_in_force)
        self.deps = gateway_state.new_dependencies(
            self.clock,
            self.blackboard,
            gateway_dialect.WIRE_FORMAT,
            budget,
            ids.ZoneId("z0"),
            random.Random(1),
            exposure_share,
        )
        self.time_to_stop_ms = None

    async def start(self) -> None:
        """Start the engines and the gateway."""
        listed = {}
        for service, engines in self.engines_by_service.items():
            for index, engine in enumerate(engines):
                await engine.start()
                listed[engine.name] = backends.Backend(
                    ids.BackendId(engine.name),
                    service,
                    engine.address,
                    ids.ZoneId(f"z{index}"),
                )
        self.list(listed)
        self.gateway = gateway.Gateway(
            self.deps, contextlib.nullcontext, lambda: self.time_to_stop_ms
        )
        self.runner = self.gateway.runner()
        await self.runner.setup()
        self.guard = listener_guard.ListenerGuard("callers", ARRIVAL_LIMITS)
        site = listener_guard.GuardedSite(
            self.runner, "127.0.0.1", 0, self.guard
        )
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]
        self.session = aiohttp.ClientSession()

    def list(self, by_id: dict) -> None:
        """Write the listed backend servers to the blackboard."""
        self._write_backends(
            backends.BackendSnapshot(by_id, self.clock.now_ms())
        )

    def ask(self, path: str, request_id: str = "a1", **headers):
        """Return a caller's request, to be awaited or entered."""
        method = "GET" if path.startswith("/look/") else "POST"
        all_headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Deadline-Ms": "2500",
            "X-Api-Key": KEY,
            "Model": "m",
            "Token-Counts": "800,80",
            **{k.replace("_", "-"): v for k, v in headers.items()},
        }
        return self.session.request(
            method,
            f"http://127.0.0.1:{self.port}{path}",
            headers=all_headers,
            data=b"prompt" if method == "POST" else None,
        )

    async def close(self) -> None:
        """Stop everything."""
        await self.session.close()
        await self.runner.cleanup()
        self.deps.pool.close()
        for engines in self.engines_by_service.values():
            for engine in engines:
                await engine.close()


async def stop_accepting(rig: Rig) -> None:
    """Stop the gateway as an instance that leaves does."""
    (site,) = rig.runner.sites
    await rig.gateway.stop_accepting(site)


@contextlib.asynccontextmanager
async def running(
    llm=(), desk=(), in_force=None, budget=BUDGET, exposure_share=None
):
    """Run a gateway in front of engines with the given behaviours."""
    rig = Rig(
        {
            LLM: [Engine(f"llm-{n}", each) for n, each in enumerate(llm)],
            DESK: [Engine(f"desk-{n}", each) for n, each in enumerate(desk)],
        },
        in_force or table(),
        budget,
        exposure_share,
    )
    await rig.start()
    try:
        yield rig
    finally:
        await rig.close()
