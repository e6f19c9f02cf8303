"""Idle connections to backend servers, by address."""

import collections

from oriolejunction import clock as clocks
from oriolejunction.http import backend_connection

MAX_IDLE_PER_ADDRESS = 8


class ConnectionPool:
    """Reuses idle connections, the most recently used one first."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
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
            if now_ms - connection.idle_since_ms < limit_ms:
                return connection
            connection.close()
        return await backend_connection.connect(address, timeout_ms, tries)

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
