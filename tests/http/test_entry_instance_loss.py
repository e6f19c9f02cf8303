"""Steps of entry_instance_loss.feature."""

import asyncio
import contextlib

import aiohttp
import pytest
import pytest_bdd

from oriolejunction import demonstration
from oriolejunction import local_deployment
from oriolejunction.standin import chain
from tests.http import answer_reader

pytest_bdd.scenarios("entry_instance_loss.feature")
ENTRY = 1


class Harness:
    """A deployment with one caller, driven by synchronous steps."""

    def __init__(self, loop):
        self.loop = loop
        self.reader = answer_reader.Reader()
        self.dead = set()

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def open(self, stack):
        self.deployment = await stack.enter_async_context(
            local_deployment.run_deployment()
        )
        await demonstration.apply_sample_config(self.deployment)
        for instance in self.deployment.instances:
            while len(instance.blackboard.instance_by_id.read()) < 3:
                await asyncio.sleep(0.02)

    async def read(self, number, until=10_000):
        url = self.deployment.addresses.callers_urls[number]
        async with aiohttp.ClientSession() as session:
            await answer_reader.read(session, url, self.reader, until)

    async def kill(self, number):
        """Stop an instance at once, with its connections and peer links."""
        self.dead.add(number)
        await self.deployment.instances[number].stop()

    @property
    def journal_replica(self):
        """Return the number of the instance that the last event names."""
        name = self.reader.event_ids[-1].split(".")[1]
        return int(name.removeprefix("instance-"))


@pytest.fixture
def harness():
    loop = asyncio.new_event_loop()
    stack = contextlib.AsyncExitStack()
    harness = Harness(loop)
    harness.run(harness.open(stack))
    yield harness
    harness.run(stack.aclose())
    loop.close()


@pytest_bdd.given("a caller has received the first 40 events of an answer")
def _(harness):
    harness.run(harness.read(ENTRY, until=40))


@pytest_bdd.when("the entry instance of the answer dies")
def _(harness):
    harness.run(harness.kill(ENTRY))


@pytest_bdd.when("the journal replica of the answer dies")
def _(harness):
    harness.lost_replica = harness.journal_replica
    harness.run(
        harness.deployment.instances[
            harness.journal_replica
        ].stop_peer_listener()
    )


@pytest_bdd.when("the engine of the answer is reset")
def _(harness):
    async def reset():
        engines = zip(
            harness.deployment.engines,
            harness.deployment.addresses.engine_urls,
        )
        url = next(url for engine, url in engines if engine.tokens_computed)
        async with aiohttp.ClientSession() as session:
            await session.post(url + "/fault", json={"kind": "reset"})

    harness.run(reset())


@pytest_bdd.when("the caller sends the request again to another instance")
def _(harness):
    dead = harness.dead | {getattr(harness, "lost_replica", ENTRY)}
    harness.run(harness.read(next(n for n in range(3) if n not in dead)))


@pytest_bdd.then("the caller has received the complete answer of 160 tokens")
def _(harness):
    result = chain.check_text(
        harness.reader.text, "1", "", answer_reader.PROMPT
    )
    assert harness.reader.errors == []
    assert result == chain.CheckResult(True, 160)
    assert harness.reader.done


@pytest_bdd.then("no token is received twice")
def _(harness):
    offsets = [
        int(event.rsplit(".", 1)[1]) for event in harness.reader.event_ids
    ]
    assert offsets == sorted(set(offsets))


@pytest_bdd.then("the caller gets an error that the answer is lost")
def _(harness):
    codes = [error["code"] for error in harness.reader.errors]
    assert codes[-1] in ("generation_lost", "journal_unavailable")
