"""How long a stream may be silent before its engine is tested or left.

Load pattern: an engine that goes dark shows nothing but silence, and a slow
one reading a neighbour's prompt looks the same for a while. A new connection
tells them apart within a round trip, so the test comes early and leaving an
engine that passes it comes late.
"""

import dataclasses

from oriolejunction.controllers import suspicion

# An idle engine makes an event in some tens of ms.
MIN_TEST_MS = 120.0
MAX_TEST_MS = 400.0
TEST_DEVIATIONS = 5.0
# Between tests of an engine that passed the one before.
RETEST_MS = 150.0
# A stream whose prompt is being read is tested this often.
FIRST_TEST_MS = 250.0
# The answer to a test is a packet of the peer's kernel.
TEST_TIMEOUT_MS = 60.0
TEST_TRIES = 2
LEAVE_DEVIATIONS = 10.0
# Part of the longest pause after which going on elsewhere is still in time.
LEAVE_SHARE = 0.75
DEFAULT_PAUSE_MS = 1_000.0
MAX_LEAVE_MS = 2_500.0
# A first event later than this multiple of the expected time is not due to
# the engine's load.
FIRST_MULTIPLE = 1.4
FIRST_EXTRA_MS = 500.0
# Where no other engine would meet the goal, only a lost answer is left.
LAST_MULTIPLE = 2.5
LAST_EXTRA_MS = 1_500.0
# An engine is not left while another one could still meet the goal, at
# this multiple of its expected time and with this much to spare.
ELSEWHERE_MULTIPLE = 1.5
ELSEWHERE_SPARE_MS = 400.0


@dataclasses.dataclass(frozen=True)
class StallLimits:
    """Silence in ms after which an engine is tested, and then left."""

    test_ms: float
    leave_ms: float


def between_events(
    gaps: suspicion.GapEstimate, max_pause_ms: float | None
) -> StallLimits:
    """Return the limits of a stream that has begun."""
    pause_ms = max_pause_ms or DEFAULT_PAUSE_MS
    if gaps.samples < suspicion.WARM_SAMPLES:
        return StallLimits(MAX_TEST_MS / 2, LEAVE_SHARE * pause_ms)
    test_ms = gaps.mean_ms + TEST_DEVIATIONS * gaps.deviation_ms
    leave_ms = gaps.mean_ms + LEAVE_DEVIATIONS * gaps.deviation_ms
    return StallLimits(
        min(MAX_TEST_MS, max(MIN_TEST_MS, test_ms)),
        min(MAX_LEAVE_MS, max(LEAVE_SHARE * pause_ms, leave_ms)),
    )


def before_first(
    expected_ms: float, goal_left_ms: float, elsewhere_ms: float
) -> StallLimits:
    """Return the limits of a stream that waits for its first event.

    Load pattern: the answer of a request that runs is lost, while the
    engine takes connections. Leaving it reads the prompt again, so it is
    left as late as another engine, in `elsewhere_ms`, meets the goal.
    """
    latest_ms = goal_left_ms - ELSEWHERE_MULTIPLE * elsewhere_ms
    latest_ms -= ELSEWHERE_SPARE_MS
    if latest_ms < expected_ms:
        # The goal is met here or nowhere.
        leave_ms = LAST_MULTIPLE * expected_ms + LAST_EXTRA_MS
    else:
        leave_ms = FIRST_MULTIPLE * expected_ms + FIRST_EXTRA_MS
    return StallLimits(FIRST_TEST_MS, max(leave_ms, latest_ms))
