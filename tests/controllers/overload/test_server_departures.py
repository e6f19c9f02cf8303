"""Which incarnations of servers are closed, in any order of arrival."""

import itertools

import msgspec
import pytest

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers import leaving_servers
from oriolejunction.controllers.overload import server_departures
from oriolejunction import fleet_messages as fm
from oriolejunction import ids

A = ids.BackendId("a")


def server(born):
    return backends.Backend(
        A, ids.ServiceName("s"), "1.1.1.1:1", ids.ZoneId("z"), born=born
    )


class Rig:
    """Departures on a manual clock, with what they can be told."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.clock.advance(10_000)
        self.departures = server_departures.ServerDepartures(self.clock)

    def list(self, *borns, age_ms=0.0):
        self.departures.observe_listed(
            backends.BackendSnapshot(
                {A: server(born) for born in borns},
                self.clock.now_ms() - age_ms,
            )
        )

    def tell(self, born, age_ms=100.0):
        self.departures.observe_reported([fm.LeavingServer(A, born, age_ms)])

    def answer(self, born, sent_ms=None):
        if sent_ms is None:
            sent_ms = self.clock.now_ms()
        self.departures.observe_answer(server(born), sent_ms, "answer")

    @property
    def is_open(self):
        return not self.departures.has_left(A)


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))))
def test_new_incarnation_is_open_in_any_order_of_arrival(order):
    """Fault: what was said of the former incarnation closed the new one."""
    rig = Rig()
    sent_ms = rig.clock.now_ms()
    rig.list(1)
    rig.clock.advance(10)
    steps = (
        lambda: rig.list(1),
        lambda: rig.list(2),
        lambda: rig.tell(1),
        lambda: rig.answer(1, sent_ms),
    )
    for index in order:
        rig.clock.advance(10)
        steps[index]()
    # A list that shows the new one at last.
    rig.list(2)
    assert rig.is_open
    rig.tell(2)
    assert not rig.is_open


@pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
def test_older_list_or_report_does_not_open_a_server(order):
    rig = Rig()
    rig.list(2)
    rig.answer(2)
    steps = (
        lambda: rig.list(1),
        lambda: rig.list(),
        lambda: rig.tell(1),
    )
    for index in order:
        rig.clock.advance(500)
        steps[index]()
        rig.list(2)
        assert not rig.is_open


def test_departure_of_an_unknown_incarnation_stays_with_it():
    """Load: control replicas of an earlier version relay no births."""
    rig = Rig()
    rig.list(0)
    rig.answer(0)
    rig.list(3, age_ms=50)
    assert not rig.is_open
    rig.list(4)
    assert rig.is_open


def test_late_answer_of_the_former_incarnation_closes_nothing():
    """Load: the answer's request was sent before the server started again."""
    rig = Rig()
    rig.list(1)
    sent_ms = rig.clock.now_ms()
    rig.clock.advance(200)
    rig.list(2)
    rig.answer(1, sent_ms)
    assert rig.is_open
    # The list of this choice was older, the answer is of the new one.
    rig.answer(1)
    assert not rig.is_open


def test_answer_from_the_former_address_closes_nothing():
    """Load: a choice made by the former list is sent after the new one."""
    rig = Rig()
    rig.list(1)
    former = msgspec.structs.replace(server(1), address="2.2.2.2:2")
    rig.list(2)
    rig.departures.observe_answer(former, rig.clock.now_ms(), "answer")
    assert rig.is_open


def test_departure_is_told_while_the_server_is_listed_and_then_dropped():
    rig = Rig()
    rig.list(1)
    rig.tell(1)
    assert [each.born for each in rig.departures.to_report()] == [1]
    rig.list()
    assert rig.departures.to_report() == ()
    rig.clock.advance(server_departures.KEPT_UNLISTED_MS - 1)
    rig.list()
    assert not rig.is_open
    rig.clock.advance(2)
    rig.list()
    assert rig.is_open


def test_control_replicas_keep_it_when_its_instance_is_lost():
    """Load: all entry instances are killed while servers leave."""
    clock = clocks.ManualClock()
    servers = leaving_servers.LeavingServers(clock)
    assert servers.put([fm.LeavingServer(A, 2, 100)])
    assert not servers.put([fm.LeavingServer(A, 2, 50)])
    assert not servers.put([fm.LeavingServer(A, 1, 900)])
    clock.advance(leaving_servers.KEPT_MS)
    assert servers.all() == (
        fm.LeavingServer(A, 2, 100 + leaving_servers.KEPT_MS),
    )
    clock.advance(1)
    assert servers.all() == ()
