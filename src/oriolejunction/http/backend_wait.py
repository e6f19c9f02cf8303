"""Lets a request wait until a backend server has capacity for it."""

import math

from oriolejunction.controllers.overload import wait_queue
from oriolejunction.http import admitted_request
from oriolejunction.http import gateway_common
from oriolejunction.http import placement_queue

# Shorter waits for a backend server are not logged.
MIN_LOGGED_WAIT_MS = 20.0


async def wait_for_backend(
    deps: gateway_common.GatewayDependencies,
    admitted: admitted_request.AdmittedRequest,
    attempts: gateway_common.AttemptTracker,
    wait_ms: float,
    placement_request: placement_queue.PlacementRequest,
    tokens: int = 0,
    has_started: bool = False,
    goal_until_ms: float = math.inf,
    has_exclusions: bool = False,
):
    """Return the assignment of a request, None if there was none in time.

    The request waits for `wait_ms` at most. It misses its latency goal if it
    is placed after `goal_until_ms`.
    """
    now_ms = deps.clock.now_ms()
    waiter = wait_queue.Waiter(
        service=admitted.service.name,
        workspace=admitted.workspace or wait_queue.NO_WORKSPACE,
        started=has_started,
        rank=admitted.rank,
        tokens=tokens,
        since_ms=min(now_ms, admitted.began_ms),
        until_ms=now_ms + min(wait_ms, attempts.remaining_ms),
        has_exclusions=has_exclusions or bool(attempts.excluded),
        item=placement_request,
        goal_until_ms=goal_until_ms,
    )
    assignment = await deps.queue.wait(waiter)
    waited_ms = deps.clock.now_ms() - now_ms
    if assignment is None or waited_ms >= MIN_LOGGED_WAIT_MS:
        gateway_common.log_decision(
            admitted,
            "waited for a backend server",
            placed=assignment is not None,
            waited_ms=round(waited_ms),
            rank=admitted.rank,
            workspace=admitted.workspace,
        )
    return assignment
