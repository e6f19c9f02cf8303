"""Listeners of changes, against lost or repeated notifications."""

from oriolejunction import listeners


def test_a_listener_that_left_gets_nothing_and_the_others_all():
    """One that leaves does not make the others miss a value."""
    changes = listeners.Changes()
    seen = []
    leave = changes.subscribe(lambda value: seen.append(("first", value)))
    changes.subscribe(lambda value: seen.append(("second", value)))
    changes.notify(1)
    leave()
    changes.notify(2)
    assert seen == [("first", 1), ("second", 1), ("second", 2)]


def test_a_listener_may_subscribe_another_while_it_is_called():
    """A subscription during a notification begins with the next value."""
    changes = listeners.Changes()
    seen = []
    changes.subscribe(
        lambda value: value == 1 and changes.subscribe(seen.append)
    )
    changes.notify(1)
    changes.notify(2)
    assert seen == [2]
