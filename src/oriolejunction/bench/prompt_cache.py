"""Bench ``prompt-cache``: placement without and with cached prompt parts.

Each load is run in virtual time with both choices on the same demand. Nothing
counts as a violation.
"""

import statistics

from oriolejunction.bench import cache_simulation
from oriolejunction.bench import result

LOADS: dict[str, dict] = {
    "uniform": {},
    "skewed": {"skew": 1.1},
    "one_hot_part": {"hot": 0.6},
    "zone_lost": {"skew": 1.1, "loses_zone": True, "per_s": 9.0},
    "holder_lost": {"hot": 0.6, "loses_holder": True},
    "memory_too_small": {"skew": 1.1, "kv_limit": 30_000, "per_s": 6.0},
    "first_part_only": {"groups": 100_000},
    "one_instance": {"skew": 1.1, "instances": 1},
    "68_instances": {"skew": 1.1, "instances": 68},
}


async def run(options: result.BenchOptions) -> result.BenchResult:
    """Run each load with both choices."""
    figures: dict[str, object] = {
        name: {
            choice: _figures(
                cache_simulation.Simulation(
                    uses_cache, cache_simulation.Load(**load), options.seed
                ).run(options.seconds * 1e3)
            )
            for choice, uses_cache in (("without", False), ("with", True))
        }
        for name, load in LOADS.items()
    }
    return result.BenchResult("prompt-cache", options.seed, figures, 0)


def _figures(outcome: cache_simulation.Outcome) -> dict[str, object]:
    first_ms = statistics.quantiles(outcome.first_event_ms, n=20)
    placed = outcome.tokens / cache_simulation.PROMPT
    return {
        "streams": outcome.streams,
        "hit_share": round(outcome.hits / placed, 3),
        "prefill_saved": round(outcome.hit_tokens / outcome.tokens, 3),
        "p50_first_event_ms": round(first_ms[9]),
        "p95_first_event_ms": round(first_ms[18]),
        "worst_load": round(outcome.worst_load, 2),
    }
