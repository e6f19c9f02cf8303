"""Hypothesis settings and fixtures shared by the tests."""

import hypothesis
import pytest

from oriolejunction import demonstration
from oriolejunction import invariants
from oriolejunction import local_deployment

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("ci")


@pytest.fixture
async def deployment():
    """Run a local deployment with the sample configuration in force."""
    async with local_deployment.run_deployment() as running:
        await demonstration.apply_sample_config(running)
        yield running


@pytest.fixture(autouse=True)
def no_violations():
    """Fail each test during which an invariant was violated."""
    invariants.violations_by_name.clear()
    yield
    assert invariants.violations_by_name == {}
