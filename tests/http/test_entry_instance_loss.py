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


class Story:
    """A deployment with a caller, driven by synchronous steps."""

    def __init__(self, loop):
        self.loop = loop
        self.reader = answer_reader.Reader()
        self.dead = set()

    def run(self, step):
        return self.loop.run_until_complete(step)

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

    async def lose(self, number):
        """Stop an instance at once, with its connections and its peers."""
        self.dead.add(number)
        await self.deployment.instances[number].stop()

    @property
    def journal(self):
        name = self.reader.event_ids[-1].split(".")[1]
        return int(name.removeprefix("instance-"))


@pytest.fixture
def story():
    loop = asyncio.new_event_loop()
    stack = contextlib.AsyncExitStack()
    told = Story(loop)
    told.run(told.open(stack))
    yield told
    told.run(stack.aclose())
    loop.close()


@pytest_bdd.given("a caller holds the first 40 events of an answer")
def _(story):
    story.run(story.read(ENTRY, until=40))


@pytest_bdd.when("the entry instance of the answer dies")
def _(story):
    story.run(story.lose(ENTRY))


@pytest_bdd.when("the journal instance of the answer dies")
def _(story):
    story.lost_journal = story.journal
    story.run(story.deployment.instances[story.journal].stop_peer_listener())


@pytest_bdd.when("the engine of the answer is reset")
def _(story):
    async def die():
        engines = zip(
            story.deployment.engines, story.deployment.addresses.engine_urls
        )
        url = next(url for engine, url in engines if engine.tokens_computed)
        async with aiohttp.ClientSession() as session:
            await session.post(url + "/fault", json={"kind": "reset"})

    story.run(die())


@pytest_bdd.when("the caller sends the request again to another instance")
def _(story):
    dead = story.dead | {getattr(story, "lost_journal", ENTRY)}
    story.run(story.read(next(n for n in range(3) if n not in dead)))


@pytest_bdd.then("the caller holds the whole answer of 160 tokens")
def _(story):
    verdict = chain.check_text(
        story.reader.text, "1", "", answer_reader.PROMPT
    )
    assert story.reader.errors == []
    assert verdict == chain.CheckResult(True, 160)
    assert story.reader.done


@pytest_bdd.then("no token came twice")
def _(story):
    offsets = [
        int(event.rsplit(".", 1)[1]) for event in story.reader.event_ids
    ]
    assert offsets == sorted(set(offsets))


@pytest_bdd.then("the caller is told that the answer is lost")
def _(story):
    codes = [error["code"] for error in story.reader.errors]
    assert codes[-1] in ("generation_lost", "journal_unavailable")
