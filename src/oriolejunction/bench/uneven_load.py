"""Bench ``uneven-load``: calls to plain servers, and streams of two ranks.

Each load of calls is run twice in virtual time: with choices by the calls of
one instance, and by the loads that servers state. Each load of streams is run
without and with regard to their ranks. Nothing counts as a violation; the
tests state the bounds.
"""

from oriolejunction.bench import call_simulation
from oriolejunction.bench import result
from oriolejunction.bench import stream_simulation

# Parts of the streams that the engines can run.
STREAM_LOADS = (1.0, 1.1, 1.3)
UNEVEN = (0.7, 0.7, 1.7, 1.0)
LOADS: dict[str, dict] = {
    "even_120_per_s": {},
    "even_330_per_s": {"per_s": 330.0},
    "uneven_260_per_s": {"per_s": 260.0, "speeds": UNEVEN},
    "uneven_400_per_s": {"per_s": 400.0, "speeds": UNEVEN},
    "one_slow_200_per_s": {"per_s": 200.0, "speeds": (1.0, 1.0, 1.0, 4.0)},
    "bursts_of_140": {"per_s": 150.0, "burst": 140},
    "bursts_of_140_not_held": {"per_s": 150.0, "burst": 140, "hold_ms": 0.0},
    "bursts_of_200": {"per_s": 150.0, "burst": 200},
    "zone_waves_of_0.9": {
        "per_s": 260.0,
        "speeds": (1.0, 1.0, 1.0),
        "wave": 0.9,
    },
}


async def run(options: result.BenchOptions) -> result.BenchResult:
    """Run each load with both choices."""
    figures: dict[str, object] = {}
    for name, load in LOADS.items():
        figures[name] = {
            choice: _figures(
                call_simulation.Simulation(
                    uses_loads, seed=options.seed, **load
                ).run(options.seconds * 1e3)
            )
            for choice, uses_loads in (("own", False), ("stated", True))
        }
    for load in STREAM_LOADS:
        figures[f"streams_{load}"] = {
            choice: _stream_figures(
                stream_simulation.Simulation(
                    by_rank, seed=options.seed, load=load
                ).run(options.seconds * 1e3)
            )
            for choice, by_rank in (("equal", False), ("by_rank", True))
        }
    return result.BenchResult("uneven-load", options.seed, figures, 0)


def _figures(outcome: call_simulation.Result) -> dict[str, object]:
    worst = min(
        1 - outcome.missed_by_zone[zone] / calls
        for zone, calls in outcome.calls_by_zone.items()
    )
    return {
        "calls": outcome.calls,
        "late": outcome.late,
        "failed": outcome.failed,
        "rejected": outcome.rejections,
        "other_zone": outcome.cross_zone,
        "most_on_a_server": outcome.most_by_server,
        "worst_zone_in_time": round(worst, 3),
    }


def _stream_figures(outcome: stream_simulation.Outcome) -> dict[str, object]:
    figures: dict[str, object] = {
        "interruptions": outcome.interruptions,
        "rejected": outcome.rejections,
    }
    for rank, count in sorted(outcome.streams.items()):
        figures[f"rank_{rank}"] = count
        figures[f"rank_{rank}_in_time"] = round(outcome.in_time_of(rank), 3)
    return figures
