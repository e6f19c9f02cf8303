"""h11 connections that read answers to requests encoded elsewhere."""

import functools

import h11

MAX_HEAD_BYTES = 65_536
# Answers to these have no body, whatever their headers state (RFC 9112, 6.3).
METHODS_WITHOUT_BODY = frozenset(("HEAD", "CONNECT"))
STATUSES_WITHOUT_BODY = frozenset((204, 304))
_END_OF_REQUEST = h11.EndOfMessage()


def new_parser() -> h11.Connection:
    """Return a connection of a client that has sent nothing yet."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def expect_answer(parser: h11.Connection, method: str) -> None:
    """Let a parser read the answer to a request with `method`.

    h11 needs to know no more of a request.
    """
    parser.send(_request_of(method))
    parser.send(_END_OF_REQUEST)


@functools.lru_cache(maxsize=32)
def _request_of(method: str) -> h11.Request:
    return h11.Request(method=method, target="/", headers=[("Host", "-")])


def has_chunked_body(method: str, response: h11.Response) -> bool:
    """Return whether chunks follow the head of an answer.

    h11 accepts no other transfer encoding.
    """
    return (
        method not in METHODS_WITHOUT_BODY
        and response.status_code not in STATUSES_WITHOUT_BODY
        and any(n == b"transfer-encoding" for n, _ in response.headers)
    )
