"""Client of the platform's list of live and leaving instances."""

import aiohttp
import msgspec
import structlog

from oriolejunction import clock as clocks
from oriolejunction.controllers import membership as memberships
from oriolejunction.http import bounded_body
from oriolejunction.http import fetch_errors
from oriolejunction import ids
from oriolejunction import states
from oriolejunction import tolerant_json

POLL_INTERVAL_MS = 1_000
REQUEST_TIMEOUT_S = 1.0
_log = structlog.get_logger(__name__)


class ListedInstance(msgspec.Struct, frozen=True):
    """One entry of the platform's list."""

    name: ids.EngineId
    state: states.ListedState


_decode = msgspec.json.Decoder(ListedInstance).decode
_decode_list = msgspec.json.Decoder(list[msgspec.Raw]).decode


class PlatformListPoller:
    """Poll the list; without a URL all configured engines count as listed.

    After a failed poll the last list stays in use.
    """

    def __init__(
        self,
        url: str | None,
        clock: clocks.Clock,
        membership: memberships.Membership,
    ) -> None:
        self._url = url
        self._clock = clock
        self._membership = membership
        self._session: aiohttp.ClientSession | None = None

    async def run(self) -> None:
        """Poll for as long as the instance lives."""
        if self._url is None:
            return
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        )
        while True:
            await self._poll()
            await self._clock.sleep_ms(POLL_INTERVAL_MS)

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _poll(self) -> None:
        try:
            async with self._session.get(self._url) as response:
                response.raise_for_status()
                listed = read_list(await bounded_body.read(response))
        except fetch_errors.FETCH_ERRORS as error:
            _log.warning("no platform list", why=repr(error))
            return
        self._membership.observe_list(
            {entry.name: entry.state for entry in listed}
        )


def read_list(data: bytes) -> list[ListedInstance]:
    """Return the entries that can be read; raise `msgspec.DecodeError`.

    Whatever one entry holds must not make the others unreadable.
    """
    try:
        entries = _decode_list(data)
    except tolerant_json.DECODE_ERRORS:
        entries, _ = tolerant_json.split_items(data)
    listed, faults = [], []
    for entry in entries:
        try:
            listed.append(_decode(entry))
        except tolerant_json.DECODE_ERRORS as error:
            faults.append(str(error))
    if faults:
        _log.warning(
            "entries of the platform list not read",
            count=len(faults),
            why=faults[0],
        )
    return listed
