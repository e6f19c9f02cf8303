"""Sound engines that are silent for a while do not cost a stream."""

import asyncio
import time

import aiohttp
import msgspec
import pytest
import structlog

from oriolejunction.controllers.overload import resend_budget
from oriolejunction.controllers import stalls
from oriolejunction.http import stream_plan
from tests import event_loops
from tests.http import test_gateway_stream as streams
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)

# Longer than any limit after which an engine counts as stalled here.
SILENCE_S = 1.2


async def silent_between_events(arrival):
    arrival.begin()
    arrival.events([1, 2, 3])
    await arrival.writer.drain()
    await asyncio.sleep(SILENCE_S)
    arrival.events([4, 5, 6])
    arrival.end()


async def silent_for_good(arrival):
    arrival.begin()
    arrival.events([1, 2, 3])
    await asyncio.sleep(30)


async def silent_before_events(arrival):
    await asyncio.sleep(2 * SILENCE_S)
    await streams.complete(arrival)


async def read_cut_answer(rig, number):
    request = rig.ask(
        "/brief/1", f"a{number}", Token_Counts="80,80", Deadline_Ms="1500"
    )
    with pytest.raises(aiohttp.ClientPayloadError):
        await streams.read(request)


def table_with_one_attempt(version=1):
    table = gateway_rig.table(version)
    return msgspec.structs.replace(
        table,
        routes=tuple(
            msgspec.structs.replace(route, max_attempts=1)
            for route in table.routes
        ),
    )


@pytest.mark.parametrize(
    "behave", [silent_between_events, silent_before_events]
)
async def test_silent_engine_completes_a_stream_that_no_other_can_take(behave):
    """Fault: the connection was closed before another engine was found."""
    async with gateway_rig.running(llm=[behave]) as rig:
        request = rig.ask("/brief/1", Deadline_Ms="3000")
        assert await streams.read(request) == (200, streams.ALL_EVENTS)
        assert len(streams.arrivals(rig)) == 1


async def test_silent_engine_completes_a_stream_without_attempts_left():
    """Fault: as above, and the configuration changes during the silence."""
    async with gateway_rig.running(
        llm=[silent_between_events] * 2, in_force=table_with_one_attempt()
    ) as rig:
        request = asyncio.create_task(streams.read(rig.ask("/brief/1")))
        await asyncio.sleep(SILENCE_S / 2)
        rig.put_in_force(table_with_one_attempt(version=2))
        assert await request == (200, streams.ALL_EVENTS)
        assert len(streams.arrivals(rig)) == 1


async def test_silent_engine_keeps_its_stream_while_the_others_are_lost():
    """Fault: the only engine with capacity does not accept connections."""
    async with gateway_rig.running(llm=[silent_between_events] * 2) as rig:
        request = asyncio.create_task(streams.read(rig.ask("/brief/1")))
        await asyncio.sleep(0.2)
        for engine in rig.engines_by_service[gateway_rig.LLM]:
            if not engine.arrivals:
                engine._server.close()
        assert await request == (200, streams.ALL_EVENTS)


async def test_streams_that_stall_together_keep_the_retry_budget():
    """Fault: each asked for the budget before any other was charged."""
    async with gateway_rig.running(
        llm=[silent_for_good] * 2,
        budget=resend_budget.BudgetLimits(0.1, 0.0, 10_000.0),
    ) as rig:
        await asyncio.gather(
            *(read_cut_answer(rig, number) for number in range(40))
        )
        assert len(streams.arrivals(rig)) - 40 <= 4


async def test_engine_neither_listed_nor_reached_is_given_up():
    async with gateway_rig.running(llm=[silent_for_good]) as rig:
        request = asyncio.create_task(
            streams.read(rig.ask("/brief/1", Deadline_Ms="2900"))
        )
        await asyncio.sleep(0.2)
        rig.engines_by_service[gateway_rig.LLM][0]._server.close()
        rig.list({})
        with pytest.raises(aiohttp.ClientPayloadError):
            await request
    attempt_losses = rig.deps.telemetry.attempts.get(
        {"service": gateway_rig.LLM, "event": "lost"}
    )
    assert attempt_losses == 1


@pytest.mark.asyncio(**event_loops.SYSTEM)
async def test_own_pause_is_not_taken_for_silence_of_an_engine():
    """Fault: after a pause, the timer won over the data that had come."""

    async def sends_during_a_pause(arrival):
        arrival.begin()
        arrival.events([1, 2, 3])
        await arrival.writer.drain()
        await asyncio.sleep(0.05)
        arrival.events([4, 5, 6])
        arrival.end()
        await arrival.writer.drain()
        time.sleep(SILENCE_S)

    async with gateway_rig.running(llm=[sends_during_a_pause] * 2) as rig:
        with structlog.testing.capture_logs() as lines:
            answer = await streams.read(rig.ask("/brief/1"))
        assert answer == (200, streams.ALL_EVENTS)
        assert len(streams.arrivals(rig)) == 1
    assert "engine stalled" not in [line["event"] for line in lines]


async def test_event_is_not_held_while_a_stalled_engine_is_checked():
    """Fault: the report of the engine was awaited before its next event."""
    sent_s = []

    async def behave(arrival):
        arrival.begin()
        arrival.events([1, 2, 3])
        await arrival.writer.drain()
        # The second check of the stalled engine is under way.
        await asyncio.sleep(0.98)
        sent_s.append(asyncio.get_running_loop().time())
        arrival.events([4, 5, 6])
        arrival.end()

    async with gateway_rig.running(llm=[behave]) as rig:
        engine = rig.engines_by_service[gateway_rig.LLM][0]
        engine._send_report = lambda writer: None
        async with rig.ask("/brief/1") as response:
            received = b""
            while b"id: 4" not in received:
                received += await response.content.readany()
            received_s = asyncio.get_running_loop().time()
    assert received_s - sent_s[0] < 0.1


async def test_error_of_a_search_does_not_cut_a_stream(monkeypatch):
    async def fails(self, has_started):
        raise ValueError("bad candidate")

    monkeypatch.setattr(stream_plan.StreamPlanner, "plan_reachable", fails)
    async with gateway_rig.running(llm=[silent_between_events]) as rig:
        with structlog.testing.capture_logs() as lines:
            answer = await streams.read(rig.ask("/brief/1"))
    assert answer == (200, streams.ALL_EVENTS)
    assert "repeated task failed" in [line["event"] for line in lines]


@pytest.mark.parametrize(
    "behave", [silent_between_events, silent_before_events]
)
async def test_events_in_flight_arrive_though_the_run_is_not_reported(behave):
    """Fault: a finished run's last events had not arrived yet."""
    async with gateway_rig.running(llm=[behave]) as rig:
        rig.engines_by_service[gateway_rig.LLM][
            0
        ].report = b'{"activeRequests":0,"runs":[]}'
        request = rig.ask("/brief/1", Deadline_Ms="3000")
        assert await streams.read(request) == (200, streams.ALL_EVENTS)


async def test_stalled_engine_is_tried_again_if_its_replacement_refuses():
    """Fault: the answer was cut although its engine had become free."""
    begun_at = []

    async def behave(arrival):
        address = arrival.headers["expected-instance"]
        if not begun_at:
            begun_at.append(address)
            await silent_between_events(arrival)
        elif address in begun_at:
            await streams.complete(arrival)
        else:
            arrival.refuse()

    async with gateway_rig.running(llm=[behave] * 2) as rig:
        request = rig.ask("/brief/1", Deadline_Ms="2900")
        assert await streams.read(request) == (200, streams.ALL_EVENTS)


async def test_failure_whose_body_stalls_is_answered_by_the_deadline():
    """Fault: the body of an engine's failure was read without a limit."""

    async def half_a_failure(arrival):
        head = arrival.head("500 Error", b"Content-Length: 9\r\n")
        arrival.writer.write(head + b"half")
        await asyncio.sleep(30)

    async with gateway_rig.running(llm=[half_a_failure]) as rig:
        async with asyncio.timeout(2.5):
            request = rig.ask("/brief/1", Deadline_Ms="1000")
            status, _ = await streams.read(request)
        assert status in (502, 504)


async def test_engine_lost_after_its_head_gives_an_error_answer():
    """Fault: a success without any event was cut instead."""

    async def head_then_reset(arrival):
        arrival.begin()
        await arrival.writer.drain()
        await asyncio.sleep(0.05)
        arrival.reset()

    async with gateway_rig.running(llm=[head_then_reset]) as rig:
        status, _ = await streams.read(rig.ask("/brief/1"))
        assert status == 502


async def test_charge_for_a_replacement_is_kept_until_it_is_sent(monkeypatch):
    """Fault: the end of the stalled attempt gave the charge back."""
    given_back = []
    begun = []

    async def behave(arrival):
        begun.append(arrival)
        if len(begun) == 1:
            arrival.begin()
            arrival.events([1, 2, 3])
            await asyncio.sleep(30)
        await streams.complete(arrival)

    async with gateway_rig.running(llm=[behave] * 2) as rig:
        monkeypatch.setattr(rig.deps.budget, "give_back", given_back.append)
        assert await streams.read(rig.ask("/brief/1")) == (
            200,
            streams.ALL_EVENTS,
        )
    assert given_back == []


async def test_streams_that_stall_on_one_engine_share_its_report():
    """Fault: each asked for a report of its own every 400 ms."""
    asked = []

    async with gateway_rig.running(llm=[silent_for_good]) as rig:
        engine = rig.engines_by_service[gateway_rig.LLM][0]
        engine._send_report = asked.append
        began_ms = rig.clock.now_ms()
        await asyncio.gather(
            *(read_cut_answer(rig, number) for number in range(20))
        )
        took_ms = rig.clock.now_ms() - began_ms
    assert 1 <= len(asked) <= 1 + took_ms / stalls.REPORT_INTERVAL_MS
