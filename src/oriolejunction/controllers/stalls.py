"""How long a stream may be silent before its engine is tested or left.

Load pattern: an engine that goes dark shows nothing but silence, and a slow
one reading a neighbour's prompt looks the same for a while. A new connection
tells them apart within a round trip, so the test comes early and leaving an
engine that passes it comes late.
"""

import dataclasses

from oriolejunction.controllers import silence_detector

# An idle engine makes an event in some tens of ms.
MIN_PROBE_MS = 120.0
MAX_PROBE_MS = 400.0
PROBE_DEVIATIONS = 5.0
# Between tests of an engine that passed the one before.
REPROBE_MS = 150.0
# A stream whose prompt is being read is tested this often.
FIRST_PROBE_MS = 250.0
# The answer to a test is a packet of the peer's kernel.
PROBE_TIMEOUT_MS = 60.0
PROBE_ATTEMPTS = 2
GIVE_UP_DEVIATIONS = 10.0
# Part of the longest pause after which going on elsewhere is still in time.
GIVE_UP_FRACTION = 0.75
DEFAULT_PAUSE_MS = 1_000.0
MAX_GIVE_UP_MS = 2_500.0
# A first event later than this multiple of the expected time is not due to
# the engine's load.
FIRST_EVENT_FACTOR = 1.4
FIRST_EVENT_MARGIN_MS = 500.0
# Where no other engine would meet the goal, only a lost answer is left.
LAST_RESORT_FACTOR = 2.5
LAST_RESORT_MARGIN_MS = 1_500.0
# An engine is not left while another one could still meet the goal, at
# this multiple of its expected time and with this much to spare.
ELSEWHERE_FACTOR = 1.5
ELSEWHERE_MARGIN_MS = 400.0


@dataclasses.dataclass(frozen=True)
class StallLimits:
    """Silence in ms after which an engine is tested, and then left."""

    probe_ms: float
    give_up_ms: float


def limits_between_events(
    gaps: silence_detector.GapEstimate, max_pause_ms: float | None
) -> StallLimits:
    """Return the limits of a stream that has begun."""
    pause_ms = max_pause_ms or DEFAULT_PAUSE_MS
    if gaps.samples < silence_detector.MIN_SAMPLES:
        return StallLimits(MAX_PROBE_MS / 2, GIVE_UP_FRACTION * pause_ms)
    test_ms = gaps.mean_ms + PROBE_DEVIATIONS * gaps.deviation_ms
    leave_ms = gaps.mean_ms + GIVE_UP_DEVIATIONS * gaps.deviation_ms
    return StallLimits(
        min(MAX_PROBE_MS, max(MIN_PROBE_MS, test_ms)),
        min(MAX_GIVE_UP_MS, max(GIVE_UP_FRACTION * pause_ms, leave_ms)),
    )


def limits_before_first(
    expected_ms: float, goal_left_ms: float, elsewhere_ms: float
) -> StallLimits:
    """Return the limits of a stream that waits for its first event.

    Load pattern: the answer of a request that runs is lost, while the
    engine takes connections. Leaving it reads the prompt again, so it is
    left as late as another engine, in `elsewhere_ms`, meets the goal.
    """
    latest_ms = goal_left_ms - ELSEWHERE_FACTOR * elsewhere_ms
    latest_ms -= ELSEWHERE_MARGIN_MS
    if latest_ms < expected_ms:
        # The goal is met here or nowhere.
        leave_ms = LAST_RESORT_FACTOR * expected_ms + LAST_RESORT_MARGIN_MS
    else:
        leave_ms = FIRST_EVENT_FACTOR * expected_ms + FIRST_EVENT_MARGIN_MS
    return StallLimits(FIRST_PROBE_MS, max(leave_ms, latest_ms))
