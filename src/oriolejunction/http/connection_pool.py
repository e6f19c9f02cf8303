"""Idle connections to backend servers, by address."""

import collections
import collections.abc

from oriolejunction import clock as clocks
from oriolejunction.http import backend_connection

MAX_IDLE_PER_ADDRESS = 8

# Called with an address, and whether a connection to it was opened.
ConnectionObserver = collections.abc.Callable[[str, bool], None]


class ConnectionPool:
    """Reuses idle connections, the most recently used one first."""

    def __init__(
        self,
        clock: clocks.Clock,
        on_connect: ConnectionObserver = lambda address, is_open: None,
        keep_alive: bool = False,
    ) -> None:
        """Create a pool; `on_connect` learns of each new connection.

        With `keep_alive`, a peer that falls silent is detected by the kernel.
        """
        self._clock = clock
        self._on_connect = on_connect
        self._keep_alive = keep_alive
        self._idle_by_address: dict[
            str, collections.deque[backend_connection.BackendConnection]
        ] = collections.defaultdict(collections.deque)

    async def acquire(
        self,
        address: str,
        timeout_ms: float,
        tries: int,
        max_idle_ms: float,
    ) -> backend_connection.BackendConnection:
        """Return a connection idle for less than `max_idle_ms`, or a new one.

        Raise `RequestNotSent` if none can be opened in time.
        """
        idle = self._idle_by_address[address]
        now_ms = self._clock.now_ms()
        while idle:
            connection = idle.pop()
            limit_ms = min(connection.idle_limit_ms, max_idle_ms)
            if not connection.usable:
                continue
            if (
                now_ms - connection.idle_since_ms < limit_ms
                and not connection.has_bytes_to_read()
            ):
                return connection
            connection.close()
        return await self.connect(address, timeout_ms, tries)

    async def connect(
        self, address: str, timeout_ms: float, tries: int
    ) -> backend_connection.BackendConnection:
        """Return a new connection; raise `RequestNotSent`."""
        try:
            connection = await backend_connection.connect(
                address, timeout_ms, tries
            )
        except backend_connection.RequestNotSent:
            self._on_connect(address, False)
            raise
        if self._keep_alive:
            connection.detect_silence()
        self._on_connect(address, True)
        return connection

    def release(
        self, connection: backend_connection.BackendConnection
    ) -> None:
        """Pool a connection whose answer ended cleanly; close any other."""
        idle = self._idle_by_address[connection.address]
        if not connection.usable or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.idle_since_ms = self._clock.now_ms()
        idle.append(connection)

    def close_address(self, address: str) -> None:
        """Close the idle connections to an address that was lost."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def retain_only(self, addresses: set[str]) -> None:
        """Close the connections to addresses that are no longer listed."""
        for address in list(self._idle_by_address):
            if address not in addresses:
                self.close_address(address)

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.close_address(address)
