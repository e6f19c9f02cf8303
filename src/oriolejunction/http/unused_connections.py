"""Closes a server's connections that no request uses, and cuts off none.

A request may have arrived at a connection that looks unused: it waits to be
accepted, its bytes wait to be read, or its handler has not begun. Each of
these takes a turn of the event loop or several, not a time.
"""

import asyncio
import collections.abc
import select

from aiohttp import web

# From the accept of a connection to the start of its first request's handler,
# the event loop takes fewer turns.
QUIET_TURNS = 12
# Under load, some connection always has bytes to read.
MAX_TURNS = 500

Connections = collections.abc.Callable[
    [], collections.abc.Iterable[web.RequestHandler]
]


async def stop_listening(site: web.BaseSite) -> None:
    """Close a listener after the connections that wait were accepted.

    Those that wait are reset by the kernel.
    """
    await _turns()
    for _ in range(MAX_TURNS):
        if not _has_waiting(site):
            break
        await asyncio.sleep(0)
    await site.stop()


async def close_unused(unused: Connections) -> None:
    """Close the connections without a request, once none arrives.

    `unused` returns them. Those left have bytes to read; the handlers of
    their requests have begun when this returns.
    """
    quiet_turns = 0
    for _ in range(MAX_TURNS):
        quiet_turns = 0 if _with_bytes(unused()) else quiet_turns + 1
        if quiet_turns > QUIET_TURNS:
            break
        await asyncio.sleep(0)
    connections = list(unused())
    left = _with_bytes(connections)
    for connection in connections:
        if connection not in left:
            connection.force_close()
    if left:
        await _turns()


def _has_waiting(site: web.BaseSite) -> bool:
    """Return whether connections wait to be accepted."""
    poll = select.poll()
    for sock in site._server.sockets:
        poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


async def _turns() -> None:
    for _ in range(QUIET_TURNS):
        await asyncio.sleep(0)


def _with_bytes(
    connections: collections.abc.Iterable[web.RequestHandler],
) -> set[web.RequestHandler]:
    """Return the connections whose sockets have bytes to read."""
    poll = select.poll()
    connection_by_fd = {}
    for connection in connections:
        transport = connection.transport
        sock = transport and transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            poll.register(sock.fileno(), select.POLLIN)
            connection_by_fd[sock.fileno()] = connection
    return {connection_by_fd[fd] for fd, _ in poll.poll(0)}
