"""HTTP client of the plain services.

Connections are never reused: the HTTP library may send a request a second
time if the service has just closed the idle connection.
"""

import aiohttp
import yarl

from oriolejunction import commands
from oriolejunction import errors
from oriolejunction.http import bounded_body

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 30.0


class ServiceClient:
    """Send each call once."""

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(
                total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
            ),
        )

    async def send(
        self,
        url: str,
        method: str,
        path_and_query: str,
        headers: dict[str, str],
        body: bytes,
    ) -> commands.StoredAnswer:
        """Send a call and return its answer.

        Raise `Failure` with `ServiceFailed` where the outcome is unknown,
        or with `NoEngine` where the service was not reached and nothing was
        sent.
        """
        try:
            async with self._session.request(
                method,
                yarl.URL(url + path_and_query, encoded=True),
                headers=headers,
                data=body,
                allow_redirects=False,
            ) as response:
                return commands.StoredAnswer(
                    status=response.status,
                    content_type=response.content_type,
                    body=await bounded_body.read(response),
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise errors.Failure(errors.NoEngine(f"not reached: {error}"))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise errors.Failure(errors.ServiceFailed(repr(error)))

    async def close(self) -> None:
        """Close the session."""
        await self._session.close()
