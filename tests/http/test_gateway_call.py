"""Calls to plain services: retried if allowed, otherwise run at most once."""

import asyncio
import json

import pytest

from oriolejunction import backends
from oriolejunction import ids
from tests import event_loops
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)


async def answer(arrival):
    """Answer with success."""
    arrival.answer()


async def fail(arrival):
    """Answer with a server error."""
    arrival.answer(b"broken", "500 Internal Server Error")


async def refuse(arrival):
    """Report that the call was not run."""
    arrival.refuse()


async def reset(arrival):
    """Reset the connection after reading the call."""
    arrival.reset()


async def hang(arrival):
    """Send nothing."""
    await asyncio.sleep(30)


async def unsigned(arrival):
    """Answer with a success that has no signature."""
    arrival.writer.write(
        b"HTTP/1.1 200 OK\r\nAttempt-Id: "
        + arrival.headers["attempt-id"].encode()
        + b"\r\nContent-Length: 2\r\n\r\nno"
    )


async def read(request):
    async with request as response:
        return response.status, await response.read()


def runs(rig):
    return sum(
        len(engine.arrivals)
        for engine in rig.engines_by_service[gateway_rig.DESK]
    )


@pytest.mark.parametrize("first", [fail, refuse, reset, unsigned, hang])
async def test_idempotent_call_goes_to_a_second_server(first):
    seen = []

    async def behave(arrival):
        seen.append(arrival)
        await (first if len(seen) == 1 else answer)(arrival)

    async with gateway_rig.running(desk=[behave, behave]) as rig:
        assert await read(rig.ask("/look/1")) == (200, b"whole")
    assert len(seen) == 2


async def test_call_is_not_sent_more_often_than_its_route_allows(monkeypatch):
    """Fault: an attempt did not count while its connection was opened."""
    seen = []
    may_open = asyncio.Event()

    async def behave(arrival):
        seen.append(arrival)
        await (fail if len(seen) == 1 else answer)(arrival)

    async with gateway_rig.running(desk=[behave, behave]) as rig:
        acquire = rig.deps.pool.acquire

        async def acquire_slowly(*arguments):
            if seen:
                await may_open.wait()
            return await acquire(*arguments)

        monkeypatch.setattr(rig.deps.pool, "acquire", acquire_slowly)
        request = asyncio.create_task(read(rig.ask("/look/1")))
        # Longer than the delay of a hedged request.
        await asyncio.sleep(0.6)
        may_open.set()
        assert await request == (200, b"whole")
    assert len(seen) == 2


async def test_idempotent_call_that_fails_everywhere_gets_the_servers_answer():
    async with gateway_rig.running(desk=[fail, fail, fail]) as rig:
        status, body = await read(rig.ask("/look/1"))
        assert (status, body) == (500, b"broken")
        assert runs(rig) == 2


@pytest.mark.parametrize(
    ("behave", "status"),
    [(answer, 200), (fail, 500), (reset, 502), (unsigned, 502), (hang, 504)],
)
async def test_non_idempotent_call_is_run_once_whatever_happens(
    behave, status
):
    async with gateway_rig.running(desk=[behave, behave, behave]) as rig:
        got, _ = await read(rig.ask("/order/1", Deadline_Ms="600"))
        assert got == status
        assert runs(rig) == 1


async def test_non_idempotent_call_is_retried_if_it_was_not_run():
    seen = []

    async def behave(arrival):
        seen.append(arrival)
        await (refuse if len(seen) == 1 else answer)(arrival)

    async with gateway_rig.running(desk=[behave, behave]) as rig:
        assert await read(rig.ask("/order/1")) == (200, b"whole")


async def test_outcome_is_not_run_if_all_servers_refused():
    async with gateway_rig.running(desk=[refuse, refuse]) as rig:
        async with rig.ask("/order/1") as response:
            assert response.status == 503
            assert "Retry-After" in response.headers
            error = (await response.json())["error"]
    assert error["outcome"] == "not_run"


async def test_unreachable_server_does_not_count_as_an_attempt():
    async with gateway_rig.running(desk=[answer]) as rig:
        listed = dict(rig.blackboard.backends.read().by_id)
        listed["gone"] = backends.Backend(
            ids.BackendId("gone"),
            gateway_rig.DESK,
            gateway_rig.UNREACHABLE_ADDRESS,
            ids.ZoneId("z0"),
        )
        rig.list(listed)
        for number in range(6):
            got = await read(rig.ask("/order/1", f"a{number}"))
            assert got == (200, b"whole")


@pytest.mark.parametrize("extra", [b"stray", b"HTTP/1.1 200 OK\r\n\r\n"])
async def test_connection_with_stray_bytes_is_not_reused(extra):
    async def behave(arrival):
        arrival.answer()
        arrival.writer.write(extra)

    async with gateway_rig.running(desk=[behave]) as rig:
        for number in range(3):
            got = await read(rig.ask("/order/1", f"a{number}"))
            assert got == (200, b"whole")
        writers = {
            arrival.writer
            for arrival in rig.engines_by_service[gateway_rig.DESK][0].arrivals
        }
    assert len(writers) == 3


async def test_late_second_answer_is_not_taken_for_the_next_one():
    async def behave(arrival):
        arrival.answer(b"answer of " + arrival.headers["attempt-id"].encode())
        await arrival.writer.drain()
        await asyncio.sleep(0.02)
        arrival.answer(b"late copy")

    async with gateway_rig.running(desk=[behave]) as rig:
        for name in ("a1", "a2", "a3"):
            status, body = await read(rig.ask("/order/1", name))
            assert body == b"answer of " + name.encode()
            await asyncio.sleep(0.05)


async def test_copy_that_arrived_before_the_next_request_loses_nothing():
    """Fault: the next call was lost, though the copy had arrived before it.

    The process had no time to read it.
    """

    async def behave(arrival):
        arrival.answer(b"answer of " + arrival.headers["attempt-id"].encode())

    async with gateway_rig.running(desk=[behave]) as rig:
        assert (await read(rig.ask("/order/1", "a1")))[0] == 200
        (server,) = rig.engines_by_service[gateway_rig.DESK]
        acquire = rig.deps.pool.acquire

        async def acquire_after_copy(*limits):
            if len(server.arrivals) == 1:
                server.arrivals[0].answer(b"late copy")
            return await acquire(*limits)

        rig.deps.pool.acquire = acquire_after_copy
        status, body = await read(rig.ask("/order/1", "a2"))
        assert (status, body) == (200, b"answer of a2")


async def test_refusal_of_another_request_is_no_proof_for_this_one():
    """Fault: a call that ran was sent again.

    A copy of a refusal of the request before arrived in its place.
    """

    async def refuse_another(arrival):
        arrival.headers["attempt-id"] = "another"
        arrival.writer.write(
            arrival.head(
                "503 Full", b"Not-Executed: 1\r\nContent-Length: 0\r\n"
            )
        )

    async with gateway_rig.running(desk=[refuse_another] * 2) as rig:
        status, _ = await read(rig.ask("/order/1", "a1"))
        servers = rig.engines_by_service[gateway_rig.DESK]
        assert status == 502
        assert sum(len(each.arrivals) for each in servers) == 1


@pytest.mark.parametrize(
    ("path", "kind"), [("/look/1", "desk"), ("/brief/1", "llm")]
)
async def test_failure_does_not_say_not_run_for_a_server_that_may_have(
    path, kind
):
    """Fault: the caller was told 503 although a lost server had run it."""

    async def lose(arrival):
        servers = rig.engines_by_service[
            gateway_rig.DESK if kind == "desk" else gateway_rig.LLM
        ]
        if sum(len(each.arrivals) for each in servers) == 1:
            arrival.reset()
        else:
            arrival.answer(b"no", "503 Busy")

    async with gateway_rig.running(**{kind: [lose] * 2}) as rig:
        status, _ = await read(rig.ask(path))
        assert runs(rig) == 2 or kind == "llm"
        assert status == 502


async def test_answer_without_length_is_complete_only_after_a_clean_end():
    async def unframed(arrival):
        arrival.writer.write(arrival.head() + b"to the end")
        arrival.writer.close()

    async def cut(arrival):
        arrival.writer.write(arrival.head() + b"to the")
        await arrival.writer.drain()
        await asyncio.sleep(0.02)
        arrival.reset()

    async with gateway_rig.running(desk=[unframed]) as rig:
        assert await read(rig.ask("/order/1")) == (200, b"to the end")
    async with gateway_rig.running(desk=[cut]) as rig:
        status, body = await read(rig.ask("/order/1"))
        assert status == 502
        assert b"to the" not in body


async def test_answer_before_a_long_body_is_read_leaves_no_stray_bytes():
    """The server answers early and reads the rest of the body later."""
    async with gateway_rig.running(desk=[answer]) as rig:
        engine = rig.engines_by_service[gateway_rig.DESK][0]
        body = b"x" * 300_000

        async def ask(name):
            async with rig.session.post(
                f"http://127.0.0.1:{rig.port}/order/1",
                headers={
                    "Host": gateway_rig.HOST,
                    "Attempt-Id": name,
                    "X-Api-Key": gateway_rig.KEY,
                    "Deadline-Ms": "2000",
                },
                data=body,
            ) as response:
                return await response.read()

        assert await ask("a1") == b"whole"
        assert await ask("a2") == b"whole"
        assert [a.body for a in engine.arrivals] == [body, body]


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/nowhere/1", gateway_rig.KEY, 404),
        ("/order/1", "wrong", 401),
        ("/order/1", "", 401),
    ],
)
async def test_unknown_route_and_key_reach_no_server(path, key, status):
    async with gateway_rig.running(desk=[answer]) as rig:
        got, _ = await read(rig.ask(path, X_Api_Key=key))
        assert got == status
        assert runs(rig) == 0


async def test_instance_without_a_table_answers_not_run():
    async with gateway_rig.running(desk=[answer]) as rig:
        rig.put_in_force(None)
        status, body = await read(rig.ask("/order/1"))
    assert status == 503
    assert json.loads(body)["error"]["outcome"] == "not_run"


async def test_stopping_instance_closes_connections_after_answers():
    async with gateway_rig.running(desk=[answer]) as rig:
        rig.time_to_stop_ms = 5_000.0
        async with rig.ask("/order/1") as response:
            assert response.status == 200
            assert response.headers["Connection"] == "close"


async def test_stopping_instance_begins_only_requests_it_can_finish():
    """Load: the balancer still sends requests late in the grace period.

    The deadline of each is in 2.5 s, and that of an order must come first.
    """
    async with gateway_rig.running(llm=[answer], desk=[answer]) as rig:
        for remaining_ms, path, status in (
            (2_600.0, "/order/1", 200),
            (2_000.0, "/order/1", 503),
            (2_000.0, "/look/1", 200),
        ):
            rig.time_to_stop_ms = remaining_ms
            async with rig.ask(path) as response:
                assert response.status == status
        rig.time_to_stop_ms = 100.0
        for path in ("/order/1", "/brief/1"):
            async with rig.ask(path) as response:
                assert response.status == 503
                assert float(response.headers["Retry-After"]) < 0.1
                error = (await response.json())["error"]
                assert error["outcome"] == "not_run"
        assert not rig.engines_by_service[gateway_rig.LLM][0].arrivals


async def test_stopping_instance_closes_idle_connections():
    async with gateway_rig.running(desk=[answer]) as rig:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        request = (
            "GET /look/1 HTTP/1.1\r\nHost: shop.example\r\n"
            f"Attempt-Id: a1\r\nX-Api-Key: {gateway_rig.KEY}\r\n\r\n"
        )
        writer.write(request.encode())
        await reader.readuntil(b"whole")
        await asyncio.sleep(0.05)
        await gateway_rig.stop_accepting(rig)
        assert await asyncio.wait_for(reader.read(), 1.0) == b""
        writer.close()


async def test_request_during_startup_waits_for_the_table():
    """Load: callers arrive while the control replicas elect a leader."""
    async with gateway_rig.running(desk=[answer]) as rig:
        table = rig.blackboard.table.read()
        rig.put_in_force(None)
        request_task = asyncio.create_task(read(rig.ask("/order/1")))
        await asyncio.sleep(0.2)
        rig.put_in_force(table)
        assert await request_task == (200, b"whole")


async def test_request_read_while_its_connection_is_closed_is_not_relayed():
    """Load: a call arrives just as idle connections are closed.

    A previous answer is still being sent on the connection. Until that ends,
    asyncio does not report the connection as closed.
    """
    async with gateway_rig.running(desk=[answer]) as rig:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        await asyncio.sleep(0.05)
        (connection,) = rig.gateway._server.connections
        transport = connection.transport
        request = (
            "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
            f"Attempt-Id: a1\r\nX-Api-Key: {gateway_rig.KEY}\r\n"
            "Content-Length: 0\r\n\r\n"
        )
        transport.write(b" " * (32 << 20))
        connection.data_received(request.encode())
        connection.force_close()
        await asyncio.sleep(0.1)
        transport.abort()
        assert runs(rig) == 0
        writer.close()


async def test_caller_that_expects_100_continue_is_asked_for_the_body():
    async with gateway_rig.running(desk=[answer]) as rig:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        writer.write(
            f"POST /order/1 HTTP/1.1\r\nHost: {gateway_rig.HOST}\r\n"
            f"Attempt-Id: a1\r\nX-Api-Key: {gateway_rig.KEY}\r\n"
            "Content-Length: 6\r\nExpect: 100-continue\r\n\r\n".encode()
        )
        async with asyncio.timeout(2.0):
            interim = await reader.readuntil(b"\r\n\r\n")
            writer.write(b"prompt")
            final = await reader.readuntil(b"whole")
        writer.close()
    assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
    assert final.startswith(b"HTTP/1.1 200 ")
    (arrival,) = rig.engines_by_service[gateway_rig.DESK][0].arrivals
    assert arrival.body == b"prompt"
    assert "expect" not in arrival.headers
