"""Journals across changes of owner, pauses, resends and takeovers."""

import dataclasses
import random

import expression
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import journal_owner
from oriolejunction.controllers import journal_replica
from oriolejunction import engine_protocol
from oriolejunction import journal_messages
from oriolejunction import messages
from oriolejunction import states
from oriolejunction import token_log

REQUEST = generations.GenerationRequest(
    workspace="w",
    model="m",
    version="1",
    adapter="",
    prompt="p",
    max_tokens=100,
    sampling=engine_protocol.Sampling(),
    stop=(),
)
OWNERS = ("a", "b", "c")
REPLICAS = ("r", "s")


@dataclasses.dataclass
class Caller:
    """Tokens a caller received, and the replica its last event names."""

    received: list[int]
    replica: str | None = None


class JournalMachine(stateful.RuleBasedStateMachine):
    """Owners that pause, lose replicas, resend and take over.

    As with random sampling, each owner generates different tokens, so that
    a mixture of two owners' tokens shows in what the caller received.
    """

    def __init__(self):
        super().__init__()
        self.replica_by_id = {
            name: journal_replica.JournalReplica() for name in REPLICAS
        }
        self.caller = Caller([])
        self.current = journal_owner.OwnedJournal("g", REQUEST, "a")
        self.journals = [self.current]
        self.in_flight = []
        self.next_token = 0
        self._open(self.current, "r")

    def _open(self, journal, name):
        refused = self._write(name, (journal.open_record(),))
        if not refused:
            journal.replica = name
            journal.acknowledge(journal.tokens.end)
        return refused

    def _write(self, name, records):
        batch = journal_messages.JournalBatch(records)
        return journal_replica.write(
            self.replica_by_id[name], batch.records, 0.0
        )

    @stateful.rule(
        number=strategies.integers(0, 20), size=strategies.integers(1, 3)
    )
    def generate(self, number, size):
        """The current owner, or a former one, appends and delivers."""
        journal = self.journals[number % len(self.journals)]
        ids = tuple(range(self.next_token, self.next_token + size))
        self.next_token += size
        records = journal.extend(
            [generations.Delivery(journal.tokens.end, ids, "x" * size)]
        )
        refused = self._write(journal.replica, records)
        if journal is not self.current:
            if journal.replica == self.current.replica:
                assert refused
            return
        assert not refused
        journal.acknowledge(journal.tokens.end)
        journal.require_deliverable(journal.tokens.end)
        self.caller.received.extend(ids)
        self.caller.replica = journal.replica

    @stateful.rule(number=strategies.integers(0, 20))
    def duplicate_batch(self, number):
        """A batch is sent twice; the duplicate is still in flight."""
        journal = self.journals[number % len(self.journals)]
        self.in_flight.append((journal.replica, (journal.open_record(),)))
        segments = journal.tokens.segments_after(0)
        if segments:
            token_ids, text = segments[-1]
            start = journal.tokens.end - len(token_ids)
            record = journal_messages.JournalAppend(
                "g", journal.owner, start, token_ids, text
            )
            self.in_flight.append((journal.replica, (record,)))

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(number=strategies.integers(0, 20))
    def duplicate_arrives_late(self, number):
        """A late duplicate changes no token that its replica stores."""
        name, records = self.in_flight.pop(number % len(self.in_flight))
        entry = self.replica_by_id[name].entry_by_generation.get("g")
        before = entry and (entry.owner, list(entry.tokens.ids))
        self._write(name, records)
        entry = self.replica_by_id[name].entry_by_generation.get("g")
        if before is not None:
            assert entry.owner >= before[0]
            if entry.owner == before[0]:
                assert list(entry.tokens.ids) == before[1]

    @stateful.rule(name=strategies.sampled_from(REPLICAS))
    def owner_changes_replica(self, name):
        """The owner assumes its replica lost and opens the journal again."""
        self._open(self.current, name)

    @stateful.rule(
        new_owner=strategies.sampled_from(OWNERS),
        missed=strategies.integers(0, 4),
    )
    def caller_resumes_at_another_owner(self, new_owner, missed):
        """The caller missed the last events and names the one before."""
        if self.caller.replica is None:
            return
        replica = self.replica_by_id[self.caller.replica]
        offset = max(0, len(self.caller.received) - missed)
        reply = journal_replica.take_over(
            replica,
            journal_messages.JournalTakeOver("g", REQUEST, offset, new_owner),
            0.0,
        )
        entry = replica.entry_by_generation["g"]
        if not entry.tokens.is_boundary(offset):
            assert reply == expression.Error(states.JournalRefusal.NO_BOUNDARY)
            return
        del self.caller.received[offset:]
        journal = journal_owner.OwnedJournal(
            "g", REQUEST, new_owner, journal_owner.NO_OWNER
        )
        journal.adopt(reply.ok, self.caller.replica)
        for delivery in journal_owner.deliveries_after(journal.tokens, offset):
            assert delivery.offset == len(self.caller.received)
            self.caller.received.extend(delivery.ids)
        self.journals.append(journal)
        self.current = journal

    @stateful.invariant()
    def caller_received_tokens_of_one_owner(self):
        """The caller received a prefix of the current owner's tokens."""
        received = self.caller.received
        assert list(self.current.tokens.ids)[: len(received)] == received

    @stateful.invariant()
    def named_replica_stores_all_received_tokens(self):
        """A takeover at the replica of the last event loses no token."""
        if self.caller.replica is None:
            return
        replica = self.replica_by_id[self.caller.replica]
        entry = replica.entry_by_generation["g"]
        received = self.caller.received
        assert list(entry.tokens.ids)[: len(received)] == received


TestJournal = JournalMachine.TestCase
TestJournal.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)


def _open(generation="g", owner=1, tokens=0):
    log = token_log.TokenLog()
    for token in range(tokens):
        log.append((token,), "x")
    return journal_messages.JournalOpen(
        generation, owner, "a", REQUEST, log.pack()
    )


def _append(offset, owner=1, finish=None, ids=(7,)):
    return journal_messages.JournalAppend("g", owner, offset, ids, "é", finish)


def _reasons(refused):
    return [record.reason for record in refused]


def test_each_refusal_has_its_reason():
    replica = journal_replica.JournalReplica()
    refusal = states.JournalRefusal
    finish = journal_messages.JournalFinish(states.FinishReason.STOP, 3)
    records = (
        _append(0),
        _open(tokens=2),
        _append(1),
        _append(2, owner=2),
        _append(2, finish=finish),
        _append(3),
    )
    assert _reasons(journal_replica.write(replica, records, 0.0)) == [
        refusal.UNKNOWN,
        refusal.GAP,
        refusal.FENCED,
        refusal.FINISHED,
    ]


def test_journals_expire():
    replica = journal_replica.JournalReplica()
    journal_replica.write(replica, (_open("g"), _open("h")), 0.0)
    finish = journal_messages.JournalFinish(states.FinishReason.STOP, 3)
    journal_replica.write(replica, (_append(0, finish=finish),), 0.0)
    limits = replica.limits
    assert journal_replica.expire(replica, limits.finished_ms - 1) == 0
    assert journal_replica.expire(replica, limits.finished_ms) == 1
    assert journal_replica.expire(replica, limits.idle_ms) == 1
    assert replica.stored_bytes == 0


def test_full_replica_evicts_finished_journals_before_refusing():
    limits = journal_replica.JournalLimits(max_bytes=2_500)
    replica = journal_replica.JournalReplica(limits)
    finish = journal_messages.JournalFinish(states.FinishReason.STOP, 3)
    records = (
        _open("g"),
        _append(0, finish=finish),
        _open("h"),
        _open("i"),
        _open("j"),
    )
    refused = journal_replica.write(replica, records, 0.0)
    assert _reasons(refused) == [states.JournalRefusal.FULL]
    assert set(replica.entry_by_generation) == {"h", "i"}
    assert replica.stored_bytes <= limits.max_bytes


def _peer(name, zone, leaving=False):
    return messages.PeerInstance(name, zone, "1", "127.0.0.1:1", leaving)


def test_replica_is_in_another_zone_if_possible():
    rng = random.Random(1)
    peers = [
        _peer("a", "x"),
        _peer("b", "x"),
        _peer("c", "y"),
        _peer("d", "z", leaving=True),
    ]
    by_id = {peer.instance: peer for peer in peers}

    def choose(excluded):
        return journal_owner.choose_replica(by_id, "a", "x", excluded, rng)

    assert choose(()) == "c"
    assert choose({"c"}) == "b"
    assert choose({"b", "c"}) == "d"
    assert choose({"b", "c", "d"}) is None


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.lists(
                strategies.integers(0, 1 << 40), min_size=1, max_size=3
            ),
            strategies.text(max_size=4),
        ),
        max_size=12,
    ),
    strategies.integers(0, 12),
)
def test_token_log_returns_segments_after_a_boundary(segments, first):
    segments = [(tuple(ids), text) for ids, text in segments]
    log = token_log.TokenLog()
    for token_ids, text in segments:
        log.append(token_ids, text)
    copy = token_log.unpack(log.pack())
    offset = sum(len(token_ids) for token_ids, _ in segments[:first])
    assert copy.is_boundary(offset)
    assert copy.segments_after(offset) == segments[first:]
    assert not copy.is_boundary(copy.end + 1)
