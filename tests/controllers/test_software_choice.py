"""A stream goes on at its own version, or at the only one there was."""

import pytest

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers import origin_retention
from oriolejunction.controllers import software_choice
from oriolejunction.controllers import software_history
from oriolejunction import fleet_messages as fm
from oriolejunction import states

ORIGIN = fm.StreamOrigin("a1", "v1", 3)
AMBIGUOUS = fm.StreamOrigin("a1", "v1", 3, ambiguous=True)
SOURCE = states.OriginSource


RETURN_MS = 50_000.0
SURE = {"by_majority": True}
FULL = {"covered_ms": RETURN_MS}


@pytest.mark.parametrize(
    ("own", "reply", "own_versions", "expected"),
    [
        (ORIGIN, None, {"v1", "v2"}, ("v1", 3, SOURCE.OWN)),
        (
            None,
            fm.OriginReply(ORIGIN, **SURE),
            {"v2"},
            ("v1", 3, SOURCE.CONTROL),
        ),
        (
            None,
            fm.OriginReply(None, ("v1",), **SURE, **FULL),
            {"v1"},
            ("v1", 0, SOURCE.SINGLE_VERSION),
        ),
        (
            None,
            fm.OriginReply(None, ("v1", "v2"), **SURE, **FULL),
            {"v1"},
            None,
        ),
        # The replicas that answer may be out of step with this instance.
        (None, fm.OriginReply(None, ("v1",), **FULL), {"v1"}, None),
        (None, None, {"v1", "v2"}, None),
        (None, None, set(), None),
        # An instance, or all replicas, that started again know no version
        # that left before.
        (None, None, {"v2"}, None),
        (None, fm.OriginReply(None, ("v2",), **SURE), {"v2"}, None),
        (None, fm.OriginReply(None, (), covered_ms=49_000.0), {"v2"}, None),
        # Servers without a version can't be told apart.
        (None, None, {""}, ("", 0, SOURCE.SINGLE_VERSION)),
        # A majority may have recorded a change that these replicas lack.
        (None, fm.OriginReply(ORIGIN), {"v1", "v2"}, None),
        (None, fm.OriginReply(ORIGIN), {"v1"}, None),
        # Two instances recorded different versions under one number.
        (AMBIGUOUS, None, {"v1"}, None),
        (None, fm.OriginReply(AMBIGUOUS, **SURE), {"v1"}, None),
    ],
)
def test_resumption(own, reply, own_versions, expected):
    choice = software_choice.choose_for_resumption(
        own, reply, own_versions, 0.0, RETURN_MS
    )
    software, number, source = expected or (None, 0, SOURCE.UNKNOWN)
    assert (choice.software, choice.number) == (software, number)
    assert source is choice.source


@pytest.mark.parametrize("is_answered", [True, False])
def test_instance_out_of_step_resumes_nothing_by_itself(is_answered):
    """Fault: engines of a new version had joined since it read the list."""
    reply = fm.OriginReply(by_majority=True) if is_answered else None
    choice = software_choice.choose_for_resumption(
        None, reply, {"v1"}, RETURN_MS, RETURN_MS
    )
    assert choice.software == ("v1" if is_answered else None)


def test_versions_are_complete_only_while_the_list_is_read():
    """Fault: versions that were listed during a gap were not known."""
    clock = clocks.ManualClock()
    clock.advance(1e6)
    retention = origin_retention.OriginRetention(clock)
    history = software_history.SoftwareHistory(clock, retention)
    assert history.covered_ms == 0.0
    history.observe((), float("-inf"))
    assert history.covered_ms == 0.0
    for _ in range(4):
        history.observe((), clock.now_ms())
        clock.advance(software_history.MAX_GAP_MS)
    assert history.covered_ms == 4 * software_history.MAX_GAP_MS
    # An older list that arrives late is no gap.
    history.observe((), clock.now_ms() - software_history.MAX_GAP_MS - 100)
    assert history.covered_ms == 4 * software_history.MAX_GAP_MS
    clock.advance(1)
    assert history.covered_ms == 0.0
    history.observe((), clock.now_ms())
    assert history.covered_ms == 0.0
    clock.advance(10)
    assert history.covered_ms == 10


def test_version_that_left_is_remembered_for_a_time():
    clock = clocks.ManualClock()
    retention = origin_retention.OriginRetention(clock)
    history = software_history.SoftwareHistory(clock, retention)

    def observe(after_ms, *versions):
        clock.advance(after_ms)
        history.observe(
            [
                backends.Backend(f"i-{v}", "llm", "a:1", "z", software=v)
                for v in versions
            ],
            clock.now_ms(),
        )

    observe(0.0, "v1")
    observe(90_000.0, "v1", "v2")
    observe(5_000.0, "v2")
    assert history.versions("llm") == {"v1", "v2"}
    assert history.versions("desk") == set()
    clock.advance(retention.kept_ms + 1)
    assert history.versions("llm") == {"v2"}


@pytest.mark.parametrize(
    "versions, expected", [(("v1",), "v1"), (("v1", "v2"), None)]
)
def test_versions_on_all_disks_tell_what_was_listed_before_a_restart(
    versions, expected
):
    """Load: all processes lose power while streams run."""
    reply = fm.OriginReply(None, versions, True, 0.0, lasting=True)
    choice = software_choice.choose_for_resumption(
        None, reply, {"v1"}, 0.0, RETURN_MS
    )
    assert choice.software == expected
