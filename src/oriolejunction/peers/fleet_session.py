"""An entry instance's stream to the control replica it watches.

Load pattern: reports and watch replies several times a second at each of
hundreds of instances. A message on a stream costs a replica about a third of a
call. Replicas of an earlier version serve calls only.
"""

import asyncio
import collections.abc
import typing

import grpc
import structlog

from oriolejunction import clock as clocks
from oriolejunction import fleet_messages as fm
from oriolejunction.peers import fleet_methods
from oriolejunction.peers import rpc

# A replica answers a watch within 400 ms; the rest is for the network.
WATCH_TIMEOUT_S = 0.7
REPORT_TIMEOUT_S = 0.4
# A replica without streams may be updated within a rolling update.
CALLS_ONLY_MS = 10_000.0
_log = structlog.get_logger(__name__)


class ReplicaLost(Exception):
    """A control replica could not be reached or did not answer in time."""


class FleetSession:
    """Reports and watches, on one stream at a time."""

    def __init__(
        self,
        clock: clocks.Clock,
        stub_for: collections.abc.Callable[[str, rpc.Method], rpc.Handler],
        stream_to: collections.abc.Callable[
            [str, rpc.Method], grpc.aio.StreamStreamCall
        ],
    ) -> None:
        self._clock = clock
        self._stub_for = stub_for
        self._stream_to = stream_to
        self._address: str | None = None
        self._stream: grpc.aio.StreamStreamCall | None = None
        # One write at a time; gRPC permits no more.
        self._write_lock = asyncio.Lock()
        self._calls_only_until_ms: dict[str, float] = {}

    async def watch(
        self, address: str, request: fm.WatchRequest
    ) -> fm.WatchReply:
        """Return the reply to a watch, or raise `ReplicaLost`."""
        if address != self._address:
            self.close()
        if self._has_calls_only(address):
            return await self._call_watch(address, request)
        stream = self._stream
        if stream is None:
            stream = self._stream_to(address, fleet_methods.SESSION)
            self._address, self._stream = address, stream
        try:
            async with asyncio.timeout(WATCH_TIMEOUT_S):
                await self._write(stream, fm.SessionMessage(watch=request))
                reply = await stream.read()
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            # The code of an ended stream is known.
            code = await stream.code()
            self.close()
            if code is not grpc.StatusCode.UNIMPLEMENTED:
                raise ReplicaLost(code.name) from None
            _log.info("control replica without streams", replica=address)
            until_ms = self._clock.now_ms() + CALLS_ONLY_MS
            self._calls_only_until_ms[address] = until_ms
            return await self._call_watch(address, request)
        except TimeoutError:
            self.close()
            raise ReplicaLost("no reply in time") from None
        except asyncio.CancelledError:
            self.close()
            _raise_if_cancelled()
            raise ReplicaLost("stream cancelled") from None
        if reply is grpc.aio.EOF:
            self.close()
            raise ReplicaLost("stream ended")
        return reply

    async def report(self, address: str, report: fm.EntryReport) -> None:
        """Send a report; raise `ReplicaLost` if it cannot be sent."""
        stream = self._stream
        if stream is None or address != self._address:
            await self._call(
                address,
                fleet_methods.REPORT,
                fm.ReportRequest(report),
                REPORT_TIMEOUT_S,
            )
            return
        try:
            # `watch` closes a stream on which nothing moves any more.
            await self._write(stream, fm.SessionMessage(report=report))
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError) as error:
            raise ReplicaLost(type(error).__name__) from error
        except asyncio.CancelledError:
            _raise_if_cancelled()
            raise ReplicaLost("stream cancelled") from None

    def close(self) -> None:
        """Cancel the stream."""
        if self._stream is not None:
            self._stream.cancel()
        self._stream = self._address = None

    async def _write(
        self, stream: grpc.aio.StreamStreamCall, message: fm.SessionMessage
    ) -> None:
        async with self._write_lock:
            await stream.write(message)

    def _has_calls_only(self, address: str) -> bool:
        until_ms = self._calls_only_until_ms.get(address, float("-inf"))
        return self._clock.now_ms() < until_ms

    async def _call_watch(
        self, address: str, request: fm.WatchRequest
    ) -> fm.WatchReply:
        return await self._call(
            address, fleet_methods.WATCH, request, WATCH_TIMEOUT_S
        )

    async def _call(
        self,
        address: str,
        method: rpc.Method,
        request: typing.Any,
        timeout_s: float,
    ) -> typing.Any:
        call = self._stub_for(address, method)
        try:
            return await call(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            raise ReplicaLost(error.code().name) from error


def _raise_if_cancelled() -> None:
    """Raise if this task is cancelled, and not only the stream."""
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
