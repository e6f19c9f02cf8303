"""Client of the operators' listener, for the command line."""

import collections.abc
import getpass
import json
import typing

import aiohttp

from oriolejunction import clock as clocks
from oriolejunction import errors

TIMEOUT_S = 20.0
START_TIMEOUT_MS = 30_000
RETRY_INTERVAL_MS = 50


class OperatorError(errors.ServingError):
    """An operator's command failed; `message` says why."""

    code = "operator_error"


class OperatorClient:
    """Submit, accept and withdraw changes and read state over HTTP."""

    def __init__(self, url: str, token: str) -> None:
        self._url = url.rstrip("/")
        self._headers = {
            "Authorization": f"Bearer {token}",
            "X-Operator": getpass.getuser(),
        }

    async def submit(self, answers_toml: str) -> dict[str, typing.Any]:
        """Store a draft and return its id and differences."""
        return await self._send("POST", "/drafts", data=answers_toml)

    async def accept(self, draft: str) -> dict[str, typing.Any]:
        """Put a draft in force on every instance."""
        return await self._change("/accept", draft)

    async def withdraw(self, target: str) -> dict[str, typing.Any]:
        """Drop a draft or restore what was in force before a revision."""
        return await self._change("/withdraw", target)

    async def status(self) -> dict[str, typing.Any]:
        """Return each instance and the revision in force there."""
        return await self._send("GET", "/status")

    async def audit(self) -> dict[str, typing.Any]:
        """Return the audit log of changes."""
        return await self._send("GET", "/audit")

    async def _change(self, path: str, target: str):
        body = {"target": target, "operator": self._headers["X-Operator"]}
        return await self._send("POST", path, data=json.dumps(body))

    async def _send(self, method: str, path: str, data: str | None = None):
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with aiohttp.request(
                method,
                self._url + path,
                data=data,
                headers=self._headers,
                timeout=timeout,
            ) as response:
                reply = await response.json()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise errors.Failure(
                OperatorError(
                    f"no answer from {self._url}; the command may have"
                    f" taken effect, send it again: {error!r}"
                )
            )
        if "error" in reply:
            raise errors.Failure(OperatorError(reply["error"]["message"]))
        return reply


Operation = collections.abc.Callable[
    [], collections.abc.Awaitable[dict[str, typing.Any]]
]


async def retry_until_done(
    operation: Operation,
    clock: clocks.Clock,
    timeout_ms: float = START_TIMEOUT_MS,
) -> dict[str, typing.Any]:
    """Retry an idempotent operation until it succeeds.

    Control replicas refuse operations while their group is being formed.
    Raise the last `Failure` after `timeout_ms`.
    """
    give_up_ms = clock.now_ms() + timeout_ms
    while True:
        try:
            return await operation()
        except errors.Failure:
            if clock.now_ms() >= give_up_ms:
                raise
        await clock.sleep_ms(RETRY_INTERVAL_MS)
