"""Streams through the gateway while engines are lost, slow or faulty."""

import asyncio

import aiohttp
import pytest

from oriolejunction.controllers import stalls
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from tests.platform import gateway_rig

WHOLE = b"".join(b"id: %d\ndata: piece%d\n\n" % (n, n) for n in range(1, 7))


async def whole(arrival):
    """Stream what follows the caller's last event, to the sixth."""
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


def whole_after_first(first):
    """Return a behaviour that is `first` once, at whichever engine."""
    began = []

    async def behave(arrival):
        if began:
            await whole(arrival)
            return
        began.append(arrival)
        await first(arrival)

    return behave


async def never(arrival):
    """Bring nothing at all."""
    await asyncio.sleep(30)


async def refuse(arrival):
    """Say that the request was not run."""
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


async def test_stream_is_whole_and_keeps_head():
    async with gateway_rig.running(llm=[whole]) as rig:
        async with rig.ask("/brief/1") as response:
            assert response.headers["Response-Signature"] == "s1"
            assert response.headers["Attempt-Id"] == "a1"
            assert await response.read() == WHOLE


async def test_engine_gets_workspace_and_neither_key_nor_forged_headers():
    async with gateway_rig.running(llm=[whole]) as rig:
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
async def test_broken_stream_goes_on_whole_from_its_copy(how):
    """Each engine breaks off a first run; the other goes on."""

    async def breaks(arrival):
        await broken_after(3, how)(arrival)
        if not arrival.writer.transport.is_closing():
            arrival.writer.close()

    behave = whole_after_first(breaks)
    async with gateway_rig.running(llm=[behave, behave]) as rig:
        status, body = await read(rig.ask("/brief/1"))
        seen = arrivals(rig)
    assert (status, body) == (200, WHOLE)
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
        assert await read(rig.ask("/brief/1")) == (200, WHOLE)


async def test_dark_engine_is_left_within_the_longest_pause():
    """Silence begins mid-stream and the machine takes no connection."""
    async with gateway_rig.running(llm=[whole, whole]) as rig:
        first, second = rig.engines_by_service[gateway_rig.LLM]

        async def goes_dark(arrival):
            if "kv-from" in arrival.headers:
                await whole(arrival)
                return
            arrival.begin()
            arrival.events([1, 2, 3])
            await arrival.writer.drain()
            for engine in (first, second):
                if engine.arrivals:
                    engine._server.close()
            await asyncio.sleep(30)

        first.behave = second.behave = goes_dark
        async with rig.ask("/brief/1") as response:
            start = asyncio.get_running_loop().time()
            body = await response.read()
            took_s = asyncio.get_running_loop().time() - start
    assert body == WHOLE
    assert took_s < 0.7


async def test_slow_engine_that_takes_connections_is_not_left():
    """A gap above the test limit, below the longest pause."""

    async def slow(arrival):
        arrival.begin()
        arrival.events([1, 2, 3])
        await arrival.writer.drain()
        await asyncio.sleep(stalls.MAX_PROBE_MS / 1e3)
        arrival.events([4, 5, 6])
        arrival.end()

    async with gateway_rig.running(llm=[slow, slow]) as rig:
        assert await read(rig.ask("/brief/1")) == (200, WHOLE)
        assert len(arrivals(rig)) == 1


async def test_lost_copy_is_read_anew():
    """The copy's holder refuses; the stream goes on by `Last-Event-Id`."""
    began = []

    async def behave(arrival):
        if "kv-from" in arrival.headers:
            arrival.refuse()
        elif began:
            await whole(arrival)
        else:
            began.append(arrival)
            await broken_after(3, lambda a: a.reset())(arrival)

    async with gateway_rig.running(llm=[behave] * 3) as rig:
        assert await read(rig.ask("/brief/1")) == (200, WHOLE)


async def test_refusal_is_not_run_only_where_no_engine_may_have_run_it():
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


async def test_stream_that_cannot_go_on_does_not_look_complete():
    once = broken_after(3, lambda a: a.reset())
    async with gateway_rig.running(llm=[once]) as rig:
        with pytest.raises(aiohttp.ClientPayloadError):
            await asyncio.wait_for(read(rig.ask("/brief/1")), 6)


async def test_engine_is_left_when_the_caller_leaves():
    gone = asyncio.Event()

    async def watches(arrival):
        arrival.begin()
        arrival.events([1])
        await arrival.writer.drain()
        await arrival.reader.read()
        gone.set()

    async with gateway_rig.running(llm=[watches]) as rig:
        response = await rig.ask("/brief/1")
        await response.content.readany()
        response.close()
        await asyncio.wait_for(gone.wait(), 0.5)


async def test_answer_of_another_request_is_never_passed_on():
    async def foreign(arrival):
        arrival.headers["attempt-id"] = "someone-else"
        await whole(arrival)

    async with gateway_rig.running(llm=[foreign, whole]) as rig:
        rig.engines_by_service[gateway_rig.LLM][1].behave = foreign
        status, body = await read(rig.ask("/brief/1"))
    assert status in (502, 503, 504)
    assert b"piece" not in body


async def test_suspects_told_by_others_get_no_new_stream():
    async with gateway_rig.running(llm=[whole, whole]) as rig:
        held = rig.board.fleet.read()
        rig.write_fleet(
            type(held)(suspects=frozenset([ids.BackendId("llm-0")]))
        )
        await read(rig.ask("/brief/1"))
        assert [name for name, _ in arrivals(rig)] == ["llm-1"]


async def test_work_of_others_counts_in_placement():
    async with gateway_rig.running(llm=[whole, whole]) as rig:
        busy = fm.BackendLoad(ids.BackendId("llm-0"), 1, 9_000, 8_000)
        held = rig.board.fleet.read()
        rig.write_fleet(type(held)(load_by_id={busy.backend_id: busy}))
        await read(rig.ask("/brief/1"))
        assert [name for name, _ in arrivals(rig)] == ["llm-1"]


async def test_stream_lost_while_its_prompt_is_read_is_read_elsewhere():
    """Load: an engine crashes before the first event of a long prompt.

    No copy is asked for: engines begin one with the first event.
    """

    async def resets(arrival):
        arrival.reset()

    behave = whole_after_first(resets)
    async with gateway_rig.running(llm=[behave, behave]) as rig:
        assert await read(rig.ask("/brief/1")) == (200, WHOLE)
        assert len(arrivals(rig)) == 2
        assert not [a for _, a in arrivals(rig) if "kv-from" in a.headers]


async def test_prompt_that_cannot_be_read_in_time_is_refused_at_once():
    """Load: callers come back with the last of their 25 s."""
    async with gateway_rig.running(llm=[whole]) as rig:
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


async def test_engine_with_prompts_of_others_is_not_left_early():
    """Load: two instances choose one engine within a few ms."""

    async def late(arrival):
        await asyncio.sleep(1.3)
        await whole(arrival)

    async with gateway_rig.running(llm=[late, late]) as rig:
        asked = asyncio.create_task(read(rig.ask("/brief/1")))
        await asyncio.sleep(0.1)
        busy = fm.BackendLoad(
            ids.BackendId(arrivals(rig)[0][0]), 1, 9_000, 8_000
        )
        held = rig.board.fleet.read()
        rig.write_fleet(type(held)(load_by_id={busy.backend_id: busy}))
        assert await asked == (200, WHOLE)
        assert len(arrivals(rig)) == 1


async def test_engine_that_lost_an_answer_is_not_held_for_lost():
    """Load: engines reset part of the answers and go on working."""
    seen = []

    async def behave(arrival):
        seen.append(arrival)
        if len(seen) == 1:
            arrival.reset()
        else:
            await whole(arrival)

    async with gateway_rig.running(llm=[behave, behave]) as rig:
        assert await read(rig.ask("/brief/1")) == (200, WHOLE)
        await asyncio.gather(*rig.parts.background_tasks)
        assert rig.parts.health.suspects() == ()


async def test_request_that_crashes_its_engines_is_barred():
    """Load: each engine that begins a request is gone a moment later."""
    async with gateway_rig.running(llm=[whole] * 4) as rig:

        def crashes(engine):
            async def behave(arrival):
                engine._server.close()
                arrival.reset()

            return behave

        engines = rig.engines_by_service[gateway_rig.LLM]
        for engine in engines:
            engine.behave = crashes(engine)
        status, _ = await read(rig.ask("/brief/1"))
        await asyncio.gather(*rig.parts.background_tasks)
        assert status in (502, 503, 504)
        assert len(arrivals(rig)) <= 4
        async with rig.ask("/brief/1", "a2") as response:
            assert response.status == 503
            assert "crashed" in (await response.json())["error"]["message"]
        async with rig.ask("/brief/other", "a3") as response:
            assert "crashed" not in await response.text()
