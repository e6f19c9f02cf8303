"""A backend server as a process of its own, which signals can stop.

While it is stopped, the kernel still accepts connections for it and takes
their bytes. It prints its address, then the id of each request that it begins
to run, and once more with both times when it ends a stream.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import signal
import sys
import time

from tests.platform import gateway_rig
from tests.soak import guarantees
from tests.soak import repeated_answers

EVENT_INTERVAL_S = 0.02
CALL_S = 0.01


class ServerProcess:
    """Starts a server of a kind, and reports what it runs."""

    def __init__(
        self,
        name: str,
        kind: str,
        on_run: collections.abc.Callable[[str, str], None],
        on_stream_end: collections.abc.Callable[
            [str, str, float, float], None
        ],
    ) -> None:
        """Call `on_run` with the server's name and each request's id.

        `on_stream_end` gets the times of the run as well. A server of the
        kind "repeating" repeats answers; see `repeated_answers`.
        """
        self.name, self.address = name, ""
        # Changes with each restart.
        self.server_id = name
        self._starts = 0
        self._kind, self._on_run = kind, on_run
        self._on_stream_end = on_stream_end
        self._process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        port = self.address.rpartition(":")[2] or "0"
        self._process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "tests.soak.server_process"),
            *(self.server_id, self._kind, port),
            stdout=asyncio.subprocess.PIPE,
        )
        line = await self._process.stdout.readline()
        self.address = line.decode().strip()
        self._reader = asyncio.create_task(self._read())

    async def _read(self) -> None:
        async for line in self._process.stdout:
            request_id, *times_s = json.loads(line)
            if times_s:
                self._on_stream_end(self.name, request_id, *times_s)
            else:
                self._on_run(self.name, request_id)

    async def restart(self) -> None:
        """Kill the process, and start it at its address under a new id."""
        await self.close()
        self._starts += 1
        self.server_id = f"{self.name}+{self._starts}"
        await self.start()

    async def stop_for(self, duration_s: float) -> None:
        """Stop the process by a signal, and let it go on later.

        It may be killed meanwhile, or be starting again.
        """
        process = self._process
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            process.send_signal(signal.SIGCONT)

    async def close(self) -> None:
        """Kill the process and read what it wrote."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        if self._reader is not None:
            await self._reader


@dataclasses.dataclass(frozen=True)
class Work:
    """The runs of one server; `report` tells of each when it begins.

    `report_end` tells when a stream's run began and ended.
    """

    report: collections.abc.Callable[[str], None]
    report_end: collections.abc.Callable[[str, float, float], None]

    async def serve_call(self, arrival: gateway_rig.Arrival) -> None:
        """Run a call, or turn it away without running it."""
        request_id = arrival.headers["attempt-id"]
        number = int(request_id.rsplit("-", 1)[1])
        if number % 11 == 0:
            arrival.refuse()
            return
        self.report(request_id)
        await asyncio.sleep(CALL_S)
        if number % 13 == 0:
            arrival.answer(b"failed", "500 Failed")
        else:
            arrival.answer(b"done")

    async def serve_stream(self, arrival: gateway_rig.Arrival) -> None:
        """Send the events of a stream after the last one that arrived."""
        request_id = arrival.headers["attempt-id"]
        self.report(request_id)
        began_s = time.monotonic()
        first = int(arrival.headers.get("last-event-id", 0)) + 1
        try:
            arrival.begin()
            for number in range(first, guarantees.EVENTS_PER_STREAM + 1):
                arrival.events([number])
                await arrival.writer.drain()
                await asyncio.sleep(EVENT_INTERVAL_S)
            arrival.end()
        finally:
            self.report_end(request_id, began_s, time.monotonic())


async def _serve(server_id: str, kind: str, port: str) -> None:
    work = Work(_print_run, _print_run)
    behave = {
        "call": work.serve_call,
        "stream": work.serve_stream,
        "repeating": repeated_answers.RepeatingServer(
            server_id, _print_run, work.serve_stream
        ).serve,
    }[kind]
    server = gateway_rig.Engine(server_id, behave)
    await server.start(int(port))
    print(server.address, flush=True)
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.Event().wait()


def _print_run(request_id: str, *times_s: float) -> None:
    print(json.dumps([request_id, *times_s]), flush=True)


if __name__ == "__main__":
    asyncio.run(_serve(*sys.argv[1:]))
