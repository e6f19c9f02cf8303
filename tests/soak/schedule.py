"""Which faults a soak injects, drawn from its seed."""

import dataclasses
import enum
import random


class Fault(enum.Enum):
    """What happens to a process, a link or a disk."""

    STOP_ENTRY = "stop_entry"
    KILL_ENTRY = "kill_entry"
    PAUSE_ENTRY = "pause_entry"
    STOP_CONTROL = "stop_control"
    KILL_CONTROL = "kill_control"
    PAUSE_CONTROL = "pause_control"
    KILL_ALL_CONTROL = "kill_all_control"
    WIPE_CONTROL = "wipe_control"
    RESET_LINK = "reset_link"
    SILENCE_ANSWERS = "silence_answers"
    SILENCE_BOTH = "silence_both"
    SLOW_LINK = "slow_link"
    REFUSE_LINK = "refuse_link"
    LOSE_ZONE = "lose_zone"
    UNLIST = "unlist"


# A second wiped disk before the first is replaced is more than is borne.
AT_MOST_ONCE = frozenset({Fault.WIPE_CONTROL, Fault.KILL_ALL_CONTROL})


@dataclasses.dataclass(frozen=True)
class ScheduledFault:
    """A fault from `at_s` on for `for_s`, at the target of that number."""

    at_s: float
    fault: Fault
    target: int
    duration_s: float


def draw_faults(seed: int, length_s: float) -> list[ScheduledFault]:
    """Return the faults of a seed, which may overlap and repeat."""
    rng = random.Random(seed)
    events: list[ScheduledFault] = []
    at_s = rng.uniform(0.2, 0.8)
    while at_s < length_s:
        fault = rng.choice(list(Fault))
        if fault in AT_MOST_ONCE and any(
            each.fault in AT_MOST_ONCE for each in events
        ):
            continue
        for_s = rng.uniform(0.2, 2.0)
        events.append(ScheduledFault(at_s, fault, rng.randrange(60), for_s))
        at_s += rng.choice([0.02, rng.uniform(0.1, 1.2)])
    return events
