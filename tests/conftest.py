"""Hypothesis settings and fixtures shared by the tests."""

import hypothesis
import pytest

from oriolejunction import demonstration
from oriolejunction import invariants
from oriolejunction import local_deployment
from tests import event_loops
from tests import known_red

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("ci")


def pytest_collection_modifyitems(config, items):
    """Pass over the tests that KNOWN-RED.txt lists, and name them."""
    listed = known_red.listed_tests(known_red.PATH.read_text())
    red = [i for i in items if known_red.is_listed(i.nodeid, listed)]
    if red and not config.getoption("--known-red"):
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item not in red]
        for item in red:
            print(f"known red, not run: {item.nodeid}")


def pytest_addoption(parser):
    """Add the option that runs the tests listed in KNOWN-RED.txt too."""
    parser.addoption("--known-red", action="store_true")


def pytest_asyncio_loop_factories(config, item):
    """Offer event loops; a test that marks none gets the system's."""
    mark = item.get_closest_marker("asyncio")
    if mark is not None and "loop_factories" in mark.kwargs:
        return event_loops.FACTORIES
    return {"system": event_loops.FACTORIES["system"]}


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
