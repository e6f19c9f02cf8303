"""The benches that run in one process, by name."""

import collections.abc

from oriolejunction.bench import admission
from oriolejunction.bench import fencing
from oriolejunction.bench import poison
from oriolejunction.bench import prompt_cache
from oriolejunction.bench import raft
from oriolejunction.bench import result
from oriolejunction.bench import resume
from oriolejunction.bench import rollout
from oriolejunction.bench import routing
from oriolejunction.bench import soak
from oriolejunction.bench import uneven_load
from oriolejunction import errors

Bench = collections.abc.Callable[
    [result.BenchOptions], collections.abc.Awaitable[result.BenchResult]
]


class UnknownBench(errors.ServingError):
    """No bench has that name."""

    code = "unknown_bench"


BENCH_BY_NAME: dict[str, Bench] = {
    "admission": admission.run,
    "fencing": fencing.run_bench,
    "poison": poison.run,
    "prompt-cache": prompt_cache.run,
    "raft": raft.run,
    "resume": resume.run,
    "rollout": rollout.run,
    "routing": routing.run,
    "soak": soak.run,
    "uneven-load": uneven_load.run,
}


def get_bench(name: str) -> Bench:
    """Return the bench with a name, or raise `Failure`."""
    bench = BENCH_BY_NAME.get(name)
    if bench is None:
        known = ", ".join(sorted(BENCH_BY_NAME))
        raise errors.Failure(
            UnknownBench(f"there is no bench {name!r}; known: {known}")
        )
    return bench
