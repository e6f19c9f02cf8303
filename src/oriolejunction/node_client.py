"""Client of the status that the nodes of a deployment serve."""

import asyncio

import aiohttp

from oriolejunction import errors

TIMEOUT_S = 3.0


async def fetch_statuses(
    addresses: tuple[str, ...],
) -> dict[str, dict[str, object]]:
    """Return the status of each node by its metrics address.

    A node that does not answer has only an `error`.
    """
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        statuses = await asyncio.gather(
            *(_fetch_status(session, address) for address in addresses)
        )
    return dict(zip(addresses, statuses, strict=True))


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
    """Return a line for each node, and for what differs from the newest table.

    Raise `Failure` with `BadSettings` if there is no node.
    """
    if not by_address:
        raise errors.Failure(
            errors.BadSettings("name the metrics address of at least one node")
        )
    lines = []
    for address, status in by_address.items():
        if "error" in status:
            lines.append(f"{address}: no answer ({status['error']})")
            continue
        facts = " ".join(
            f"{name}={value}"
            for name, value in status.items()
            if not isinstance(value, (list, dict)) and name != "instance"
        )
        lines.append(f"{status['instance']} at {address}: {facts}")
    versions = {
        status["table_version"]
        for status in by_address.values()
        if "error" not in status
    }
    if len(versions) > 1:
        lines.append(f"table versions differ: {sorted(versions, key=str)}")
    lines += filter(None, map(_lateness, by_address.values()))
    return "\n".join(lines)


def _lateness(status: dict[str, object]) -> str:
    """Return for how long and why a node has an older table, if it does."""
    if not status.get("table_behind_ms"):
        return ""
    return (
        f"{status['instance']} has version {status['table_version']} still,"
        f" {status['table_announced']} is announced since"
        f" {status['table_behind_ms']} ms,"
        f" {status['table_bytes_left']} bytes are left"
        f" ({status['table_failure'] or 'no failure'})"
    )
