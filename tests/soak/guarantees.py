"""Observations of a soak and the guarantees checked against them."""

import collections
import dataclasses
import itertools


@dataclasses.dataclass(frozen=True)
class Answer:
    """How one request ended; `status` is None if it got no answer.

    `undisturbed` means that the entry instance was neither killed nor paused
    while the request was in progress.
    """

    request_id: str
    kind: str
    status: int | None
    body: bytes
    not_run: bool
    undisturbed: bool


@dataclasses.dataclass(frozen=True)
class Read:
    """A document that was read, with the start and end time of the read."""

    began_s: float
    ended_s: float
    version: int
    content: str


@dataclasses.dataclass(frozen=True)
class Sender:
    """The start of an entry instance that was sent a request."""

    name: str
    boot: int


@dataclasses.dataclass(frozen=True)
class Pause:
    """A server asked an instance for a pause at `at_s`, until `until_s`."""

    at_s: float
    until_s: float
    server: str
    sender: Sender


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request of an instance reached a server."""

    at_s: float
    server: str
    sender: Sender


@dataclasses.dataclass(frozen=True)
class StreamRun:
    """An engine worked on a stream, or on the rest of one."""

    request_id: str
    server: str
    began_s: float
    ended_s: float


@dataclasses.dataclass
class Observations:
    """Everything that was observed while a soak ran."""

    runs_by_id: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    answers: list[Answer] = dataclasses.field(default_factory=list)
    reads: list[Read] = dataclasses.field(default_factory=list)
    acknowledged: list[tuple[float, int]] = dataclasses.field(
        default_factory=list
    )
    failures: list[str] = dataclasses.field(default_factory=list)
    sender_by_id: dict[str, Sender] = dataclasses.field(default_factory=dict)
    pauses: list[Pause] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    stream_runs: list[StreamRun] = dataclasses.field(default_factory=list)
    # Starts of instances that were killed or paused.
    disturbed: set[Sender] = dataclasses.field(default_factory=set)

    def violations(self) -> list[str]:
        """Return a description of each violated guarantee."""
        return [
            *self.failures,
            *self._answer_violations(),
            *self._read_violations(),
            *self._pause_violations(),
            *self.overlapping_runs(),
        ]

    def overlapping_runs(self) -> list[str]:
        """Return the streams that two engines worked on for too long.

        A server that was stopped meanwhile can't notice that its connection
        was closed.
        """
        found = []
        runs_by_id = collections.defaultdict(list)
        for run in self.stream_runs:
            runs_by_id[run.request_id].append(run)
        for request_id, runs in runs_by_id.items():
            if self.sender_by_id.get(request_id) in self.disturbed:
                continue
            runs.sort(key=lambda run: run.began_s)
            for earlier, later in itertools.pairwise(runs):
                both_s = earlier.ended_s - later.began_s
                if both_s > MAX_OVERLAP_S:
                    found.append(
                        f"{earlier.server} worked on {request_id} for"
                        f" {both_s:.2f} s after {later.server} began"
                    )
        return found

    def longest_without_version_s(self) -> float:
        """Return the longest time between two acknowledged versions."""
        times_s = [at_s for at_s, _ in self.acknowledged]
        return max(
            (after - at for at, after in itertools.pairwise(times_s)),
            default=0.0,
        )

    def _answer_violations(self) -> list[str]:
        violations = []
        for answer in self.answers:
            name = f"{answer.kind} {answer.request_id}"
            runs = self.runs_by_id[answer.request_id]
            if answer.kind == "order" and runs > 1:
                violations.append(f"{name} ran {runs} times")
            if answer.not_run and runs:
                violations.append(f"{name} ran, but its answer says not_run")
            if answer.kind == "order" and answer.undisturbed:
                if answer.status is None and runs:
                    violations.append(f"{name} ran, but got no answer")
            if answer.kind == "stream" and answer.status == 200:
                if answer.body != expected_stream():
                    violations.append(f"{name} looks complete but is not")
            if answer.status == 200 and answer.body.startswith(b"done "):
                if answer.body != call_body(answer.request_id):
                    violations.append(f"{name} got the answer of another")
        return violations

    def _pause_violations(self) -> list[str]:
        violations = []
        for pause in self.pauses:
            if pause.sender in self.disturbed:
                continue
            count = sum(
                arrival.server == pause.server
                and arrival.sender == pause.sender
                and pause.at_s + IN_FLIGHT_S < arrival.at_s < pause.until_s
                for arrival in self.arrivals
            )
            if count > MAX_IN_PAUSE:
                violations.append(
                    f"{pause.server} got {count} requests of start"
                    f" {pause.sender.boot} of {pause.sender.name} in a pause"
                    f" asked for at {pause.at_s:.2f} s"
                )
        return violations

    def _read_violations(self) -> list[str]:
        violations = []
        content_by_version: dict[int, str] = {}
        for read in self.reads:
            first_content = content_by_version.setdefault(
                read.version, read.content
            )
            if first_content != read.content:
                violations.append(f"two documents of version {read.version}")
            earlier_versions = [
                version
                for at_s, version in self.acknowledged
                if at_s < read.began_s
            ] + [
                other.version
                for other in self.reads
                if other.ended_s < read.began_s
            ]
            if earlier_versions and read.version < max(earlier_versions):
                violations.append(
                    f"read {read.version} after {max(earlier_versions)}"
                )
        return violations


EVENTS_PER_STREAM = 12
# By the operators' rule on pauses, what comes sooner was under way, and this
# many more may come.
IN_FLIGHT_S = 0.5
# By the operators' rule on streams that go on at another engine.
MAX_OVERLAP_S = 0.4
MAX_IN_PAUSE = 2


def call_body(request_id: str) -> bytes:
    """Return the answer of a server that repeats answers to a call."""
    return b"done " + request_id.encode()


def expected_stream(after: int = 0) -> bytes:
    """Return the body of a stream with the events after number `after`."""
    return b"".join(
        b"id: %d\ndata: piece%d\n\n" % (number, number)
        for number in range(after + 1, EVENTS_PER_STREAM + 1)
    )
