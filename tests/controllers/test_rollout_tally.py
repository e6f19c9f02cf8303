"""Sums over counts of rollouts, and which orders a replica may tell."""

import math

import pytest

from oriolejunction import commands
from oriolejunction.controllers import rollout_allowances
from oriolejunction.controllers import rollout_book
from oriolejunction.controllers import rollout_orders
from oriolejunction.controllers import rollout_tally
from oriolejunction.controllers import rollout_verdict
from oriolejunction.controllers import rollout_windows
from oriolejunction import fleet_messages as fm
from oriolejunction import node_settings
from oriolejunction import states

KEY = ("desk", 1)
ANSWER = states.RolloutMeasure.ANSWER


def report(number, sent, boot="b", instance="a", software="v2", ended=0):
    row = fm.RolloutCount(
        "desk", 1, software, "r", ANSWER, sent, ended, 0, (0, ended)
    )
    return fm.EntryReport(instance, boot, number, rollout_counts=(row,))


def tally_of(*reports):
    tally = rollout_tally.RolloutTally()
    for now_ms, each in enumerate(reports):
        tally.put(each, float(now_ms))
    return tally


def sent(tally, software="v2"):
    return tally.sums(KEY)[software]["r"].sent


def test_repeated_and_older_reports_add_nothing():
    """Fault: relayed copies of a report were counted twice."""
    tally = tally_of(report(2, 5), report(2, 5), report(1, 3), report(3, 6))
    assert sent(tally) == 6
    assert tally.sums(KEY)["v2"]["r"].latencies == {ANSWER: [0, 0]}


def test_counts_of_a_former_incarnation_stay():
    """Fault: requests of a restarted instance vanished from the exposure.

    A late report of the former one doesn't make it the newest again.
    """
    tally = tally_of(
        report(1, 5), report(1, 2, "c"), report(2, 7, "b", ended=4)
    )
    assert sent(tally) == 9
    (newest,) = tally.instances(KEY)
    assert (newest.boot, newest.sent_by_software) == ("c", {"v2": 2})


def test_thousands_of_routes_are_counted_as_some_hundreds():
    """Fault: the comparison delayed the leader's heartbeats by a second."""
    rows = tuple(
        fm.RolloutCount("desk", 1, "v2", f"r{n}", ANSWER, 1)
        for n in range(3_000)
    )
    tally = tally_of(fm.EntryReport("a", "b", 1, rollout_counts=rows))
    sums = tally.sums(KEY)["v2"]
    assert len(sums) == rollout_tally.MAX_ROUTES + 1
    assert sum(each.sent for each in sums.values()) == 3_000


def test_counts_of_ended_rollouts_are_dropped():
    tally = tally_of(report(1, 5))
    tally.keep_only({KEY}, 1e9)
    assert sent(tally) == 5
    tally.keep_only(set(), 1e9)
    assert tally.sums(KEY) == {}
    assert list(tally.instances(KEY)) == []


def test_difference_of_windows_has_only_what_was_counted_since():
    history = rollout_windows.WindowHistory()
    tally = tally_of(report(1, 5, ended=4), report(1, 9, software="v1"))
    window = rollout_windows.pair_counts(tally.sums(KEY), "v2")
    history.record(window, 0.0)
    tally.put(report(2, 8, ended=6), 2_000.0)
    window = rollout_windows.pair_counts(tally.sums(KEY), "v2")
    since = history.since(window, 100.0)["r"]
    assert (since.target.sent, since.target.ended, since.old.sent) == (3, 2, 0)
    assert since.target.latencies == {ANSWER: [0, 2]}
    assert history.since(window, -1.0) is None


@pytest.mark.parametrize("count", [1, 9, 40])
def test_tail_of_the_beta_binomial_distribution(count):
    all_bad = math.prod((0.5 + i) / (5.0 + i) for i in range(count))
    no_bad = math.prod((4.5 + i) / (5.0 + i) for i in range(count))
    tail = rollout_verdict.beta_binomial_tail
    assert tail(count, count, 0.5, 4.5) == pytest.approx(all_bad)
    assert tail(1, count, 0.5, 4.5) == pytest.approx(1.0 - no_bad)
    assert tail(0, count, 0.5, 4.5) == pytest.approx(1.0)


def test_limit_is_below_the_bound_from_the_first_request():
    bounds = node_settings.RolloutBounds(
        exposure_share=0.1, exposure_tolerance=50, rollback_ms=5_000
    )
    limit = rollout_allowances.limit
    assert limit(bounds, 0, 0.0) == 17
    assert limit(bounds, 1_000, 2.0) == 105
    # A tenth of the time shows whether a service gets few requests.
    assert limit(bounds, 10, 0.1) == 35
    assert limit(bounds, 11, 0.1) == 20


def test_replica_knows_orders_only_up_to_its_list():
    """Fault: an instance got a new version's servers before its order."""
    origin = rollout_orders.ListingOrigin()
    assert not origin.is_known(10**9)
    origin.note_relayed("d1", 7)
    assert [origin.is_known(index) for index in (6, 7)] == [False, True]
    origin.note_relayed("d1", 9)
    assert origin.is_known(7)
    origin.note_relayed("d2", 9)
    assert not origin.is_known(8)
    origin.note_relayed("d3", -1)
    assert not origin.is_known(10**9)


def test_list_read_without_leading_says_nothing_about_orders():
    origin = rollout_orders.ListingOrigin()
    origin.note_read("d1", 5, True, 1_000.0)
    assert origin.is_known(5)
    # A majority must have been reached after the new list was read.
    assert origin.contact_needed_ms(1_040.0, 500.0) == 40.0
    assert origin.contact_needed_ms(9_000.0, 500.0) == 500.0
    origin.note_read("d2", 5, False, 2_000.0)
    assert not origin.is_known(10**9)
    origin.note_relayed("d2", 6)
    assert origin.is_known(6)


def test_allowance_is_for_one_incarnation_and_phase():
    """Fault: a restarted instance used its allowance twice."""
    book = rollout_book.RolloutBook()
    grants = (commands.ExposureGrant("a", "boot-1", 4),)
    for command in (
        commands.BeginRollout("desk", "v2", 9_000.0, 0),
        commands.GrantExposure("desk", 1, 10, grants),
    ):
        rollout_book.apply_rollout(book, command)

    def allowance(boot):
        (order,) = rollout_orders.orders_for(book, "a", boot, 2_000.0)
        return order.allowance

    assert [allowance(boot) for boot in ("boot-1", "boot-2", "")] == [4, 0, 0]
    for phase, expected in (
        (states.RolloutPhase.MOVING, rollout_orders.UNLIMITED),
        (states.RolloutPhase.REVERTED, 0),
    ):
        rollout_book.apply_rollout(
            book, commands.MoveRollout("desk", 1, phase, "", "")
        )
        assert allowance("boot-1") == expected
