"""Decides which requests an instance that stops still begins."""

import typing

from oriolejunction.controllers.overload import deadline_estimates
from oriolejunction.http import admitted_request

if typing.TYPE_CHECKING:
    from oriolejunction.http import gateway_common


def may_begin(
    deps: "gateway_common.GatewayDependencies",
    admitted: admitted_request.AdmittedRequest,
    remaining_ms: float | None,
) -> bool:
    """Return whether a request can end before the instance does.

    `remaining_ms` is None while no stop is known.
    """
    if remaining_ms is None:
        return True
    if not admitted.route.retryable:
        return deadline_estimates.is_decided_before_stop(
            admitted.deadline_ms - deps.clock.now_ms(), remaining_ms
        )
    return deadline_estimates.can_end_before_stop(
        _expected_duration_ms(deps, admitted), remaining_ms
    )


def _expected_duration_ms(
    deps: "gateway_common.GatewayDependencies",
    admitted: admitted_request.AdmittedRequest,
) -> float:
    engine = admitted.service.engine
    if engine is None:
        return deadline_estimates.max_call_ms(admitted.route.latency_goal_ms)
    request = admitted.request
    max_events = request.max_output_tokens / engine.tokens_per_event
    events = deps.lengths.expected(admitted.route.name, max_events)
    return deadline_estimates.expected_stream_ms(
        request.prompt_tokens,
        max(0.0, events - request.last_event),
        deps.speeds.typical_prefill_ms_per_k(),
        deps.speeds.typical_event_ms(),
    )
