"""A graceful shutdown interrupts no request."""

import asyncio
import signal
import sys

import aiohttp
from aiohttp import web
import pytest

from oriolejunction import clock as clocks
from oriolejunction.controllers import graceful_shutdown
from oriolejunction import local_deployment
from oriolejunction import operator_client
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction.standin import chain
from oriolejunction.standin import engine as standin_engine
from oriolejunction import states
from tests.http import answer_reader

HOST = local_deployment.HOST
TOKEN = "graceful-shutdown-token"


@pytest.fixture
async def engine_url():
    """Run one stand-in engine."""
    engine = standin_engine.StandinEngine(
        standin_engine.EngineOptions("engine-0", "brew-assist", "1")
    )
    runner = web.AppRunner(engine.application())
    await runner.setup()
    await web.TCPSite(runner, HOST, 0).start()
    yield f"http://{HOST}:{runner.addresses[0][1]}"
    await runner.cleanup()


def _answers(engine_url):
    return answer_files.Answers(
        measure=states.Objective.LATENCY,
        zones=("fukuoka",),
        models=(answer_files.ModelAnswer("brew-assist", "1"),),
        engines=(
            answer_files.EngineAnswer(
                "engine-0", engine_url, "fukuoka", "brew-assist"
            ),
        ),
        workspaces=tuple(
            answer_files.WorkspaceAnswer(name, key)
            for name, key in local_deployment.KEY_BY_WORKSPACE.items()
        ),
    )


async def _status(session, url):
    async with session.get(url) as response:
        return response.status


async def _wait_until(session, url, status):
    while True:
        try:
            if await _status(session, url) == status:
                return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.02)


async def test_process_finishes_its_stream_despite_two_signals(
    engine_url, tmp_path
):
    caller, operator, peer = local_deployment.free_ports(3)
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "oriolejunction", "serve"),
        *("--instance-id=a", "--zone=fukuoka"),
        f"--caller-listen={HOST}:{caller}",
        f"--operator-listen={HOST}:{operator}",
        f"--peer-listen={HOST}:{peer}",
        f"--control-peers=a={HOST}:{peer}",
        f"--operator-token={TOKEN}",
        f"--data-dir={tmp_path}",
        "--drain-delay-ms=400",
        "--log-level=error",
    )
    url = f"http://{HOST}:{caller}"
    try:
        async with aiohttp.ClientSession() as session:
            await _wait_until(session, url + "/live", 200)
            client = operator_client.OperatorClient(
                f"http://{HOST}:{operator}", TOKEN
            )
            answers = answer_files.redact_keys(_answers(engine_url))
            draft = await client.submit(answer_files.dump(answers))
            await client.accept(draft["draft_id"])
            await _wait_until(session, url + "/ready", 200)
            await _stop_during_answer(session, url, process)
        assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def _stop_during_answer(session, url, process):
    running, late = answer_reader.Reader(), answer_reader.Reader()
    prompt = "Which flavours keep longest? [[length=300]]"
    read_task = asyncio.create_task(
        answer_reader.read(session, url, running, prompt=prompt)
    )
    while len(running.texts) < 20:
        await asyncio.sleep(0.005)
    process.send_signal(signal.SIGTERM)
    await _wait_until(session, url + "/ready", 503)
    assert await answer_reader.read(session, url, late, until=5) == 200
    process.send_signal(signal.SIGTERM)
    late = answer_reader.Reader()
    while await answer_reader.read(session, url, late, until=1) == 200:
        late = answer_reader.Reader()
    assert late.errors[0]["outcome"] == "not_run"
    assert late.errors[0]["retry_after_ms"] > 0
    assert not read_task.done()
    await read_task
    assert chain.check_text(running.text, "1", "", prompt).tokens == 300
    assert running.done


async def test_leaving_is_announced_and_journals_are_moved(deployment):
    for instance in deployment.instances:
        while len(instance.blackboard.instance_by_id.read()) < 3:
            await asyncio.sleep(0.02)
    urls = deployment.addresses.callers_urls
    reader = answer_reader.Reader()
    prompt = "Which flavours keep longest? [[length=600]]"
    async with aiohttp.ClientSession() as session:
        read_task = asyncio.create_task(
            answer_reader.read(
                session, urls[0], reader, prompt=prompt, max_tokens=700
            )
        )
        while len(reader.texts) < 20:
            await asyncio.sleep(0.005)
        former = reader.event_ids[-1].split(".")[1]
        leaving = next(
            instance
            for instance in deployment.instances
            if instance.settings.instance_id == former
        )
        await leaving.drain()
        assert not read_task.done()
        replica = reader.event_ids[-1].split(".")[1]
        known = deployment.instances[0].blackboard.instance_by_id.read()
        assert known[former].leaving
        assert replica not in (former, "")
        await read_task
    assert chain.check_text(reader.text, "1", "", prompt).tokens == 600


async def test_shutdown_waits_minutes_for_requests_then_a_bounded_time():
    clock = clocks.ManualClock()
    written = []
    stop = graceful_shutdown.GracefulShutdown(
        clock, written.append, 3_000, lambda: 1
    )
    with stop.track_request():
        running = asyncio.create_task(stop.run())
        for _ in range(10_000):
            await asyncio.sleep(0)
            clock.advance(50)
        assert not running.done()
    assert written == [
        states.InstanceState.LEAVING,
        states.InstanceState.DRAINING,
    ]
    for _ in range(graceful_shutdown.JOURNAL_HANDOVER_MS // 50 + 2):
        await asyncio.sleep(0)
        clock.advance(50)
    await asyncio.sleep(0)
    assert running.done()
