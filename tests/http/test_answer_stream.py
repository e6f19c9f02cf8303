"""Journalled streaming while a journal replica is slow."""

import types

import aiohttp

from oriolejunction.controllers import generation as generations
from oriolejunction.http import answer_stream
from oriolejunction.peers import journal_sender


class Journals:
    """Keeps the callbacks of the batches that were sent."""

    def __init__(self):
        self.done = []

    def append_nowait(self, journal, batch, finish, on_done):
        self.done.append(on_done)
        return True

    def mark_lost(self, replica, refusal):
        """Do nothing; there is no other journal client."""

    async def change_replica(self, journal):
        """Accept the journal of the other replica at once."""


class Response:
    """Keeps what was written to the caller."""

    prepared = True

    def __init__(self):
        self.written = []

    async def write(self, data):
        self.written.append(data)


def stream_of(journals):
    journal = types.SimpleNamespace(
        replica="r1",
        require_deliverable=lambda offset: None,
        acknowledge=lambda offset: None,
    )
    generation = types.SimpleNamespace(
        finish_reason=None,
        request=types.SimpleNamespace(sampling=None),
    )
    writer = types.SimpleNamespace(
        set_replica=lambda replica: None,
        delivery_event=lambda delivery: b"%d " % delivery.offset,
    )
    request = types.SimpleNamespace(
        version=aiohttp.HttpVersion11, transport=None
    )
    answer = types.SimpleNamespace(
        generation=generation, journal=journal, received_tokens=0
    )
    return answer_stream.AnswerStream(request, answer, journals, writer)


def batch(offset):
    return (generations.Delivery(offset, (offset,), "x"),)


async def test_late_acknowledgement_of_a_left_replica_is_ignored(monkeypatch):
    """Load: a replica times out on one batch and answers the next one."""
    monkeypatch.setattr(
        answer_stream.openai_answers, "seed_headers", lambda generation: {}
    )
    journals, response = Journals(), Response()
    stream = stream_of(journals)
    stream._response = response
    for offset in (0, 1):
        await stream._deliver(batch(offset))
    first_done, second_done = journals.done
    first_done(journal_sender.ReplicaLost("timed out"))
    await stream._deliver(batch(2))
    assert response.written == [b"0 ", b"1 "]
    second_done(None)
    assert [each[0].offset for each in stream._unacknowledged] == [2]
