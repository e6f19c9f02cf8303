"""Asks nodes of a deployment what they believe."""

import asyncio

import aiohttp

from oriolejunction import errors

TIMEOUT_S = 3.0


async def fetch_statuses(
    addresses: tuple[str, ...],
) -> dict[str, dict[str, object]]:
    """Return what each node tells of itself, by metrics address.

    A node that does not answer has an `error` in place of its beliefs.
    """
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        told = await asyncio.gather(
            *(_fetch_status(session, address) for address in addresses)
        )
    return dict(zip(addresses, told, strict=True))


async def _fetch_status(
    session: aiohttp.ClientSession, address: str
) -> dict[str, object]:
    try:
        async with session.get(f"http://{address}/status") as response:
            response.raise_for_status()
            return await response.json()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        return {"error": f"{type(error).__name__}: {error}"}


def status_table(by_address: dict[str, dict[str, object]]) -> str:
    """Return one line for each node, and lines for what differs.

    Raise `Failure` with `BadSettings` where no node was named.
    """
    if not by_address:
        raise errors.Failure(
            errors.BadSettings("name the metrics address of one node or more")
        )
    lines = []
    for address, told in by_address.items():
        if "error" in told:
            lines.append(f"{address}: no answer ({told['error']})")
            continue
        facts = " ".join(
            f"{name}={value}"
            for name, value in told.items()
            if not isinstance(value, (list, dict)) and name != "instance"
        )
        lines.append(f"{told['instance']} at {address}: {facts}")
    versions = {
        told["table_version"]
        for told in by_address.values()
        if "error" not in told
    }
    if len(versions) > 1:
        lines.append(f"table versions differ: {sorted(versions, key=str)}")
    return "\n".join(lines)
