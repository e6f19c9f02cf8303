"""Asks engines for their reports on the requests that they run."""

import asyncio
import collections.abc

import msgspec
import structlog

from oriolejunction import backends
from oriolejunction import clock as clocks
from oriolejunction.controllers.overload import server_intake
from oriolejunction.controllers import stalls
from oriolejunction import gateway_messages
from oriolejunction.http import answer_body
from oriolejunction.http import backend_connection
from oriolejunction.http import connection_pool

REPORT_TIMEOUT_MS = 200.0
# A report has some 100 bytes for each request that its engine runs.
MAX_REPORT_BYTES = 1 << 20
CONNECT_TIMEOUT_MS = 60.0
CONNECT_TRIES = 2
SUCCESS_STATUS = 200
_log = structlog.get_logger(__name__)


class ReportReading(msgspec.Struct, frozen=True):
    """An engine's report, None if it gave none, and when it was asked.

    `has_answered` is set if it gave any answer, so that its process runs.
    """

    report: gateway_messages.EngineReport | None
    asked_ms: float
    has_answered: bool


class _Probe(msgspec.Struct, frozen=True):
    task: asyncio.Task[ReportReading]
    asked_ms: float


class EngineReports:
    """Shares each engine's report among the requests that ask for it."""

    def __init__(
        self,
        clock: clocks.Clock,
        pool: connection_pool.ConnectionPool,
        wire_format: gateway_messages.WireFormat,
        intake: server_intake.ServerIntake,
    ) -> None:
        self._intake = intake
        self._clock = clock
        self._pool = pool
        self._wire_format = wire_format
        # In the order of the times at which the engines were asked.
        self._probe_by_address: dict[str, _Probe] = {}
        self._tasks: set[asyncio.Task] = set()

    async def read(
        self, backend: backends.Backend, not_before_ms: float
    ) -> ReportReading:
        """Return a report asked for at `not_before_ms` or later.

        It was asked for less than `REPORT_INTERVAL_MS` ago. An engine that
        takes no request now gives none.
        """
        self._forget_old_probes()
        probe = self._probe_by_address.get(backend.address)
        if probe is None or probe.asked_ms < not_before_ms:
            if not self._intake.allows(backend.backend_id):
                _log.info(
                    "engine gave no report",
                    backend=backend.backend_id,
                    why="takes no request now",
                )
                return ReportReading(None, self._clock.now_ms(), False)
            self._intake.take(backend.backend_id)
            probe = self._start_probe(backend)
        # Others may wait for the same report.
        return await asyncio.shield(probe.task)

    def _start_probe(self, backend: backends.Backend) -> _Probe:
        asked_ms = self._clock.now_ms()
        task = asyncio.create_task(self._probe(backend, asked_ms))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._probe_by_address.pop(backend.address, None)
        probe = _Probe(task, asked_ms)
        self._probe_by_address[backend.address] = probe
        return probe

    async def _probe(
        self, backend: backends.Backend, asked_ms: float
    ) -> ReportReading:
        """Return an engine's report; apply what it says of its intake."""
        departures = self._intake.departures
        leaving = has_answered = False

        def observe(head: backend_connection.ResponseHead) -> None:
            nonlocal leaving, has_answered
            has_answered = True
            pause = self._wire_format.read_pause(head)
            self._intake.pauses.observe(backend.backend_id, pause, asked_ms)
            leaving = self._wire_format.read_leaving(head)
            if leaving:
                departures.observe_answer(backend, asked_ms, "report")

        report = await fetch_report(
            self._pool, self._wire_format, backend, observe
        )
        if report is not None:
            departures.observe_report(backend, report.born, leaving, asked_ms)
        return ReportReading(report, asked_ms, has_answered)

    def _forget_old_probes(self) -> None:
        oldest_ms = self._clock.now_ms() - stalls.REPORT_INTERVAL_MS
        while self._probe_by_address:
            address, probe = next(iter(self._probe_by_address.items()))
            if probe.asked_ms > oldest_ms:
                return
            del self._probe_by_address[address]


async def fetch_report(
    pool: connection_pool.ConnectionPool,
    wire_format: gateway_messages.WireFormat,
    backend: backends.Backend,
    on_head: collections.abc.Callable[[backend_connection.ResponseHead], None],
) -> gateway_messages.EngineReport | None:
    """Return an engine's report, None if it gave none in time.

    `on_head` gets the head of the engine's answer.
    """
    connection = None
    try:
        async with asyncio.timeout(REPORT_TIMEOUT_MS / 1e3):
            # A report names no request, so that a late copy of an answer on
            # a connection in use could be taken for it.
            connection = await pool.connect(
                backend.address, CONNECT_TIMEOUT_MS, CONNECT_TRIES
            )
            connection.send(
                "GET",
                wire_format.report_target,
                [(b"Host", backend.address.encode())],
                b"",
            )
            head = await connection.read_response_head()
            on_head(head)
            body = await answer_body.read(
                connection.read_chunk, MAX_REPORT_BYTES
            )
    except (
        TimeoutError,
        backend_connection.RequestNotSent,
        backend_connection.ConnectionBroken,
    ) as error:
        _log.info(
            "engine gave no report",
            backend=backend.backend_id,
            why=repr(error),
        )
        return None
    finally:
        if connection is not None:
            connection.close()
    if head.status != SUCCESS_STATUS:
        return None
    return wire_format.read_report(body)
