"""Replies about rollouts as results or typed errors, for operators."""

from oriolejunction import errors
from oriolejunction import rollout_messages as rm


def number_of(reply: rm.BeginReply, request: rm.BeginRequest) -> int:
    """Return the number of an order; raise `Failure` if it isn't taken."""
    if reply.unknown_service:
        raise errors.Failure(
            errors.MalformedRequest(f"unknown service {request.service!r}")
        )
    if reply.refusal is not None:
        raise errors.Failure(errors.RolloutConflict(reply.refusal))
    if reply.number is None:
        raise errors.Failure(
            errors.ChangeUnconfirmed("no majority confirmed the order")
        )
    return reply.number


def status_of(
    reply: rm.ReadReply, request: rm.ReadRequest
) -> rm.RolloutStatus:
    """Return the newest rollout; raise `Failure` without one."""
    if not reply.confirmed:
        raise errors.Failure(
            errors.ControlUnavailable(
                "no majority confirms which state is the newest"
            )
        )
    if reply.rollout is None:
        raise errors.Failure(
            errors.UnknownRollout(f"no rollout of service {request.service!r}")
        )
    return reply.rollout
