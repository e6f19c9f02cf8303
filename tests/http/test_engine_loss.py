"""Steps of engine_loss.feature, checked from the side of the caller."""

import asyncio
import random

import pytest
import pytest_bdd
from pytest_bdd import parsers

from oriolejunction.bench import resilient_client
from oriolejunction import clock as clocks
from oriolejunction import demonstration
from oriolejunction import engine_protocol
from oriolejunction import local_deployment
from oriolejunction.standin import chain
from oriolejunction import states

PROMPT = "Which flavours keep longest? [[length={}]]"

pytest_bdd.scenarios("engine_loss.feature")


class Harness:
    """A deployment with one caller, in an event loop of its own."""

    def __init__(self, measure, **options):
        self.runner = asyncio.Runner()
        options = local_deployment.LocalOptions(measure=measure, **options)
        self._context = local_deployment.run_deployment(options)
        self.deployment = self.runner.run(self._context.__aenter__())
        self.runner.run(demonstration.apply_sample_config(self.deployment))
        self.losses = []
        for instance in self.deployment.instances:
            instance.blackboard.attempt_losses.subscribe(self.losses.append)
        self.answer = resilient_client.Answer()

    def close(self):
        self.runner.run(self._context.__aexit__(None, None, None))
        self.runner.close()

    async def read_with_fault(self, prompt, fault, tokens, duration_ms=0):
        client = resilient_client.ResilientClient(
            self.deployment.addresses.callers_urls,
            local_deployment.KEY_BY_WORKSPACE["hakata"],
            random.Random(1),
            clocks.SystemClock(),
        )
        body = {
            "model": local_deployment.MODEL,
            "prompt": prompt,
            "max_tokens": 500,
        }
        reading = asyncio.create_task(client.stream(body, self.answer))
        while self.answer.text.count(chain.SEPARATOR) < tokens:
            await asyncio.sleep(0.002)
        (busy,) = (
            e for e in self.deployment.engines if e.generations_running()
        )
        busy.faults.apply(
            engine_protocol.InjectedFault(fault, duration_ms=duration_ms)
        )
        await reading
        await client.close()


@pytest.fixture
def harnesses():
    """Close the deployments of a scenario."""
    opened = []
    yield opened
    for harness in opened:
        harness.close()


@pytest_bdd.given(
    parsers.parse("a deployment that favours {measure}"),
    target_fixture="harness",
)
def _deployment(measure, harnesses):
    harness = Harness(states.Objective(measure))
    harnesses.append(harness)
    return harness


@pytest_bdd.given(
    parsers.parse("a deployment of one engine that favours {measure}"),
    target_fixture="harness",
)
def _deployment_of_one_engine(measure, harnesses):
    harness = Harness(
        states.Objective(measure),
        zones=("fukuoka",),
        engines=(local_deployment.LocalEngineOptions("fukuoka"),),
    )
    harnesses.append(harness)
    return harness


@pytest_bdd.given(
    parsers.parse("an answer of {length:d} tokens is being streamed"),
    target_fixture="prompt",
)
def _prompt(length):
    return PROMPT.format(length)


@pytest_bdd.when(
    parsers.parse('its engine fails with "{fault}" after {tokens:d} tokens')
)
def _inject_fault(harness, prompt, fault, tokens):
    harness.runner.run(harness.read_with_fault(prompt, fault, tokens))


@pytest_bdd.when(
    parsers.parse(
        "its engine pauses for {pause_ms:d} ms after {tokens:d} tokens"
    )
)
def _pause_engine(harness, prompt, pause_ms, tokens):
    harness.runner.run(
        harness.read_with_fault(prompt, "pause", tokens, pause_ms)
    )


@pytest_bdd.then("the work was sent once")
def _sent_once(harness):
    assert sum(e.requests_run for e in harness.deployment.engines) == 1


@pytest_bdd.then(
    parsers.parse("the caller receives each of the {length:d} tokens once")
)
def _answer_is_complete(harness, prompt, length):
    version = local_deployment.MODEL_VERSION
    result = chain.check_text(harness.answer.text, version, "", prompt)
    assert result == chain.CheckResult(True, length)


@pytest_bdd.then(
    parsers.parse('one attempt was lost with the cause "{cause}"')
)
def _one_attempt_lost(harness, cause):
    assert [loss.cause.value for loss in harness.losses] == [cause]


@pytest_bdd.then("no attempt was lost")
def _no_attempt_lost(harness):
    assert harness.losses == []


@pytest_bdd.then("the second engine was given the tokens already delivered")
def _continued(harness):
    engines = harness.deployment.engines
    assert sum(e.requests_run for e in engines) == 2
    assert sum(e.tokens_prefilled_again for e in engines) >= 20


@pytest_bdd.then(parsers.parse("{tokens:d} tokens were computed"))
def _tokens_computed(harness, tokens):
    engines = harness.deployment.engines
    assert sum(e.tokens_computed for e in engines) == tokens
    assert sum(e.reattached for e in engines) == 1
