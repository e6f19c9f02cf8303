"""Control replicas and an entry instance of a deployment, on loopback."""

import asyncio
import contextlib
import json

import aiohttp
from aiohttp import web
import pytest
import structlog

from oriolejunction import control_wiring
from oriolejunction import entry_wiring
from oriolejunction import node_client
from oriolejunction import source_digest
from tests import loopback
from tests.platform import gateway_rig
from tests.platform import odd_json
from tests.platform import test_configuration_document

PEER_PORT = 17_200
CONTROL_PORT = 17_201
ENTRY_PORT = 17_202
READY_PORT = 17_203
LIST_PORT = 17_204
STATUS_PORT = 17_205
SEEDS = [loopback.node_address(number) for number in (1, 2, 3)]
LIST = loopback.node_address(8)
ENTRY = loopback.node_address(9)


def settings(tmp_path, name, **fields):
    path = tmp_path / f"{name}.json"
    content = {
        "instance_id": name,
        "zone": "z",
        "peer_port": PEER_PORT,
        "control_seeds": [f"{ip}:{CONTROL_PORT}" for ip in SEEDS],
        "list_address": f"{LIST}:{LIST_PORT}",
        "metrics_listen": f"{fields['ip']}:{STATUS_PORT}",
        **fields,
    }
    path.write_text(json.dumps(content))
    return path


def control(tmp_path, number, first_start=True):
    ip = SEEDS[number]
    return control_wiring.ControlNode(
        settings(
            tmp_path,
            f"core-{number}",
            ip=ip,
            operator_listen=f"{ip}:{CONTROL_PORT}",
            data_dir=str(tmp_path / f"disk-{number}"),
            first_start=first_start,
            losses_borne=1,
        )
    )


def entry(tmp_path, name="entry", ip=ENTRY):
    return entry_wiring.EntryNode(
        settings(
            tmp_path,
            name,
            ip=ip,
            caller_listen=f"{ip}:{ENTRY_PORT}",
            ready_listen=f"{ip}:{READY_PORT}",
            grace_ms=6_000,
        )
    )


class Fleet:
    """Three control replicas, an entry instance, an engine and a list."""

    def __init__(self, tmp_path):
        self.tmp_path = tmp_path
        self.control_by_number = {}
        # As JSON, and further entries of the list.
        self.odd_entry = None
        self.listed = ["i-1"]
        self.engine = gateway_rig.Engine("i-1", self._finish_stream)
        self.session = None

    async def _finish_stream(self, arrival):
        arrival.begin()
        arrival.events(range(1, 7))
        arrival.end()

    async def start(self):
        await self.engine.start()
        app = web.Application()
        app.router.add_get("/instances", self._list)
        self.list_runner = web.AppRunner(app)
        await self.list_runner.setup()
        await web.TCPSite(self.list_runner, LIST, LIST_PORT).start()
        for number in range(3):
            await self.start_control(number)
        self.entry = entry(self.tmp_path)
        await self.entry.start()
        self.session = aiohttp.ClientSession()

    async def _list(self, request):
        listed = [
            {
                "id": name,
                "service": "llm",
                "address": self.engine.address,
                "zone": "z",
                "state": "ready",
                "slots": 8,
            }
            for name in self.listed
        ]
        entries = [json.dumps(each).encode() for each in listed]
        if self.odd_entry is not None:
            entries.insert(0, self.odd_entry)
        return web.Response(
            body=b'{"instances":[%s],"next":null}' % b",".join(entries),
            content_type="application/json",
        )

    async def start_control(self, number, first_start=True):
        node = control(self.tmp_path, number, first_start)
        await node.start()
        self.control_by_number[number] = node

    async def stop_control(self, number):
        await self.control_by_number.pop(number).close()

    async def close(self):
        await self.session.close()
        if self.entry is not None:
            await self.entry.close()
        for node in self.control_by_number.values():
            await node.close()
        await self.list_runner.cleanup()
        await self.engine.close()

    async def publish(self, content, number=0):
        url = f"http://{SEEDS[number]}:{CONTROL_PORT}/v1/Configuration.Replace"
        async with self.session.post(url, json=content) as response:
            return response.status

    async def read(self, number=0):
        url = f"http://{SEEDS[number]}:{CONTROL_PORT}/v1/Configuration.Read"
        async with self.session.get(url) as response:
            return response.status, await response.json()

    async def ask(self, path="/pufi/1", key="k1"):
        async with self.session.post(
            f"http://{ENTRY}:{ENTRY_PORT}{path}",
            headers={
                "Host": "ficu95.example",
                "Attempt-Id": "a1",
                "X-Api-Key": key,
                "Deadline-Ms": "4000",
                "Token-Counts": "100,48",
            },
        ) as response:
            return response.status, await response.read()

    async def wait_until(self, check, limit_s=8.0):
        """Repeat a check until it succeeds."""
        async with asyncio.timeout(limit_s):
            while not await check():
                await asyncio.sleep(0.05)

    async def publish_until_accepted(self, content):
        async def accepted():
            return await self.publish(content) == 200

        await self.wait_until(accepted)


@pytest.fixture
async def fleet(tmp_path):
    running = Fleet(tmp_path)
    await running.start()
    yield running
    await running.close()


document = test_configuration_document.document


async def test_published_table_is_in_force_and_read_back(fleet):
    content = document(version=7)
    await fleet.publish_until_accepted(content)

    async def served():
        return (await fleet.ask())[0] == 200

    await fleet.wait_until(served, 2.0)
    for number in range(3):
        assert await fleet.read(number) == (200, content)
    assert (await fleet.ask(key="unknown"))[0] == 401


async def test_later_versions_win_and_conflicts_are_refused(fleet):
    content = document(version=7)
    await fleet.publish_until_accepted(content)
    other = document(version=7, limits=None)
    assert await fleet.publish(other, 1) == 409
    assert await fleet.publish(document(version=3), 2) == 200
    assert await fleet.publish(content, 2) == 200
    assert await fleet.publish({"version": 9}, 1) == 422
    assert await fleet.read(1) == (200, content)


async def test_acknowledged_table_survives_loss_of_any_one_disk(fleet):
    content = document(version=7)
    await fleet.publish_until_accepted(content)
    for number in range(3):
        await fleet.stop_control(number)
        disk = fleet.tmp_path / f"disk-{number}"
        for path in disk.iterdir():
            path.unlink()
        await fleet.start_control(number, first_start=False)

        async def has_three_voters():
            nodes = list(fleet.control_by_number.values())
            members = [node._replica.membership for node in nodes]
            ids = {node._replica.member.replica for node in nodes}
            return all(m.voter_ids() == ids for m in members)

        await fleet.wait_until(has_three_voters, 15.0)

    async def read_back():
        return await fleet.read(2) == (200, content)

    await fleet.wait_until(read_back)


async def test_minority_serves_no_read_and_acknowledges_no_table(fleet):
    """The instance goes on with the table that it had in force before."""
    await fleet.publish_until_accepted(document(version=7))

    async def served():
        return (await fleet.ask())[0] == 200

    await fleet.wait_until(served)
    await fleet.stop_control(1)
    await fleet.stop_control(2)
    await asyncio.sleep(1.6)
    assert (await fleet.read(0))[0] == 503
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(3.0):
            assert await fleet.publish(document(version=8)) == 503
    assert (await fleet.ask())[0] == 200


async def test_table_survives_a_restart_of_all_replicas(fleet):
    content = document(version=7)
    await fleet.publish_until_accepted(content)
    for number in range(3):
        await fleet.stop_control(number)
    for number in range(3):
        await fleet.start_control(number, first_start=False)

    async def read_back():
        return (await fleet.read(0))[0] == 200

    await fleet.wait_until(read_back)
    assert await fleet.read(0) == (200, content)


async def test_nodes_serve_metrics_and_status(fleet):
    await fleet.publish_until_accepted(document(version=7))

    async def served():
        return (await fleet.ask())[0] == 200

    await fleet.wait_until(served)
    for ip in (ENTRY, SEEDS[0]):
        url = f"http://{ip}:{STATUS_PORT}"
        async with fleet.session.get(f"{url}/status") as response:
            status = await response.json()
        assert status["table_version"] == 7
        assert status["list_age_ms"] < 3_000
        async with fleet.session.get(f"{url}/metrics") as response:
            text = await response.text()
        assert ("oj_first_piece_ms" in text) == (ip == ENTRY)
        assert "oj_log_lines_dropped 0" in text
        if ip == ENTRY:
            answered = 'kind="stream",outcome="answered",reason="200"'
            assert f"oj_answers_total{{{answered}}}" in text
            sent = 'oj_attempts_total{event="sent",service="llm"}'
            assert sent in text
    addresses = (f"{ENTRY}:{STATUS_PORT}", f"{SEEDS[0]}:{STATUS_PORT}")
    statuses = await node_client.fetch_statuses((*addresses, "127.0.0.1:1"))
    table = node_client.status_table(statuses)
    assert f"entry at {addresses[0]}: state=ready ready=True" in table
    assert f"core-0 at {addresses[1]}" in table
    assert "127.0.0.1:1: no answer" in table
    assert "versions differ" not in table


async def test_graceful_shutdown_interrupts_no_request(fleet):
    """Load: callers open new connections until the listener closes."""
    await fleet.publish_until_accepted(document(version=7))

    async def served():
        return (await fleet.ask())[0] == 200

    await fleet.wait_until(served)
    fleet.engine.arrivals.clear()
    answered = []

    async def slow(arrival):
        await asyncio.sleep(0.01)
        await fleet._finish_stream(arrival)

    fleet.engine.behave = slow

    async def stop():
        leaving, fleet.entry = fleet.entry, None
        await leaving.drain()
        await leaving.close()

    async def call():
        try:
            answered.append(await fleet.ask())
        except aiohttp.ClientPayloadError:
            answered.append((0, b"cut"))
        except aiohttp.ClientError:
            # Refused, or closed before the gateway read the request.
            pass

    stopping = asyncio.create_task(stop())
    calls = []
    while not stopping.done():
        calls.append(asyncio.create_task(call()))
        await asyncio.sleep(0.012)
    await stopping
    await asyncio.gather(*calls)
    complete = [status for status, _ in answered if status == 200]
    assert len(complete) > 20
    assert len(complete) == len(fleet.engine.arrivals)
    assert (0, b"cut") not in answered


async def test_request_waiting_at_the_end_of_the_grace_period_is_answered(
    fleet,
):
    """Load: an engine that is silent keeps a request until the exit."""
    await fleet.publish_until_accepted(document(version=7))

    async def served():
        return (await fleet.ask())[0] == 200

    await fleet.wait_until(served)

    async def hang(arrival):
        await asyncio.sleep(30)

    fleet.engine.behave = hang
    leaving, fleet.entry = fleet.entry, None

    async def stop():
        await leaving.drain()
        await leaving.close()

    stopping = asyncio.create_task(stop())
    await asyncio.sleep(2.0)
    status, body = await fleet.ask()
    assert status == 502
    assert json.loads(body)["error"]["outcome"] == "unknown"
    assert leaving._deps.stop_limit.time_to_exit_ms() > 0
    await stopping


@pytest.mark.parametrize("path", ["/v1/Configuration.Replace", "/status"])
async def test_incomplete_request_does_not_delay_exit(fleet, path):
    """Load: an operator's request stalls while the replica stops."""
    port = STATUS_PORT if path == "/status" else CONTROL_PORT
    _, writer = await asyncio.open_connection(SEEDS[0], port)
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"
    writer.write(head.encode())
    await asyncio.sleep(0.1)
    async with asyncio.timeout(3.0):
        await fleet.stop_control(0)
    writer.close()


async def test_start_lines_name_the_sources_that_run(tmp_path):
    """Fault: it was not seen that other code than the checkout's ran."""
    fleet = Fleet(tmp_path)
    with structlog.testing.capture_logs() as logs:
        try:
            await fleet.start()
        finally:
            await fleet.close()
    digests = [
        line["sources"]
        for line in logs
        if line["event"]
        in ("entry instance started", "control replica started")
    ]
    assert digests == [source_digest.source_digest()] * 4


@pytest.mark.parametrize(
    "odd",
    [*odd_json.DEEP, b"9" * 400, b'"\\ud800"', b"tru"],
    ids=["list", "object", "number", "text", "token"],
)
async def test_list_is_followed_whatever_one_entry_holds(fleet, odd):
    """Fault: the readers of the list ended, or followed it no more."""
    entry = {"service": "llm", "zone": "z", "state": "ready", "id": "i-odd"}
    fleet.odd_entry = odd_json.changed(
        {**entry, "address": fleet.engine.address},
        {"slots": odd, "other": odd},
    )
    await fleet.publish_until_accepted(document(version=7))
    fleet.listed = ["i-1", "i-2"]

    async def follows():
        nodes = [fleet.entry, *fleet.control_by_number.values()]
        return all(
            {each.backend_id for each in node.listing.backends}
            >= {"i-1", "i-2"}
            for node in nodes
        )

    await fleet.wait_until(follows, 4.0)
