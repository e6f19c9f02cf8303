"""Benches that run real processes, by name."""

from bench import capacity
from bench import config
from bench import config_spread
from bench import ledger
from bench import soak
from bench import throughput
from oriolejunction.bench import catalogue as shipped
from oriolejunction import errors

BENCH_BY_NAME: dict[str, shipped.Bench] = {
    "capacity": capacity.run,
    "config": config.run,
    "config-spread": config_spread.run,
    "throughput": throughput.run,
    "ledger": ledger.run,
    "soak-processes": soak.run,
}


def get_bench(name: str) -> shipped.Bench:
    """Return the bench with a name; raise `Failure` if there is none."""
    bench = BENCH_BY_NAME.get(name)
    if bench is None:
        known = ", ".join(sorted(BENCH_BY_NAME))
        raise errors.Failure(
            shipped.UnknownBench(f"there is no bench {name!r}; known: {known}")
        )
    return bench
