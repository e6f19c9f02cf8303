"""Each path that sends a request asks the rollout gate and is counted."""

import asyncio

import aiohttp
import msgspec
import pytest

from oriolejunction.controllers import rollout_latency
from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction.platform import backend_list
from oriolejunction import states
from tests import event_loops
from tests.http import test_gateway_call as calls
from tests.http import test_gateway_stream as streams
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)

PHASE = states.RolloutPhase
LLM, DESK = gateway_rig.LLM, gateway_rig.DESK


def list_versions(rig, **versions):
    """List the servers of services with the versions given, in order."""
    entries = [
        msgspec.json.encode(
            {
                "id": engine.name,
                "service": service,
                "address": engine.address,
                "zone": f"z{index}",
                "version": version,
                "state": "ready",
            }
        )
        for service, names in versions.items()
        for index, (engine, version) in enumerate(
            zip(rig.engines_by_service[ids.ServiceName(service)], names)
        )
    ]
    found = backend_list.read_entries([msgspec.Raw(e) for e in entries])
    rig.list({each.backend_id: each for each in found})


def order(rig, service, phase, allowance=0, ttl_ms=60_000.0):
    """Let the instance hear of a rollout to v2."""
    rig.deps.rollouts.update(
        (
            fm.RolloutOrder(
                service,
                1,
                ids.SoftwareVersion("v2"),
                states.RolloutState.IN_PROGRESS,
                phase,
                allowance,
                ttl_ms,
            ),
        ),
        rig.clock.now_ms(),
        True,
    )


def running(llm=(), desk=()):
    """Run a gateway whose settings have rollouts."""
    return gateway_rig.running(llm=llm, desk=desk, exposure_share=0.1)


def arrived(rig, service):
    """Return how many requests each server of a service got."""
    return [len(e.arrivals) for e in rig.engines_by_service[service]]


def sent(rig):
    """Return what the instance reports as sent, ended and failed."""
    totals = {}
    for row in rig.deps.rollouts.counts.messages():
        total = totals.setdefault(row.software, [0, 0, 0])
        for index, count in enumerate((row.sent, row.ended, row.failed)):
            total[index] += count
    return totals


async def fail(arrival):
    """Answer with the server's own error."""
    arrival.answer(b"broken", "500 Internal Server Error")


@pytest.mark.parametrize(
    ("path", "service"),
    [("/brief/", LLM), ("/look/", DESK), ("/order/", DESK)],
)
async def test_requests_reach_the_target_only_within_the_allowance(
    path, service
):
    """Fails if a kind of request does not ask, or is not counted."""
    behave = [streams.complete] * 2 if service == LLM else [calls.answer] * 2
    kind = {"llm" if service == LLM else "desk": behave}
    async with running(**kind) as rig:
        list_versions(rig, **{service: ["v1", "v2"]})
        order(rig, service, PHASE.OBSERVING, allowance=4)
        for number in range(9):
            async with rig.ask(f"{path}{number}", f"a{number}") as response:
                assert response.status == 200
                await response.read()
        old, new = arrived(rig, service)
        assert old + new == 9
        assert 1 <= new <= 4
        assert sent(rig) == {"v1": [old, old, 0], "v2": [new, new, 0]}
        order(rig, service, PHASE.MOVING)
        for number in range(9, 12):
            async with rig.ask(f"{path}{number}", f"a{number}") as response:
                await response.read()
        assert arrived(rig, service) == [old, new + 3]


async def test_a_failed_canary_call_is_sent_again_to_the_old_version():
    """Fails if resends use the allowance up, or go uncounted."""
    async with running(desk=[calls.answer, fail]) as rig:
        list_versions(rig, desk=["v1", "v2"])
        order(rig, DESK, PHASE.OBSERVING, allowance=9)
        async with rig.ask("/look/1") as response:
            assert response.status == 200
        assert arrived(rig, DESK) == [1, 1]
        assert sent(rig) == {"v1": [1, 1, 0], "v2": [1, 1, 1]}


async def test_a_hedged_call_counts_at_both_versions():
    """Fails if a slow answer that lost against its hedge is not seen."""

    async def hang(arrival):
        await asyncio.sleep(5.0)

    async with running(desk=[calls.answer, hang]) as rig:
        list_versions(rig, desk=["v1", "v2"])
        order(rig, DESK, PHASE.OBSERVING, allowance=9)
        async with rig.ask("/look/1") as response:
            assert response.status == 200
        assert arrived(rig, DESK) == [1, 1]
        assert sent(rig) == {"v1": [1, 1, 0], "v2": [1, 1, 0]}
        slow = [
            row.latencies
            for row in rig.deps.rollouts.counts.messages()
            if row.software == "v2"
        ]
        assert sum(slow[0]) == 1


@pytest.mark.parametrize("lost_at", ["v1", "v2"])
async def test_a_broken_stream_goes_on_at_its_version(lost_at):
    """Fails if a stream begun at one version continues at the other."""
    first = set()

    async def break_once(arrival):
        if "last-event-id" in arrival.headers or first:
            await streams.complete(arrival)
            return
        first.add(1)
        await streams.broken_after(3, lambda a: a.reset())(arrival)

    async with running(llm=[break_once] * 4) as rig:
        list_versions(rig, llm=["v1", "v2", "v1", "v2"])
        allowance = 2 if lost_at == "v2" else 0
        order(rig, LLM, PHASE.OBSERVING, allowance)
        async with rig.ask("/brief/1") as response:
            await response.read()
        counts = arrived(rig, LLM)
        by_version = {"v1": counts[0] + counts[2], "v2": counts[1] + counts[3]}
        assert by_version == {"v1": 0, "v2": 0, lost_at: 2}
        assert sent(rig) == {lost_at: [2, 2, 0]}


@pytest.mark.parametrize(
    ("phase", "version"), [(PHASE.DONE, "v1"), (PHASE.REVERTED, "v2")]
)
async def test_a_stream_of_a_withdrawn_version_fails_at_once(phase, version):
    """Fails if it joins two versions, or its caller waits in vain."""
    is_over = asyncio.Event()

    async def break_later(arrival):
        arrival.begin()
        arrival.events(range(1, 4))
        await is_over.wait()
        arrival.reset()

    async with running(llm=[break_later] * 4) as rig:
        list_versions(rig, llm=["v1", "v2", "v1", "v2"])
        order(rig, LLM, PHASE.OBSERVING, 2 if version == "v2" else 0)
        response = await rig.ask("/brief/1")
        await response.content.readany()
        order(rig, LLM, phase)
        began_ms = rig.clock.now_ms()
        is_over.set()
        with pytest.raises(aiohttp.ClientPayloadError):
            await response.read()
        assert rig.clock.now_ms() - began_ms < 1_000.0
        assert sum(arrived(rig, LLM)) == 1


async def test_a_stream_of_a_withdrawn_version_cannot_be_taken_up():
    """Fails if a caller who comes back gets text of another version."""
    async with running(llm=[streams.complete] * 2) as rig:
        list_versions(rig, llm=["v1", "v2"])
        order(rig, LLM, PHASE.OBSERVING)
        async with rig.ask("/brief/1", "a1") as response:
            await response.read()
        statuses = []
        for number, phase in enumerate((PHASE.MOVING, PHASE.DONE)):
            order(rig, LLM, phase)
            async with rig.ask(
                "/brief/1", f"b{number}", Last_Event_Id="2", Resumes="a1"
            ) as response:
                statuses.append(response.status)
        assert statuses == [200, 503]
        assert arrived(rig, LLM) == [2, 0]


async def test_the_choice_is_checked_again_when_the_request_is_sent():
    """Fails if an allowance used up meanwhile is exceeded."""
    async with running(desk=[calls.answer, calls.answer]) as rig:
        list_versions(rig, desk=["v1", "v2"])
        order(rig, DESK, PHASE.OBSERVING, allowance=1)
        responses = await asyncio.gather(
            *(rig.ask(f"/look/{n}", f"a{n}") for n in range(12))
        )
        assert {each.status for each in responses} == {200}
        assert arrived(rig, DESK)[1] == 1
        for each in responses:
            each.close()


async def test_without_the_setting_no_choice_differs():
    """Fails if the gate changes choices where there are no rollouts."""
    chosen = []
    for is_on in (False, True):
        async with gateway_rig.running(
            llm=[streams.complete] * 3,
            desk=[calls.answer] * 3,
            exposure_share=None,
        ) as rig:
            list_versions(rig, llm=["v1", "v2", "v1"], desk=["v1", "v2", "v2"])
            if is_on:
                # An order that a control replica relays is not acted on.
                order(rig, LLM, PHASE.REVERTED)
                order(rig, DESK, PHASE.DONE)
            for number in range(12):
                path = "/look/" if number % 2 else "/brief/"
                async with rig.ask(f"{path}{number}", f"a{number}") as reply:
                    await reply.read()
            chosen.append((arrived(rig, LLM), arrived(rig, DESK)))
            assert rig.deps.rollouts.counts.messages() == ()
    assert chosen[0] == chosen[1]


async def test_a_copy_may_go_to_any_engine_of_the_version():
    """Fails if canary streams cannot resume from a KV cache copy."""
    async with running(llm=[streams.complete] * 4) as rig:
        list_versions(rig, llm=["v1", "v2", "v1", "v2"])
        order(rig, LLM, PHASE.OBSERVING, allowance=2)
        async with rig.ask("/brief/1") as response:
            await response.read()
        engines = rig.engines_by_service[LLM]
        (arrival,) = engines[1].arrivals + engines[3].arrivals
        copies = {engines[1].address, engines[3].address}
        assert arrival.headers["kv-backup"] in copies


async def test_requests_of_other_instances_and_probes_ask_too():
    """Fails if forwarded requests or probes pass by the gate."""
    async with running(desk=[calls.answer, calls.answer]) as rig:
        list_versions(rig, desk=["v1", "v2"])
        rig.gateway._serves_peers = True
        order(rig, DESK, PHASE.OBSERVING, allowance=2)
        for number in range(4):
            async with rig.ask(f"/look/{number}", f"a{number}") as response:
                assert response.status == 200
        assert arrived(rig, DESK) == [2, 2]
        order(rig, DESK, PHASE.OBSERVING, allowance=9)
        rig.deps.parts.take_probe = lambda parts: True
        async with rig.ask("/look/9", "a9") as response:
            assert response.status == 200
        assert arrived(rig, DESK) == [3, 2]
        assert sent(rig) == {"v1": [3, 3, 0], "v2": [2, 2, 0]}


async def test_a_late_first_event_counts_before_it_comes():
    """Fails if a slow version shows by its fast answers only."""
    rows = []

    async def hang(arrival):
        await asyncio.sleep(0.5)
        rows.extend(rig.deps.rollouts.counts.messages())
        await streams.complete(arrival)

    async with running(llm=[hang]) as rig:
        list_versions(rig, llm=["v1"])
        order(rig, LLM, PHASE.OBSERVING)
        usual_ms = rig.deps.speeds.typical_prefill_ms_per_k()
        async with rig.ask("/brief/1", Token_Counts="400,80") as response:
            await response.read()
        (late,) = rows
        bucket = late.latencies.index(1)
        assert bucket >= rollout_latency.bucket_of(4.0 * usual_ms)
        (after,) = rig.deps.rollouts.counts.messages()
        assert after.latencies == late.latencies
