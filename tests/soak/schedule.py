"""Draws the faults that a soak injects from its seed."""

import dataclasses
import enum
import random


class Fault(enum.Enum):
    """A fault of a process, a proxied link, a disk or the server list."""

    STOP_ENTRY = "stop_entry"
    KILL_ENTRY = "kill_entry"
    PAUSE_ENTRY = "pause_entry"
    STOP_CONTROL = "stop_control"
    KILL_CONTROL = "kill_control"
    PAUSE_CONTROL = "pause_control"
    KILL_ALL_CONTROL = "kill_all_control"
    WIPE_CONTROL = "wipe_control"
    RESET_LINK = "reset_link"
    SILENCE_ANSWERS = "silence_answers"
    SILENCE_BOTH = "silence_both"
    SLOW_LINK = "slow_link"
    REFUSE_LINK = "refuse_link"
    LOSE_ZONE = "lose_zone"
    UNLIST = "unlist"


# At most one of these in a soak: the deployment tolerates one lost disk, but
# not a second one before the first replica is replaced.
AT_MOST_ONCE = frozenset({Fault.WIPE_CONTROL, Fault.KILL_ALL_CONTROL})


@dataclasses.dataclass(frozen=True)
class ScheduledFault:
    """A fault of the numbered target from `at_s` on, for `duration_s`."""

    at_s: float
    fault: Fault
    target: int
    duration_s: float


@dataclasses.dataclass(frozen=True)
class ScheduledRest:
    """The numbered server asks for pauses from `at_s` on."""

    at_s: float
    server: int
    duration_s: float


@dataclasses.dataclass(frozen=True)
class Replacement:
    """The numbered node is stopped or killed, and starts with a build.

    With `is_new_machine`, it starts at a new address, with an empty disk.
    """

    node: int
    is_new_build: bool
    is_killed: bool
    wait_s: float
    is_new_machine: bool = False


def draw_rests(seed: int, length_s: float) -> list[ScheduledRest]:
    """Return when servers ask for pauses, in order; they may overlap."""
    rng = random.Random(seed + 3)
    rests: list[ScheduledRest] = []
    at_s = rng.uniform(0.5, 1.5)
    while at_s < length_s:
        rests.append(
            ScheduledRest(at_s, rng.randrange(60), rng.uniform(0.5, 3.0))
        )
        at_s += rng.uniform(0.2, 2.0)
    return rests


@dataclasses.dataclass(frozen=True)
class ScheduledStop:
    """Servers, by number, that are stopped by a signal from `at_s` on."""

    at_s: float
    servers: tuple[int, ...]
    duration_s: float


def draw_stops(
    seed: int, length_s: float, servers: int
) -> list[ScheduledStop]:
    """Return when servers are stopped for about a second, one by one or all.

    A server is not stopped again before it has gone on.
    """
    rng = random.Random(seed + 7)
    stops: list[ScheduledStop] = []
    at_s = rng.uniform(0.2, 1.0)
    while at_s < length_s:
        count = rng.choice([1, servers // 2, servers])
        chosen = tuple(rng.sample(range(servers), count))
        stop = ScheduledStop(at_s, chosen, rng.uniform(0.5, 1.4))
        stops.append(stop)
        at_s += stop.duration_s + rng.uniform(0.3, 1.5)
    return stops


@dataclasses.dataclass(frozen=True)
class ScheduledRestart:
    """The numbered server is killed at `at_s`, and back under a new id.

    The list shows its former id for `lag_s` more.
    """

    at_s: float
    server: int
    lag_s: float


def draw_restarts(
    seed: int, length_s: float, servers: int
) -> list[ScheduledRestart]:
    """Return when servers restart, in order; some soon after each other."""
    rng = random.Random(seed + 9)
    restarts: list[ScheduledRestart] = []
    at_s = rng.uniform(0.2, 1.0)
    while at_s < length_s:
        restarts.append(
            ScheduledRestart(
                at_s, rng.randrange(servers), rng.uniform(1.0, 3.0)
            )
        )
        at_s += rng.uniform(0.3, 1.5)
    return restarts


@dataclasses.dataclass(frozen=True)
class ScheduledFullDisk:
    """The disk of the numbered replica refuses writes from `at_s` on."""

    at_s: float
    replica: int
    duration_s: float


def draw_full_disks(
    seed: int, length_s: float, replicas: int
) -> list[ScheduledFullDisk]:
    """Return which disks are full and when, never two at once."""
    rng = random.Random(seed + 8)
    disks: list[ScheduledFullDisk] = []
    at_s = rng.uniform(0.2, 1.0)
    while at_s < length_s:
        disk = ScheduledFullDisk(
            at_s, rng.randrange(replicas), rng.uniform(0.3, 1.5)
        )
        disks.append(disk)
        at_s += disk.duration_s + rng.uniform(0.5, 1.5)
    return disks


def draw_update(
    seed: int, controls: int, nodes: int, new_machines: bool = False
) -> list[Replacement]:
    """Return how all nodes get a new build, the first being `controls`.

    Control replicas or the others may come first, or both are mixed. Some
    updates are taken back half-way before they are completed. With
    `new_machines`, most nodes are replaced by new machines.
    """
    rng = random.Random(seed + 4)
    machine_rng = random.Random(seed + 5)
    order = list(range(nodes))
    rng.shuffle(order)
    control_first = rng.choice([True, False, None])
    if control_first is not None:
        order.sort(key=lambda node: (node < controls) is not control_first)
    steps = [(node, True) for node in order]
    if rng.random() < 0.4:
        half = steps[: nodes // 2]
        steps = [*half, *((node, False) for node, _ in half), *steps]
    return [
        Replacement(
            node,
            is_new,
            rng.random() < 0.3,
            rng.uniform(0.2, 1.0),
            new_machines and machine_rng.random() < 0.7,
        )
        for node, is_new in steps
    ]


def draw_faults(seed: int, length_s: float) -> list[ScheduledFault]:
    """Return the faults of a seed in order; they may overlap and repeat."""
    rng = random.Random(seed)
    events: list[ScheduledFault] = []
    at_s = rng.uniform(0.2, 0.8)
    while at_s < length_s:
        fault = rng.choice(list(Fault))
        if fault in AT_MOST_ONCE and any(
            event.fault in AT_MOST_ONCE for event in events
        ):
            continue
        duration_s = rng.uniform(0.2, 2.0)
        events.append(
            ScheduledFault(at_s, fault, rng.randrange(60), duration_s)
        )
        at_s += rng.choice([0.02, rng.uniform(0.1, 1.2)])
    return events
