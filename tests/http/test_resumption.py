"""A caller resumes an answer after its connection or instance is lost."""

import asyncio

import aiohttp
import pytest

from oriolejunction import demonstration
from oriolejunction import errors
from oriolejunction.http import resumption
from oriolejunction import local_deployment
from oriolejunction.standin import chain
from tests.http import answer_reader

COMPLETE = chain.CheckResult(True, 160)


@pytest.fixture
async def session():
    """Open a client session."""
    async with aiohttp.ClientSession() as client:
        yield client


def _check_text(reader):
    return chain.check_text(reader.text, "1", "", answer_reader.PROMPT)


async def _wait_until_known(deployment, count=3):
    for instance in deployment.instances:
        while len(instance.blackboard.instance_by_id.read()) < count:
            await asyncio.sleep(0.02)


async def _start_answer(deployment, session, until=40):
    await _wait_until_known(deployment)
    urls = deployment.addresses.callers_urls
    reader = answer_reader.Reader()
    await answer_reader.read(session, urls[0], reader, until)
    return urls, reader


async def test_caller_resumes_its_answer_at_any_instance(deployment, session):
    urls, reader = await _start_answer(deployment, session)
    for number in (1, 2, 0, 1):
        until = len(reader.texts) + 20
        await answer_reader.read(session, urls[number], reader, until)
    await answer_reader.read(session, urls[2], reader)
    assert reader.errors == []
    assert _check_text(reader) == COMPLETE
    assert reader.finish_reason == "stop" and reader.done


async def test_former_owner_stops_without_a_finish_reason(deployment, session):
    await _wait_until_known(deployment)
    urls = deployment.addresses.callers_urls
    former, resumed = answer_reader.Reader(), answer_reader.Reader()
    reading = asyncio.create_task(answer_reader.read(session, urls[0], former))
    while len(former.texts) < 30:
        await asyncio.sleep(0.005)
    resumed.texts = list(former.texts)
    resumed.event_ids = list(former.event_ids)
    await answer_reader.read(session, urls[1], resumed)
    await reading
    assert former.broken and former.finish_reason is None
    assert not former.done
    assert _check_text(resumed) == COMPLETE
    assert resumed.text.startswith(former.text)


async def test_finished_answer_can_be_fetched_again(deployment, session):
    urls, reader = await _start_answer(deployment, session, until=10_000)
    del reader.texts[50:], reader.event_ids[50:]
    reader.done = False
    status = await answer_reader.read(session, urls[1], reader)
    assert status == 200 and reader.done
    assert _check_text(reader) == COMPLETE


@pytest.mark.parametrize(
    "change, code",
    [
        ({"prompt": "another"}, "resume_refused"),
        ({"max_tokens": 399}, "resume_refused"),
        (
            {
                "headers": {
                    "Authorization": "Bearer "
                    + local_deployment.KEY_BY_WORKSPACE["aso"]
                }
            },
            "generation_lost",
        ),
    ],
)
async def test_resume_with_another_request_is_refused(
    deployment, session, change, code
):
    urls, reader = await _start_answer(deployment, session)
    await answer_reader.read(session, urls[1], reader, **change)
    assert [error["code"] for error in reader.errors] == [code]


@pytest.mark.parametrize(
    "change, code",
    [
        (lambda event: event + "9999", "resume_refused"),
        (lambda event: "x" + event, "generation_lost"),
        (lambda event: event.split(".")[0] + "..3", "generation_lost"),
        (
            lambda event: event.replace(".instance", ".gone"),
            "journal_unavailable",
        ),
        (lambda event: "nonsense", "resume_refused"),
    ],
)
async def test_resume_from_an_unknown_event_id_is_refused(
    deployment, session, change, code
):
    urls, reader = await _start_answer(deployment, session)
    reader.event_ids[-1] = change(reader.event_ids[-1])
    await answer_reader.read(session, urls[1], reader)
    assert [error["code"] for error in reader.errors] == [code]


async def test_journal_moves_to_another_instance_when_its_replica_is_lost(
    deployment, session
):
    await _wait_until_known(deployment)
    urls = deployment.addresses.callers_urls
    reader = answer_reader.Reader()
    reading = asyncio.create_task(
        answer_reader.read(session, urls[0], reader, until=120)
    )
    while len(reader.texts) < 20:
        await asyncio.sleep(0.005)
    lost = reader.event_ids[-1].split(".")[1]
    by_id = {i.settings.instance_id: i for i in deployment.instances}
    await by_id[lost].stop_peer_listener()
    await reading
    replica = reader.event_ids[-1].split(".")[1]
    assert replica not in (lost, "instance-0", "")
    number = int(lost.removeprefix("instance-"))
    await answer_reader.read(session, urls[number], reader)
    assert reader.errors == []
    assert _check_text(reader) == COMPLETE


async def test_generation_of_a_single_instance_is_unprotected(session):
    options = local_deployment.LocalOptions(
        zones=("fukuoka",),
        engines=(local_deployment.LocalEngineOptions("fukuoka"),),
    )
    async with local_deployment.run_deployment(options) as deployment:
        await demonstration.apply_sample_config(deployment)
        urls, reader = (
            deployment.addresses.callers_urls,
            answer_reader.Reader(),
        )
        await answer_reader.read(session, urls[0], reader, until=30)
        assert {event.split(".")[1] for event in reader.event_ids} == {""}
        await answer_reader.read(session, urls[0], reader)
    assert [error["code"] for error in reader.errors] == ["generation_lost"]


@pytest.mark.parametrize("text", ["", ".", "a.b", "a.b.", "a.b.-1", "a.b.²"])
def test_malformed_event_id_is_refused(text):
    with pytest.raises(errors.Failure) as raised:
        resumption.parse_event_id(text)
    assert isinstance(raised.value.error, errors.ResumeRefused)


def test_instance_names_may_contain_dots():
    event = resumption.parse_event_id("g.zone.a-1.17")
    assert event == resumption.EventId("g", "zone.a-1", 17)
