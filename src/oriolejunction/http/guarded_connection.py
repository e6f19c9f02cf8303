"""A client's connection, in front of aiohttp's parser.

It takes bounded reads from the socket, and follows how much of a request has
arrived: `listener_guard` adds that up over all connections. aiohttp offers no
hook between its parser and its handler, so some attributes of `RequestHandler`
that are not documented are read here, and nowhere else;
tests/http/test_guarded_connection.py fails if another version lacks them.
"""

import asyncio
import typing

import aiohttp
from aiohttp import http_parser
from aiohttp import web

from oriolejunction.controllers.overload import arrivals

if typing.TYPE_CHECKING:
    from oriolejunction.http import listener_guard

# Of a request, parsed as soon as they arrive; most requests have less.
PROMPT_BYTES = 16_384
# Parsed at once of a longer one, before another connection has its turn.
PIECE_BYTES = 4_096
# Of the start line and all header lines of a request, and of what precedes
# them. The operators' `maxHeaderBytes` is 16,384.
MAX_HEAD_BYTES = 65_536
# Of what a chunked body has besides its content: this many bytes for each of
# the content, of which a one-byte chunk takes five, and these in all.
MAX_FRAMING_RATIO = 8
MAX_FRAMING_BYTES = 65_536
# After a refusal, a client may go on for this long, and with this many bytes,
# before its connection is closed: a reset could overtake the refusal.
LINGER_S = 0.5
LINGER_BYTES = 262_144
_HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class GuardedConnection(asyncio.BufferedProtocol):
    """Passes bytes on to a handler, and counts those of its request."""

    def __init__(
        self,
        handler: web.RequestHandler,
        guard: "listener_guard.ListenerGuard",
    ) -> None:
        self.quiet_sweeps = 0
        self._handler = handler
        self._guard = guard
        self._transport: asyncio.Transport | None = None
        self._is_admitted = False
        # Received, and not parsed yet.
        self._unparsed = b""
        self._is_parsing = False
        # Whether the handler wants no more for now.
        self._is_held = False
        # Bytes parsed of the request that is arriving, and of its head.
        self._received = 0
        self._head_bytes = 0
        self._body: aiohttp.StreamReader | None = None
        self._request_count = 0
        # Whether what still arrives is dropped, and how much was.
        self._drops_input = False
        self._dropped = 0
        self._is_closing = False
        self._last_used_s = 0.0
        # Whether the client has more of an answer to read than is buffered,
        # and how much that was at the last call of `has_read`.
        self._is_unread = False
        self._unread_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve the connection, or close it; called by asyncio."""
        self._transport = typing.cast(asyncio.Transport, transport)
        if not self._guard.admit(self):
            self._transport.abort()
            return
        self._is_admitted = True
        self._last_used_s = asyncio.get_running_loop().time()
        self._handler.connection_made(
            typing.cast(asyncio.Transport, _HandlerTransport(self))
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """End the handler; called by asyncio."""
        self._unparsed = b""
        self._guard.remove(self)
        if self._is_admitted:
            self._handler.connection_lost(exc)

    def pause_writing(self) -> None:
        """Let the handler wait for the client to read; called by asyncio."""
        self._is_unread = True
        self.quiet_sweeps = 0
        self._guard.add_unread(self)
        self._handler.pause_writing()

    def resume_writing(self) -> None:
        """Let the handler write on; called by asyncio."""
        self._is_unread = False
        self._guard.remove_unread(self)
        self._handler.resume_writing()

    def eof_received(self) -> None:
        """Handle the client's end of the connection; called by asyncio."""
        self.parse(len(self._unparsed))
        if self._is_admitted and not self._is_closing:
            self._handler.eof_received()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of the next read; called by asyncio."""
        return self._guard.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read, at once or in turn; called by asyncio."""
        if self._drops_input:
            self._dropped += nbytes
            if self._dropped > LINGER_BYTES:
                self.abort()
            return
        self.quiet_sweeps = 0 if self._body is not None else self.quiet_sweeps
        self._unparsed += bytes(self._guard.buffer[:nbytes])
        if self._is_prompt and not self._is_held:
            self.parse(len(self._unparsed))
        if self._unparsed:
            self._transport.pause_reading()
            if not self._is_held:
                self._guard.parse_in_turn(self)

    @property
    def _is_prompt(self) -> bool:
        """Return whether the request is short so far."""
        received = self._received + len(self._unparsed)
        return received <= PROMPT_BYTES

    @property
    def has_unparsed(self) -> bool:
        """Return whether received bytes wait to be parsed, and may be."""
        return bool(self._unparsed) and not self._is_held

    @property
    def is_in_body(self) -> bool:
        """Return whether the body of a request is arriving."""
        return self._body is not None

    @property
    def is_ahead(self) -> bool:
        """Return whether what arrives follows a request without an answer.

        Some clients send an empty line after each body.
        """
        return self._body is None and self._is_answering

    @property
    def use(self) -> arrivals.ConnectionUse:
        """Return what the connection is used for."""
        if self._is_closing:
            return arrivals.ConnectionUse.CLOSING
        if self._received or self._unparsed or self._body is not None:
            return arrivals.ConnectionUse.ARRIVING
        if self._is_unread:
            return arrivals.ConnectionUse.UNREAD
        if self._is_answering:
            return arrivals.ConnectionUse.ANSWERING
        if not self._request_count:
            return arrivals.ConnectionUse.UNUSED
        return arrivals.ConnectionUse.IDLE

    def has_read(self) -> bool:
        """Return whether the client has read since the last call."""
        before = self._unread_bytes
        self._unread_bytes = self._transport.get_write_buffer_size()
        return self._unread_bytes < before

    def yield_order(self) -> tuple[arrivals.ConnectionUse, float]:
        """Return a key; the connection with the least yields first."""
        return self.use, self._last_used_s

    def parse(self, max_bytes: int) -> int:
        """Parse received bytes; return how many."""
        parsed = 0
        self._is_parsing = True
        while (
            parsed < max_bytes
            and self._unparsed
            and not self._is_held
            and not self._drops_input
        ):
            piece = self._unparsed[:PIECE_BYTES]
            self._unparsed = self._unparsed[len(piece) :]
            parsed += len(piece)
            self._parse_piece(piece)
        self._is_parsing = False
        if not self._unparsed and not self._is_held:
            self._transport.resume_reading()
        return parsed

    def _parse_piece(self, piece: bytes) -> None:
        self._received += len(piece)
        self._handler.data_received(piece)
        if self._handler._request_count != self._request_count:
            self._request_count = self._handler._request_count
            self._take_head()
        elif self._body is None:
            if self._received > MAX_HEAD_BYTES:
                self._refuse_head()
        elif self._framing_bytes > MAX_FRAMING_BYTES:
            self._guard.count_refusal("too much besides the body")
            self.abort()
        self._report()

    def _take_head(self) -> None:
        """Follow the newest request whose head has arrived."""
        queued = self._handler._messages
        if queued:
            message, body = queued[-1]
            if not isinstance(message, http_parser.RawRequestMessage):
                # The handler answers with an error and closes.
                self._guard.count_refusal("no request")
                self._drop_input()
                return
        else:
            # The handler has begun, or ended, a request that aiohttp's parser
            # had kept back.
            current = self._handler._current_request
            body = current.content if current is not None else None
        self._head_bytes = self._received
        self.quiet_sweeps = 0
        if body is None or body.is_eof():
            self._end_request()
            return
        self._body = body
        body.on_eof(self._end_request)

    def _end_request(self) -> None:
        self._body = None
        self._received = self._head_bytes = 0
        self._last_used_s = asyncio.get_running_loop().time()
        self._report()

    def _report(self) -> None:
        """Tell the guard how much of the request is held."""
        if self._is_closing:
            self._guard.update(self, 0)
        elif self._body is not None:
            held = self._head_bytes + self._body.total_bytes
            self._guard.update(self, held)
        else:
            self._guard.update(self, self._received)

    @property
    def _framing_bytes(self) -> int:
        """Return by how much a body's framing exceeds its usual share."""
        raw_bytes = self._received - self._head_bytes
        return raw_bytes - MAX_FRAMING_RATIO * self._body.total_bytes

    @property
    def _is_answering(self) -> bool:
        handler = self._handler
        return handler._request_in_progress or bool(handler._messages)

    def _refuse_head(self) -> None:
        self._guard.count_refusal("head too large")
        if self._is_answering:
            self.abort()
            return
        self._transport.write(_HEAD_TOO_LARGE)
        self.linger()

    def hold(self) -> None:
        """Parse no more until `release`."""
        self._is_held = True
        self._transport.pause_reading()

    def release(self) -> None:
        """Parse and read on."""
        self._is_held = False
        if self._is_parsing:
            return
        if self._unparsed:
            self._guard.parse_in_turn(self)
        else:
            self._transport.resume_reading()

    def close(self) -> None:
        """Close the connection once all that was written is sent."""
        if self.use in (
            arrivals.ConnectionUse.ARRIVING,
            arrivals.ConnectionUse.CLOSING,
        ):
            self.linger()
        else:
            self._transport.close()

    def linger(self) -> None:
        """Send what was written, and drop what still arrives for a while."""
        self._is_closing = True
        self._drop_input()
        self._report()
        if self._transport.is_closing():
            return
        self._transport.write_eof()
        self._transport.resume_reading()
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.close)

    def abort(self) -> None:
        """Close the connection at once."""
        self._is_closing = True
        self._drop_input()
        self._transport.abort()

    def _drop_input(self) -> None:
        self._drops_input = True
        self._unparsed = b""

    @property
    def is_closing(self) -> bool:
        """Return whether no more is to be written."""
        return self._is_closing or self._transport.is_closing()


class _HandlerTransport:
    """The transport as the handler sees it."""

    def __init__(self, connection: GuardedConnection) -> None:
        self._connection = connection
        self._transport = connection._transport

    def __getattr__(self, name: str) -> object:
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        """Return whether the connection is being closed."""
        return self._connection.is_closing

    def pause_reading(self) -> None:
        """Keep what arrives from the handler."""
        self._connection.hold()

    def resume_reading(self) -> None:
        """Let the handler have what arrives."""
        self._connection.release()

    def close(self) -> None:
        """Close once all that was written is sent."""
        self._connection.close()

    def abort(self) -> None:
        """Close at once."""
        self._connection.abort()
