"""Recovery of the log on disk after a crash, and refusal of damage."""

import time

import pytest

from oriolejunction.consensus import audit_file
from oriolejunction.consensus import segments
from oriolejunction.consensus import storage as storages
from oriolejunction.consensus import types
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import messages
from oriolejunction import states


def _entry(index):
    return types.Entry(index, 1, f"command-{index}".encode())


def _write_log(folder, count):
    storage = storages.Storage.create(folder)
    storage.write([types.HardState(1, types.ReplicaId("a"))])
    for index in range(1, count + 1):
        storage.write([types.AppendEntries((_entry(index),))])
    storage.close()
    return next(folder.glob("wal-*.log"))


@pytest.mark.parametrize("cut", range(1, 40, 5))
def test_torn_tail_is_cut_off(tmp_path, cut):
    path = _write_log(tmp_path, 5)
    path.write_bytes(path.read_bytes()[:-cut])
    storage = storages.Storage.load(tmp_path)
    last = storage.log.last_index
    assert 3 <= last <= 4
    storage.write([types.AppendEntries((_entry(last + 1),))])
    storage.close()
    assert storages.Storage.load(tmp_path).log.last_index == last + 1


@pytest.mark.parametrize("fraction", [0.3, 0.5, 0.7])
def test_corrupted_middle_is_refused(tmp_path, fraction):
    path = _write_log(tmp_path, 30)
    data = bytearray(path.read_bytes())
    data[int(len(data) * fraction)] ^= 0x40
    path.write_bytes(data)
    with pytest.raises(errors.Failure) as caught:
        storages.Storage.load(tmp_path)
    assert isinstance(caught.value.error, errors.CorruptLog)


def test_missing_log_is_refused(tmp_path):
    with pytest.raises(errors.Failure) as caught:
        storages.Storage.load(tmp_path)
    assert isinstance(caught.value.error, errors.CorruptLog)


def test_term_vote_and_truncation_survive_reload(tmp_path):
    storage = storages.Storage.create(tmp_path)
    storage.write(
        [
            types.HardState(3, types.ReplicaId("b")),
            types.AppendEntries((_entry(1), _entry(2))),
            types.TruncateLog(2),
        ]
    )
    storage.close()
    reloaded = storages.Storage.load(tmp_path)
    assert reloaded.hard_state == types.HardState(3, types.ReplicaId("b"))
    assert reloaded.log.last_index == 1


def test_installed_snapshot_survives_reload(tmp_path):
    storage = storages.Storage.create(tmp_path)
    snapshot = types.Snapshot(9, 2, types.Membership(()), 1, b"state")
    storage.write([types.HardState(2, None), snapshot])
    storage.write([types.AppendEntries((types.Entry(10, 2, b"next"),))])
    storage.close()
    reloaded = storages.Storage.load(tmp_path)
    assert reloaded.snapshot == snapshot
    assert (reloaded.log.base_index, reloaded.log.last_index) == (9, 10)


def test_entry_appended_while_a_snapshot_is_written_is_kept(tmp_path):
    """Fault: it was on disk only, and its index was written twice later.

    A new leader's entries arrive while a thread writes the snapshot.
    """
    storage = storages.Storage.create(tmp_path)
    snapshot = types.Snapshot(9, 2, types.Membership(()), 1, b"state")
    later = types.Entry(10, 3, b"later")
    save = storage._save_snapshot

    def append_meanwhile(record):
        save(record)
        storage.log.append((later,))

    storage._save_snapshot = append_meanwhile
    storage.log.reset(snapshot)
    storage.write([types.HardState(2, None), snapshot])
    assert storage.log.last_index == 10
    storage.write([types.AppendEntries((later,))])
    storage.close()
    assert storages.Storage.load(tmp_path).log.last_index == 10


def _audit_entry(number):
    return messages.AuditEntry(
        number=number,
        at_ms=number,
        operator="operator",
        action=states.ChangeAction.SUBMIT,
        draft_id=ids.DraftId(f"d-{number}"),
        revision=ids.Revision(0),
        answers_digest="",
        differences=(),
    )


def test_audit_log_is_read_in_pages_and_survives_reopening(tmp_path):
    audit_log = audit_file.AuditFile(tmp_path)
    audit_log.append_missing([_audit_entry(n) for n in range(1, 201)])
    audit_log.close()
    audit_log = audit_file.AuditFile(tmp_path)
    audit_log.append_missing([_audit_entry(n) for n in range(150, 251)])
    entries = []
    while page := audit_log.read(len(entries), 70):
        entries.extend(page)
    assert [entry.number for entry in entries] == list(range(1, 251))


def test_gap_in_audit_log_is_refused(tmp_path):
    audit_log = audit_file.AuditFile(tmp_path)
    audit_log.append_missing([_audit_entry(1)])
    with pytest.raises(errors.Failure):
        audit_log.append_missing([_audit_entry(3)])


def test_large_write_that_was_cut_off_delays_no_start():
    """Fault: a start took 23 s of processor time after a loss of power."""
    frame = bytearray(
        segments.encode_frame(b'{"host": "a.example"},' * 47_000)
    )
    frame[2_000:2_512] = bytes(512)
    began_s = time.process_time()
    assert segments.read_frames(bytes(frame), "wal") == ([], 0)
    assert time.process_time() - began_s < 5.0
