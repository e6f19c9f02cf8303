"""The capacity model fits lines and finds the size that uses up a budget."""

import hypothesis
from hypothesis import strategies
import pytest

from bench import capacity_model as model

numbers = strategies.floats(0.1, 1e3)


@hypothesis.given(numbers, numbers)
def test_fit_finds_the_line(per_unit, at_zero):
    points = [(size, at_zero + per_unit * size) for size in (1, 2, 4, 8)]
    slope = model.fit(points)
    assert slope.at(100) == pytest.approx(at_zero + per_unit * 100)
    budget = at_zero + per_unit * 50
    assert slope.max_size(budget) == pytest.approx(50)


def test_row_reports_an_exceeded_budget():
    slope = model.Slope(per_unit=2.0, at_zero=1.0)
    row = model.budget_row("role", "cpu", "nodes", slope, 10, 11.0)
    assert not row.within
    assert row.breaks_at == 5.0


def test_flat_line_never_uses_up_the_budget():
    assert model.Slope(0.0, 1.0).max_size(2.0) is None
