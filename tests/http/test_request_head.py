"""Heads of requests, against bytes that add a header or another request."""

import pytest

from oriolejunction.http import request_head

HOST = (b"Host", b"a")


def test_request_is_encoded_as_given():
    """Names keep their case and headers their order."""
    encoded = request_head.encode_request(
        "POST",
        "/a?b",
        [HOST, (b"X-Y", b"1 2"), (b"Content-Length", b"2")],
        b"{}",
    )
    assert encoded == (
        b"POST /a?b HTTP/1.1\r\nHost: a\r\nX-Y: 1 2\r\n"
        b"Content-Length: 2\r\n\r\n{}"
    )


@pytest.mark.parametrize(
    ("method", "target", "headers"),
    [
        ("GET", "/a b", [HOST]),
        ("GET", "/a\r\nX: y", [HOST]),
        ("GET", "/\u00fc", [HOST]),
        ("GET", "", [HOST]),
        ("GE T", "/", [HOST]),
        ("GET", "/", []),
        ("GET", "/", [HOST, (b"host", b"b")]),
        ("GET", "/", [HOST, (b"X", b"1\r\nY: 2")]),
        ("GET", "/", [HOST, (b"X", b"1\n")]),
        ("GET", "/", [HOST, (b"X", b"\x00")]),
        ("GET", "/", [HOST, (b"X Y", b"1")]),
        ("GET", "/", [HOST, (b"", b"1")]),
    ],
)
def test_what_ends_a_line_or_names_two_hosts_is_not_sent(
    method, target, headers
):
    """A header of a caller must not become a second request to a server."""
    with pytest.raises(ValueError):
        request_head.encode_request(method, target, headers, b"")
