"""The ledger is bounded and grants no key twice, even after it expires."""

import uuid

import pytest

from oriolejunction import commands
from oriolejunction.controllers import idempotency_keys
from oriolejunction.controllers import ledger as ledgers
from oriolejunction import ids
from oriolejunction import states

HOUR_MS = idempotency_keys.HOUR_MS
START_MS = 500_000 * HOUR_MS
DATED = ids.IdempotencyKey("h500000-0123456789abcdef")
PLAIN = ids.IdempotencyKey("5f0f44ee-8f3e-4d34-a3dc-0f6d2a4b2a9c")
_CALL = {"workspace": "w", "service": "s"}


def _claim(ledger, key, claim_id, at_ms=START_MS, owner="i"):
    return ledgers.claim(
        ledger,
        commands.ClaimCall(
            **_CALL,
            key=key,
            body_digest="d",
            owner=ids.InstanceId(owner),
            claim_id=claim_id,
            at_ms=at_ms,
        ),
    )


def _record(ledger, key, claim_id, state, answer=None):
    ledgers.record_outcome(
        ledger,
        commands.RecordCallOutcome(
            **_CALL,
            key=key,
            claim_id=claim_id,
            owner=ids.InstanceId("i"),
            state=state,
            answer=answer,
            at_ms=START_MS,
        ),
    )


@pytest.mark.parametrize("key", [DATED, PLAIN])
@pytest.mark.parametrize("hours", [25, 26, 24 * 365])
def test_expired_key_is_never_granted_again(key, hours):
    ledger = ledgers.Ledger()
    assert _claim(ledger, key, "first").granted
    again = _claim(ledger, key, "second", START_MS + hours * HOUR_MS)
    assert not again.granted
    assert again.refusal in (
        states.KeyRefusal.EXPIRED,
        states.KeyRefusal.USED,
    )
    assert ledger.entry_by_key == {}


@pytest.mark.parametrize("key", [DATED, PLAIN])
def test_key_keeps_its_answer_within_the_retention(key):
    ledger = ledgers.Ledger()
    _claim(ledger, key, "first")
    answer = commands.StoredAnswer(200, "text/plain", b"placed")
    _record(ledger, key, "first", states.CallState.DONE, answer)
    again = _claim(ledger, key, "second", START_MS + 24 * HOUR_MS)
    assert (again.granted, again.answer) == (False, answer)


def test_one_wrong_clock_expires_no_key():
    ledger = ledgers.Ledger()
    for owner in ("a", "b", "c"):
        _claim(ledger, f"k-{owner}", owner, owner=owner)
    _claim(ledger, "k", "d", START_MS + 1_000 * HOUR_MS, owner="c")
    assert _claim(ledger, DATED, "e", owner="a").granted


def test_key_dated_in_the_future_is_refused():
    ledger = ledgers.Ledger()
    _claim(ledger, PLAIN, "a")
    early = _claim(ledger, "h500002-0123456789abcdef", "b")
    assert early.refusal is states.KeyRefusal.EARLY


def test_uuid_of_version_7_is_dated():
    number = (START_MS << 80) | (7 << 76) | (2 << 62) | 5
    key = ids.IdempotencyKey(str(uuid.UUID(int=number)))
    assert idempotency_keys.hour_of(key) == 500_000
    assert idempotency_keys.hour_of(PLAIN) is None


def test_released_claim_is_not_granted_when_committed_again():
    ledger = ledgers.Ledger()
    _record(ledger, DATED, "late", states.CallState.RELEASED)
    assert not _claim(ledger, DATED, "late").granted
    assert _claim(ledger, DATED, "other").granted


def test_claim_without_outcome_becomes_unknown():
    ledger = ledgers.Ledger()
    _claim(ledger, DATED, "dead")
    soon = _claim(ledger, DATED, "b", START_MS + 1_000)
    later = _claim(ledger, DATED, "b", START_MS + ledgers.IN_PROGRESS_MS + 1)
    assert soon.state is states.CallState.CLAIMED
    assert later.state is states.CallState.UNKNOWN
    assert not (soon.granted or later.granted)


def test_key_released_too_often_is_blocked():
    ledger = ledgers.Ledger()
    for number in range(ledgers.MAX_RELEASES):
        assert _claim(ledger, DATED, f"c{number}").granted
        _record(ledger, DATED, f"c{number}", states.CallState.RELEASED)
    assert _claim(ledger, DATED, "last").state is states.CallState.VOID


def test_stored_answers_are_bounded(monkeypatch):
    monkeypatch.setattr(ledgers, "MAX_ANSWERS_BYTES", 10)
    ledger = ledgers.Ledger()
    for name in ("a", "b", "c"):
        _claim(ledger, name, name)
        answer = commands.StoredAnswer(200, "text/plain", b"12345")
        _record(ledger, name, name, states.CallState.DONE, answer)
    has_answer = [
        _claim(ledger, name, "x").answer is not None for name in "abc"
    ]
    assert has_answer == [False, True, True]
    assert ledger.answer_bytes == 10


def test_keys_of_a_workspace_are_bounded(monkeypatch):
    monkeypatch.setattr(ledgers, "MAX_KEYS_PER_WORKSPACE", 2)
    ledger = ledgers.Ledger()
    granted = [_claim(ledger, name, name) for name in ("a", "b", "c")]
    assert [claim.granted for claim in granted] == [True, True, False]
    assert granted[2].refusal is states.KeyRefusal.NO_ROOM
