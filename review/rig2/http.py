"""A small HTTP/1.1 reader and client for the stand-ins, on asyncio streams."""

import asyncio


class Broken(Exception):
    """The connection ended before the message was complete."""


async def read_head(reader):
    """Return the start line and the headers; None at a clean end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise Broken("the head is cut off") from error
    except ConnectionError as error:
        raise Broken(repr(error)) from error
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, is_answer=False):
    """Return the body; raise `Broken` if it is not complete."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = bytearray()
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                body += await reader.readexactly(size)
                if await reader.readexactly(2) != b"\r\n":
                    raise Broken("a chunk is not closed")
                if not size:
                    return bytes(body)
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        return await reader.read() if is_answer else b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Broken(repr(error)) from error


def encode(start, headers, body=b""):
    """Return the bytes of a message."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(address, method, path, headers=None, body=b"", limit_s=5.0):
    """Make one call on a new connection; return status, headers, body."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            all_headers = {"Host": address, "Connection": "close"}
            all_headers["Content-Length"] = str(len(body))
            all_headers.update(headers or {})
            writer.write(encode(f"{method} {path} HTTP/1.1", all_headers, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise Broken("closed without an answer")
            start, found = head
            return (
                int(start.split()[1]),
                found,
                await read_body(reader, found, is_answer=True),
            )
        finally:
            writer.close()
