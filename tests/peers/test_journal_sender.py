"""Batched writes to a journal replica and the outcome of their records."""

import asyncio

import grpc
import msgspec
import pytest

from oriolejunction import clock as clocks
from oriolejunction.controllers import generation as generations
from oriolejunction import engine_protocol
from oriolejunction import journal_messages
from oriolejunction.peers import journal_sender
from oriolejunction.peers import rpc
from oriolejunction import states
from oriolejunction import token_log

_decode = msgspec.msgpack.Decoder(journal_messages.JournalBatch).decode


class Replica:
    """Records batches and replies with queued answers."""

    def __init__(self):
        self.batches = []
        self.sent = []
        self.answers = asyncio.Queue()

    async def write(self, data, timeout):
        self.sent.append((len(data), timeout))
        self.batches.append(_decode(data).records)
        answer = await self.answers.get()
        if isinstance(answer, Exception):
            raise answer
        return journal_messages.JournalBatchReply(answer)

    async def close(self):
        """Do nothing; the replica also serves as the channel."""


def _sender(replica, clock):
    return journal_sender.JournalSender(
        replica, replica.write, None, clock, lambda size: None
    )


def _append(offset, generation="g", owner=1):
    return journal_messages.JournalAppend(
        generation, owner, offset, (offset,), "x"
    )


async def _run_batch_window(clock):
    for _ in range(5):
        await asyncio.sleep(0)
    clock.advance(journal_sender.BATCH_WINDOW_MS)
    for _ in range(5):
        await asyncio.sleep(0)


async def test_one_batch_is_in_flight_and_records_keep_their_order():
    clock, replica, done = clocks.ManualClock(), Replica(), []
    sender = _sender(replica, clock)
    sender.submit((_append(0),), done.append)
    sender.submit((_append(0, "h"),), done.append)
    await _run_batch_window(clock)
    sender.submit((_append(1),), done.append)
    sender.submit((_append(2),), done.append)
    await _run_batch_window(clock)
    assert [len(batch) for batch in replica.batches] == [2]
    assert done == []
    replica.answers.put_nowait(())
    await _run_batch_window(clock)
    assert done == [None, None]
    assert [record.offset for record in replica.batches[1]] == [1, 2]
    await sender.close()


async def test_refusal_reaches_only_its_generation_and_owner():
    clock, replica, done = clocks.ManualClock(), Replica(), {}
    sender = _sender(replica, clock)
    for owner in (1, 2):
        for generation in "gh":
            sender.submit(
                (_append(0, generation, owner),),
                lambda refusal, key=(generation, owner): done.update(
                    {key: refusal}
                ),
            )
    refused = journal_messages.JournalRefused(
        "g", 1, states.JournalRefusal.FENCED
    )
    replica.answers.put_nowait((refused,))
    await _run_batch_window(clock)
    fenced = states.JournalRefusal.FENCED
    assert done == {
        ("g", 1): fenced,
        ("h", 1): None,
        ("g", 2): None,
        ("h", 2): None,
    }
    await sender.close()


async def test_failed_write_fails_its_batch_and_the_next_is_sent():
    clock, replica, done = clocks.ManualClock(), Replica(), []
    sender = _sender(replica, clock)
    sender.submit((_append(0),), done.append)
    await _run_batch_window(clock)
    sender.submit((_append(0, "h"),), done.append)
    replica.answers.put_nowait(grpc.aio.UsageError("channel is closed"))
    await _run_batch_window(clock)
    assert isinstance(done[0], journal_sender.ReplicaLost)
    replica.answers.put_nowait(())
    await _run_batch_window(clock)
    assert done[1:] == [None]
    await sender.close()


async def test_close_fails_records_in_flight_and_pending():
    clock, replica, done = clocks.ManualClock(), Replica(), []
    sender = _sender(replica, clock)
    sender.submit((_append(0),), done.append)
    await _run_batch_window(clock)
    sender.submit((_append(1),), done.append)
    await sender.close()
    await asyncio.sleep(0)
    assert [type(refusal) for refusal in done] == [
        journal_sender.ReplicaLost,
        journal_sender.ReplicaLost,
    ]


@pytest.mark.parametrize("is_lost", [False, True])
async def test_error_of_one_stream_leaves_no_other_untold(is_lost):
    """Load: a replica that answers late, and one stream fails on that."""
    clock, replica, done = clocks.ManualClock(), Replica(), []
    sender = _sender(replica, clock)

    def fail(refusal):
        raise IndexError("faulty")

    sender.submit((_append(0),), fail)
    sender.submit((_append(0, "h"),), done.append)
    await _run_batch_window(clock)
    replica.answers.put_nowait(grpc.aio.UsageError() if is_lost else ())
    await _run_batch_window(clock)
    assert len(done) == 1
    sender.submit((_append(1, "h"),), done.append)
    replica.answers.put_nowait(())
    await _run_batch_window(clock)
    assert len(done) == 2
    await sender.close()


def _open(generation, prompt_bytes):
    return journal_messages.JournalOpen(
        generation,
        1,
        "a",
        generations.GenerationRequest(
            "w",
            "m",
            "v1",
            "",
            "p" * prompt_bytes,
            9,
            engine_protocol.Sampling(),
            (),
        ),
        token_log.PackedTokens(bytes(8_000), b"text", bytes(400), bytes(400)),
    )


async def test_whole_generations_fit_into_the_time_limit_of_a_batch():
    """Load: a journal replica is lost, and all of its streams move at once.

    One of their prompts is larger than a batch.
    """
    clock, replica, done = clocks.ManualClock(), Replica(), []
    sender = _sender(replica, clock)
    for number in range(60):
        size = 400_000 if number == 30 else 20_000
        sender.submit((_open(f"g{number}", size),), done.append)
    for _ in range(60):
        replica.answers.put_nowait(())
    while len(done) < 60:
        await _run_batch_window(clock)
    order = [r.generation for batch in replica.batches for r in batch]
    assert order == [f"g{number}" for number in range(60)]
    for size, timeout_s in replica.sent:
        assert size < rpc.SLOW_LINK_BYTES_PER_S * timeout_s
    await sender.close()
