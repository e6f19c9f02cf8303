"""Options of the sockets to backend servers."""

import asyncio
import socket

# The kernel closes a connection with data unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 1_500


def set_for_requests(transport: asyncio.BaseTransport) -> None:
    """Send without delay, and let data unacknowledged end a connection."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )


def detect_silence(transport: asyncio.BaseTransport | None) -> None:
    """Let the kernel notice a peer that is gone without a word."""
    sock = transport and transport.get_extra_info("socket")
    if sock is None:
        return
    # TCP_USER_TIMEOUT decides when the probes give up.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
        sock.setsockopt(socket.IPPROTO_TCP, option, 1)
