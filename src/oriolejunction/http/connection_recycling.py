"""Keeps connections whose answer need not be read by a request."""

import asyncio

import structlog

from oriolejunction.http import answer_body
from oriolejunction.http import backend_connection
from oriolejunction.http import gateway_common

# The body of a rejection is short and arrives with its head.
READ_TIMEOUT_MS = 200.0
_log = structlog.get_logger(__name__)


def recycle(
    deps: gateway_common.GatewayDependencies,
    connection: backend_connection.BackendConnection,
) -> None:
    """Read the rest of a rejection in the background, then pool it.

    The request does not wait for that. A connection whose answer does not
    end in time or not cleanly is closed.
    """

    async def read_rest() -> None:
        try:
            async with asyncio.timeout(READ_TIMEOUT_MS / 1e3):
                await answer_body.read(connection.read_chunk)
        except (TimeoutError, backend_connection.ConnectionBroken) as error:
            _log.info(
                "connection not kept",
                address=connection.address,
                why=repr(error),
            )
        finally:
            # Closes it unless its answer has ended.
            deps.pool.release(connection)

    task = asyncio.create_task(read_rest())
    deps.background_tasks.add(task)
    task.add_done_callback(deps.background_tasks.discard)
