"""HTTP/1.1 to backend servers, one request at a time on a connection.

h11 reads the answers, except chunked bodies (`chunked_body`). This module
tracks what HTTP clients hide: whether any byte of a request was sent, whether
an answer ended cleanly or was reset, and whether stray bytes make a connection
unfit for reuse.

A server may send bytes without end. They are parsed only as far as the answer
is read, and a bounded number is taken from the socket before (`unread_bytes`).
"""

import asyncio
import collections
import collections.abc
import itertools
import typing

import h11
import msgspec

from oriolejunction import clock as clocks
from oriolejunction.http import answer_parser
from oriolejunction.http import carried_requests
from oriolejunction.http import chunked_body
from oriolejunction.http import request_head
from oriolejunction.http import socket_bytes
from oriolejunction.http import socket_options
from oriolejunction.http import unread_bytes
from oriolejunction import ids

MAX_INTERIM_ANSWERS = 16
# Connections idle for longer than this fraction of the peer's keep-alive
# timeout may be closed by the peer while a request is on its way.
KEEP_ALIVE_FRACTION = 0.5
# Tries repeated because this process was paused meanwhile.
MAX_LATE_TRIES = 2
# Used if the peer announces no keep-alive timeout.
DEFAULT_IDLE_LIMIT_MS = 2_000.0
_numbers = itertools.count(1)


class RequestNotSent(Exception):
    """No connection could be used: no byte of the request was sent."""


class ConnectionBroken(Exception):
    """The connection ended, or its bytes are no valid answer."""


class ResponseHead(msgspec.Struct, frozen=True):
    """Status line and headers of an answer; names in lower case.

    `is_first` is set for the first answer on its connection, which can be
    no copy of an earlier one.
    """

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    is_first: bool = True

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class BackendConnection(asyncio.Protocol):
    """One connection to a backend server."""

    def __init__(self, address: str) -> None:
        self.address = address
        # Tells connections apart in log lines.
        self.number = next(_numbers)
        self.carried = carried_requests.CarriedRequests()
        self.idle_since_ms = 0.0
        self.idle_limit_ms = DEFAULT_IDLE_LIMIT_MS
        self.announces_timeout = False
        self._h11 = answer_parser.new_parser()
        # Takes the place of h11 after the head of a chunked answer.
        self._chunked: chunked_body.ChunkedBody | None = None
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future | None = None
        self.unread = unread_bytes.UnreadBytes()
        self._has_more = False
        self._is_paused = False
        self._failure_reason: str | None = None
        self._busy = False
        self._method = ""
        self._keep_alive = True
        self._has_answered = False
        # Whether another answer to the same request follows the current one.
        self._has_next = False
        # Whether only the end of the connection ends the current answer.
        self.ends_answer = False
        # What the current answer states, None if it states no length.
        self.stated_length: int | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set socket options; called by asyncio."""
        self._transport = transport
        socket_options.set_for_requests(transport)

    def detect_silence(self) -> None:
        """Let the kernel notice a peer that is gone without a word."""
        socket_options.detect_silence(self._transport)

    def data_received(self, data: bytes) -> None:
        """Keep received bytes; fail if no request is in progress."""
        if not self._busy:
            self._fail("received bytes while no request was in progress")
            self._transport.abort()
            return
        self.unread.add(data)
        if self.unread.are_too_many:
            self._is_paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Handle a clean end, which may complete an answer without length."""
        if self._busy and self._failure_reason is None:
            # h11 takes no bytes for the end.
            self.unread.add_end()
        self._fail("closed by the peer")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record a reset, which never completes an answer."""
        self._fail(repr(exc) if exc else "closed by the peer")

    @property
    def usable(self) -> bool:
        """Return whether a request may be sent on this connection now."""
        return self._failure_reason is None and not self._busy

    def has_bytes_to_read(self) -> bool:
        """Return whether bytes, or the end, have arrived and wait unread."""
        return socket_bytes.are_waiting(self._transport)

    def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        request_id: ids.RequestId | None = None,
    ) -> None:
        """Write a complete request to the transport.

        A connection carries each `request_id` once, as copies of the first
        answer would be taken for the second. Raise `RequestNotSent`.
        """
        if not self.usable:
            raise RequestNotSent(self._failure_reason or "busy")
        if request_id is not None:
            if request_id in self.carried:
                raise RequestNotSent("the connection has carried it before")
            self.carried.add(request_id, method)
        encoded = request_head.encode_request(method, target, headers, body)
        self._busy = True
        self._method = method
        answer_parser.expect_answer(self._h11, method)
        self._transport.write(encoded)

    async def read_response_head(self) -> ResponseHead:
        """Return the head of the answer; raise `ConnectionBroken`."""
        for _ in range(MAX_INTERIM_ANSWERS):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self._read_keep_alive(event)
                self._begin_body(event)
                is_first = not self._has_answered
                self._has_answered = True
                return ResponseHead(
                    event.status_code,
                    event.reason,
                    tuple(event.headers),
                    is_first,
                )
        self.close()
        raise ConnectionBroken("too many interim answers")

    def read_chunk(self) -> collections.abc.Awaitable[bytes | None]:
        """Return the next part of the body, None at its clean end."""
        if self._chunked is not None:
            return self._read_chunked(self._chunked)
        return self._read_by_h11()

    async def _read_by_h11(self) -> bytes | None:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._finish_response()
                return None

    def expect_another_answer(self, names: ids.RequestId) -> None:
        """Let another answer follow the current one, which is a copy.

        It repeats the answer to the request that it names. The connection is
        not used again. Raise `ConnectionBroken` if the copy has no clear end.
        """
        if self.ends_answer or not self._keep_alive:
            self._fail_unreadable("a copy that ends with its connection")
        if not self.carried.has_framing_of(names, self._method):
            self._fail_unreadable("a copy whose end is not known")
        self._has_next = True

    def close(self) -> None:
        """Close at once; the peer stops its work."""
        self.unread.clear()
        self._fail("closed by this instance")
        if self._transport is not None:
            self._transport.abort()

    def _begin_body(self, response: h11.Response) -> None:
        """Leave a chunked body to `chunked_body`."""
        if answer_parser.has_chunked_body(self._method, response):
            limit = answer_parser.MAX_HEAD_BYTES
            self._chunked = chunked_body.ChunkedBody(limit)
            self._chunked.receive(self._h11.trailing_data[0])

    async def _read_chunked(
        self, body: chunked_body.ChunkedBody
    ) -> bytes | None:
        """Return what `read_chunk` does."""
        while True:
            try:
                content = body.decode()
            except chunked_body.MalformedChunk as error:
                self._fail_unreadable(error)
            if content:
                return content
            if body.is_complete:
                self._finish_response()
                return None
            data = await self._receive()
            if not data:
                self._fail_unreadable("the answer ended within its body")
            body.receive(data)

    def _begin_next_answer(self) -> None:
        """Parse what follows a copy as the answer to the same request."""
        self._has_next = self._keep_alive = False
        trailing, is_closed = self._h11.trailing_data
        if self._chunked is not None:
            trailing, is_closed = self._chunked.unread, False
        self._h11 = answer_parser.new_parser()
        self._chunked = None
        answer_parser.expect_answer(self._h11, self._method)
        if trailing:
            self._h11.receive_data(trailing)
        if is_closed:
            self._h11.receive_data(b"")

    def _finish_response(self) -> None:
        if self._has_next:
            self._begin_next_answer()
            return
        if self._chunked is not None:
            at_end = not self._chunked.has_unread
        else:
            trailing, _ = self._h11.trailing_data
            at_end = not trailing and self._h11.their_state is h11.DONE
        clean = (
            at_end
            and self._keep_alive
            and self._failure_reason is None
            and not self.unread
            and self._h11.our_state is h11.DONE
        )
        if not clean:
            self.close()
            return
        if self._chunked is not None:
            self._h11 = answer_parser.new_parser()
            self._chunked = None
        else:
            self._h11.start_next_cycle()
        self._busy = False

    def _read_keep_alive(self, response: h11.Response) -> None:
        self.ends_answer = not any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in response.headers
        )
        self.stated_length = None
        for name, value in response.headers:
            if name == b"content-length":
                self.stated_length = int(value)
            if name == b"connection" and b"close" in value.lower():
                self._keep_alive = False
            if name == b"keep-alive":
                for part in value.split(b","):
                    key, _, number = part.strip().partition(b"=")
                    if key.lower() == b"timeout" and number.isdigit():
                        self.idle_limit_ms = (
                            KEEP_ALIVE_FRACTION * 1e3 * int(number)
                        )
                        self.announces_timeout = True

    def _fail(self, why: str) -> None:
        if self._failure_reason is None:
            self._failure_reason = why
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _next_event(self) -> h11.Event:
        """Return the next part of the answer; raise `ConnectionBroken`."""
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                self._fail_unreadable(error)
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionBroken(self._failure_reason)
            if event is not h11.NEED_DATA and event is not h11.PAUSED:
                return event
            self._h11.receive_data(await self._receive())

    def _fail_unreadable(self, why: object) -> typing.NoReturn:
        self._fail(f"no HTTP answer: {why}")
        self.close()
        raise ConnectionBroken(self._failure_reason)

    async def _receive(self) -> bytes:
        """Return the next received bytes, none at the end of the connection.

        Raise `ConnectionBroken` if no more will come. A cancelled call takes
        no bytes.
        """
        if self._has_more:
            # Other requests of this process have their turn.
            self._has_more = False
            await asyncio.sleep(0)
        while not self.unread:
            if self._failure_reason is not None:
                raise ConnectionBroken(self._failure_reason)
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        data = self.unread.take()
        self._has_more = bool(self.unread)
        if self._is_paused and not self.unread.are_too_many:
            self._is_paused = False
            self._transport.resume_reading()
        return data


async def connect(
    address: str, timeout_ms: float, tries: int = 1
) -> BackendConnection:
    """Open a connection; raise `RequestNotSent` if each try fails.

    The kernel resends a lost SYN only after a second, so a new try is
    faster. A refusal is the peer's own answer and is not tried again.
    """
    failure = "no connection attempt is allowed"
    tries_left = tries
    late_tries_left = MAX_LATE_TRIES
    while tries_left:
        due_ms = _loop_ms() + timeout_ms
        try:
            return await _connect_once(address, timeout_ms)
        except ConnectionRefusedError as error:
            raise RequestNotSent(repr(error))
        except (OSError, TimeoutError) as error:
            failure = repr(error)
        # A try that this process was paused for says nothing of the peer.
        if late_tries_left and _loop_ms() - due_ms > clocks.LATE_TIMER_MS:
            late_tries_left -= 1
        else:
            tries_left -= 1
    raise RequestNotSent(failure)


def _loop_ms() -> float:
    return asyncio.get_running_loop().time() * 1e3


async def _connect_once(address: str, timeout_ms: float) -> BackendConnection:
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_ms / 1e3):
        _, connection = await loop.create_connection(
            lambda: BackendConnection(address), host, int(port)
        )
    return connection
