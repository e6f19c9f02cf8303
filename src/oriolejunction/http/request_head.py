"""Encodes requests to backend servers and other instances."""

import re

_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_HEAD = re.compile(
    _TOKEN + rb" [\x21-\x7e]+ HTTP/1\.1\r\n"
    rb"(?:" + _TOKEN + rb": [^\x00\n\v\f\r]*\r\n)*"
)


def encode_request(
    method: str,
    target: str,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> bytes:
    """Return the bytes of a request.

    Raise `ValueError` for what could be taken for another request: a
    character that ends a line, or not exactly one `Host`. The length of the
    body is to be among the headers.
    """
    lines = [f"{method} {target} HTTP/1.1\r\n".encode("ascii")]
    hosts = 0
    for name, value in headers:
        lines.append(b"%s: %s\r\n" % (name, value))
        hosts += len(name) == 4 and name.lower() == b"host"
    head = b"".join(lines)
    has_more_lines = head.count(b"\r\n") != len(lines)
    if hosts != 1 or has_more_lines or not _HEAD.fullmatch(head):
        raise ValueError(f"illegal head of a request to {target!r}")
    return b"%s\r\n%s" % (head, body)
