"""The command line of rollouts, against real control replicas."""

import pytest

from oriolejunction import errors
from oriolejunction import rollout_client
from oriolejunction import rollout_messages as rm
from oriolejunction import states
from tests import test_fleet_nodes as fleet_nodes
from tests import test_rollout_nodes

fleet = test_rollout_nodes.fleet
PEERS = [f"{ip}:{fleet_nodes.PEER_PORT}" for ip in fleet_nodes.SEEDS]


async def test_order_and_progress_through_any_replica(fleet):
    """Fault: a replica that doesn't lead refuses the command line."""
    numbers = [
        await rollout_client.begin([address], "llm", "v2", 12_000.0)
        for address in PEERS
    ]
    assert numbers == [1, 1, 1]
    with pytest.raises(errors.Failure) as caught:
        await rollout_client.begin(PEERS, "llm", "v3", 12_000.0)
    assert isinstance(caught.value.error, errors.RolloutConflict)
    with pytest.raises(errors.Failure) as caught:
        await rollout_client.begin(PEERS, "unknown", "v2", 12_000.0)
    assert "unknown service" in caught.value.error.message

    async def has_progress():
        return (await rollout_client.read(PEERS, "llm")).progress is not None

    await fleet.wait_until(has_progress)
    # The first address answers nothing.
    addresses = ["127.0.0.1:1", *PEERS]
    text = rollout_client.status_text(
        await rollout_client.read(addresses, "llm")
    )
    assert "rollout 1 of llm to v2: in_progress (observing)" in text
    assert "waits for: time of the move" in text


def test_progress_lists_each_route():
    routes = (rm.RouteProgress("r-1", 40, 1, 8, 2),)
    status = rm.RolloutStatus(
        "llm",
        3,
        "v2",
        states.RolloutState.IN_PROGRESS,
        states.RolloutPhase.OBSERVING,
        4_200.0,
        12_000.0,
        "",
        "",
        rm.Progress("suspect", "time", 3, 90, 9, 12, 20, 4, routes),
    )
    lines = rollout_client.status_text(status).splitlines()
    assert "4.2 s of 12 s, verdict suspect" in lines[1]
    assert "9 of 90 requests went to the target" in lines[2]
    assert lines[-1].split() == ["r-1", "40", "1", "8", "2"]


@pytest.mark.parametrize(
    ("text", "expected"),
    [("12s", 12_000.0), ("500ms", 500.0), ("2m", 120_000.0), ("7", 7_000.0)],
)
def test_times_with_units(text, expected):
    assert rollout_client.parse_duration_ms(text) == expected


@pytest.mark.parametrize("text", ["", "0s", "-1s", "12 parsecs", "nan"])
def test_other_times_are_refused(text):
    with pytest.raises(errors.Failure):
        rollout_client.parse_duration_ms(text)
