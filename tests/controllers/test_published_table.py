"""The highest version wins, and no version is ever reverted."""

import hypothesis
from hypothesis import strategies as st

from oriolejunction import commands
from oriolejunction.controllers import control_state
from oriolejunction import routing_table

COMMANDS = st.lists(
    st.tuples(st.integers(0, 6), st.sampled_from("abc")), max_size=20
)


def publish(state, version, content):
    return control_state.apply(
        state,
        commands.PublishTable(
            routing_table.TableVersion(version), content.encode(), content
        ),
    )


@hypothesis.given(COMMANDS)
def test_table_in_force_is_the_first_content_of_the_highest_version(published):
    state = control_state.ControlState()
    newest = (-1, "")
    for version, content in published:
        result = publish(state, version, content)
        if version > newest[0]:
            newest = (version, content)
        assert state.table.version == newest[0]
        assert state.table.document == newest[1].encode()
        refused = isinstance(result, commands.TableRefused)
        assert refused == (version == newest[0] and content != newest[1])


def test_acknowledged_change_is_acknowledged_again():
    state = control_state.ControlState()
    publish(state, 3, "a")
    assert isinstance(publish(state, 3, "a"), commands.TablePublished)
    assert isinstance(publish(state, 2, "b"), commands.TablePublished)
    assert state.table.document == b"a"


def test_table_survives_a_snapshot():
    state = control_state.ControlState()
    publish(state, 3, "a")
    restored = control_state.load(control_state.dump(state))
    assert restored.table == state.table
