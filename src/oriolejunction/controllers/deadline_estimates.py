"""Which requests are not begun because they could not end in time.

Load patterns: the balancer goes on sending new connections for two seconds
after a planned stop was asked for, and where few instances are left, until
the end; a stream that cannot end within the grace would be cut off, but is
whole at another instance. After a loss of power callers come back with a
few of their 25 seconds left; a prompt read for an answer that cannot end by
then takes an engine from those that can.
"""

# Streams run slower than expected while prompts are read beside them.
STREAM_MARGIN = 1.3
# A call ends, if slowly, within this multiple of its goal.
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
    """Return how long a call runs at most, but for a few."""
    return CALL_GOAL_FACTOR * goal_ms


def can_end_before_stop(expected_ms: float, left_ms: float | None) -> bool:
    """Return whether a request ends before the instance does.

    `left_ms` is None while the instance stays.
    """
    return left_ms is None or STREAM_MARGIN * expected_ms <= left_ms


def can_meet_deadline(expected_ms: float, deadline_left_ms: float) -> bool:
    """Return whether a request can end by its deadline, at best."""
    return expected_ms <= deadline_left_ms
