"""What callers, operators and backend servers saw, and what must hold."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True)
class Answer:
    """How one request ended; `status` is None where it got no answer.

    `spared` tells that its instance was neither killed nor paused from
    before the request until it ended.
    """

    request_id: str
    kind: str
    status: int | None
    body: bytes
    not_run: bool
    undisturbed: bool


@dataclasses.dataclass(frozen=True)
class Read:
    """A document as read, with when the read began and ended."""

    began_s: float
    ended_s: float
    version: int
    content: str


@dataclasses.dataclass
class Observations:
    """Everything that was seen while a soak ran."""

    runs_by_id: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    answers: list[Answer] = dataclasses.field(default_factory=list)
    reads: list[Read] = dataclasses.field(default_factory=list)
    acknowledged: list[tuple[float, int]] = dataclasses.field(
        default_factory=list
    )
    failures: list[str] = dataclasses.field(default_factory=list)

    def violations(self) -> list[str]:
        """Return each promise that was broken, in words."""
        return [
            *self.failures,
            *self._answer_violations(),
            *self._read_violations(),
        ]

    def _answer_violations(self) -> list[str]:
        found = []
        for answer in self.answers:
            name = f"{answer.kind} {answer.request_id}"
            runs = self.runs_by_id[answer.request_id]
            if answer.kind == "order" and runs > 1:
                found.append(f"{name} ran {runs} times")
            if answer.not_run and runs:
                found.append(f"{name} ran, but was said not to have run")
            if answer.kind == "order" and answer.undisturbed:
                if answer.status is None and runs:
                    found.append(f"{name} ran, and got no answer")
            if answer.kind == "stream" and answer.status == 200:
                if answer.body != expected_stream():
                    found.append(f"{name} looks whole and is not")
        return found

    def _read_violations(self) -> list[str]:
        found = []
        content_by_version: dict[int, str] = {}
        for read in self.reads:
            held = content_by_version.setdefault(read.version, read.content)
            if held != read.content:
                found.append(f"two documents of version {read.version}")
            must = [
                version
                for at_s, version in self.acknowledged
                if at_s < read.began_s
            ] + [
                other.version
                for other in self.reads
                if other.ended_s < read.began_s
            ]
            if must and read.version < max(must):
                found.append(f"read {read.version} after {max(must)}")
        return found


EVENTS_PER_STREAM = 12


def expected_stream(after: int = 0) -> bytes:
    """Return the events of every stream after a number."""
    return b"".join(
        b"id: %d\ndata: piece%d\n\n" % (number, number)
        for number in range(after + 1, EVENTS_PER_STREAM + 1)
    )
