"""Proxies over links of a stated rate."""

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 4_096


class ThinLink:
    """The link of one process, which carries bytes in the order of sending."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.total_bytes = 0
        self._free_at_s = 0.0

    async def transmit(self, count: int) -> None:
        """Wait until the link has carried some more bytes."""
        now_s = asyncio.get_running_loop().time()
        begin_s = max(now_s, self._free_at_s)
        self._free_at_s = begin_s + count / self.bytes_per_s
        self.total_bytes += count
        await asyncio.sleep(self._free_at_s - now_s)


class LinkProxy:
    """Relays connections to one process over a link.

    The link carries what the process sends or, with `is_upload`, receives.
    Nothing is relayed while `is_silent` is set.
    """

    def __init__(
        self, link: ThinLink, target_port: int, is_upload: bool = False
    ) -> None:
        self._link = link
        self._target_port = target_port
        self._is_upload = is_upload
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.is_silent = False

    async def start(self, host: str, port: int) -> int:
        """Listen, at any port if it is 0; return the port."""
        self._server = await asyncio.start_server(self._relay, host, port)
        return self._server.sockets[0].getsockname()[1]

    def reset_connections(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            _reset(writer)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset_connections()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError):
            target_reader, target_writer = await self._connect()
            self._writers |= {writer, target_writer}
            up, down = None, self._link
            if self._is_upload:
                up, down = down, up
            try:
                await asyncio.gather(
                    self._copy(reader, target_writer, up),
                    self._copy(target_reader, writer, down),
                )
            finally:
                self._writers -= {writer, target_writer}
                target_writer.close()
        writer.close()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        # What the link has not carried yet waits at its sender.
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * CHUNK_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", self._target_port))
        return await asyncio.open_connection(sock=sock, limit=CHUNK_BYTES)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: ThinLink | None,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if link is not None:
                await link.transmit(len(data))
            while self.is_silent:
                await asyncio.sleep(0.01)
            writer.write(data)
            await writer.drain()
        writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, unless it is closed already."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        no_linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()
