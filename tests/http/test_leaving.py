"""A leaving engine completes its running work and gets no new work."""

import asyncio

import aiohttp
import pytest
import pytest_bdd

from oriolejunction.bench import timed_request
from oriolejunction import demonstration
from oriolejunction import local_deployment
from oriolejunction.standin import engine_faults

pytest_bdd.scenarios("leaving.feature")

LONG_ANSWER_TOKENS = 240
REPORT_WAIT_S = 1.2


class Harness:
    """A deployment driven by synchronous steps."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._context = local_deployment.run_deployment()
        self.deployment = self.run(self._context.__aenter__())
        self.run(demonstration.apply_sample_config(self.deployment))
        self.busy_number = None
        self.answer = None

    def run(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    def send_request(self, name, tokens):
        prompt = f"{name} [[length={tokens}]]"
        planned = timed_request.PlannedRequest(0.0, "hakata", prompt, tokens)
        return timed_request.send_all(self.deployment.addresses, [planned])

    def close(self):
        self.run(self._context.__aexit__(None, None, None))
        self.loop.close()


@pytest.fixture
def harness():
    """Run a deployment for one scenario."""
    harness = Harness()
    yield harness
    harness.close()


@pytest_bdd.given("an answer that runs on an engine")
def _running_answer(harness):
    harness.answer = harness.loop.create_task(
        harness.send_request("long", LONG_ANSWER_TOKENS)
    )
    while harness.busy_number is None:
        harness.run(asyncio.sleep(0.05))
        harness.busy_number = next(
            (
                number
                for number, engine in enumerate(harness.deployment.engines)
                if engine.requests_run
            ),
            None,
        )


@pytest_bdd.when(pytest_bdd.parsers.parse("that engine is leaving and {how}"))
def _leave(harness, how):
    marker = engine_faults.REFUSE if how.startswith("refuses") else ""
    harness.run(_inject_fault(harness, {"kind": "leave", "marker": marker}))


async def _inject_fault(harness, fault):
    url = harness.deployment.addresses.engine_urls[harness.busy_number]
    async with aiohttp.ClientSession() as session:
        await session.post(url + "/fault", json=fault)


@pytest_bdd.when("its load report was read")
def _wait_for_report(harness):
    harness.run(asyncio.sleep(REPORT_WAIT_S))


@pytest_bdd.then("new answers run on other engines")
def _new_answers_run_on_others(harness):
    for number in range(8):
        (result,) = harness.run(harness.send_request(str(number), 5))
        assert not result.is_corrupt
    assert harness.deployment.engines[harness.busy_number].requests_run == 1


@pytest_bdd.then("the running answer is completed on its engine")
def _running_answer_is_complete(harness):
    (result,) = harness.run(harness.answer)
    assert result.error_code == "" and not result.is_corrupt
    engine = harness.deployment.engines[harness.busy_number]
    assert engine.tokens_computed == LONG_ANSWER_TOKENS
