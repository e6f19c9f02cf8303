"""Turns replies about the routing table into results or errors."""

from oriolejunction import errors
from oriolejunction import fleet_messages as fm


def require_published(reply: fm.PublishReply) -> None:
    """Raise `Failure` unless the table is in force."""
    if reply.refusal is not None:
        raise errors.Failure(errors.TableConflict(reply.refusal))
    if not reply.done:
        raise errors.Failure(
            errors.ChangeUnconfirmed("no majority confirmed the change")
        )


def document_of(reply: fm.ReadReply) -> bytes:
    """Return the newest document; raise `Failure` if it isn't confirmed."""
    if not reply.document:
        raise errors.Failure(
            errors.ControlUnavailable(
                "no majority confirms which configuration is the newest"
            )
        )
    return reply.document
