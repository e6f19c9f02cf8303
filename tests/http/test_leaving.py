"""A leaving engine finishes its work and gets no more."""

import asyncio

import aiohttp
import pytest
import pytest_bdd

from oriolejunction.bench import timed_request
from oriolejunction import demonstration
from oriolejunction import local_deployment
from oriolejunction.standin import engine_faults

pytest_bdd.scenarios("leaving.feature")

LONG = 240
SETTLE_S = 1.2


class Stage:
    """A deployment that the synchronous steps drive."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._running = local_deployment.run_deployment()
        self.local = self.do(self._running.__aenter__())
        self.do(demonstration.apply_sample_config(self.local))
        self.busy = None
        self.answer = None

    def do(self, work):
        return self.loop.run_until_complete(work)

    def ask(self, name, tokens):
        prompt = f"{name} [[length={tokens}]]"
        ask = timed_request.PlannedRequest(0.0, "hakata", prompt, tokens)
        return timed_request.send_all(self.local.addresses, [ask])

    def close(self):
        self.do(self._running.__aexit__(None, None, None))
        self.loop.close()


@pytest.fixture
def stage():
    """Run a deployment for one scenario."""
    stage = Stage()
    yield stage
    stage.close()


@pytest_bdd.given("an answer that runs on an engine")
def _answer(stage):
    stage.answer = stage.loop.create_task(stage.ask("long", LONG))
    while stage.busy is None:
        stage.do(asyncio.sleep(0.05))
        stage.busy = next(
            (n for n, e in enumerate(stage.local.engines) if e.requests_run),
            None,
        )


@pytest_bdd.when(pytest_bdd.parsers.parse("that engine is leaving and {how}"))
def _leave(stage, how):
    marker = engine_faults.REFUSE if how.startswith("refuses") else ""
    stage.do(_fault(stage, {"kind": "leave", "marker": marker}))


async def _fault(stage, fault):
    url = stage.local.addresses.engine_urls[stage.busy]
    async with aiohttp.ClientSession() as session:
        await session.post(url + "/fault", json=fault)


@pytest_bdd.when("its report was read")
def _settle(stage):
    stage.do(asyncio.sleep(SETTLE_S))


@pytest_bdd.then("new answers run on other engines")
def _elsewhere(stage):
    for number in range(8):
        (seen,) = stage.do(stage.ask(str(number), 5))
        assert not seen.is_corrupt
    assert stage.local.engines[stage.busy].requests_run == 1


@pytest_bdd.then("the running answer ends whole on its engine")
def _whole(stage):
    (seen,) = stage.do(stage.answer)
    assert seen.error_code == "" and not seen.is_corrupt
    engine = stage.local.engines[stage.busy]
    assert engine.tokens_computed == LONG
