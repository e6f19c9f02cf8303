"""Reads a list that a server hands out in pages."""

import collections.abc
import typing

import aiohttp

from oriolejunction import errors
from oriolejunction.http import bounded_body
from oriolejunction.http import fetch_errors

CALL_TIMEOUT_S = 1.0
MAX_PAGES = 200

Item = typing.TypeVar("Item")
# Returns the items of a page, and the token of the following page if any.
ReadPage = collections.abc.Callable[
    [bytes], tuple[collections.abc.Iterable[Item], str | None]
]


async def fetch(
    session: aiohttp.ClientSession,
    url: str,
    token_parameter: str,
    read_page: ReadPage[Item],
) -> tuple[Item, ...]:
    """Return all items; raise `Failure` with `ListUnavailable`."""
    found: list[Item] = []
    params: dict[str, str] = {}
    try:
        for _ in range(MAX_PAGES):
            items, token = read_page(await _fetch_page(session, url, params))
            found += items
            if token is None:
                return tuple(found)
            params = {token_parameter: token}
    except fetch_errors.FETCH_ERRORS as error:
        raise errors.Failure(errors.ListUnavailable(repr(error)))
    raise errors.Failure(errors.ListUnavailable("the list has too many pages"))


async def _fetch_page(
    session: aiohttp.ClientSession, url: str, params: dict[str, str]
) -> bytes:
    async with session.get(
        url,
        params=params,
        timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
    ) as response:
        if response.status != 200:
            raise errors.Failure(
                errors.ListUnavailable(f"status {response.status}")
            )
        return await bounded_body.read(response)
