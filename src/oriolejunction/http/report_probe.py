"""Asks an engine for its report on the requests that it runs."""

import asyncio

import structlog

from oriolejunction import backends
from oriolejunction import gateway_messages
from oriolejunction.http import backend_connection
from oriolejunction.http import connection_pool

REPORT_TIMEOUT_MS = 200.0
CONNECT_TIMEOUT_MS = 60.0
CONNECT_TRIES = 2
MAX_CONNECTION_IDLE_MS = 1_000.0
SUCCESS_STATUS = 200
_log = structlog.get_logger(__name__)


async def fetch_report(
    pool: connection_pool.ConnectionPool,
    wire_format: gateway_messages.WireFormat,
    backend: backends.Backend,
) -> gateway_messages.EngineReport | None:
    """Return an engine's report, None if it gave none in time."""
    connection = None
    try:
        async with asyncio.timeout(REPORT_TIMEOUT_MS / 1e3):
            connection = await pool.acquire(
                backend.address,
                CONNECT_TIMEOUT_MS,
                CONNECT_TRIES,
                MAX_CONNECTION_IDLE_MS,
            )
            connection.send(
                "GET",
                wire_format.report_target,
                [(b"Host", backend.address.encode())],
                b"",
            )
            head = await connection.read_response_head()
            body = await backend_connection.read_body(connection.read_chunk)
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
            pool.release(connection)
    if head.status != SUCCESS_STATUS:
        return None
    return wire_format.read_report(body)
