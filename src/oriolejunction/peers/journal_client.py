"""Journals this instance's generations at other instances."""

import asyncio
import collections.abc
import random

import grpc
import structlog

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction.controllers import generation as generations
from oriolejunction.controllers import journal_owner
from oriolejunction import errors
from oriolejunction import ids
from oriolejunction import journal_messages
from oriolejunction import messages
from oriolejunction.peers import journal_methods
from oriolejunction.peers import journal_sender
from oriolejunction.peers import journal_service
from oriolejunction.peers import rpc
from oriolejunction import states
from oriolejunction import telemetry as metrics

TAKE_OVER_TIMEOUT_MS = 600
MAX_REPLICAS_TRIED = 3
RETRY_INTERVAL_MS = 1_000
LOST_REPLICA_AVOID_MS = 3_000
ABSENT_REPLICA_TIMEOUT_MS = 5_000
MAX_ABSENT_REPLICAS = 256
_log = structlog.get_logger(__name__)

OpenChannel = collections.abc.Callable[[str], grpc.aio.Channel]


class JournalClient:
    """Opens, extends and takes over journals."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        zone: ids.ZoneId,
        clock: clocks.Clock,
        blackboard: blackboards.Blackboard,
        telemetry: metrics.Telemetry,
        local: journal_service.JournalService,
        open_channel: OpenChannel,
    ) -> None:
        self._instance_id = instance_id
        self._zone = zone
        self._clock = clock
        self._blackboard = blackboard
        self._telemetry = telemetry
        self._local = local
        self._open_channel = open_channel
        self.tokens_sent = 0
        self.bytes_sent = 0
        self._rng = random.Random(instance_id)
        self._sender_by_address: dict[str, journal_sender.JournalSender] = {}
        self._lost_until_ms_by_id: dict[ids.InstanceId, float] = {}
        self._closing: set[asyncio.Task] = set()
        self._leaving: frozenset[ids.InstanceId] = frozenset()
        self._absent_since_ms_by_id: dict[ids.InstanceId, float] = {}
        self._subscription = blackboard.instance_by_id.changes().subscribe(
            self._on_peers_changed
        )

    def new_journal(
        self,
        generation_id: ids.GenerationId,
        request: generations.GenerationRequest,
    ) -> journal_owner.OwnedJournal:
        """Return the empty journal of a generation that starts here."""
        return journal_owner.OwnedJournal(
            generation_id, request, self._instance_id
        )

    def append_nowait(
        self,
        journal: journal_owner.OwnedJournal,
        deliveries: journal_owner.Deliveries,
        finish: journal_messages.JournalFinish | None,
        done: journal_sender.DoneCallback,
    ) -> bool:
        """Send deliveries to the journal's replica without waiting.

        Return false, with nothing done, where `append` must first journal
        the complete generation at another replica.
        """
        if journal.replica is None or self._should_move(journal):
            return False
        sender = self._sender(journal.replica)
        if sender is None:
            return False
        records = journal.extend(deliveries, finish)
        self.tokens_sent += sum([len(delivery.ids) for delivery in deliveries])
        sender.submit(records, done)
        return True

    async def append(
        self,
        journal: journal_owner.OwnedJournal,
        deliveries: journal_owner.Deliveries,
        finish: journal_messages.JournalFinish | None = None,
    ) -> None:
        """Journal deliveries and wait for the acknowledgement.

        Return without one where no replica is available. Raise `Failure`
        with `OwnerFenced` where another instance took the generation over.
        """
        records = journal.extend(deliveries, finish)
        self.tokens_sent += sum([len(delivery.ids) for delivery in deliveries])
        if journal.replica is None or self._should_move(journal):
            await self._move_journal(journal)
            return
        if not await self._submit(journal, journal.replica, records):
            await self.change_replica(journal)

    async def change_replica(
        self, journal: journal_owner.OwnedJournal
    ) -> None:
        """Journal the complete generation at another instance now.

        Raise `Failure` with `OwnerFenced` where another instance took the
        generation over.
        """
        journal.retry_at_ms = 0.0
        await self._move_journal(journal)

    async def close(self) -> None:
        """Fail pending records and close all channels."""
        self._subscription.dispose()
        for sender in self._sender_by_address.values():
            await sender.close()

    def drop_journal(self, journal: journal_owner.OwnedJournal) -> None:
        """Tell the replica to drop a journal that cannot be continued."""
        sender = self._sender(journal.replica)
        if sender is not None:
            sender.submit((journal.close_record(),), lambda refusal: None)

    async def take_over(
        self,
        generation_id: ids.GenerationId,
        request: generations.GenerationRequest,
        replica: ids.InstanceId,
        offset: int,
    ) -> journal_owner.OwnedJournal:
        """Become the owner of a generation journalled at `replica`.

        Raise `Failure` with `GenerationLost`, `ResumeRefused` or
        `JournalUnavailable`.
        """
        reply = await self._send_take_over(
            replica,
            journal_messages.JournalTakeOver(
                generation_id, request, offset, self._instance_id
            ),
        )
        outcome = reply.refusal.value if reply.refusal else "taken"
        self._telemetry.takeovers.inc({"outcome": outcome})
        if reply.content is None:
            raise _refusal_failure(reply.refusal)
        journal = journal_owner.OwnedJournal(
            generation_id,
            reply.content.request,
            self._instance_id,
            owner=journal_owner.NO_OWNER,
        )
        journal.adopt(reply.content, replica)
        _log.info(
            "generation taken over",
            generation=generation_id,
            owner=journal.owner,
            journalled=journal.tokens.end,
        )
        return journal

    async def _send_take_over(
        self,
        replica: ids.InstanceId,
        request: journal_messages.JournalTakeOver,
    ) -> journal_messages.JournalTakeOverReply:
        if replica == self._instance_id:
            return await self._local.take_over(request)
        sender = self._sender(replica)
        if sender is None:
            raise self._absent_failure(replica)
        try:
            return await sender.take_over(
                request, timeout=TAKE_OVER_TIMEOUT_MS / 1000.0
            )
        except grpc.aio.AioRpcError as error:
            raise errors.Failure(
                errors.JournalUnavailable(
                    f"journal replica did not answer: {error.code()}",
                    retry_after_ms=500,
                )
            )

    def _absent_failure(self, replica: ids.InstanceId) -> errors.Failure:
        """Return the failure for a replica that has no lease now.

        A paused or partitioned replica returns with its journals, so the
        generation is reported as lost only after a bounded time.
        """
        now_ms = self._clock.now_ms()
        since_ms = self._absent_since_ms_by_id.setdefault(replica, now_ms)
        if len(self._absent_since_ms_by_id) > MAX_ABSENT_REPLICAS:
            oldest = next(iter(self._absent_since_ms_by_id))
            del self._absent_since_ms_by_id[oldest]
        if now_ms - since_ms < ABSENT_REPLICA_TIMEOUT_MS:
            return errors.Failure(
                errors.JournalUnavailable(
                    "the journal replica cannot be reached", retry_after_ms=500
                )
            )
        return errors.Failure(
            errors.GenerationLost(
                "the journal is lost; discard the part received"
            )
        )

    async def _move_journal(self, journal: journal_owner.OwnedJournal) -> None:
        """Journal the complete generation at another instance, if any."""
        now_ms = self._clock.now_ms()
        if now_ms < journal.retry_at_ms:
            return
        former = journal.replica
        journal.replica = None
        for _ in range(MAX_REPLICAS_TRIED):
            replica = self._choose_replica()
            if replica is None:
                break
            if await self._submit(journal, replica, (journal.open_record(),)):
                break
        journal.retry_at_ms = self._clock.now_ms() + RETRY_INTERVAL_MS
        if journal.replica is None:
            self._telemetry.journals_unprotected.inc({})
            _log.warning(
                "generation unprotected",
                generation=journal.generation_id,
                former=former,
            )

    def _should_move(self, journal: journal_owner.OwnedJournal) -> bool:
        return (
            journal.replica in self._leaving
            and self._clock.now_ms() >= journal.retry_at_ms
        )

    def _choose_replica(self) -> ids.InstanceId | None:
        now_ms = self._clock.now_ms()
        lost = {
            replica
            for replica, until_ms in self._lost_until_ms_by_id.items()
            if until_ms > now_ms
        }
        return journal_owner.choose_replica(
            self._blackboard.instance_by_id.read(),
            self._instance_id,
            self._zone,
            lost,
            self._rng,
        )

    async def _submit(
        self,
        journal: journal_owner.OwnedJournal,
        replica: ids.InstanceId,
        records: tuple[journal_messages.JournalRecord, ...],
    ) -> bool:
        """Send records; return whether `replica` acknowledged them."""
        if not records:
            return True
        sender = self._sender(replica)
        if sender is None:
            return False
        end = journal.tokens.end
        result = asyncio.get_running_loop().create_future()
        sender.submit(records, _result_setter(result))
        refusal = await result
        if isinstance(refusal, journal_sender.ReplicaLost):
            self.mark_lost(replica, refusal)
            return False
        if refusal is states.JournalRefusal.FENCED:
            raise errors.Failure(
                errors.OwnerFenced("another instance took over")
            )
        if refusal is not None:
            _log.warning("journal refused", replica=replica, why=refusal.value)
            return False
        journal.replica = replica
        journal.acknowledge(end)
        return True

    def _count_bytes(self, size: int) -> None:
        self.bytes_sent += size

    def mark_lost(
        self, replica: ids.InstanceId, lost: journal_sender.ReplicaLost
    ) -> None:
        """Avoid a replica for a while after it did not acknowledge."""
        self._telemetry.journal_replicas_lost.inc({})
        self._lost_until_ms_by_id[replica] = (
            self._clock.now_ms() + LOST_REPLICA_AVOID_MS
        )
        _log.warning("journal replica lost", replica=replica, why=lost.message)

    def _on_peers_changed(
        self, peer_by_id: dict[ids.InstanceId, messages.PeerInstance]
    ) -> None:
        peers = peer_by_id.values()
        for replica in peer_by_id.keys() & self._absent_since_ms_by_id.keys():
            del self._absent_since_ms_by_id[replica]
        self._leaving = frozenset(
            peer.instance for peer in peers if peer.leaving
        )
        addresses = {peer.peer_address for peer in peers}
        for address in self._sender_by_address.keys() - addresses:
            sender = self._sender_by_address.pop(address)
            closing = asyncio.create_task(sender.close())
            self._closing.add(closing)
            closing.add_done_callback(self._closing.discard)

    def _sender(
        self, replica: ids.InstanceId | None
    ) -> journal_sender.JournalSender | None:
        peer = self._blackboard.instance_by_id.read().get(replica)
        if peer is None:
            return None
        sender = self._sender_by_address.get(peer.peer_address)
        if sender is None:
            sender = self._new_sender(peer.peer_address)
            self._sender_by_address[peer.peer_address] = sender
        return sender

    def _new_sender(self, address: str) -> journal_sender.JournalSender:
        channel = self._open_channel(address)
        return journal_sender.JournalSender(
            channel,
            write=rpc.make_encoded_stub(channel, journal_methods.WRITE),
            take_over=rpc.make_stub(channel, journal_methods.TAKE_OVER),
            clock=self._clock,
            count_bytes=self._count_bytes,
        )


def _result_setter(result: asyncio.Future) -> journal_sender.DoneCallback:
    def done(refusal) -> None:
        if not result.done():
            result.set_result(refusal)

    return done


def _refusal_failure(refusal: states.JournalRefusal) -> errors.Failure:
    match refusal:
        case states.JournalRefusal.OTHER_REQUEST:
            return errors.Failure(
                errors.ResumeRefused(
                    "Last-Event-ID belongs to another request"
                )
            )
        case states.JournalRefusal.NO_BOUNDARY:
            return errors.Failure(
                errors.ResumeRefused("Last-Event-ID was never sent")
            )
        case _:
            return errors.Failure(
                errors.GenerationLost(
                    "the journal is gone; discard the part received"
                )
            )
