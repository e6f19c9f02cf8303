"""End to end: an OpenAI client's answer survives the loss of its engine."""

import aiohttp
import openai
import pytest

from oriolejunction import local_deployment
from oriolejunction.standin import chain

PROMPT = "Which flavours keep longest? [[length=120]]"
KEY = local_deployment.KEY_BY_WORKSPACE["hakata"]


def _client(deployment):
    return openai.AsyncOpenAI(
        base_url=deployment.addresses.callers_urls[1] + "/v1",
        api_key=KEY,
        max_retries=0,
    )


def _record_losses(deployment):
    losses = []
    for instance in deployment.instances:
        instance.blackboard.attempt_losses.subscribe(losses.append)
    return losses


async def _inject_fault_on_busy_engine(deployment, kind):
    url = next(
        url
        for engine, url in zip(
            deployment.engines, deployment.addresses.engine_urls
        )
        if engine.tokens_computed
    )
    async with aiohttp.ClientSession() as session:
        await session.post(url + "/fault", json={"kind": kind})


@pytest.mark.parametrize("kind", ["die", "reset", "truncate"])
async def test_openai_client_streams_completion_through_loss(deployment, kind):
    losses = _record_losses(deployment)
    stream = await _client(deployment).completions.create(
        model=local_deployment.MODEL,
        prompt=PROMPT,
        max_tokens=500,
        stream=True,
        stream_options={"include_usage": True},
    )
    texts, usage, finish = [], None, None
    async for chunk in stream:
        usage = chunk.usage or usage
        for choice in chunk.choices:
            texts.append(choice.text)
            finish = choice.finish_reason or finish
        if len(texts) == 30:
            await _inject_fault_on_busy_engine(deployment, kind)
    verdict = chain.check_text("".join(texts), "1", "", PROMPT)
    assert verdict == chain.CheckResult(True, 120)
    assert finish == "stop"
    assert usage.completion_tokens == 120
    assert len(losses) == 1


async def test_openai_client_streams_chat_through_loss(deployment):
    stream = await _client(deployment).chat.completions.create(
        model=local_deployment.MODEL,
        messages=[{"role": "user", "content": PROMPT}],
        max_tokens=100,
        stream=True,
    )
    texts, finish = [], None
    async for chunk in stream:
        texts.append(chunk.choices[0].delta.content or "")
        finish = chunk.choices[0].finish_reason or finish
        if len(texts) == 30:
            await _inject_fault_on_busy_engine(deployment, "die")
    verdict = chain.check_text("".join(texts), "1", "", f"user: {PROMPT}\n")
    assert verdict == chain.CheckResult(True, 100)
    assert finish == "length"


async def test_openai_client_gets_unstreamed_answers(deployment):
    client = _client(deployment)
    chat = await client.chat.completions.create(
        model=local_deployment.MODEL,
        messages=[{"role": "user", "content": PROMPT}],
        max_tokens=40,
    )
    plain = await client.completions.create(
        model=local_deployment.MODEL, prompt=PROMPT, max_tokens=40
    )
    assert chain.check_text(
        chat.choices[0].message.content, "1", "", f"user: {PROMPT}\n"
    ) == chain.CheckResult(True, 40)
    assert chain.check_text(plain.choices[0].text, "1", "", PROMPT).complete


async def test_stop_string_truncates_the_answer(deployment):
    unstopped = await _client(deployment).completions.create(
        model=local_deployment.MODEL, prompt=PROMPT, max_tokens=40
    )
    text = unstopped.choices[0].text
    stop = text[62:67]
    stopped = await _client(deployment).completions.create(
        model=local_deployment.MODEL, prompt=PROMPT, max_tokens=40, stop=stop
    )
    assert stopped.choices[0].text == text[: text.index(stop)]
    assert stopped.choices[0].finish_reason == "stop"


@pytest.mark.parametrize(
    "temperature, seed_header", [(1.0, "best-effort"), (0.0, None)]
)
@pytest.mark.parametrize("stream", [True, False])
async def test_seed_of_a_sampled_answer_is_marked_best_effort(
    deployment, temperature, seed_header, stream
):
    raw = await _client(deployment).completions.with_raw_response.create(
        model=local_deployment.MODEL,
        prompt=PROMPT,
        max_tokens=4,
        temperature=temperature,
        seed=7,
        stream=stream,
    )
    assert raw.headers.get("X-Seed") == seed_header
