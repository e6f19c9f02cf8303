"""Bounds what clients make a listener hold and do before a request is whole.

The parser of aiohttp bounds single lines. This bounds the sum over all
connections, with `guarded_connection` in front of the parser of each, and
shares the event loop's turns out.
"""

import asyncio
import collections
import collections.abc
import socket
import typing

from aiohttp import web
import structlog

from oriolejunction.controllers.overload import arrivals
from oriolejunction.http import guarded_connection
from oriolejunction import routing_table

# Taken from a socket at once.
READ_BYTES = 16_384
# Of all longer requests together, parsed in a turn of the event loop.
TURN_BYTES = 16_384
# The kernel holds up to twice as much for each connection.
KERNEL_BUFFER_BYTES = 65_536
SWEEP_INTERVAL_MS = 1_000.0
# Each has a descriptor before it is known whether it may stay.
ACCEPTS_PER_TURN = 4
# What the kernel holds until they are accepted.
LISTEN_BACKLOG = 1_024
_log = structlog.get_logger(__name__)

CallerLimitsSource = collections.abc.Callable[[], routing_table.CallerLimits]


class ListenerGuard:
    """The connections of one listener."""

    def __init__(
        self,
        name: str,
        limits: arrivals.ArrivalLimits,
        caller_limits: CallerLimitsSource = routing_table.CallerLimits,
    ) -> None:
        """Create a guard; `name` stands in logs and metrics."""
        self.name = name
        # Shared, since what is received is copied before the next read.
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.closed_by_reason: collections.Counter[str] = collections.Counter()
        self._limits = limits
        self._caller_limits = caller_limits
        self._connections: set[guarded_connection.GuardedConnection] = set()
        self._arrivals: arrivals.Arrivals[
            guarded_connection.GuardedConnection
        ] = arrivals.Arrivals(limits)
        self._unread: set[guarded_connection.GuardedConnection] = set()
        # Connections that wait for a turn to be parsed in, in that order.
        self._waiting: dict[guarded_connection.GuardedConnection, None] = {}
        self._left_in_turn = TURN_BYTES
        self._is_turn_due = False
        self._logged = 0

    def admit(self, connection: guarded_connection.GuardedConnection) -> bool:
        """Return whether a new connection may stay; another may yield."""
        if len(self._connections) >= self._limits.max_connections:
            yielding = min(
                self._connections, key=lambda each: each.yield_order()
            )
            if yielding.use is arrivals.ConnectionUse.ANSWERING:
                self.closed_by_reason["no room"] += 1
                return False
            self._close(yielding, "too many connections")
        self._connections.add(connection)
        return True

    def remove(self, connection: guarded_connection.GuardedConnection) -> None:
        """Forget a connection that is closed."""
        self._connections.discard(connection)
        self._unread.discard(connection)
        self._waiting.pop(connection, None)
        self._arrivals.update(connection, 0)

    def update(
        self, connection: guarded_connection.GuardedConnection, count: int
    ) -> None:
        """Set the bytes held of a connection's unfinished request."""
        self._arrivals.update(connection, count)
        while (yielding := self._arrivals.to_yield()) is not None:
            self._close(yielding, "too many unfinished requests")

    def add_unread(
        self, connection: guarded_connection.GuardedConnection
    ) -> None:
        """Watch a connection whose client has to read its answer."""
        self._unread.add(connection)

    def remove_unread(
        self, connection: guarded_connection.GuardedConnection
    ) -> None:
        """Watch a connection no longer whose client has read."""
        self._unread.discard(connection)

    def parse_in_turn(
        self, connection: guarded_connection.GuardedConnection
    ) -> None:
        """Let a connection parse what it received, now or in a later turn."""
        if self._waiting or self._left_in_turn <= 0:
            self._waiting[connection] = None
        else:
            self._left_in_turn -= connection.parse(
                guarded_connection.PIECE_BYTES
            )
            if connection.has_unparsed:
                self._waiting[connection] = None
        self._begin_turn_soon()

    def _begin_turn_soon(self) -> None:
        if not self._is_turn_due:
            self._is_turn_due = True
            asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_turn_due = False
        self._left_in_turn = TURN_BYTES
        while self._waiting and self._left_in_turn > 0:
            connection = next(iter(self._waiting))
            del self._waiting[connection]
            self._left_in_turn -= connection.parse(
                guarded_connection.PIECE_BYTES
            )
            if connection.has_unparsed:
                self._waiting[connection] = None
        if self._waiting:
            self._begin_turn_soon()

    def sweep(self) -> None:
        """Close connections that have been too slow; log what was closed.

        To be called every `SWEEP_INTERVAL_MS`. Times are counted in calls, so
        that a pause of this process is not taken for one of the client.
        """
        limits = self._caller_limits()
        for connection in self._arrivals:
            if connection.is_ahead:
                connection.quiet_sweeps = 0
                continue
            connection.quiet_sweeps += 1
            limit_ms = limits.header_timeout_ms
            if connection.is_in_body:
                limit_ms = limits.idle_timeout_ms
            if connection.quiet_sweeps * SWEEP_INTERVAL_MS > (
                limit_ms + SWEEP_INTERVAL_MS
            ):
                self._close(connection, "request arrives too slowly")
        for connection in tuple(self._unread):
            connection.quiet_sweeps += 1
            if connection.has_read():
                connection.quiet_sweeps = 0
            quiet_ms = connection.quiet_sweeps * SWEEP_INTERVAL_MS
            if quiet_ms > limits.idle_timeout_ms + SWEEP_INTERVAL_MS:
                self._close(connection, "answer is not read")
        closed = self.closed_by_reason.total()
        if closed > self._logged:
            self._logged = closed
            _log.warning(
                "connections closed by listener",
                listener=self.name,
                since_start=dict(self.closed_by_reason),
                connections=len(self._connections),
            )

    def count_refusal(self, reason: str) -> None:
        """Count a connection that its own request ends."""
        self.closed_by_reason[reason] += 1

    def _close(
        self, connection: guarded_connection.GuardedConnection, reason: str
    ) -> None:
        self.closed_by_reason[reason] += 1
        self.remove(connection)
        connection.abort()


class GuardedSite(web.BaseSite):
    """A listener at ``HOST:PORT`` whose connections a guard watches."""

    def __init__(
        self,
        runner: web.BaseRunner,
        host: str,
        port: int,
        guard: ListenerGuard,
    ) -> None:
        super().__init__(runner, backlog=LISTEN_BACKLOG)
        self._host, self._port, self._guard = host, port, guard

    @property
    def name(self) -> str:
        """Return the URL of the listener."""
        return f"http://{self._host}:{self._port}"

    async def start(self) -> None:
        """Listen."""
        await super().start()
        sock = socket.create_server(
            (self._host, self._port),
            family=socket.AF_INET6 if ":" in self._host else socket.AF_INET,
            backlog=LISTEN_BACKLOG,
        )
        # Accepted sockets inherit it.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES
        )
        # For asyncio, the backlog is also what it accepts at once.
        self._server = await asyncio.get_running_loop().create_server(
            self._new_connection, sock=sock, backlog=ACCEPTS_PER_TURN
        )
        sock.listen(LISTEN_BACKLOG)

    def _new_connection(self) -> guarded_connection.GuardedConnection:
        handler = typing.cast(web.Server, self._runner.server)()
        return guarded_connection.GuardedConnection(handler, self._guard)
