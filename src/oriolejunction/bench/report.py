"""Report of bench results: CSV tables, plots and an HTML page."""

import collections.abc
import csv
import html
import json
import pathlib

from oriolejunction.bench import result
from oriolejunction import errors

TITLE_BY_NAME = {
    "resume": "Resume latency against extra resources, by policy",
    "routing": "Time to first token and between tokens, by routing policy",
    "admission": "Other workspaces while one offers ten times its share",
    "poison": "Engines lost to a request that crashes them",
    "uneven-load": "Calls to a few plain servers, by what choices go by",
    "throughput": "Tokens a second of one process on one core",
    "config": "Time from accepting a change to in force everywhere",
    "config-spread": "Tables of many routes over thin links",
    "ledger": "Non-idempotent calls: rate and added latency",
    "fencing": "Orders to engines from two executors",
    "capacity": "Control cost against size, and the target's budgets",
    "soak": "Long randomised run",
    "soak-processes": "Long randomised run of real processes",
    "prompt-cache": "Placement without and with cached prompt parts",
    "rollout": "Exposure to bad versions, and time to complete, by kind",
    "raft": "Randomised run of the replicated log",
}
ORDER = tuple(TITLE_BY_NAME)


class ReportUnavailable(errors.ServingError):
    """The plotting library is not installed."""

    code = "report_unavailable"


def write(
    results: collections.abc.Sequence[result.BenchResult],
    folder: pathlib.Path,
) -> pathlib.Path:
    """Write CSV tables, PNG plots and an HTML page; return its path.

    Raise `Failure` with `ReportUnavailable` if ``matplotlib`` is missing.
    """
    try:
        from oriolejunction.bench import plots
    except ImportError as error:
        raise errors.Failure(ReportUnavailable(str(error)))
    folder.mkdir(parents=True, exist_ok=True)
    sections = []
    for outcome in sorted(results, key=lambda each: ORDER.index(each.name)):
        rows = list(flatten(outcome.figures))
        _write_csv(folder / f"{outcome.name}.csv", rows)
        image = plots.draw(outcome, folder)
        sections.append(_section(outcome, rows, image))
    page = folder / "index.html"
    page.write_text(_PAGE.format(body="\n".join(sections)))
    return page


def flatten(
    figures: object, prefix: str = ""
) -> collections.abc.Iterator[tuple[str, object]]:
    """Yield the dotted name and the value of each nested figure."""
    if isinstance(figures, dict):
        for name, value in figures.items():
            yield from flatten(
                value, f"{prefix}.{name}" if prefix else str(name)
            )
    elif isinstance(figures, (list, tuple)):
        for number, value in enumerate(figures):
            yield from flatten(value, f"{prefix}.{number}")
    else:
        yield prefix, figures


def _write_csv(
    path: pathlib.Path, rows: collections.abc.Iterable[tuple[str, object]]
) -> None:
    with path.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(("figure", "value"))
        writer.writerows(rows)


def _section(
    outcome: result.BenchResult,
    rows: collections.abc.Iterable[tuple[str, object]],
    image: pathlib.Path | None,
) -> str:
    title = html.escape(TITLE_BY_NAME[outcome.name])
    picture = f'<img src="{image.name}" alt="{title}">' if image else ""
    cells = "\n".join(
        f"<tr><td>{html.escape(name)}</td>"
        f"<td>{html.escape(_format_value(value))}</td></tr>"
        for name, value in rows
    )
    return (
        f"<h2>{title}</h2><p>bench {outcome.name}, seed {outcome.seed},"
        f" violations: {outcome.violations}</p>{picture}"
        f"<details><summary>All figures</summary><table>{cells}</table>"
        "</details>"
    )


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    return value if isinstance(value, str) else json.dumps(value)


_PAGE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>oriolejunction benches</title>
<style>
body {{ font-family: sans-serif; max-width: 60rem; margin: 2rem auto; }}
img {{ max-width: 100%; }}
td {{ padding: 0 1rem 0 0; font-variant-numeric: tabular-nums; }}
</style>
<h1>oriolejunction benches</h1>
{body}
</html>
"""
