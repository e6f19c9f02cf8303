"""Plots of bench results, by ``matplotlib``."""

import collections.abc
import pathlib

from matplotlib import figure as figures

from oriolejunction.bench import result

SIZE_INCHES = (9.0, 4.5)
RESUME_BOUND_MS = 3_000
RESUME_FIGURE = "resume_p99_ms"
EXTRA_FIGURE = "extra_tokens_per_useful_token"
EXPOSURE_FIGURE = "exposure_part_worst"
EXPOSURE_AIM = 0.7
MAX_PANELS = 6

Groups = dict[str, dict[str, float]]


def draw(
    outcome: result.BenchResult, folder: pathlib.Path
) -> pathlib.Path | None:
    """Draw the plot of a result; return its path, or None if there is none."""
    figure = _figure_of(outcome)
    if figure is None:
        return None
    path = folder / f"{outcome.name}.png"
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    return path


def _figure_of(outcome: result.BenchResult) -> figures.Figure | None:
    if outcome.name == "resume":
        return _resume(numeric_groups(outcome.figures))
    if outcome.name == "capacity":
        return _capacity(outcome.figures)
    if outcome.name == "rollout":
        return _rollout(numeric_groups(outcome.figures))
    groups = numeric_groups(outcome.figures)
    if groups:
        return _panels(groups)
    return _single_bars(_numbers(outcome.figures))


def numeric_groups(nested: dict[str, object], prefix: str = "") -> Groups:
    """Return the numbers of each nested group, by the group's dotted name."""
    groups: Groups = {}
    for name, value in nested.items():
        if not isinstance(value, dict):
            continue
        full_name = f"{prefix}.{name}" if prefix else name
        numbers = _numbers(value)
        if numbers:
            groups[full_name] = numbers
        groups.update(numeric_groups(value, full_name))
    return groups


def _numbers(nested: dict[str, object]) -> dict[str, float]:
    return {
        name: float(value)
        for name, value in nested.items()
        if isinstance(value, (int, float)) and not isinstance(value, bool)
    }


def _resume(groups: Groups) -> figures.Figure | None:
    points = {
        name: numbers
        for name, numbers in groups.items()
        if RESUME_FIGURE in numbers and EXTRA_FIGURE in numbers
    }
    if not points:
        return _panels(groups)
    figure = figures.Figure(figsize=SIZE_INCHES)
    axes = figure.subplots()
    for name, numbers in points.items():
        point = (numbers[EXTRA_FIGURE], numbers[RESUME_FIGURE])
        axes.scatter(*point, label=name)
        axes.annotate(name, point, xytext=(4, 4), textcoords="offset points")
    axes.axhline(RESUME_BOUND_MS, linestyle="--", color="grey")
    axes.set_xlabel("extra tokens computed per useful token")
    axes.set_ylabel("resume latency, 99th percentile (ms)")
    return figure


def _panels(groups: Groups) -> figures.Figure | None:
    shared = _shared_names(groups)
    if not shared:
        return None
    figure = figures.Figure(figsize=SIZE_INCHES)
    panels = figure.subplots(1, len(shared), squeeze=False)
    for axes, name in zip(panels[0], shared):
        value_by_group = {
            group: numbers[name]
            for group, numbers in groups.items()
            if name in numbers
        }
        axes.bar(list(value_by_group), list(value_by_group.values()))
        axes.set_title(name, fontsize=8)
        axes.tick_params(axis="x", rotation=70, labelsize=7)
    return figure


def _shared_names(groups: Groups) -> list[str]:
    names: dict[str, int] = {}
    for numbers in groups.values():
        for name in numbers:
            names[name] = names.get(name, 0) + 1
    return [name for name, count in names.items() if count > 1][:MAX_PANELS]


def _single_bars(numbers: dict[str, float]) -> figures.Figure | None:
    shown = {
        name: value for name, value in numbers.items() if name.endswith("_ms")
    }
    if not shown:
        return None
    figure = figures.Figure(figsize=SIZE_INCHES)
    axes = figure.subplots()
    axes.barh(list(shown), list(shown.values()))
    axes.set_xlabel("ms")
    return figure


def _rollout(groups: Groups) -> figures.Figure:
    figure = figures.Figure(figsize=SIZE_INCHES)
    exposure, ends = figure.subplots(1, 2)
    bad = {
        name: numbers
        for name, numbers in groups.items()
        if EXPOSURE_FIGURE in numbers
    }
    exposure.bar(list(bad), [each[EXPOSURE_FIGURE] for each in bad.values()])
    exposure.axhline(EXPOSURE_AIM, linestyle="--", color="grey")
    exposure.set_ylabel("requests at the target, worst part of the bound")
    bottom = [0.0] * len(groups)
    for state in ("completed", "rolled_back", "in_progress"):
        parts = [
            numbers[state] / max(1.0, numbers["rollouts"])
            for numbers in groups.values()
        ]
        ends.bar(list(groups), parts, bottom=bottom, label=state)
        bottom = [low + part for low, part in zip(bottom, parts)]
    ends.set_ylabel("part of the rollouts")
    ends.legend(fontsize=7)
    for axes in (exposure, ends):
        axes.tick_params(axis="x", rotation=70, labelsize=7)
    return figure


def _capacity(outcome_figures: dict[str, object]) -> figures.Figure:
    families = (
        ("by_nodes", "leader", "lease holders of the control leader"),
        ("by_engines", "entry", "engines of an entry instance"),
        ("by_workspaces", "entry", "workspaces of an entry instance"),
    )
    figure = figures.Figure(figsize=SIZE_INCHES)
    panels = figure.subplots(1, len(families), squeeze=False)
    for axes, (family, role, label) in zip(panels[0], families):
        points: collections.abc.Sequence[dict] = outcome_figures[family]
        axes.plot(
            [point["size"] for point in points],
            [100 * point[role]["cpu_share"] for point in points],
            marker="o",
        )
        axes.set_xlabel(label, fontsize=8)
        axes.set_ylabel("% of a core")
        axes.set_ylim(bottom=0)
    return figure
