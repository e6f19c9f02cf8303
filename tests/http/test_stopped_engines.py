"""Engines that stand still while the kernel accepts connections for them."""

import asyncio

import pytest

from tests import event_loops
from tests.platform import gateway_rig
from tests.soak import guarantees
from tests.soak import server_process

pytestmark = pytest.mark.asyncio(**event_loops.SYSTEM)

# The operators' sound engines fall silent "for a second or so".
STOPPED_S = (0.9, 1.2, 1.5)


class StoppableEngines:
    """Engines as processes, with the runs that they tell of."""

    def __init__(self):
        self.seen = guarantees.Observations()
        self.begun = []
        self.engines = [
            server_process.ServerProcess(
                f"llm-{n}", "stream", self._begin, self._end
            )
            for n in range(2)
        ]

    def _begin(self, server, request_id):
        self.begun.append((server, request_id))

    def _end(self, server, request_id, began_s, ended_s):
        run = guarantees.StreamRun(request_id, server, began_s, ended_s)
        self.seen.stream_runs.append(run)

    async def stop_first_of(self, request_id, duration_s):
        """Stop the engine that was the first to run a request."""
        (engine,) = [
            each
            for each in self.engines
            if (each.name, request_id) in self.begun
        ]
        await engine.stop_for(duration_s)

    async def all_ended(self):
        """Wait until no engine works on a stream."""
        async with asyncio.timeout(5.0):
            while len(self.seen.stream_runs) < len(self.begun):
                await asyncio.sleep(0.02)


async def test_stopped_engine_is_not_at_work_after_another_took_over():
    """Fault: a stream ran at two engines, since one of them stood still."""
    stoppable = StoppableEngines()
    rig = gateway_rig.Rig(
        {gateway_rig.LLM: stoppable.engines, gateway_rig.DESK: []},
        gateway_rig.table(),
        gateway_rig.BUDGET,
    )
    await rig.start()
    try:
        for number, duration_s in enumerate(STOPPED_S):
            name = f"a{number}"
            async with rig.ask("/brief/1", name) as response:
                body = await response.content.readuntil(b"\n\n")
                stop = stoppable.stop_first_of(name, duration_s)
                rest, _ = await asyncio.gather(response.content.read(), stop)
            assert body + rest == guarantees.expected_stream()
        await stoppable.all_ended()
    finally:
        await rig.close()
    assert stoppable.seen.overlapping_runs() == []
