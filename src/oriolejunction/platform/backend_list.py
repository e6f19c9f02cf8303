"""The platform's list of backend servers.

Entries may come from different writers, so an entry that can't be read is
skipped and the others are used.
"""

import aiohttp
import msgspec
import structlog

from oriolejunction import backends
from oriolejunction import errors
from oriolejunction.http import bounded_body
from oriolejunction.http import fetch_errors
from oriolejunction import ids

CALL_TIMEOUT_S = 1.0
MAX_PAGES = 200
# Any 64-bit integer; the messages between instances hold no larger one.
MAX_BORN_MS = (1 << 63) - 1
_LEAVING_BY_STATE = {"ready": False, "draining": True}
_log = structlog.get_logger(__name__)


class _Entry(msgspec.Struct):
    id: str
    service: str
    address: str
    zone: str
    state: str
    slots: int = 0
    version: str = ""
    cold_remaining_ms: float = msgspec.field(
        name="coldRemainingMs", default=0.0
    )
    born: object = 0


class _Page(msgspec.Struct):
    instances: list[msgspec.Raw]
    # Token of the following page, None on the last one.
    next: str | None = None


_decode_page = msgspec.json.Decoder(_Page).decode
_decode_entry = msgspec.json.Decoder(_Entry).decode


async def fetch(
    session: aiohttp.ClientSession, address: str
) -> tuple[backends.Backend, ...]:
    """Return the complete list; raise `Failure` with `ListUnavailable`."""
    found: list[backends.Backend] = []
    token = None
    try:
        for _ in range(MAX_PAGES):
            page = await _fetch_page(session, address, token)
            found += read_entries(page.instances)
            token = page.next
            if token is None:
                return tuple(found)
    except fetch_errors.FETCH_ERRORS as error:
        raise errors.Failure(errors.ListUnavailable(repr(error)))
    raise errors.Failure(errors.ListUnavailable("the list has too many pages"))


async def _fetch_page(
    session: aiohttp.ClientSession, address: str, token: str | None
) -> _Page:
    params = {"pageToken": token} if token else {}
    async with session.get(
        f"http://{address}/instances",
        params=params,
        timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
    ) as response:
        if response.status != 200:
            raise errors.Failure(
                errors.ListUnavailable(f"status {response.status}")
            )
        return read_page(await bounded_body.read(response))


def read_page(data: bytes) -> _Page:
    """Return a page; raise `msgspec.DecodeError`.

    Invalid UTF-8 in one entry must not make the others unreadable.
    """
    try:
        return _decode_page(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return _decode_page(data.decode("utf-8", "replace").encode())


def read_entries(
    entries: list[msgspec.Raw],
) -> list[backends.Backend]:
    """Return the backend servers of the entries that can be read."""
    found = []
    for entry in entries:
        backend = _read_entry(entry)
        if backend is not None:
            found.append(backend)
    return found


def _read_entry(raw: msgspec.Raw) -> backends.Backend | None:
    try:
        entry = _decode_entry(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        _log.warning("unreadable entry in the list", why=str(error))
        return None
    leaving = _LEAVING_BY_STATE.get(entry.state)
    host, _, port = entry.address.rpartition(":")
    readable = "\ufffd" not in entry.id + entry.service + entry.zone
    if (
        leaving is None
        or not readable
        or not entry.id
        or not host
        or not port.isdigit()
    ):
        _log.warning(
            "entry names no usable backend server",
            id=entry.id,
            state=entry.state,
            address=entry.address,
        )
        return None
    return backends.Backend(
        backend_id=ids.BackendId(entry.id),
        service=ids.ServiceName(entry.service),
        address=entry.address,
        zone=ids.ZoneId(entry.zone),
        slots=entry.slots,
        leaving=leaving,
        cold_ms=entry.cold_remaining_ms,
        software=ids.SoftwareVersion(entry.version),
        born=read_born(entry.born),
    )


def read_born(value: object) -> int:
    """Return a Unix time in whole ms, 0 if it cannot be read."""
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        return 0
    return value if 0 < value <= MAX_BORN_MS else 0
