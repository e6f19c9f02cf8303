"""A stream runs on engines of one software version while a release runs."""

import asyncio

import aiohttp
import grpc
import msgspec
import pytest

from oriolejunction import fleet_messages as fm
from oriolejunction import ids
from oriolejunction.platform import backend_list
from tests import event_loops
from tests.http import test_gateway_stream as streams
from tests.platform import gateway_rig

pytestmark = pytest.mark.asyncio(**event_loops.PAUSELESS)

VERSIONS = ("v1", "v2", "v1", "v2")


def list_engines(rig, versions):
    """List the engines with these versions, as the platform does."""
    entries = [
        msgspec.json.encode(
            {
                "id": engine.name,
                "service": gateway_rig.LLM,
                "address": engine.address,
                "zone": f"z{index}",
                "version": version,
                "state": "ready",
            }
        )
        for index, (engine, version) in enumerate(
            zip(rig.engines_by_service[gateway_rig.LLM], versions)
        )
    ]
    found = backend_list.read_entries([msgspec.Raw(e) for e in entries])
    rig.list({each.backend_id: each for each in found})


def make_busy(rig, *names):
    """Report many tokens of other instances on engines."""
    loads = {
        ids.BackendId(name): fm.BackendLoad(
            ids.BackendId(name), 1, 9_000, 8_000
        )
        for name in names
    }
    rig.write_fleet(type(rig.blackboard.fleet.read())(load_by_id=loads))


def versions_by_request(rig):
    """Return the versions of the engines that each request reached."""
    seen = {}
    for name, arrival in streams.arrivals(rig):
        version = VERSIONS[int(name.removeprefix("llm-"))]
        seen.setdefault(arrival.headers["attempt-id"], []).append(version)
    return seen


async def breaks_once(arrival):
    """Break the first attempt of each request off after three events."""
    if "last-event-id" in arrival.headers:
        await streams.complete(arrival)
    else:
        await streams.broken_after(3, lambda a: a.reset())(arrival)


async def begin_and_leave(rig, request_id):
    """Read the beginning of a stream, then close the connection."""
    response = await rig.ask("/brief/1", request_id)
    await response.content.readany()
    response.close()


async def hang_after_three(arrival):
    """Stream three events, or the rest of a stream that is taken up."""
    if "last-event-id" in arrival.headers:
        await streams.complete(arrival)
        return
    arrival.begin()
    arrival.events([1, 2, 3])
    await arrival.writer.drain()
    await arrival.reader.read()


async def test_broken_stream_goes_on_at_its_software_version():
    """Two engines of each version, so that either version can go on."""
    async with gateway_rig.running(llm=[breaks_once] * 4) as rig:
        list_engines(rig, VERSIONS)
        for number in range(6):
            status, body = await streams.read(
                rig.ask("/brief/1", f"a{number}")
            )
            assert (status, body) == (200, streams.ALL_EVENTS)
        seen = versions_by_request(rig)
    assert [len(set(each)) for each in seen.values()] == [1] * 6


async def test_kv_cache_is_copied_to_an_engine_of_the_same_version():
    async with gateway_rig.running(llm=[streams.complete] * 3) as rig:
        list_engines(rig, VERSIONS)
        make_busy(rig, "llm-2")
        await streams.read(rig.ask("/brief/1"))
        engines = rig.engines_by_service[gateway_rig.LLM]
        ((name, arrival),) = streams.arrivals(rig)
    other = {"llm-0": engines[2].address, "llm-1": None}[name]
    assert arrival.headers.get("kv-backup") == other


async def test_taken_up_stream_goes_on_at_the_version_that_began_it():
    """Load: a caller comes back while the other version is less loaded."""
    async with gateway_rig.running(llm=[hang_after_three] * 3) as rig:
        list_engines(rig, VERSIONS)
        await begin_and_leave(rig, "a1")
        (begun,) = versions_by_request(rig)["a1"]
        make_busy(rig, *(n for n in ("llm-0", "llm-2") if begun == "v1"))
        for request_id in ("a2", "a3"):
            status, _ = await streams.read(
                rig.ask(
                    "/brief/1", request_id, Resumes="a1", Last_Event_Id="3"
                )
            )
            assert status == 200
        seen = versions_by_request(rig)
    assert (seen["a2"], seen["a3"]) == ([begun], [begun])


async def test_taken_up_stream_of_unknown_version_is_not_run_in_a_release():
    async with gateway_rig.running(llm=[streams.complete] * 3) as rig:
        list_engines(rig, VERSIONS)
        async with rig.ask(
            "/brief/1", Resumes="elsewhere", Last_Event_Id="3"
        ) as response:
            assert response.status == 503
            assert float(response.headers["Retry-After"]) > 0
            assert (await response.json())["error"]["outcome"] == "not_run"
        assert not streams.arrivals(rig)


async def test_taken_up_stream_of_unknown_version_runs_without_a_release():
    async with gateway_rig.running(llm=[streams.complete]) as rig:
        status, _ = await streams.read(
            rig.ask("/brief/1", Resumes="elsewhere", Last_Event_Id="3")
        )
    assert status == 200


async def test_taken_up_stream_is_refused_at_once_if_its_version_left():
    async with gateway_rig.running(llm=[hang_after_three] * 3) as rig:
        list_engines(rig, ("v1", "v1", "v1"))
        await begin_and_leave(rig, "a1")
        list_engines(rig, ("v2", "v2", "v2"))
        async with asyncio.timeout(0.3):
            status, _ = await streams.read(
                rig.ask("/brief/1", "a2", Resumes="a1", Last_Event_Id="3")
            )
    assert status == 503


async def lost_at_v1(arrival):
    """Lose the connection of each attempt before its first event."""
    arrival.reset()


@pytest.mark.parametrize("is_recorded", [True, False])
async def test_version_changes_before_the_first_event_only_if_recorded(
    is_recorded,
):
    """Load: the only engine of a version is lost during the prefill."""

    def stub_for(address, method):
        async def record(request, timeout):
            if not is_recorded:
                raise grpc.aio.AioRpcError(
                    grpc.StatusCode.DEADLINE_EXCEEDED, (), ()
                )
            sent.append(request.origin)
            return fm.OriginConfirmation(by_majority=True)

        return record

    sent = []
    async with gateway_rig.running(llm=[lost_at_v1, streams.complete]) as rig:
        list_engines(rig, VERSIONS)
        make_busy(rig, "llm-1")
        origins = rig.deps.origins
        origins.connect(lambda: ["r0"], stub_for)
        record, recorded = origins.record, []

        def record_seen(origin, run):
            recorded.append(origin)
            record(origin, run)

        origins.record = record_seen
        status, _ = await streams.read(rig.ask("/brief/1"))
        seen = versions_by_request(rig)
    if is_recorded:
        assert (status, seen["a1"]) == (200, ["v1", "v2"])
        assert sent == [fm.StreamOrigin("a1", "v2", 2)]
    else:
        assert (status, seen["a1"]) == (502, ["v1"])
        assert recorded[-1] == fm.StreamOrigin("a1", "v1", 3)
        # Another instance may begin the answer at another version.
        assert origins.own("a1") is None


async def test_broken_stream_never_goes_on_at_another_version():
    """Load: the last engine of a version is lost in a release."""
    async with gateway_rig.running(llm=[breaks_once] * 2) as rig:
        list_engines(rig, VERSIONS)
        make_busy(rig, "llm-1")
        with pytest.raises(aiohttp.ClientPayloadError):
            await streams.read(rig.ask("/brief/1", Deadline_Ms="900"))
        assert versions_by_request(rig)["a1"] == ["v1"]


async def test_record_is_renewed_only_while_its_stream_runs():
    """Records of streams whose callers left are renewed for ever."""
    async with gateway_rig.running(llm=[hang_after_three]) as rig:
        rig.put_in_force(gateway_rig.table(2))
        origins = rig.deps.origins
        assert origins.retention.return_ms == 3_000.0
        response = await rig.ask("/brief/1")
        await response.content.readany()
        assert origins.run_count == 1
        response.close()
        async with asyncio.timeout(10):
            while origins.run_count:
                await asyncio.sleep(0.01)
        assert not origins.own("a1").ended
        for engine in rig.engines_by_service[gateway_rig.LLM]:
            engine.behave = streams.complete
        await streams.read(rig.ask("/brief/1", "a2"))
        assert origins.own("a2").ended


async def test_stream_that_was_taken_up_is_known_by_both_requests():
    """Load: a caller takes a stream up twice, by the id of its last try."""
    async with gateway_rig.running(llm=[hang_after_three] * 3) as rig:
        list_engines(rig, VERSIONS)
        await begin_and_leave(rig, "a1")
        (begun,) = versions_by_request(rig)["a1"]
        for request_id, resumes in (("a2", "a1"), ("a3", "a2")):
            status, _ = await streams.read(
                rig.ask(
                    "/brief/1", request_id, Resumes=resumes, Last_Event_Id="3"
                )
            )
            assert status == 200
        seen = versions_by_request(rig)
    assert (seen["a2"], seen["a3"]) == ([begun], [begun])


async def test_unknown_stream_is_not_run_at_the_only_version_seen_so_far():
    """Fault: an instance that had just started took the only listed version.

    The version that began the stream had left the list before.
    """
    async with gateway_rig.running(llm=[streams.complete]) as rig:
        list_engines(rig, ("v2",))
        status, _ = await streams.read(
            rig.ask("/brief/1", Resumes="elsewhere", Last_Event_Id="3")
        )
        assert status == 503
        assert not streams.arrivals(rig)
