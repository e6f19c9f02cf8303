"""Idle connections to backend servers, by address."""

import collections
import collections.abc
import math

from oriolejunction import clock as clocks
from oriolejunction.controllers.overload import buffer_budget
from oriolejunction.http import backend_connection
from oriolejunction import ids

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
        unread: buffer_budget.BufferBudget | None = None,
    ) -> None:
        """Create a pool; `on_connect` learns of each new connection.

        With `keep_alive`, a peer that falls silent is detected by the kernel.
        The unread bytes of all connections count against `unread`.
        """
        self._unread = unread or buffer_budget.BufferBudget()
        self._clock = clock
        self._on_connect = on_connect
        self._keep_alive = keep_alive
        self._idle_by_address: dict[
            str, collections.deque[backend_connection.BackendConnection]
        ] = collections.defaultdict(collections.deque)
        # When a server last accepted a connection or ended an answer.
        self._heard_ms_by_address: dict[str, float] = {}

    async def acquire(
        self,
        address: str,
        timeout_ms: float,
        tries: int,
        max_idle_ms: float,
        request_id: ids.RequestId,
    ) -> backend_connection.BackendConnection:
        """Return a connection idle for less than `max_idle_ms`, or a new one.

        One that is idle for longer is used if its server announced for how
        long it keeps connections, and its machine was heard from within
        `max_idle_ms`. None has carried the request before. Raise
        `RequestNotSent` if none can be opened in time.
        """
        connection = self._take_idle(address, max_idle_ms, request_id)
        if connection is not None:
            return connection
        return await self.connect(address, timeout_ms, tries)

    def _take_idle(
        self, address: str, max_idle_ms: float, request_id: ids.RequestId
    ) -> backend_connection.BackendConnection | None:
        idle = self._idle_by_address[address]
        now_ms = self._clock.now_ms()
        heard_ms_ago = now_ms - self._heard_ms_by_address.get(
            address, -math.inf
        )
        found = None
        has_carried = []
        while idle:
            connection = idle.pop()
            idle_ms = now_ms - connection.idle_since_ms
            if not connection.usable:
                continue
            if idle_ms >= connection.idle_limit_ms:
                connection.close()
                continue
            if connection.has_bytes_to_read():
                connection.close()
                continue
            if request_id in connection.carried:
                has_carried.append(connection)
                continue
            is_kept = connection.announces_timeout
            if idle_ms < max_idle_ms or (
                is_kept and heard_ms_ago < max_idle_ms
            ):
                found = connection
            else:
                # Requests that may be sent again can still use it.
                idle.append(connection)
            break
        idle.extend(reversed(has_carried))
        return found

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
        connection.unread.budget = self._unread
        if self._keep_alive:
            connection.detect_silence()
        self._on_connect(address, True)
        self._heard_ms_by_address[address] = self._clock.now_ms()
        return connection

    def release(
        self, connection: backend_connection.BackendConnection
    ) -> None:
        """Pool a connection whose answer ended cleanly; close any other."""
        idle = self._idle_by_address[connection.address]
        is_kept = connection.usable and not connection.carried.are_too_many
        if not is_kept or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        now_ms = self._clock.now_ms()
        while idle and (now_ms - idle[0].idle_since_ms) >= (
            idle[0].idle_limit_ms
        ):
            idle.popleft().close()
        connection.idle_since_ms = now_ms
        self._heard_ms_by_address[connection.address] = now_ms
        idle.append(connection)

    def close_address(self, address: str) -> None:
        """Close the idle connections to an address that was lost."""
        self._heard_ms_by_address.pop(address, None)
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def retain_only(self, addresses: set[str]) -> None:
        """Close the connections to addresses that are no longer listed."""
        for address in {*self._idle_by_address, *self._heard_ms_by_address}:
            if address not in addresses:
                self.close_address(address)

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.close_address(address)
