"""The platform's list of backend servers.

Entries may come from different writers, so an entry that can't be read, or
holds what no server can have, is skipped and the others are used.
"""

import typing

import aiohttp
import msgspec
import structlog

from oriolejunction import backends
from oriolejunction.http import paged_list
from oriolejunction import ids
from oriolejunction import settings
from oriolejunction import tolerant_json

# More requests at once, or a longer cold start, make no sense.
MAX_SLOTS = 1_000_000
MAX_COLD_MS = 86_400_000.0
MAX_NAME_CHARACTERS = 256
# How many unreadable entries of a page are logged.
MAX_LOGGED = 3
# Any 64-bit integer; the messages between instances hold no larger one.
MAX_BORN_MS = (1 << 63) - 1
_LEAVING_BY_STATE = {"ready": False, "draining": True}
_log = structlog.get_logger(__name__)


_Name = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)
]


class _Entry(msgspec.Struct):
    id: _Name
    service: _Name
    address: _Name
    zone: _Name
    state: _Name
    slots: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)] = 0
    version: typing.Annotated[
        str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)
    ] = ""
    cold_remaining_ms: typing.Annotated[
        float, msgspec.Meta(ge=0.0, le=MAX_COLD_MS)
    ] = msgspec.field(name="coldRemainingMs", default=0.0)
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

    def read(data: bytes) -> tuple[list[backends.Backend], str | None]:
        page = read_page(data)
        return read_entries(page.instances), page.next

    return await paged_list.fetch(
        session, f"http://{address}/instances", "pageToken", read
    )


def read_page(data: bytes) -> _Page:
    """Return a page; raise `msgspec.DecodeError`.

    Whatever one entry holds must not make the others unreadable.
    """
    try:
        return _decode_page(data)
    except tolerant_json.DECODE_ERRORS:
        entries, rest = tolerant_json.split_items(data, "instances")
        following = _decode_page(rest).next
        return _Page([msgspec.Raw(each) for each in entries], following)


def read_entries(
    entries: list[msgspec.Raw],
) -> list[backends.Backend]:
    """Return the backend servers of the entries that can be read."""
    found, faults = [], []
    for entry in entries:
        try:
            found.append(_read_entry(entry))
        except tolerant_json.DECODE_ERRORS as error:
            faults.append(str(error) or type(error).__name__)
    if faults:
        _log.warning(
            "entries name no usable backend server",
            count=len(faults),
            of=len(entries),
            why=faults[:MAX_LOGGED],
        )
    return found


def _read_entry(raw: msgspec.Raw) -> backends.Backend:
    """Return the server of an entry, or raise one of `DECODE_ERRORS`."""
    entry = _decode_entry(raw)
    if "\ufffd" in entry.id + entry.service + entry.zone:
        raise ValueError("a name is not UTF-8")
    if entry.state not in _LEAVING_BY_STATE:
        raise ValueError(f"{entry.id}: unknown state {entry.state!r}")
    host, port = settings.split_address(entry.address)
    if not port or entry.address != f"{host}:{port}":
        raise ValueError(f"{entry.id}: no address in {entry.address!r}")
    return backends.Backend(
        backend_id=ids.BackendId(entry.id),
        service=ids.ServiceName(entry.service),
        address=entry.address,
        zone=ids.ZoneId(entry.zone),
        slots=entry.slots,
        leaving=_LEAVING_BY_STATE[entry.state],
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
