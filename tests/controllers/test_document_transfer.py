"""Documents arrive whole, whichever replicas send their pieces."""

import zlib

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from oriolejunction.controllers import document_pieces
from oriolejunction.controllers import document_transfer
from oriolejunction import routing_table

NOTHING_HELD = routing_table.NO_TABLE
# Some pieces each, as random bytes can't be compressed.
SIZES = [1, 16_384, 40_000, 90_000]


def document(version):
    rng_bytes = bytes((version * 31 + n * n) % 251 for n in range(997))
    size = SIZES[version % len(SIZES)]
    return (b"%d" % version + rng_bytes * 100)[:size]


def replica(*versions):
    pieces = document_pieces.DocumentPieces()
    for version in versions:
        pieces.add(routing_table.TableVersion(version), document(version))
    return pieces


def receive(transfer, pieces, held=NOTHING_HELD):
    return transfer.add(pieces.next_piece(transfer.next_request(held), True))


def receive_all(transfer, pieces, held=NOTHING_HELD):
    while (received := receive(transfer, pieces, held)) is None:
        pass
    return received


@pytest.fixture
def transfer():
    return document_transfer.DocumentTransfer()


@pytest.fixture
def small_pieces(monkeypatch):
    """Cut documents into pieces of 1 KB, as if they were large."""
    monkeypatch.setattr(document_pieces, "MAX_PIECE_BYTES", 1_024)
    monkeypatch.setattr(document_pieces, "MAX_DOCUMENT_PART_BYTES", 4_096)


def test_large_document_arrives_in_small_pieces(transfer):
    pieces = document_pieces.DocumentPieces()
    content = b"".join(b"%x" % (n**9 % 1_000_003) for n in range(2 * 10**5))
    pieces.add(routing_table.TableVersion(5), content)
    piece = pieces.next_piece(transfer.next_request(NOTHING_HELD), True)
    assert len(piece.data) <= document_pieces.MAX_PIECE_BYTES
    received = receive_all(transfer, pieces)
    assert received.content == content
    assert received.pieces > 5


def test_piece_bounds_what_does_not_compress(transfer):
    piece = replica(3).next_piece(transfer.next_request(NOTHING_HELD), True)
    assert len(piece.data) <= document_pieces.MAX_PIECE_BYTES + 64


@pytest.mark.usefixtures("small_pieces")
def test_transfer_goes_on_at_another_replica(transfer):
    first, second = replica(3), replica(2, 3)
    assert receive(transfer, first) is None
    before = transfer.received_bytes
    assert receive(transfer, second) is None
    assert transfer.received_bytes > before > 0
    assert receive_all(transfer, first).content == document(3)


@pytest.mark.usefixtures("small_pieces")
def test_transfer_is_ended_for_a_newer_version_before_it_has_begun(transfer):
    pieces = replica(2)
    pieces.add(routing_table.TableVersion(3), document(3))
    assert receive_all(transfer, pieces).version == 3


@pytest.mark.usefixtures("small_pieces")
def test_transfer_goes_on_if_a_newer_version_would_take_longer(transfer):
    """Load: versions follow each other faster than one can be sent."""
    pieces = replica(2)
    receive(transfer, pieces)
    pieces.add(routing_table.TableVersion(3), document(3))
    assert receive_all(transfer, pieces).version == 2
    assert receive_all(transfer, pieces, 2).version == 3


@pytest.mark.usefixtures("small_pieces")
def test_transfer_is_ended_for_a_newer_version_that_is_there_sooner(transfer):
    pieces = replica(3)
    receive(transfer, pieces)
    pieces.add(routing_table.TableVersion(4), document(4))
    assert receive_all(transfer, pieces).version == 4


@pytest.mark.usefixtures("small_pieces")
def test_replica_without_the_version_begins_its_newest(transfer):
    """Fault: a replica restarts, and knows its newest table only."""
    receive(transfer, replica(2))
    assert receive_all(transfer, replica(3)).content == document(3)


def test_replica_without_a_newer_table_sends_none(transfer):
    request = transfer.next_request(routing_table.TableVersion(3))
    piece = replica(2, 3).next_piece(request, True)
    assert (piece.version, piece.data) == (3, b"")
    piece = replica().next_piece(request, True)
    assert piece.version == routing_table.NO_TABLE


@pytest.mark.usefixtures("small_pieces")
def test_memory_of_earlier_versions_is_bounded(monkeypatch):
    monkeypatch.setattr(document_pieces, "MAX_EARLIER_BYTES", 100_000)
    pieces = replica(*range(40))
    assert sum(len(t.content) for t in pieces._documents.values()) <= 200_000
    assert 39 in pieces._documents


@pytest.mark.usefixtures("small_pieces")
@pytest.mark.parametrize(
    "change",
    [
        {"data": b"no zlib"},
        {"data": zlib.compress(b"")},
        {"data": zlib.compress(bytes(10**7))},
        {"data": zlib.compress(b"cut off")[:-1]},
        {"offset": 7},
        {"size": 0},
        {"size": 1 << 40},
        {"digest": "other"},
    ],
)
def test_piece_that_does_not_fit_is_rejected_and_the_next_ones_are_not(
    transfer, change
):
    pieces = replica(3)
    receive(transfer, pieces)
    piece = pieces.next_piece(transfer.next_request(NOTHING_HELD), True)
    with pytest.raises(document_transfer.PieceRejected):
        transfer.add(msgspec.structs.replace(piece, **change))
    assert receive_all(transfer, pieces).content == document(3)


@pytest.mark.usefixtures("small_pieces")
def test_document_with_another_digest_is_not_obeyed(transfer):
    pieces = replica(3)
    request = transfer.next_request(NOTHING_HELD)
    digest = pieces.next_piece(request, True).digest
    for each in pieces._documents.values():
        each.content = each.content[:-1] + b"?"
    with pytest.raises(document_transfer.PieceRejected, match="digest"):
        receive_all(transfer, pieces)
    assert transfer.next_request(NOTHING_HELD).digest != digest


def test_time_limit_grows_until_a_piece_arrives(transfer):
    """Load: a link is so full that one piece takes longer than expected."""
    limits = []
    for _ in range(6):
        limits.append(transfer.timeout_ms)
        transfer.record_timeout()
    assert limits == [1e3, 2e3, 4e3, 8e3, 16e3, 16e3]
    receive(transfer, replica(3))
    assert transfer.timeout_ms == 1e3


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("commit"), st.integers(1, 3)),
        st.tuples(st.just("piece"), st.integers(0, 2)),
        st.tuples(st.just("lost"), st.integers(0, 2)),
        st.tuples(st.just("twice"), st.integers(0, 2)),
        st.tuples(st.just("restart"), st.integers(0, 2)),
        st.tuples(st.just("apply"), st.integers(0, 2)),
    ),
    max_size=60,
)


@hypothesis.given(STEPS)
def test_versions_rise_and_are_whole_whatever_is_lost(steps):
    """Any order of commits, pieces, losses, repeats, moves and restarts."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(document_pieces, "MAX_PIECE_BYTES", 1_024)
        patch.setattr(document_pieces, "MAX_DOCUMENT_PART_BYTES", 4_096)
        run_steps(steps)


def run_steps(steps):
    committed, held = [0], NOTHING_HELD
    applied = [1, 1, 1]
    replicas = [replica(0) for _ in applied]
    transfer = document_transfer.DocumentTransfer()

    def take(piece):
        nonlocal held
        if piece.version <= held:
            return
        try:
            received = transfer.add(piece)
        except document_transfer.PieceRejected:
            return
        if received is not None:
            assert received.content == document(received.version)
            assert received.version > held
            held = received.version

    for step, number in steps:
        if step == "commit":
            committed.append(committed[-1] + number)
        elif step == "apply":
            for version in committed[applied[number] :]:
                replicas[number].add(version, document(version))
            applied[number] = len(committed)
        elif step == "restart":
            replicas[number] = replica(committed[applied[number] - 1])
        else:
            piece = replicas[number].next_piece(
                transfer.next_request(held), True
            )
            for _ in range({"piece": 1, "lost": 0, "twice": 2}[step]):
                take(piece)
    newest = replica(committed[-1])
    for _ in range(2 * max(SIZES) // 1_024):
        take(newest.next_piece(transfer.next_request(held), True))
    assert held == committed[-1]
