"""Which requests are not started because they could not end in time.

Load patterns: the load balancer sends new connections for two seconds after a
graceful shutdown was requested and, where few instances remain, until this
one stops. A stream that cannot end within the grace period would be cut off
here, but completes at another instance. A request that must not run twice can
take until its deadline, however rarely it does, and its outcome would then be
unknown. After a power loss, callers return with a few of their 25 seconds
left; a prefill for an answer that cannot end by then takes engine time from
those that can.
"""

# Streams run slower than expected during the prefills of other streams.
STREAM_MARGIN = 1.3
# Even a slow call ends within this multiple of its latency goal.
CALL_GOAL_FACTOR = 2.5


def expected_stream_ms(
    prompt_tokens: int,
    events: float,
    prefill_ms_per_k: float,
    event_ms: float,
) -> float:
    """Return how long a stream is expected to run."""
    return prompt_tokens / 1_000 * prefill_ms_per_k + events * event_ms


def max_call_ms(goal_ms: float) -> float:
    """Return the time within which nearly every call ends."""
    return CALL_GOAL_FACTOR * goal_ms


def can_end_before_stop(
    expected_ms: float, remaining_ms: float | None
) -> bool:
    """Return whether a request can end before the instance stops.

    `remaining_ms` is None while no shutdown was requested.
    """
    return remaining_ms is None or STREAM_MARGIN * expected_ms <= remaining_ms


def is_decided_before_stop(
    deadline_in_ms: float, remaining_ms: float | None
) -> bool:
    """Return whether a request surely has its answer before the stop."""
    return remaining_ms is None or deadline_in_ms <= remaining_ms


def can_meet_deadline(expected_ms: float, remaining_ms: float) -> bool:
    """Return whether a request can end by its deadline at all."""
    return expected_ms <= remaining_ms
