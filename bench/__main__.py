"""Run benches with real processes: ``python -m bench NAME --seed N``.

The name ``all`` runs these and the benches of the installed package, and
writes one report.
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
    """Run the bench NAME, or all; write a report to the folder REPORT."""
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
