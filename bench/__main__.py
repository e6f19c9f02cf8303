"""Run benches of real processes: ``python -m bench NAME --seed N``.

``all`` runs these and the ones inside the binary, into one report.
"""

import sys

import fire

from bench import catalogue
from oriolejunction.bench import batch
from oriolejunction.bench import catalogue as shipped
from oriolejunction.bench import result
from oriolejunction import errors
from oriolejunction import logs


def run(
    name: str,
    seed: int = 1,
    seconds: float = 20.0,
    report: str | None = None,
    json: bool = True,
) -> None:
    """Run one bench, or all of them with a report in a folder."""
    logs.configure("error")
    selected = shipped.BENCH_BY_NAME | catalogue.BENCH_BY_NAME
    if name != "all":
        selected = {name: catalogue.get_bench(name)}
    options = result.BenchOptions(seed=seed, seconds=seconds)
    if batch.run(selected, options, report):
        sys.exit(1)


if __name__ == "__main__":
    try:
        fire.Fire(run, name="bench")
    except errors.Failure as failure:
        sys.exit(failure.error.message)
