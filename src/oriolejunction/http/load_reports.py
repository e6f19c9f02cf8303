"""Polling of engines' load reports and cache events, at a bounded rate."""

import asyncio
import dataclasses

import aiohttp
import msgspec
import structlog

from oriolejunction import blackboard as blackboards
from oriolejunction import clock as clocks
from oriolejunction import configuration
from oriolejunction.controllers import membership as memberships
from oriolejunction.controllers import prefix_caches
from oriolejunction import engine_protocol
from oriolejunction.http import bounded_body
from oriolejunction.http import fetch_errors

POLL_INTERVAL_MS = 500
MAX_REPORTS_PER_S = 200
REPORT_TIMEOUT_S = 1.0
_decode_report = msgspec.json.Decoder(engine_protocol.LoadReport).decode
_decode_events = msgspec.json.Decoder(engine_protocol.CacheEvents).decode
_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class ReportDependencies:
    """What the poller reads and updates."""

    clock: clocks.Clock
    blackboard: blackboards.Blackboard
    membership: memberships.Membership
    caches: prefix_caches.PrefixCaches


class LoadReportPoller:
    """Poll each configured engine; a slow engine delays no other."""

    def __init__(self, deps: ReportDependencies) -> None:
        self._deps = deps
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S),
        )
        self._polls: dict[str, asyncio.Task] = {}

    async def run(self) -> None:
        """Poll for as long as the instance lives."""
        while True:
            engines = self._sync_engines()
            for engine in engines:
                self._start_poll(engine)
            await self._deps.clock.sleep_ms(poll_interval_ms(len(engines)))

    async def close(self) -> None:
        """Stop all polls and close the connections."""
        for poll in self._polls.values():
            poll.cancel()
        await asyncio.gather(*self._polls.values(), return_exceptions=True)
        await self._session.close()

    def _sync_engines(self) -> tuple[configuration.Engine, ...]:
        in_force = self._deps.blackboard.in_force.read()
        engines = in_force.configuration.engines if in_force else ()
        self._deps.membership.retain_only(
            frozenset(engine.engine_id for engine in engines)
        )
        return engines

    def _start_poll(self, engine: configuration.Engine) -> None:
        if engine.engine_id in self._polls:
            return
        poll = asyncio.create_task(self._poll(engine))
        self._polls[engine.engine_id] = poll
        poll.add_done_callback(
            lambda done: self._polls.pop(engine.engine_id, None)
        )

    async def _poll(self, engine: configuration.Engine) -> None:
        try:
            await self._poll_load(engine)
            await self._poll_cache(engine)
        except fetch_errors.FETCH_ERRORS as error:
            self._deps.membership.suspect(engine.engine_id)
            _log.debug("no report", engine=engine.engine_id, why=repr(error))

    async def _poll_load(self, engine: configuration.Engine) -> None:
        sent_at_ms = self._deps.clock.now_ms()
        async with self._session.get(engine.url + "/load") as response:
            response.raise_for_status()
            report = _decode_report(await bounded_body.read(response))
        self._deps.membership.observe_report(
            msgspec.structs.replace(report, engine_id=engine.engine_id),
            sent_at_ms,
        )

    async def _poll_cache(self, engine: configuration.Engine) -> None:
        since = self._deps.caches.last_number(engine.engine_id)
        url = f"{engine.url}/cache_events?since={since}"
        async with self._session.get(url) as response:
            if response.status != 200:
                return
            events = _decode_events(await bounded_body.read(response))
        self._deps.caches.observe(engine.engine_id, events)


def poll_interval_ms(engines: int) -> float:
    """Return the time between two polls of the same engine."""
    return max(POLL_INTERVAL_MS, engines / MAX_REPORTS_PER_S * 1000.0)
