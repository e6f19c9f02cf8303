"""Extrapolates measured costs to the target sizes and checks the budgets."""

import collections.abc
import dataclasses
import statistics

TARGET_NODES = 370
TARGET_ENGINES = 1_100
TARGET_WORKSPACES = 1_400
CHANGES_PER_DAY = 4_200
SECONDS_PER_DAY = 86_400
CPU_BUDGET = 0.019
MEMORY_BUDGET_MB = 256.0
BYTES_BUDGET_PER_S = 10_000.0


@dataclasses.dataclass(frozen=True)
class Slope:
    """A line fitted to measured points."""

    per_unit: float
    at_zero: float

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.at_zero + self.per_unit * size

    def max_size(self, budget: float) -> float | None:
        """Return the size that uses up a budget, None if no size does."""
        if self.per_unit <= 0:
            return None
        return max(0.0, (budget - self.at_zero) / self.per_unit)


def fit(points: collections.abc.Sequence[tuple[float, float]]) -> Slope:
    """Return the least-squares line through (size, value) points."""
    sizes, values = zip(*points)
    line = statistics.linear_regression(sizes, values)
    return Slope(line.slope, line.intercept)


@dataclasses.dataclass(frozen=True)
class BudgetRow:
    """One budget and the extrapolated cost at the target size.

    `breaks_at` is the size of `driver` that uses up the budget by itself,
    None if no size does.
    """

    role: str
    budget: str
    driver: str
    limit: float
    at_target: float
    breaks_at: float | None

    @property
    def within(self) -> bool:
        """Return whether the cost at the target size fits the budget."""
        return self.at_target <= self.limit


def budget_row(
    role: str,
    budget: str,
    driver: str,
    slope: Slope,
    size: float,
    limit: float,
) -> BudgetRow:
    """Return the row for a slope evaluated at the target size."""
    return BudgetRow(
        role=role,
        budget=budget,
        driver=driver,
        limit=limit,
        at_target=slope.at(size),
        breaks_at=slope.max_size(limit),
    )
