"""A server that writes answers once more, on the connection of the first.

Each refusal is repeated, and some other answers: with the first, some ms
later, or where the next answer on that connection is due.
"""

import asyncio
import collections.abc
import random

from tests.platform import gateway_rig
from tests.soak import guarantees

MAX_DELAY_S = 0.03
CALL_S = 0.045
REFUSED_SHARE = 1 / 20
REPEATED_SHARE = 1 / 40


class RepeatingServer:
    """Serves requests as the server with an id, and refuses those for others.

    A stream is served by `serve_stream`; its answer is not repeated.
    """

    def __init__(
        self,
        server_id: str,
        report: collections.abc.Callable[[str], None],
        serve_stream: gateway_rig.Behaviour,
    ) -> None:
        self._id = server_id
        self._report = report
        self._serve_stream = serve_stream
        self._rng = random.Random(server_id)
        # Written on a connection once its next request has arrived.
        self._due: dict[asyncio.StreamWriter, bytes] = {}

    async def serve(self, arrival: gateway_rig.Arrival) -> None:
        """Run a request, or turn it away without running it."""
        arrival.writer.write(self._due.pop(arrival.writer, b""))
        request_id = arrival.headers["attempt-id"]
        expected = arrival.headers.get("expected-instance", self._id)
        if expected != self._id:
            self._write(arrival, refusal("421 Misdirected", request_id), True)
        elif self._rng.random() < REFUSED_SHARE:
            self._write(arrival, refusal("503 Full", request_id), True)
        elif request_id.startswith("stream"):
            await self._serve_stream(arrival)
        else:
            self._report(request_id)
            await asyncio.sleep(CALL_S)
            is_repeated = self._rng.random() < REPEATED_SHARE
            self._write(arrival, success(arrival), is_repeated)

    def _write(
        self, arrival: gateway_rig.Arrival, answer: bytes, is_repeated: bool
    ) -> None:
        arrival.writer.write(answer)
        if not is_repeated:
            return
        match self._rng.choice(["with", "later", "due"]):
            case "with":
                arrival.writer.write(answer)
            case "later":
                asyncio.get_running_loop().call_later(
                    self._rng.uniform(0.0, MAX_DELAY_S),
                    arrival.writer.write,
                    answer,
                )
            case "due":
                self._due[arrival.writer] = answer


def refusal(status: str, request_id: str) -> bytes:
    """Return an answer that says that a request was not run."""
    return (
        f"HTTP/1.1 {status}\r\nAttempt-Id: {request_id}\r\n"
        "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def success(arrival: gateway_rig.Arrival) -> bytes:
    """Return the answer of a call, which names its request."""
    body = guarantees.call_body(arrival.headers["attempt-id"])
    return arrival.head(extra=b"Content-Length: %d\r\n" % len(body)) + body
