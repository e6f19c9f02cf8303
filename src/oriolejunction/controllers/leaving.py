"""What an instance that is asked to stop may still begin.

Load pattern: the balancer goes on sending new connections for two seconds
after a planned stop was asked for, and where few instances are left, until
the end. A stream that cannot end within the grace would be cut off; refused
at once, it is whole at another instance.
"""

# Streams run slower than expected while prompts are read beside them.
STREAM_MARGIN = 1.3
# A call ends, if slowly, within this multiple of its goal.
CALL_GOALS = 3.0


def stream_ms(
    prompt_tokens: int,
    events: float,
    prefill_ms_per_k: float,
    event_ms: float,
) -> float:
    """Return how long a stream may be expected to run."""
    read_ms = prompt_tokens / 1_000 * prefill_ms_per_k
    return STREAM_MARGIN * (read_ms + events * event_ms)


def call_ms(goal_ms: float) -> float:
    """Return how long a call may be expected to run."""
    return CALL_GOALS * goal_ms


def may_begin(expected_ms: float, left_ms: float | None) -> bool:
    """Return whether a request ends before the instance does.

    `left_ms` is None while the instance stays.
    """
    return left_ms is None or expected_ms <= left_ms
