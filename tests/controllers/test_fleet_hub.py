"""Each entry instance learns the sums of the others."""

import hypothesis
from hypothesis import strategies as st

from oriolejunction import clock as clocks
from oriolejunction.controllers import fleet_hub
from oriolejunction import fleet_messages as fm
from oriolejunction import ids


def share(instance, number, streams=1, boot="b"):
    return fm.EntryShare(
        ids.InstanceId(instance),
        boot,
        number,
        loads=(fm.BackendLoad(ids.BackendId("e1"), streams, 10, 5),),
        suspects=(ids.BackendId(f"s{instance}"),),
        crashes=(fm.CrashNote(ids.Fingerprint("f"), 1),),
        speeds=(fm.EngineSpeed(ids.BackendId("e1"), 30.0, 120.0),),
    )


def test_own_share_is_left_out():
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    for name in "abc":
        hub.put(share(name, 1), direct=True)
    (load,) = hub.loads_without(ids.InstanceId("a"))
    assert (load.streams, load.kv_tokens, load.prefill_tokens) == (2, 20, 10)
    assert hub.suspects_without(ids.InstanceId("a")) == ("sb", "sc")
    assert hub.crashes_without(ids.InstanceId("a"))[0].crashes == 2
    assert hub.speeds_without(ids.InstanceId("a"))[0].event_ms == 30.0
    assert hub.entries() == 3


def test_late_share_does_not_replace_a_newer_one():
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    hub.put(share("a", 2, streams=7), direct=True)
    assert not hub.put(share("a", 1, streams=1), direct=False)
    (load,) = hub.loads_without(ids.InstanceId("b"))
    assert load.streams == 7


def test_restarted_instance_counts_from_one_again():
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    hub.put(share("a", 9, streams=7), direct=True)
    assert hub.put(share("a", 1, streams=1, boot="c"), direct=True)
    (load,) = hub.loads_without(ids.InstanceId("b"))
    assert load.streams == 1


def test_silent_instance_is_forgotten():
    clock = clocks.ManualClock()
    hub = fleet_hub.FleetHub(clock)
    hub.put(share("a", 1), direct=True)
    number = hub.change_number
    clock.advance(fleet_hub.SHARE_LIFE_MS + 1)
    assert hub.loads_without(ids.InstanceId("b")) == ()
    assert hub.change_number > number


def test_only_direct_shares_are_handed_on():
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    hub.put(share("a", 1), direct=True)
    hub.put(share("b", 1), direct=False)
    assert [s.instance for s in hub.take_direct()] == ["a"]
    assert hub.take_direct() == ()


@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(1, 9), st.booleans())
    )
)
def test_sums_are_of_the_newest_shares(puts):
    hub = fleet_hub.FleetHub(clocks.ManualClock())
    newest = {}
    for name, number, direct in puts:
        hub.put(share(name, number, streams=number), direct)
        newest[name] = max(newest.get(name, 0), number)
    total = sum(load.streams for load in hub.loads_without("nobody"))
    assert total == sum(newest.values())
