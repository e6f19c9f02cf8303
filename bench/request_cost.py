"""Processor time of an entry instance by request, event and second.

``python -m bench.request_cost [--source FOLDER ...] [--profile FILE]`` starts
three control replicas and three entry instances in front of scripted backend
servers, and prints what an entry instance used: without requests, with calls
only, with streams of one and of many events, and with a mix of both. Up to
three folders with the package are compared: each has an entry instance, and
all get the same requests at the same time, because the cost of a request
depends on what else the machine does. With ``--profile`` it runs the mix only,
and writes a cProfile of the first instance to FILE, which is by wall clock.
"""

import argparse
import asyncio
import collections.abc
import pathlib
import signal
import tempfile
import time

import aiohttp
import psutil

from tests.platform import gateway_rig
from tests.soak import fleet as fleets
from tests.soak import soak

STREAM_EVENTS = 140
EVENT_INTERVAL_S = 0.02
CALLS_PER_STREAM = 4
MIX_PER_S = 4.0
# High enough that reports and watches are a small part.
CALLS_PER_S, STREAMS_PER_S = 25.0, 2.5
EVENTS_HEADER = "X-Events"


class Servers(fleets.Fleet):
    """A fleet whose streams have as many events as the request asks for."""

    async def _serve(
        self,
        name: str,
        behave: gateway_rig.Behaviour,
        arrival: gateway_rig.Arrival,
    ) -> None:
        if EVENTS_HEADER.lower() not in arrival.headers:
            await asyncio.sleep(0.01)
            arrival.answer(b"done" * 100)
            return
        arrival.begin()
        count = int(arrival.headers[EVENTS_HEADER.lower()])
        for number in range(1, count + 1):
            arrival.events([number])
            await arrival.writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        arrival.end()


class Callers:
    """Sends requests to one entry instance at a steady rate."""

    def __init__(
        self, session: aiohttp.ClientSession, node: fleets.Node
    ) -> None:
        self._session = session
        self._node = node
        self._count = 0
        self.failed = 0

    async def send(self, kind: str, events: int = 0) -> bool:
        """Send one request; return whether it was answered."""
        try:
            is_whole = await self._send(kind, events)
        except aiohttp.ClientError:
            is_whole = False
        self.failed += not is_whole
        return is_whole

    async def _send(self, kind: str, events: int) -> bool:
        self._count += 1
        url = f"http://{self._node.ip}:{fleets.ENTRY_PORT}"
        async with self._session.request(
            "GET" if kind == "look" else "POST",
            url + soak.PATH_BY_KIND[kind],
            headers={
                **soak.HEADERS,
                "Attempt-Id": f"{kind}-{self._count}",
                "Deadline-Ms": "20000",
                "Prompt-Prefix": "1a:400,2b:600",
                "Token-Counts": "1000,1120",
                EVENTS_HEADER: str(events),
            },
            data=b"prompt" * 700,
        ) as response:
            body = await response.read()
        return response.status == 200 and body.count(b"id: ") == events

    async def run(
        self,
        per_s: float,
        seconds: float,
        next_kind: collections.abc.Callable[[int], tuple[str, int]],
    ) -> int:
        """Send requests for some seconds, and wait until all have ended."""
        count = int(per_s * seconds)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        async with asyncio.TaskGroup() as tasks:
            for index in range(count):
                tasks.create_task(self.send(*next_kind(index)))
                await asyncio.sleep(
                    began_s + (index + 1) / per_s - loop.time()
                )
        return count


def _mixed(index: int) -> tuple[str, int]:
    if index % (CALLS_PER_STREAM + 1) == 0:
        return "stream", STREAM_EVENTS
    return "look", 0


class Measurement:
    """What one entry instance of a fleet uses, by phase."""

    def __init__(self, node: fleets.Node, callers: Callers) -> None:
        self._callers = callers
        self._process = psutil.Process(node.process.pid)
        # The processor clock of another process on Linux, in ns. Its times in
        # /proc are counted in ticks of 10 ms.
        self._cpu_clock = (~node.process.pid << 3) | 2
        self.idle_share = 0.0

    def _cpu_s(self) -> float:
        return time.clock_gettime(self._cpu_clock)

    async def share(self, work: collections.abc.Awaitable) -> float:
        """Return the part of a core that is used during some work."""
        cpu_s, began_s = self._cpu_s(), time.monotonic()
        await work
        return (self._cpu_s() - cpu_s) / (time.monotonic() - began_s)

    async def cost_ms(
        self, per_s: float, seconds: float, kind: str, events: int
    ) -> float:
        """Return the processor time of a request, in ms."""
        cpu_s, began_s = self._cpu_s(), time.monotonic()
        count = await self._callers.run(
            per_s, seconds, lambda _: (kind, events)
        )
        used_s = self._cpu_s() - cpu_s
        idle_s = self.idle_share * (time.monotonic() - began_s)
        return (used_s - idle_s) / count * 1e3

    def resident_mb(self) -> float:
        """Return the resident memory."""
        return self._process.memory_info().rss / (1 << 20)


async def _measure(node, callers: Callers, seconds: float) -> None:
    measurement = Measurement(node, callers)
    cost_ms = measurement.cost_ms
    measurement.idle_share = await measurement.share(asyncio.sleep(seconds))
    call = await cost_ms(CALLS_PER_S, seconds, "look", 0)
    short = await cost_ms(CALLS_PER_S, seconds, "stream", 1)
    long = await cost_ms(STREAMS_PER_S, seconds, "stream", STREAM_EVENTS)
    mix = await measurement.share(callers.run(MIX_PER_S, seconds, _mixed))
    event = (long - short) / (STREAM_EVENTS - 1)
    print(
        f"{node.source}:\n"
        f"    without requests       {measurement.idle_share:.4f} of a core\n"
        f"    a call                 {call:.2f} ms\n"
        f"    a stream of one event  {short:.2f} ms\n"
        f"    each further event     {event:.3f} ms\n"
        f"    mix of {MIX_PER_S:.0f}/s            {mix:.4f} of a core\n"
        f"    resident memory        {measurement.resident_mb():.1f} MB\n"
        f"    failed requests        {callers.failed}"
    )


async def _run(options: argparse.Namespace) -> None:
    with tempfile.TemporaryDirectory() as folder:
        fleet = Servers(pathlib.Path(folder), 0)
        nodes = fleet.entries[: len(options.source)]
        for node, source in zip(nodes, options.source):
            node.source = source
        if options.profile:
            profiler = ("-m", "cProfile", "-o", options.profile)
            nodes[0].python_options = profiler
        await fleet.start()
        try:
            async with aiohttp.ClientSession() as session:
                await _publish(session, fleet)
                callers = [Callers(session, node) for node in nodes]
                for each in callers:
                    await _warm_up(each)
                if options.profile:
                    await callers[0].run(MIX_PER_S, options.seconds, _mixed)
                    nodes[0].signal_process(signal.SIGTERM)
                    await nodes[0].process.wait()
                    return
                await asyncio.gather(
                    *(
                        _measure(node, each, options.seconds)
                        for node, each in zip(nodes, callers)
                    )
                )
        finally:
            await fleet.close()


async def _warm_up(callers: Callers) -> None:
    """Send requests until the instance serves them."""
    async with asyncio.timeout(soak.RECOVERY_TIMEOUT_S):
        while not await callers.send("stream", 2):
            await asyncio.sleep(0.1)
    await callers.run(MIX_PER_S, 1.0, _mixed)
    callers.failed = 0


async def _publish(
    session: aiohttp.ClientSession, fleet: fleets.Fleet
) -> None:
    url = f"http://{fleet.controls[0].ip}:{fleets.CONTROL_PORT}"
    async with asyncio.timeout(soak.RECOVERY_TIMEOUT_S):
        while True:
            try:
                async with session.post(
                    f"{url}/v1/Configuration.Replace",
                    json=fleets.document(1),
                ) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                # The control replicas are still starting.
                pass
            await asyncio.sleep(0.1)


def main() -> None:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--source", nargs="+", default=["src"])
    parser.add_argument("--profile")
    parser.add_argument("--seconds", type=float, default=6.0)
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
