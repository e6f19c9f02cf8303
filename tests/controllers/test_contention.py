"""Competing attempts at one generation, in any interleaving."""

import hypothesis
from hypothesis import strategies

from oriolejunction.controllers import generation as generations
from oriolejunction import engine_protocol
from oriolejunction.standin import chain
from oriolejunction.standin import engine_stream
from oriolejunction import states

LENGTH = 30
PROMPT = f"p [[length={LENGTH}]]"

# "event" offers the next event of an attempt. The other actions begin a new
# owner, add a contender, revoke an attempt, or offer an event that must be
# refused: a repeated one, one after a gap, or one of another generation.
actions = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["event"] * 12
            + ["attempt", "contender", "revoke", "repeated", "gap", "foreign"]
        ),
        strategies.integers(0, 3),
    ),
    max_size=250,
)


class _Run:
    def __init__(self, temperature, stop=()):
        self.generation = generations.Generation(
            "g",
            generations.GenerationRequest(
                workspace="w",
                model="m",
                version="1",
                adapter="",
                prompt=PROMPT,
                max_tokens=100,
                sampling=engine_protocol.Sampling(temperature=temperature),
                stop=stop,
            ),
        )
        self.text = ""
        self.streams = []

    def open(self, request):
        stream = engine_stream.open_stream(request)
        while not stream.finished:
            engine_stream.step(stream)
        events = list(
            map(engine_stream.decode_event, stream.event_by_position)
        )
        self.streams.append([events, 0])

    def apply(self, kind, number):
        if kind == "attempt" or not self.streams:
            self.open(self.generation.begin_attempt())
        elif kind == "contender":
            self.open(self.generation.begin_contender())
        elif kind == "revoke":
            events, _ = self._stream(number)
            self.generation.revoke(events[0].attempt)
        elif kind == "event":
            stream = self._stream(number)
            if stream[1] < len(stream[0]):
                stream[1] += 1
                self.offer(stream[0][stream[1] - 1])
        else:
            self._offer_refused(kind, *self._stream(number))

    def _stream(self, number):
        return self.streams[-1 - number % len(self.streams)]

    def _offer_refused(self, kind, events, offered):
        if kind == "repeated" and offered:
            assert not self.offer(events[offered - 1])
        if kind == "gap" and offered + 1 < len(events):
            assert not self.offer(events[offered + 1])
        if kind == "foreign":
            event = events[min(offered, len(events) - 1)]
            fields = {f: getattr(event, f) for f in event.__struct_fields__}
            fields["generation"] = "other"
            assert not self.offer(engine_protocol.EngineEvent(**fields))

    def offer(self, event):
        commit = self.generation.commit(event)
        self.text += "".join(d.text for d in commit.deliveries)
        delivered = self.generation.delivered_ids
        if 0 < len(delivered) < LENGTH and not self.generation.finished:
            assert not chain.is_split(delivered[-1])
        return commit.outcome is states.CommitOutcome.COMMITTED

    def finish(self):
        while not self.generation.finished:
            self.open(self.generation.begin_attempt())
            for event in self.streams[-1][0]:
                self.offer(event)


@hypothesis.given(actions, strategies.sampled_from([0.0, 1.0]))
def test_answer_is_complete_in_any_interleaving(steps, temperature):
    run = _Run(temperature)
    for kind, number in steps:
        run.apply(kind, number)
    run.finish()
    result = chain.check_text(run.text, "1", "", PROMPT, temperature > 0)
    assert result == chain.CheckResult(True, LENGTH)
    assert len(run.generation.delivered_ids) == LENGTH
    assert run.generation.prompt_tokens == 2


@hypothesis.given(
    actions, strategies.integers(0, 140), strategies.integers(1, 9)
)
def test_stop_string_truncates_equally_in_any_interleaving(
    steps, start, length
):
    uninterrupted = _Run(0.0)
    uninterrupted.finish()
    stop = uninterrupted.text[start : start + length] or "x"
    run = _Run(0.0, (stop,))
    for kind, number in steps:
        run.apply(kind, number)
    run.finish()
    assert run.text == uninterrupted.text.partition(stop)[0]
    assert run.generation.finish_reason is states.FinishReason.STOP


def test_first_attempt_to_produce_the_next_token_becomes_owner():
    run = _Run(1.0)
    run.open(run.generation.begin_attempt())
    run.apply("event", 0)
    run.open(run.generation.begin_contender())
    second = run.streams[1][0]
    assert run.generation.owner == 1
    assert run.offer(second[0])
    assert run.generation.owner == 2
    assert not run.generation.may_append(1)
    assert not run.offer(run.streams[0][0][1])


def test_owner_that_continues_revokes_the_contender():
    run = _Run(1.0)
    run.open(run.generation.begin_attempt())
    run.open(run.generation.begin_contender())
    assert run.offer(run.streams[0][0][0])
    assert not run.generation.may_append(2)
    assert not run.offer(run.streams[1][0][0])


def test_token_that_differs_from_a_delivered_one_diverges():
    run = _Run(0.0)
    run.open(run.generation.begin_attempt())
    events = run.streams[0][0]
    run.offer(events[0])
    if not events[0].safe:
        run.offer(events[1])
    fields = {f: getattr(events[0], f) for f in events[0].__struct_fields__}
    fields["ids"] = (events[0].ids[0] ^ 1,)
    commit = run.generation.commit(engine_protocol.EngineEvent(**fields))
    assert commit.outcome is states.CommitOutcome.DIVERGED
