"""What a stream does when the engine of an attempt stalls."""

import collections.abc

from oriolejunction.http import admitted_request
from oriolejunction.http import backend_checks
from oriolejunction.http import gateway_common
from oriolejunction.http import stall_detection
from oriolejunction.http import stream_attempt
from oriolejunction.http import stream_plan


def handlers_of(
    deps: gateway_common.GatewayDependencies,
    admitted: admitted_request.AdmittedRequest,
    attempts: gateway_common.AttemptTracker,
    planner: stream_plan.StreamPlanner,
    plan: stream_attempt.StreamPlan,
    has_started: collections.abc.Callable[[], bool],
) -> stall_detection.StallHandlers:
    """Return the handlers of the attempt that runs by `plan`.

    `has_started` returns whether the caller has the head of the answer.
    """
    backend = plan.backend
    sent_ms = deps.clock.now_ms()
    copy_backend = None

    def on_stalled(stall: stall_detection.EngineStalled) -> None:
        nonlocal copy_backend
        copy_backend = planner.last_copy_backend
        if stall.has_events:
            # The KV cache copy began with the first event.
            planner.last_copy_backend = plan.copy_backend
        attempts.excluded.add(backend.backend_id)
        backend_checks.start_crash_check(
            deps,
            admitted,
            backend_checks.LostAttempt(backend, str(stall), sent_ms),
            may_continue=True,
        )

    def on_continued() -> None:
        attempts.excluded.discard(backend.backend_id)
        deps.health.mark_answered(backend.backend_id)
        planner.last_copy_backend = copy_backend

    return stall_detection.StallHandlers(
        on_stalled,
        on_continued,
        lambda: planner.plan_reachable(has_started()),
        planner.discard,
    )
