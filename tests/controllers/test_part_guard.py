"""Parts of prompts that crash engines are blocked; sound ones are not."""

import random

from oriolejunction import clock as clocks
from oriolejunction.controllers import fleet_hub
from oriolejunction.controllers import loss_history
from oriolejunction.controllers import part_guard
from oriolejunction import fleet_messages as fm
from oriolejunction import fleet_view
from oriolejunction import ids
from oriolejunction import routing_table

FIRST, BAD, OTHER = (ids.PromptPart(p) for p in ("first", "bad", "other"))
ZONES = tuple(ids.ZoneId(f"z{n}") for n in range(3))


def engine(number):
    return ids.BackendId(f"e{number}")


class Instance:
    """A guard with the losses that its instance knows."""

    def __init__(self, clock, name="i0"):
        self.clock = clock
        self.name = ids.InstanceId(name)
        self.losses = loss_history.LossHistory(clock)
        self.guard = part_guard.PartGuard(
            clock, self.losses, random.Random(name)
        )
        self.reports = 0
        self.view = fleet_view.FleetView()

    def lose(self, number, *parts, zone=None, request=None):
        """Lose an engine beside a request with these parts."""
        zone = ZONES[number % 3] if zone is None else zone
        self.losses.record(engine(number), zone)
        if parts:
            self.guard.record_crash(
                parts, engine(number), ids.Fingerprint(request or f"r{number}")
            )

    def report(self):
        self.reports += 1
        return fm.EntryReport(
            self.name,
            "b",
            self.reports,
            part_crashes=self.guard.crashes(),
            cleared_parts=self.guard.cleared(),
            blocked_parts=self.guard.blocked(),
        )


def exchange(hub, *instances, rounds=2):
    """Let the instances report to a hub, and read its sums."""
    for _ in range(rounds):
        for each in instances:
            hub.put(each.report(), direct=True)
        for each in instances:
            update = hub.update_for(each.name, fm.NO_CHANGE_SEEN)
            reply = fm.WatchReply(
                fresh=True,
                seen=update.seen,
                boot="b",
                table_version=routing_table.TableVersion(1),
                entries=len(instances),
                part_crashes=update.part_crashes,
                cleared_parts=update.cleared_parts,
                blocked_parts=update.blocked_parts,
            )
            each.view = fleet_view.apply_reply(each.view, reply, 0.0)
            each.guard.update_reported(each.view)


def crash_often(instance, *parts, count=3, first=0, apart_ms=2_000.0):
    for number in range(first, first + count):
        instance.lose(number, *parts)
        instance.clock.advance(apart_ms)


def new_instance(name="i0"):
    return Instance(clocks.ManualClock(1_000.0), name)


def test_part_is_blocked_wherever_it_stands_in_a_prompt():
    """Load: it comes first, in the middle, or after other parts."""
    for parts in ((BAD, OTHER), (FIRST, BAD, OTHER), (FIRST, OTHER, BAD)):
        one = new_instance()
        one.guard.record_answer((FIRST, OTHER))
        crash_often(one, *parts)
        assert one.guard.is_blocked((BAD,))
        assert one.guard.is_blocked((ids.PromptPart("new"), BAD))
        assert not one.guard.is_blocked((FIRST, OTHER))


def test_requests_without_all_parts_of_the_crashes_are_sent():
    """Load: nothing has shown yet which of two parts is bad."""
    one = new_instance()
    crash_often(one, FIRST, BAD)
    assert one.guard.is_blocked((FIRST, BAD))
    assert not one.guard.is_blocked((FIRST, OTHER))
    crash_often(one, OTHER, BAD, first=5, count=1)
    assert one.guard.is_blocked((BAD,))
    assert not one.guard.is_blocked((FIRST, OTHER))


def test_answer_of_another_instance_clears_a_part():
    """Load: one instance only meets engines that are lost."""
    clock = clocks.ManualClock(1_000.0)
    hub = fleet_hub.FleetHub(clock)
    one, two = (Instance(clock, name) for name in ("i0", "i1"))
    crash_often(one, FIRST)
    exchange(hub, one, two)
    assert one.guard.is_blocked((FIRST,))
    assert two.guard.is_blocked((FIRST,))
    two.guard.record_answer((FIRST,))
    exchange(hub, one, two)
    assert not one.guard.is_blocked((FIRST,))
    assert not two.guard.is_blocked((FIRST,))
    clock.advance(part_guard.CLEARED_CRASH_TTL_MS)
    exchange(hub, one, two)
    assert not one.guard.is_blocked((FIRST,))
    assert one.guard.crashes() == ()


def test_crashes_seen_by_several_instances_block_a_part_at_all():
    clock = clocks.ManualClock(1_000.0)
    hub = fleet_hub.FleetHub(clock)
    fleet = [Instance(clock, f"i{n}") for n in range(4)]
    for number, each in enumerate(fleet[:3]):
        for other in fleet:
            other.lose(number)
        each.lose(number, FIRST, BAD)
        clock.advance(1_500.0)
    exchange(hub, *fleet)
    clock.advance(part_guard.JUDGE_DELAY_MS)
    assert all(each.guard.is_blocked((FIRST, BAD)) for each in fleet)


def test_block_outlives_the_instances_that_saw_the_crashes():
    """Load: instances are restarted one after the other."""
    clock = clocks.ManualClock(1_000.0)
    hub = fleet_hub.FleetHub(clock)
    one, two = (Instance(clock, name) for name in ("i0", "i1"))
    crash_often(one, BAD)
    exchange(hub, one, two)
    clock.advance(fleet_hub.REPORT_TTL_MS + 1)
    new = Instance(clock, "i2")
    exchange(hub, two, new)
    clock.advance(fleet_hub.REPORT_TTL_MS + 1)
    exchange(hub, new, Instance(clock, "i3"))
    assert new.guard.is_blocked((BAD,))


def test_engines_of_a_zone_that_crash_together_count_once():
    """Load: a zone is lost every few seconds, with a prompt on each engine."""
    one = new_instance()
    for wave in range(2):
        for number in range(4):
            one.lose(f"{wave}{number}", FIRST, zone=ZONES[0])
        one.clock.advance(6_000.0)
    assert not one.guard.is_blocked((FIRST,))


def test_crash_beside_engines_without_the_part_does_not_count():
    """Load: all engines of a zone are lost, some of them without a prompt."""
    one = new_instance()
    for wave in range(5):
        one.lose(f"{wave}0", zone=ZONES[0])
        one.lose(f"{wave}1", OTHER, zone=ZONES[0])
        one.clock.advance(6_000.0)
    assert not one.guard.is_blocked((OTHER,))


def test_crash_that_was_taken_back_does_not_count():
    one = new_instance()
    crash_often(one, BAD)
    one.guard.take_back((BAD,), engine(1), ids.Fingerprint("r1"))
    assert not one.guard.is_blocked((BAD,))


def test_part_that_is_answered_all_the_time_survives_the_loss_of_all():
    """Load: all engines crash at once while prompts share a part."""
    one = new_instance()
    one.guard.record_answer((FIRST,))
    for number in range(12):
        one.lose(number, FIRST)
    one.clock.advance(1_000.0)
    assert not one.guard.is_blocked((FIRST,))


def test_part_that_turns_bad_is_blocked():
    """Load: a part that was answered on begins to crash engines."""
    one = new_instance()
    one.guard.record_answer((FIRST,))
    crash_often(one, FIRST, count=9, apart_ms=450.0)
    assert one.guard.is_blocked((FIRST,))


def test_parts_of_one_request_that_crashes_engines_are_not_blocked():
    """Load: one request is sent again and again; others share its parts."""
    one = new_instance()
    for number in range(5):
        one.lose(number, FIRST, OTHER, request="same")
        one.clock.advance(2_000.0)
    assert not one.guard.is_blocked((FIRST, OTHER))
    one.lose(5, OTHER, request="another")
    one.clock.advance(2_000.0)
    assert one.guard.is_blocked((OTHER,))


def test_two_bad_parts_are_blocked_at_once():
    one = new_instance()
    second = ids.PromptPart("bad2")
    for number in range(6):
        one.lose(number, FIRST, BAD if number % 2 else second)
        one.clock.advance(400.0)
    one.clock.advance(1_000.0)
    assert one.guard.is_blocked((FIRST, BAD))
    assert one.guard.is_blocked((FIRST, second))


def test_block_lasts_as_long_as_requests_come():
    one = new_instance()
    crash_often(one, BAD)
    for _ in range(20):
        assert one.guard.is_blocked((BAD,))
        one.clock.advance(part_guard.BLOCK_MS / 2)
    one.clock.advance(part_guard.BLOCK_MS)
    assert one.guard.blocked() == ()


def test_few_probes_reach_engines_and_an_answer_unblocks():
    """Load: requests with a bad part come at all instances for minutes."""
    clock = clocks.ManualClock(1_000.0)
    hub = fleet_hub.FleetHub(clock)
    fleet = [Instance(clock, f"i{n}") for n in range(7)]
    crash_often(fleet[0], BAD, count=5)
    exchange(hub, *fleet)
    probes = 0
    for second in range(100):
        for each in fleet:
            if each.guard.take_probe((BAD,)):
                probes += 1
                each.lose(10 + probes, BAD)
        exchange(hub, *fleet, rounds=1)
        clock.advance(1_000.0)
    assert 1 <= probes <= 3
    fleet[3].guard.record_answer((BAD,))
    exchange(hub, *fleet)
    assert not any(each.guard.is_blocked((BAD,)) for each in fleet)


def test_memory_of_parts_is_bounded():
    """Load: every request has a part of its own."""
    one = new_instance()
    for number in range(3_000):
        part = ids.PromptPart(f"p{number}")
        one.lose(number, part)
        one.guard.record_answer((ids.PromptPart(f"q{number}"),))
    assert len(one.guard._own) <= part_guard.MAX_ACCUSED_PARTS
    assert len(one.guard._cleared_ms) <= part_guard.MAX_CLEARED_PARTS
    assert len(one.guard.crashes()) <= part_guard.MAX_REPORTED_CRASHES


def test_repeated_reports_change_nothing():
    """Load: a watch reply arrives twice, or is of an old state."""
    clock = clocks.ManualClock(1_000.0)
    hub = fleet_hub.FleetHub(clock)
    one, two = (Instance(clock, name) for name in ("i0", "i1"))
    crash_often(one, FIRST, BAD)
    exchange(hub, one, two, rounds=5)
    old = two.view
    two.guard.record_answer((FIRST,))
    two.guard.update_reported(old)
    assert two.guard.is_blocked((BAD,))
    assert not two.guard.is_blocked((FIRST,))
