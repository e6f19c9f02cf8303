"""Run several benches in sequence and write a report of their results."""

import asyncio
import collections.abc
import pathlib
import sys

from oriolejunction.bench import catalogue
from oriolejunction.bench import report
from oriolejunction.bench import result


def run(
    bench_by_name: collections.abc.Mapping[str, catalogue.Bench],
    options: result.BenchOptions,
    folder: str | None,
) -> int:
    """Run all benches; return the number of violations.

    Each result is printed as a line of JSON; progress goes to standard
    error. With a folder, the report is written there.
    """
    results = []
    for number, (name, bench) in enumerate(bench_by_name.items(), 1):
        progress = f"{name} ({number} of {len(bench_by_name)})"
        print(f"running {progress}", file=sys.stderr, flush=True)
        results.append(asyncio.run(bench(options)))
        print(results[-1].json(), flush=True)
    if folder is not None:
        page = report.write(results, pathlib.Path(folder))
        print(f"report: {page}", file=sys.stderr)
    return sum(outcome.violations for outcome in results)
