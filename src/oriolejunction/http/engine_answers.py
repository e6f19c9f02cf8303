"""Heads of backend servers' answers, and what callers get of them."""

from aiohttp import web
import multidict

from oriolejunction import gateway_messages
from oriolejunction.http import backend_connection

# With these, callers are told that the request has not run and never will.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def require_matching_answer(head: gateway_messages.AnswerHead) -> None:
    """Raise `ConnectionBroken` for an answer to another request."""
    if not head.echoes_request_id or (head.success and not head.signed):
        raise backend_connection.ConnectionBroken(
            f"the answer does not match the request: {head.status} for"
            f" {head.names}"
        )


def may_relay(head: gateway_messages.AnswerHead) -> bool:
    """Return whether a server's answer is true for the caller.

    A status that promises that nothing has run is not: a server that has not
    run a request says so by a header, and then another is asked.
    """
    return head.status not in _NOT_RUN_STATUSES


def answer_headers(
    head: gateway_messages.AnswerHead,
) -> multidict.CIMultiDict[str]:
    """Return the headers that the caller gets."""
    return multidict.CIMultiDict(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
    )


def relayed_response(
    head: gateway_messages.AnswerHead, body: bytes
) -> web.Response:
    """Return a backend server's answer to the caller, unchanged."""
    return web.Response(
        status=head.status, headers=answer_headers(head), body=body
    )
