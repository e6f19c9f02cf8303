"""Streams through the gateway while engines are lost, slow or faulty."""

import asyncio

import aiohttp
import pytest

from oriolejunction.controllers import stalls
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from tests import event_loops
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)

ALL_EVENTS = b"".join(
    b"id: %d\ndata: piece%d\n\n" % (n, n) for n in range(1, 7)
)


async def complete(arrival):
    """Stream the events after the caller's last one, up to the sixth."""
    first = int(arrival.headers.get("last-event-id", 0)) + 1
    arrival.begin()
    arrival.events(range(first, 7))
    arrival.end()


def broken_after(count, how):
    """Return a behaviour that streams some events and then fails."""

    async def behave(arrival):
        arrival.begin()
        arrival.events(range(1, count + 1))
        await arrival.writer.drain()
        await asyncio.sleep(0.02)
        how(arrival)

    return behave


def complete_after_first(first):
    """Return a behaviour that runs `first` once, on whichever engine."""
    started = []

    async def behave(arrival):
        if started:
            await complete(arrival)
            return
        started.append(arrival)
        await first(arrival)

    return behave


async def hang(arrival):
    """Send nothing at all."""
    await asyncio.sleep(30)


async def refuse(arrival):
    """Report that the request was not run."""
    arrival.refuse()


async def read(request):
    async with request as response:
        return response.status, await response.read()


def arrivals(rig):
    return [
        (engine.name, arrival)
        for engine in rig.engines_by_service[gateway_rig.LLM]
        for arrival in engine.arrivals
    ]


async def test_stream_is_complete_and_keeps_head():
    async with gateway_rig.running(llm=[complete]) as rig:
        async with rig.ask("/brief/1") as response:
            assert response.headers["Response-Signature"] == "s1"
            assert response.headers["Attempt-Id"] == "a1"
            assert await response.read() == ALL_EVENTS


async def test_engine_gets_workspace_but_no_key_or_forged_headers():
    async with gateway_rig.running(llm=[complete]) as rig:
        await read(
            rig.ask("/brief/1?x=1", Tenant="other", Kv_Backup="1.2.3.4:5")
        )
        arrival = rig.engines_by_service[gateway_rig.LLM][0].arrivals[0]
    assert arrival.target == "/brief/1?x=1"
    assert arrival.headers["tenant"] == "brewer"
    assert arrival.headers["expected-instance"] == "llm-0"
    assert "x-api-key" not in arrival.headers
    assert "kv-backup" not in arrival.headers
    assert int(arrival.headers["deadline-ms"]) <= 2_500


@pytest.mark.parametrize(
    "how",
    [
        lambda arrival: arrival.reset(),
        lambda arrival: arrival.writer.close(),
        lambda arrival: arrival.chunk(b"id: 4\nda"),
        lambda arrival: arrival.events([6]),
        lambda arrival: arrival.writer.write(b"no chunk\r\n"),
    ],
    ids=["reset", "closed", "half an event", "gap", "garbage"],
)
async def test_broken_stream_resumes_completely_from_its_kv_copy(how):
    """The engine that gets the stream first breaks off; the other resumes."""

    async def breaks(arrival):
        await broken_after(3, how)(arrival)
        if not arrival.writer.transport.is_closing():
            arrival.writer.close()

    behave = complete_after_first(breaks)
    async with gateway_rig.running(llm=[behave, behave]) as rig:
        status, body = await read(rig.ask("/brief/1"))
        seen = arrivals(rig)
    assert (status, body) == (200, ALL_EVENTS)
    (first_name, first), (_, second) = sorted(
        seen, key=lambda pair: "kv-from" in pair[1].headers
    )
    copy_address = first.headers["kv-backup"]
    assert second.headers["kv-from"] == f"{copy_address}/a1"
    assert second.headers["last-event-id"] == "3"


async def test_repeated_event_is_dropped():
    async def repeats(arrival):
        arrival.begin()
        arrival.events([1, 2, 2, 1, 3, 4, 5, 6])
        arrival.end()

    async with gateway_rig.running(llm=[repeats]) as rig:
        assert await read(rig.ask("/brief/1")) == (200, ALL_EVENTS)


async def test_unreachable_engine_is_given_up_within_the_event_gap():
    """The engine falls silent mid-stream and accepts no connection."""
    async with gateway_rig.running(llm=[complete, complete]) as rig:
        first, second = rig.engines_by_service[gateway_rig.LLM]

        async def becomes_unreachable(arrival):
            if "kv-from" in arrival.headers:
                await complete(arrival)
                return
            arrival.begin()
            arrival.events([1, 2, 3])
            await arrival.writer.drain()
            for engine in (first, second):
                if engine.arrivals:
                    engine._server.close()
            await asyncio.sleep(30)

        first.behave = second.behave = becomes_unreachable
        async with rig.ask("/brief/1") as response:
            start = asyncio.get_running_loop().time()
            body = await response.read()
            took_s = asyncio.get_running_loop().time() - start
    assert body == ALL_EVENTS
    assert took_s < 0.7


async def test_slow_reachable_engine_is_not_given_up():
    """The gap is above the probe limit and below the allowed event gap."""

    async def slow(arrival):
        arrival.begin()
        arrival.events([1, 2, 3])
        await arrival.writer.drain()
        await asyncio.sleep(stalls.MAX_PROBE_MS / 1e3)
        arrival.events([4, 5, 6])
        arrival.end()

    async with gateway_rig.running(llm=[slow, slow]) as rig:
        assert await read(rig.ask("/brief/1")) == (200, ALL_EVENTS)
        assert len(arrivals(rig)) == 1


async def test_stream_with_lost_kv_copy_is_prefilled_again():
    """The engine with the copy refuses; `Last-Event-Id` resumes the stream."""
    started = []

    async def behave(arrival):
        if "kv-from" in arrival.headers:
            arrival.refuse()
        elif started:
            await complete(arrival)
        else:
            started.append(arrival)
            await broken_after(3, lambda a: a.reset())(arrival)

    async with gateway_rig.running(llm=[behave] * 3) as rig:
        assert await read(rig.ask("/brief/1")) == (200, ALL_EVENTS)


async def test_outcome_is_not_run_only_if_no_engine_may_have_run_it():
    async with gateway_rig.running(llm=[refuse, refuse]) as rig:
        async with rig.ask("/brief/1") as response:
            assert response.status == 503
            assert float(response.headers["Retry-After"]) > 0
            error = (await response.json())["error"]
    assert error["outcome"] == "not_run"

    async def resets(arrival):
        arrival.reset()

    async with gateway_rig.running(llm=[resets]) as rig:
        status, _ = await read(rig.ask("/brief/1"))
    assert status in (502, 504)


async def test_stream_that_cannot_resume_does_not_look_complete():
    once = broken_after(3, lambda a: a.reset())
    async with gateway_rig.running(llm=[once]) as rig:
        with pytest.raises(aiohttp.ClientPayloadError):
            await asyncio.wait_for(read(rig.ask("/brief/1")), 6)


async def test_engine_is_disconnected_when_the_caller_disconnects():
    disconnected = asyncio.Event()

    async def watches(arrival):
        arrival.begin()
        arrival.events([1])
        await arrival.writer.drain()
        await arrival.reader.read()
        disconnected.set()

    async with gateway_rig.running(llm=[watches]) as rig:
        response = await rig.ask("/brief/1")
        await response.content.readany()
        response.close()
        await asyncio.wait_for(disconnected.wait(), 0.5)


async def test_answer_of_another_request_is_never_relayed():
    async def foreign(arrival):
        arrival.headers["attempt-id"] = "someone-else"
        await complete(arrival)

    async with gateway_rig.running(llm=[foreign, complete]) as rig:
        rig.engines_by_service[gateway_rig.LLM][1].behave = foreign
        status, body = await read(rig.ask("/brief/1"))
    assert status in (502, 503, 504)
    assert b"piece" not in body


async def test_suspects_reported_by_others_get_no_new_stream():
    async with gateway_rig.running(llm=[complete, complete]) as rig:
        fleet_view = rig.blackboard.fleet.read()
        rig.write_fleet(
            type(fleet_view)(suspects=frozenset([ids.BackendId("llm-0")]))
        )
        await read(rig.ask("/brief/1"))
        assert [name for name, _ in arrivals(rig)] == ["llm-1"]


async def test_load_of_other_instances_counts_in_placement():
    async with gateway_rig.running(llm=[complete, complete]) as rig:
        busy = fm.BackendLoad(ids.BackendId("llm-0"), 1, 9_000, 8_000)
        fleet_view = rig.blackboard.fleet.read()
        rig.write_fleet(type(fleet_view)(load_by_id={busy.backend_id: busy}))
        await read(rig.ask("/brief/1"))
        assert [name for name, _ in arrivals(rig)] == ["llm-1"]


async def test_stream_lost_during_prefill_is_prefilled_elsewhere():
    """Load: an engine crashes before the first event of a long prompt.

    No copy is used: engines begin one with the first event.
    """

    async def resets(arrival):
        arrival.reset()

    behave = complete_after_first(resets)
    async with gateway_rig.running(llm=[behave, behave]) as rig:
        assert await read(rig.ask("/brief/1")) == (200, ALL_EVENTS)
        assert len(arrivals(rig)) == 2
        assert not [a for _, a in arrivals(rig) if "kv-from" in a.headers]


async def test_prompt_with_prefill_beyond_deadline_is_refused_at_once():
    """Load: callers retry with little left of their 25 s."""
    async with gateway_rig.running(llm=[complete]) as rig:
        async with rig.ask(
            "/brief/1", Token_Counts="8000,1520", Deadline_Ms="700"
        ) as response:
            assert response.status == 503
            assert (await response.json())["error"]["outcome"] == "not_run"
        assert not arrivals(rig)
        status, _ = await read(
            rig.ask("/brief/1", Token_Counts="8000,1520", Deadline_Ms="1500")
        )
        assert status == 200


async def test_engine_with_prefill_of_others_is_not_given_up_early():
    """Load: two instances choose the same engine within a few ms."""

    async def late(arrival):
        await asyncio.sleep(1.3)
        await complete(arrival)

    async with gateway_rig.running(llm=[late, late]) as rig:
        request_task = asyncio.create_task(read(rig.ask("/brief/1")))
        await asyncio.sleep(0.1)
        busy = fm.BackendLoad(
            ids.BackendId(arrivals(rig)[0][0]), 1, 9_000, 8_000
        )
        fleet_view = rig.blackboard.fleet.read()
        rig.write_fleet(type(fleet_view)(load_by_id={busy.backend_id: busy}))
        assert await request_task == (200, ALL_EVENTS)
        assert len(arrivals(rig)) == 1


async def test_engine_that_reports_work_is_not_given_up():
    """Load: an engine of unknown speed takes thrice the usual prefill."""

    async def slow(arrival):
        await asyncio.sleep(1.9)
        await complete(arrival)

    async with gateway_rig.running(llm=[slow, slow]) as rig:
        for engine in rig.engines_by_service[gateway_rig.LLM]:
            engine.report = b'{"activeRequests":1,"runs":[]}'
        assert await read(rig.ask("/brief/1")) == (200, ALL_EVENTS)
        assert len(arrivals(rig)) == 1


async def test_stream_whose_events_were_lost_resumes_from_its_copy():
    """Load: an engine runs a request and its answer is lost on the way."""
    async with gateway_rig.running(
        llm=[complete_after_first(hang)] * 2
    ) as rig:
        for engine in rig.engines_by_service[gateway_rig.LLM]:
            engine.report = b'{"activeRequests":1,"runs":[["a1",900,9,5]]}'
        assert await read(rig.ask("/brief/1")) == (200, ALL_EVENTS)
        first, second = arrivals(rig)
        assert second[1].headers["kv-from"].endswith("/a1")


async def test_engine_without_the_request_is_given_up_early():
    """Load: an engine drops a request; the latency goal is far away."""
    async with gateway_rig.running(
        llm=[complete_after_first(hang)] * 2,
        in_force=gateway_rig.table(stream_goal_ms=2_400.0),
    ) as rig:
        for engine in rig.engines_by_service[gateway_rig.LLM]:
            engine.report = b'{"activeRequests":0,"runs":[]}'
        start = asyncio.get_running_loop().time()
        assert await read(rig.ask("/brief/1")) == (200, ALL_EVENTS)
        assert asyncio.get_running_loop().time() - start < 1.2


async def test_engine_that_lost_an_answer_is_not_marked_lost():
    """Load: engines reset some of the answers and keep working."""
    seen = []

    async def behave(arrival):
        seen.append(arrival)
        if len(seen) == 1:
            arrival.reset()
        else:
            await complete(arrival)

    async with gateway_rig.running(llm=[behave, behave]) as rig:
        assert await read(rig.ask("/brief/1")) == (200, ALL_EVENTS)
        await asyncio.gather(*rig.deps.background_tasks)
        assert rig.deps.health.suspects() == ()


async def test_request_that_crashes_its_engines_is_blocked():
    """Load: each engine that begins a request crashes a moment later."""
    async with gateway_rig.running(llm=[complete] * 4) as rig:

        def crashes(engine):
            async def behave(arrival):
                engine._server.close()
                arrival.reset()

            return behave

        engines = rig.engines_by_service[gateway_rig.LLM]
        for engine in engines:
            engine.behave = crashes(engine)
        status, _ = await read(rig.ask("/brief/1"))
        await asyncio.gather(*rig.deps.background_tasks)
        assert status in (502, 503, 504)
        assert len(arrivals(rig)) <= 4
        async with rig.ask("/brief/1", "a2") as response:
            assert response.status == 503
            assert "crashed" in (await response.json())["error"]["message"]
        async with rig.ask("/brief/other", "a3") as response:
            assert "crashed" not in await response.text()
