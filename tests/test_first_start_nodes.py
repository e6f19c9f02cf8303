"""Control replicas that start again before their group is formed."""

import pytest

from tests import test_fleet_nodes


@pytest.fixture
async def fleet(tmp_path, monkeypatch):
    """Return a fleet whose control replicas are started by the test."""
    running = test_fleet_nodes.Fleet(tmp_path)
    with monkeypatch.context() as patched:

        async def start_none(number):
            """Leave the control replica to the test."""

        patched.setattr(running, "start_control", start_none)
        await running.start()
    yield running
    await running.close()


async def test_first_listed_replica_started_again_forms_the_group(fleet):
    await fleet.start_control(0)
    await fleet.stop_control(0)
    await fleet.start_control(0, first_start=False)
    await fleet.start_control(1)
    await fleet.start_control(2)
    await fleet.publish_until_accepted(test_fleet_nodes.document(version=7))


async def test_all_replicas_started_again_form_the_group(fleet):
    for number in (1, 2):
        await fleet.start_control(number)
    for number in (1, 2):
        await fleet.stop_control(number)
    for number in range(3):
        await fleet.start_control(number, first_start=False)
    await fleet.publish_until_accepted(test_fleet_nodes.document(version=7))
