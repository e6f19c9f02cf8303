"""How many requests each instance may send to the target of a rollout.

Load pattern: dozens of instances with very different traffic share an
allowance of some tens of requests, while a service with three requests a
second must still get enough answers of the target to be judged by.
"""

import collections.abc
import math

from oriolejunction import commands
from oriolejunction.controllers import rollout_book
from oriolejunction.controllers import rollout_tally
from oriolejunction import node_settings

# Part of the bound that allowances use. The rest covers requests that a
# server got although the instance did not count them as sent.
AIM = 0.7
# Part of the tolerance that is given out at once. The rest is spread over the
# time until the move and shows versions that turn bad late.
FIRST_PART = 0.5
# The whole tolerance is given out at once to a service that gets at most this
# many times the tolerance until the move, once a tenth of the time shows it:
# its requests are the limit of what can be seen, not the tolerance.
FEW_REQUESTS = 2.0
RATE_KNOWN_AT = 0.1
# One request to start a stream, and one to continue it elsewhere.
STEP = 2
# At most this part of an instance's requests goes to the target, so that the
# old versions' answers of the same time can be compared.
MAX_TARGET_SHARE = 0.5
# Instances without requests for the service get something after this time, up
# to this part of the limit: one that gets a request every few seconds would
# otherwise send its second request to the target when the time is over.
IDLE_AFTER_MS = 1_000.0
IDLE_PART = 0.5
# An instance that has not reported for longer may be lost. Idle ones report
# once a second, and relays add up to half a second.
FRESH_MS = 2_000.0


def limit(
    bounds: node_settings.RolloutBounds, requests: int, progress: float
) -> int:
    """Return the highest sum of allowances now.

    `requests` were sent to the service since the order; `progress` is the
    part of the time until a move that has passed.
    """
    part = FIRST_PART + (1.0 - FIRST_PART) * min(1.0, progress)
    if progress >= RATE_KNOWN_AT:
        few = FEW_REQUESTS * bounds.exposure_tolerance
        if requests / min(1.0, progress) <= few:
            part = 1.0
    return math.floor(
        AIM
        * (bounds.exposure_share * requests + bounds.exposure_tolerance * part)
    )


def next_grants(
    rollout: rollout_book.Rollout,
    instances: collections.abc.Iterable[rollout_tally.InstanceCounts],
    highest: int,
    now_ms: float,
    elapsed_ms: float,
) -> tuple[commands.ExposureGrant, ...]:
    """Return new allowances; all together add up to at most `highest`.

    They go to instances that have used what they hold, the ones with the
    least for their traffic first, and the ones without traffic last.
    """
    wanting = []
    for counts in instances:
        if now_ms - counts.received_ms > FRESH_MS:
            continue
        total = sum(counts.sent_by_software.values())
        held = rollout.allowance(counts.instance, counts.boot)
        sent = counts.sent_by_software.get(rollout.target, 0)
        running = counts.running_by_software.get(rollout.target, 0)
        if held - sent - running >= STEP or sent > MAX_TARGET_SHARE * total:
            continue
        if not total and elapsed_ms < IDLE_AFTER_MS:
            continue
        rank = (held / total if total else math.inf, counts.instance)
        wanting.append((rank, total, counts.boot, held))
    grants = []
    granted = rollout.granted
    for (_, instance), total, boot, held in sorted(wanting):
        granted += STEP
        if granted > (highest if total else highest * IDLE_PART):
            break
        grants.append(commands.ExposureGrant(instance, boot, held + STEP))
    return tuple(grants)
