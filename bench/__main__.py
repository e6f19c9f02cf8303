"""Run a bench of real processes: ``python -m bench NAME --seed N``."""

import asyncio
import sys

import fire

from bench import catalogue
from oriolejunction.bench import result
from oriolejunction import errors
from oriolejunction import logs


def run(name: str, seed: int = 1, seconds: float = 20.0, json: bool = True):
    """Run one bench and print its result as JSON."""
    logs.configure("error")
    options = result.BenchOptions(seed=seed, seconds=seconds)
    outcome = asyncio.run(catalogue.bench_of(name)(options))
    print(outcome.json())
    sys.exit(1 if outcome.violations else 0)


if __name__ == "__main__":
    try:
        fire.Fire(run, name="bench")
    except errors.Failure as failure:
        sys.exit(failure.error.message)
