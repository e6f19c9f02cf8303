"""Records origins of streams at the control replicas, and looks them up.

Records are sent in batches, without delaying the streams: an engine takes
longer for the prefill of a prompt. One that was not acknowledged is sent
again. While a stream runs here, its record is renewed.
"""

import asyncio
import collections.abc
import math

import grpc
import msgspec
import structlog

from oriolejunction import clock as clocks
from oriolejunction.controllers import batch_limit
from oriolejunction.controllers import origin_backlog
from oriolejunction.controllers import origin_retention
from oriolejunction.controllers import software_history
from oriolejunction.controllers import stream_origins
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import rpc

BATCH_MS = 10.0
MAX_BATCH = 1_000
RETRY_DELAY_MS = 50.0
CALL_TIMEOUT_S = 0.2
# Records of running streams are checked this often at least and at most.
MAX_RENEWAL_CHECK_MS = 1_000.0
MIN_RENEWAL_CHECK_MS = 50.0
# Replicas that are asked before a call counts as failed.
MAX_REPLICAS_ASKED = 2
# Two may be on the side of a partition that has no majority of five.
MAX_REPLICAS_LOOKED_UP = 3
_log = structlog.get_logger(__name__)

Replicas = collections.abc.Callable[[], list[str]]
StubFor = collections.abc.Callable[[str, rpc.Method], rpc.Handler]


def _never() -> float:
    return -math.inf


class OriginClient:
    """The origins of this instance's streams, and access to all others."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.retention = origin_retention.OriginRetention(clock)
        self._own = stream_origins.OriginTable(clock, self.retention)
        # Each run's origin and when it was last recorded.
        self._timed_origin_by_run: dict[
            collections.abc.Hashable, tuple[fm.StreamOrigin, float]
        ] = {}
        self._unsent = origin_backlog.OriginBacklog(clock)
        self._has_unsent = asyncio.Event()
        self._batch_limit = batch_limit.BatchLimit(MAX_BATCH)
        self._replicas: Replicas = list
        self._stub_for: StubFor | None = None
        self._list_read_at_ms = _never
        self.history = software_history.SoftwareHistory(clock, self.retention)

    def connect(
        self,
        replicas: Replicas,
        stub_for: StubFor,
        list_read_at_ms: collections.abc.Callable[[], float] = _never,
    ) -> None:
        """Set the control replicas; `replicas` returns the best one first.

        `list_read_at_ms` returns when the platform's list was read last.
        """
        self._replicas = replicas
        self._stub_for = stub_for
        self._list_read_at_ms = list_read_at_ms

    def own(self, request_id: ids.RequestId) -> fm.StreamOrigin | None:
        """Return the origin of a stream that this instance has served."""
        return self._own.get(request_id)

    def record(
        self, origin: fm.StreamOrigin, run: collections.abc.Hashable
    ) -> None:
        """Record an origin here at once, and soon at a control replica.

        It is renewed until `run`, any key, has ended.
        """
        self._put(origin, run)
        self._send_soon(origin)

    def end(
        self,
        run: collections.abc.Hashable,
        is_complete: bool,
        has_events: bool = True,
    ) -> None:
        """Renew a run's record no more.

        If its answer is complete, the control replicas are told. Without
        events, another instance may begin the answer at another version.
        """
        origin, _ = self._timed_origin_by_run.pop(run, (None, 0.0))
        if origin is None:
            return
        if not has_events:
            self._own.remove(origin.request_id)
            self._unsent.discard(origin.request_id)
        elif is_complete:
            ended = msgspec.structs.replace(origin, ended=True)
            self._own.put(ended)
            self._send_soon(ended)

    def _send_soon(self, *origins: fm.StreamOrigin) -> None:
        self._unsent.add(origins)
        if self._unsent:
            self._has_unsent.set()

    @property
    def run_count(self) -> int:
        """Return the number of runs whose records are renewed."""
        return len(self._timed_origin_by_run)

    async def confirm(
        self, origin: fm.StreamOrigin, run: collections.abc.Hashable
    ) -> bool:
        """Record an origin; return whether a majority of replicas has it."""
        proposal = fm.OriginProposal(origin)
        for address in self._replicas()[:MAX_REPLICAS_ASKED]:
            reply = await self._ask(
                address, fleet_methods.ORIGIN_CONFIRM, proposal
            )
            if reply is not None and reply.by_majority:
                break
        else:
            return False
        self._put(origin, run)
        self._unsent.discard(origin.request_id)
        return True

    def _put(
        self, origin: fm.StreamOrigin, run: collections.abc.Hashable
    ) -> None:
        self._own.put(origin)
        self._timed_origin_by_run[run] = (origin, self._clock.now_ms())

    def resend(self) -> None:
        """Send all records again, to a replica that may have none.

        Callers may still come back for streams that have just ended.
        """
        self._send_soon(*self._own.all())

    async def lookup(
        self, request_id: ids.RequestId, service: ids.ServiceName
    ) -> fm.OriginReply | None:
        """Return what the control replicas know, None if none answers.

        Where the first one can't ask a majority, others are asked too.
        """
        replies: list[fm.OriginReply] = []
        for address in self._replicas()[:MAX_REPLICAS_LOOKED_UP]:
            reply = await self._ask(
                address,
                fleet_methods.ORIGIN_LOOKUP,
                fm.OriginLookup(request_id, service),
            )
            if reply is not None:
                replies.append(reply)
                if reply.by_majority:
                    break
        return stream_origins.join_replies(replies) if replies else None

    async def run(self) -> None:
        """Send new records until cancelled."""
        while True:
            await self._has_unsent.wait()
            await self._clock.sleep_ms(BATCH_MS)
            batch = self._unsent.take(self._batch_limit.current)
            is_sent = await self._send(fm.OriginsRequest(batch))
            self._batch_limit.record(len(batch), is_sent)
            if not is_sent:
                self._unsent.put_back(batch)
                await self._clock.sleep_ms(RETRY_DELAY_MS)
            if not self._unsent:
                self._has_unsent.clear()

    async def run_renewals(self) -> None:
        """Renew the records of running streams until cancelled.

        Once a stream ends, its record stays for `return_ms` at least.
        """
        while True:
            return_ms = self.retention.return_ms
            interval_ms = max(
                MIN_RENEWAL_CHECK_MS, min(MAX_RENEWAL_CHECK_MS, return_ms / 2)
            )
            await self._clock.sleep_ms(interval_ms)
            self.history.mark_read(self._list_read_at_ms())
            last_ms = self._clock.now_ms() - return_ms + interval_ms
            for run, timed in list(self._timed_origin_by_run.items()):
                origin, recorded_ms = timed
                if recorded_ms <= last_ms:
                    self.record(origin, run)

    async def _send(self, request: fm.OriginsRequest) -> bool:
        """Send origins to a replica; return whether one has them."""
        for address in self._replicas()[:MAX_REPLICAS_ASKED]:
            reply = await self._ask(address, fleet_methods.ORIGINS, request)
            if reply is not None:
                return True
        return False

    async def _ask(self, address: str, method: rpc.Method, request):
        call = self._stub_for(address, method)
        try:
            return await call(request, timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            _log.info(
                "origins not reached",
                method=method.name,
                replica=address,
                code=error.code().name,
            )
            return None
