"""Whether bytes wait in a socket that the event loop has not read yet."""

import asyncio
import select


def are_waiting(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether bytes, or the end, have arrived at a transport.

    A server may send a second copy of an answer. What arrived before the next
    request is sent does not answer it.
    """
    sock = transport and transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
