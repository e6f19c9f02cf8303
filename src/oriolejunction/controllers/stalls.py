"""How long a stream may be silent before its engine is probed or given up on.

Load pattern: an unreachable engine shows nothing but silence, and a slow one
looks the same for a while during the prefill of another stream. A new
connection tells them apart within a round trip, so the probe comes early, and
an engine that passes it is given up on late.

A sound engine may also stand still for a second or so. Its kernel still
accepts connections, but it ends no work whose connection was closed until it
goes on.
"""

import math

import msgspec

from oriolejunction.controllers import silence_detector

# An idle engine produces an event every few tens of ms.
MIN_PROBE_MS = 120.0
MAX_PROBE_MS = 400.0
PROBE_DEVIATIONS = 5.0
# Interval between probes while the engine passes them.
REPROBE_MS = 150.0
# Least silence after which a stream that waits for its first event is probed.
FIRST_PROBE_MS = 250.0
# Each probe is a new connection, which costs the engine a ms. With much time
# left to the latency goal, the time to the first probe and the intervals
# between probes are this part of it.
REPROBE_GOAL_FRACTION = 0.1
MAX_REPROBE_MS = 500.0
# The peer's kernel answers a probe, so a busy engine answers in time.
PROBE_TIMEOUT_MS = 60.0
PROBE_ATTEMPTS = 2
GIVE_UP_DEVIATIONS = 10.0
# Fraction of the longest event gap; the rest is for resuming elsewhere.
GIVE_UP_FRACTION = 0.75
DEFAULT_MAX_EVENT_GAP_MS = 1_000.0
MAX_GIVE_UP_MS = 2_500.0
# A first event later than this multiple of the expected time, plus the margin,
# is not explained by the engine's load.
FIRST_EVENT_FACTOR = 1.4
FIRST_EVENT_MARGIN_MS = 500.0
# Interval between reports while the engine works on the request.
REPORT_INTERVAL_MS = 400.0
# A report asked for earlier in a silence may be from before the request.
MIN_REPORT_SILENCE_MS = 500.0
# Interval between searches for another engine while an engine is stalled.
SEARCH_INTERVAL_MS = 400.0
# Where no other engine would meet the latency goal, an engine is given up on
# only once its answer is almost certainly lost.
LAST_RESORT_FACTOR = 2.5
LAST_RESORT_MARGIN_MS = 1_500.0
# An engine is not given up on while another one could still meet the latency
# goal, taking this multiple of its expected time plus this margin.
ELSEWHERE_FACTOR = 1.5
ELSEWHERE_MARGIN_MS = 400.0
# Sound engines stand still "for a second or so" (operators), and may work on a
# stream for 400 ms after another engine has taken it over (rule TWICE).
MAX_STANDSTILL_MS = 1_600.0
MAX_OVERLAP_MS = 400.0
MAX_UNRESPONSIVE_MS = MAX_STANDSTILL_MS - MAX_OVERLAP_MS


class StallLimits(msgspec.Struct, frozen=True):
    """Silence in ms after which an engine is probed, and then given up on.

    After `report_ms` it is asked for its report. Probes that it passes are
    repeated every `reprobe_ms`. One that is given up on and accepts
    connections, but answers nothing, is replaced after `unresponsive_ms`.
    """

    probe_ms: float
    give_up_ms: float
    unresponsive_ms: float
    report_ms: float = math.inf
    reprobe_ms: float = REPROBE_MS


def limits_between_events(
    gaps: silence_detector.GapEstimate, max_event_gap_ms: float | None
) -> StallLimits:
    """Return the limits of a stream that has produced events."""
    max_gap_ms = max_event_gap_ms or DEFAULT_MAX_EVENT_GAP_MS
    if gaps.samples < silence_detector.MIN_SAMPLES:
        return StallLimits(
            MAX_PROBE_MS / 2,
            GIVE_UP_FRACTION * max_gap_ms,
            MAX_UNRESPONSIVE_MS,
        )
    probe_ms = gaps.mean_ms + PROBE_DEVIATIONS * gaps.deviation_ms
    give_up_ms = gaps.mean_ms + GIVE_UP_DEVIATIONS * gaps.deviation_ms
    return StallLimits(
        min(MAX_PROBE_MS, max(MIN_PROBE_MS, probe_ms)),
        min(MAX_GIVE_UP_MS, max(GIVE_UP_FRACTION * max_gap_ms, give_up_ms)),
        MAX_UNRESPONSIVE_MS,
    )


def limits_before_first(
    expected_ms: float, remaining_goal_ms: float, elsewhere_ms: float
) -> StallLimits:
    """Return the limits of a stream that waits for its first event.

    Load pattern: the answer to a running request is lost while its engine
    still accepts connections. Another engine has to repeat the prefill,
    which takes `elsewhere_ms`, so giving up waits as long as another engine
    can still meet the latency goal.
    """
    latest_ms = remaining_goal_ms - ELSEWHERE_FACTOR * elsewhere_ms
    latest_ms -= ELSEWHERE_MARGIN_MS
    unexplained_ms = FIRST_EVENT_FACTOR * expected_ms + FIRST_EVENT_MARGIN_MS
    if latest_ms < expected_ms:
        # No other engine can meet the latency goal.
        give_up_ms = LAST_RESORT_FACTOR * expected_ms + LAST_RESORT_MARGIN_MS
    else:
        give_up_ms = unexplained_ms
    interval_ms = min(
        REPROBE_GOAL_FRACTION * remaining_goal_ms, MAX_REPROBE_MS
    )
    give_up_ms = max(give_up_ms, latest_ms)
    return StallLimits(
        max(FIRST_PROBE_MS, interval_ms),
        give_up_ms,
        # It may have stood still since the end of a long prefill only.
        give_up_ms + MAX_UNRESPONSIVE_MS,
        unexplained_ms,
        max(REPROBE_MS, interval_ms),
    )
