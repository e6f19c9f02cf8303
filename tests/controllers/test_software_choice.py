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
SOURCE = states.OriginSource


@pytest.mark.parametrize(
    ("own", "reply", "own_versions", "expected"),
    [
        (ORIGIN, None, {"v1", "v2"}, ("v1", 3, SOURCE.OWN)),
        (None, fm.OriginReply(ORIGIN), {"v2"}, ("v1", 3, SOURCE.CONTROL)),
        (None, None, {"v1"}, ("v1", 0, SOURCE.SINGLE_VERSION)),
        (None, fm.OriginReply(None, ("v1",)), {"v1"}, ("v1", 0, None)),
        (None, fm.OriginReply(None, ("v1", "v2")), {"v1"}, (None, 0, None)),
        (None, None, {"v1", "v2"}, (None, 0, SOURCE.UNKNOWN)),
        (None, None, set(), (None, 0, SOURCE.UNKNOWN)),
    ],
)
def test_resumption(own, reply, own_versions, expected):
    choice = software_choice.choose_for_resumption(own, reply, own_versions)
    software, number, source = expected
    assert (choice.software, choice.number) == (software, number)
    assert source in (None, choice.source)


def test_version_that_left_is_remembered_for_a_time():
    clock = clocks.ManualClock()
    retention = origin_retention.OriginRetention(clock)
    history = software_history.SoftwareHistory(clock, retention)

    def observe(after_ms, *versions):
        clock.advance(after_ms)
        history.observe(
            backends.Backend(f"i-{v}", "llm", "a:1", "z", software=v)
            for v in versions
        )

    observe(0.0, "v1")
    observe(90_000.0, "v1", "v2")
    observe(5_000.0, "v2")
    assert history.versions("llm") == {"v1", "v2"}
    assert history.versions("desk") == set()
    clock.advance(retention.kept_ms + 1)
    assert history.versions("llm") == {"v2"}
