"""Chunked bodies, against bytes that are lost, repeated or taken for others.

h11 decodes the same bytes as a reference.
"""

import h11
import hypothesis
from hypothesis import strategies as st
import pytest

from oriolejunction.http import chunked_body

MAX_LINE_BYTES = 200
PARTS = st.sampled_from(
    (
        *(b"5\r\nhello\r\n", b"1;x=y\r\na\r\n", b"0\r\n", b"\r\n", b"\n"),
        *(b"a: b\r\n", b"A\r\n0123456789\r\n", b"-1\r\n", b"3\r\nlonger\r\n"),
        *(b"0\r\n\r\n", b"2 \t\r\nhi\r\n", b"\r", b"zz\r\n", b"x" * 300),
    )
)


def decode(pieces):
    """Return the content, whether it is complete and whether it is faulty."""
    body = chunked_body.ChunkedBody(MAX_LINE_BYTES)
    content = b""
    try:
        for piece in pieces:
            body.receive(piece)
            content += body.decode()
            content += body.decode()
    except chunked_body.MalformedChunk:
        return content, False, True
    return content, body.is_complete, False


def decode_by_h11(pieces):
    """Return the same by h11."""
    connection = h11.Connection(
        h11.CLIENT, max_incomplete_event_size=MAX_LINE_BYTES
    )
    request = h11.Request(method="GET", target="/", headers=[("Host", "a")])
    connection.send(request)
    connection.send(h11.EndOfMessage())
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    connection.receive_data(head)
    connection.next_event()
    content = b""
    try:
        for piece in pieces:
            connection.receive_data(piece)
            while (event := connection.next_event()) is not h11.NEED_DATA:
                if not isinstance(event, h11.Data):
                    return content, True, False
                content += event.data
    except h11.RemoteProtocolError:
        return content, False, True
    return content, False, False


@hypothesis.given(st.lists(PARTS, max_size=6), st.integers(1, 30))
def test_content_and_faults_are_those_of_h11(parts, size):
    """Pieces of any size give the content before a fault, and the fault."""
    data = b"".join(parts)
    pieces = [data[i : i + size] for i in range(0, len(data), size)]
    content, is_complete, is_faulty = decode(pieces)
    expected, expected_end, expected_fault = decode_by_h11(pieces)
    if is_faulty != expected_fault:
        # h11 notices some faults in a line only once the line is complete,
        # and reads a trailer that ends in a line feed only.
        assert is_faulty or not is_complete
        assert expected.startswith(content) or content.startswith(expected)
        return
    assert (content, is_complete) == (expected, expected_end)


@pytest.mark.parametrize(
    "data",
    [
        b"5\r\nhelloX\r\n",
        b"5\nhello\n",
        b"\r\n",
        b"0x5\r\nhello\r\n",
        b"0\r\nno trailer\r\n\r\n",
        b"0\r\n" + b"a: b\r\n" * 60 + b"\r\n",
        b"1;" + b"x" * 300,
    ],
)
def test_a_faulty_body_is_never_complete(data):
    """A stream that was garbled must not look as if it had ended well."""
    content, is_complete, _ = decode([data])
    assert not is_complete and content in (b"", b"hello")


def test_bytes_after_the_end_are_kept_apart():
    """A second answer on the connection is no part of the first."""
    body = chunked_body.ChunkedBody(MAX_LINE_BYTES)
    body.receive(b"2\r\nhi\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n")
    assert body.decode() == b"hi"
    assert body.is_complete and body.has_unread
