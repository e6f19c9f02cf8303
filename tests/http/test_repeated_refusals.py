"""An earlier refusal that a server writes once more on a kept connection."""

import contextlib

import aiohttp
import msgspec
import pytest

from oriolejunction.http import own_answer
from tests import event_loops
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)

REFUSAL = (
    b"HTTP/1.1 503 Full\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
MISDIRECTED = (
    b"HTTP/1.1 421 Misdirected\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
TOO_LARGE = own_answer.MAX_COPY_BYTES + 1


def refusal_of(arrival):
    return REFUSAL % (
        b"Attempt-Id: %s\r\n" % arrival.headers["attempt-id"].encode()
    )


async def order(rig, request_id):
    async with rig.ask("/order/1", request_id) as response:
        return response.status


async def test_repeated_refusal_of_the_same_request_is_no_proof():
    """Fault: a call that runs was refused, or run once more.

    Its server had refused it before and is sent it again.
    """
    arrivals = []

    async def refuse_first(arrival):
        arrivals.append(arrival)
        if len(arrivals) == 1:
            arrival.writer.write(refusal_of(arrival))
        elif arrival.writer is arrivals[0].writer:
            arrival.writer.write(refusal_of(arrivals[0]))
        else:
            arrival.answer()

    async with gateway_rig.running(desk=[refuse_first]) as rig:
        assert await order(rig, "a1") == 200
    assert len(arrivals) == 2


async def test_repeated_refusal_without_an_id_is_no_proof():
    """Fault: a call that runs was refused, or run at a second server."""
    refused = []
    kept = set()

    async def refuse_on_kept(arrival):
        if arrival.writer in kept:
            refused.append(arrival.headers["attempt-id"])
            arrival.writer.write(REFUSAL % b"")
        else:
            kept.add(arrival.writer)
            arrival.answer()

    async with gateway_rig.running(desk=[refuse_on_kept] * 2) as rig:
        statuses = {
            each: await order(rig, each) for each in ("a1", "a2", "a3", "a4")
        }
        servers = rig.engines_by_service[gateway_rig.DESK]
        assert sum(len(each.arrivals) for each in servers) == 4
    assert refused
    assert {statuses[each] for each in refused} == {502}


async def test_refusal_without_an_id_is_proof_on_a_new_connection():
    async def refuse(arrival):
        arrival.writer.write(REFUSAL % b"")

    async with gateway_rig.running(desk=[refuse]) as rig:
        assert await order(rig, "a1") == 503


class RestartedServer:
    """A server that is back at its address under a new id.

    It repeats a refusal where the next answer on that connection is due.
    """

    def __init__(self) -> None:
        self.former_id = None
        self.runs = []
        self.copies_met = 0
        self._copy_by_writer = {}

    async def serve(self, arrival):
        copy = self._copy_by_writer.pop(arrival.writer, None)
        if copy is not None:
            self.copies_met += 1
            arrival.writer.write(copy)
        if self.former_id is None:
            self.former_id = arrival.headers["expected-instance"]
        if arrival.headers["expected-instance"] == self.former_id:
            copy = MISDIRECTED % arrival.headers["attempt-id"].encode()
            self._copy_by_writer[arrival.writer] = copy
            arrival.writer.write(copy)
        else:
            self.runs.append(arrival.headers["attempt-id"])
            arrival.answer()


async def test_refusal_repeated_after_a_restart_under_a_new_id_is_no_proof():
    """Fault: an order ran twice, or ran though its caller was told not run.

    The list shows both ids of the server at one address.
    """
    server = RestartedServer()
    async with gateway_rig.running(desk=[server.serve]) as rig:
        (listed,) = rig.blackboard.backends.read().by_id.values()
        renamed = msgspec.structs.replace(listed, backend_id="desk-0b")
        rig.list({"desk-0": listed, "desk-0b": renamed})
        # The former id is only tried until its first refusal.
        for number in range(20):
            server.former_id = None
            rig.deps.health.forget_suspects()
            assert await order(rig, f"a{number}") == 200
    assert sorted(server.runs) == sorted(f"a{n}" for n in range(20))


async def test_refusal_repeated_to_another_use_of_the_id_is_no_proof():
    """Fault: an instance that is asked for a request again denied its run."""
    arrivals = []
    refused = set()

    async def refuse_then_run(arrival):
        arrivals.append(arrival)
        if len(arrivals) <= 4:
            refused.add(arrival.writer)
            arrival.writer.write(refusal_of(arrival))
        elif arrival.writer in refused:
            arrival.writer.write(refusal_of(arrival))
        else:
            arrival.answer()

    async with gateway_rig.running(desk=[refuse_then_run]) as rig:
        assert await order(rig, "a1") == 503
        assert len(arrivals) == 4
        assert await order(rig, "a1") == 200
    assert len(arrivals) == 5


REPEATED_SUCCESS = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s1\r\n"
)
COPIES = {
    "refusal": REFUSAL % b"Attempt-Id: a1\r\nRetry-After: 9\r\n",
    "misdirected": MISDIRECTED % b"a1",
    "leaving": REFUSAL % b"Attempt-Id: a1\r\nServer-Leaving: 1\r\n",
    "success": REPEATED_SUCCESS + b"Content-Length: 5\r\n\r\nother",
    "chunked": REPEATED_SUCCESS
    + b"Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n",
}


def repeating(copy, times=1):
    """Return a server that writes a copy ahead of its second answer."""
    arrivals = []

    async def serve(arrival):
        arrivals.append(arrival)
        if len(arrivals) == 2:
            arrival.writer.write(copy * times)
        arrival.answer(arrival.headers["attempt-id"].encode())

    return serve


@pytest.mark.parametrize("copy", COPIES.values(), ids=COPIES)
async def test_repeated_answer_to_another_request_costs_no_caller(copy):
    """Fault: the answer behind the copy was not read, the outcome unknown."""
    async with gateway_rig.running(desk=[repeating(copy)]) as rig:
        for request_id in ("a1", "a2", "a3"):
            async with rig.ask("/order/1", request_id) as response:
                assert response.status == 200
                assert await response.read() == request_id.encode()


@pytest.mark.parametrize(
    "stray",
    [
        pytest.param(REFUSAL % b"Attempt-Id: zz\r\n", id="not carried"),
        pytest.param(REFUSAL % b"", id="no id"),
        pytest.param(
            REPEATED_SUCCESS
            + b"Content-Length: %d\r\n\r\n" % TOO_LARGE
            + b"." * TOO_LARGE,
            id="too large",
        ),
        pytest.param(REPEATED_SUCCESS + b"\r\n", id="no length"),
    ],
)
async def test_stray_answer_that_is_no_copy_ends_the_call(stray):
    async with gateway_rig.running(desk=[repeating(stray)]) as rig:
        assert await order(rig, "a1") == 200
        assert await order(rig, "a2") == 502
        assert await order(rig, "a3") == 200


async def test_copies_without_end_are_not_read_on():
    copy = COPIES["refusal"]
    async with gateway_rig.running(desk=[repeating(copy, 1_000)]) as rig:
        assert await order(rig, "a1") == 200
        assert await order(rig, "a2") == 502
        assert await order(rig, "a3") == 200


async def test_copy_of_a_refusal_does_not_mark_its_server():
    """Fault: a sound server was taken as replaced, paused or leaving."""
    for copy in (COPIES["misdirected"], COPIES["refusal"], COPIES["leaving"]):
        async with gateway_rig.running(desk=[repeating(copy)]) as rig:
            assert await order(rig, "a1") == 200
            assert await order(rig, "a2") == 200
            assert rig.deps.health.suspects() == ()
            assert rig.deps.intake.allows("desk-0")


async def test_copy_ahead_of_a_stream_costs_no_caller():
    arrivals = []

    async def serve(arrival):
        arrivals.append(arrival)
        if len(arrivals) == 2:
            assert arrival.writer is arrivals[0].writer
            arrival.writer.write(COPIES["refusal"])
        arrival.begin()
        arrival.events([1, 2])
        arrival.end()

    async with gateway_rig.running(llm=[serve]) as rig:
        for request_id in ("a1", "a2"):
            async with rig.ask("/brief/1", request_id) as response:
                assert response.status == 200
                assert (await response.read()).count(b"id: ") == 2
    assert len(arrivals) == 2


@pytest.mark.parametrize(
    ("stated_weights", "is_replaced"),
    [
        (b"\r\nWeight-Versions: 4", False),
        (b"\r\nWeight-Versions: 3", True),
        (b"", True),
    ],
)
async def test_engine_with_other_weights_is_not_marked_as_replaced(
    stated_weights, is_replaced
):
    """Fault: 421 for the expected weights took a sound engine out of use.

    One that has the expected weights, or states none, is another incarnation.
    """

    async def begin_and_reset(arrival):
        arrival.writer.write(
            arrival.head(
                extra=b"Weight-Versions: 3\r\nTransfer-Encoding: chunked\r\n"
            )
        )
        arrival.events([1])
        await arrival.writer.drain()
        arrival.reset()

    async def have_other_weights(arrival):
        if "expected-version" not in arrival.headers:
            await begin_and_reset(arrival)
            return
        turned_away.append(arrival.headers["expected-instance"])
        arrival.writer.write(
            MISDIRECTED
            % (arrival.headers["attempt-id"].encode() + stated_weights)
        )

    turned_away = []
    async with gateway_rig.running(llm=[have_other_weights] * 2) as rig:
        with contextlib.suppress(aiohttp.ClientError):
            async with rig.ask("/brief/1") as response:
                await response.read()
        assert turned_away
        is_suspect = not set(turned_away).isdisjoint(
            rig.deps.health.suspects()
        )
    assert is_suspect is is_replaced
