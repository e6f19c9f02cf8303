"""Which parts of prompts explain the crashes of engines.

Load pattern: each engine that answers a request with a certain part crashes,
and takes the other streams on it along. All their parts are accused: the bad
one, those that its requests always have too, and some by coincidence. Engines
of a zone also crash together for other reasons.
"""

import collections.abc

from oriolejunction.controllers import loss_history
from oriolejunction import ids

Engines = frozenset[ids.BackendId]


def find_culprits(
    crashed_by_part: dict[ids.PromptPart, Engines],
    losses: loss_history.LossHistory,
    min_crashes: collections.abc.Callable[[ids.PromptPart], float],
    is_known_sound: collections.abc.Callable[[ids.PromptPart], bool],
) -> list[frozenset[ids.PromptPart]]:
    """Return sets of parts, each of which explains many crashes.

    The part with the most crashes comes first; crashes that it explains
    count against no other. Parts with the same crashes cannot be told apart
    and form one set, without those known to be sound if others remain.
    """
    culprits = []
    explained: Engines = frozenset()
    while True:
        count_by_part = {
            part: count_crashes(crashed, crashed - explained, losses)
            for part, crashed in crashed_by_part.items()
        }
        accused = [
            part
            for part, count in count_by_part.items()
            if count >= min_crashes(part)
        ]
        if not accused:
            return culprits
        worst = max(
            accused,
            key=lambda part: (count_by_part[part], len(crashed_by_part[part])),
        )
        crashed = crashed_by_part[worst]
        alike = {p for p in accused if crashed_by_part[p] == crashed}
        culprits.append(
            frozenset(p for p in alike if not is_known_sound(p))
            or frozenset(alike)
        )
        explained |= crashed


def count_crashes(
    crashed: Engines, unexplained: Engines, losses: loss_history.LossHistory
) -> int:
    """Return how many of the unexplained crashes are independent.

    A crash does not count if an engine of its zone that had not run the part
    was lost at about the same time. Those of a zone that happened together
    count once.
    """
    independent = 0
    counted_ms: dict[ids.ZoneId, float] = {}
    known = []
    for backend_id in unexplained:
        loss = losses.get(backend_id)
        if loss is None:
            independent += 1
        elif loss.neighbours <= crashed:
            known.append(loss)
    for loss in sorted(known, key=lambda each: each.at_ms):
        last_ms = counted_ms.get(loss.zone, float("-inf"))
        if loss.at_ms - last_ms > loss_history.CORRELATED_LOSS_MS:
            counted_ms[loss.zone] = loss.at_ms
            independent += 1
    return independent
