"""One soak: faults under load, then a period in which all must be served."""

import asyncio
import contextlib
import json
import pathlib
import random
import signal

import aiohttp

from tests import full_disk
from tests.platform import odd_json
from tests.soak import fleet as fleets
from tests.soak import guarantees
from tests.soak import schedule

REQUEST_INTERVAL_S = 0.025
ORDERS_AMONG_REPEATED = 5
MAX_PUBLISH_INTERVAL_S = 0.15
# The operators require that all is served this soon after the last fault.
RECOVERY_TIMEOUT_S = 15.0
FAULT_FREE_S = 1.0
MAX_MORE_ROUTES = 3_000
# The operators require that a version is in force within this time.
IN_FORCE_TIMEOUT_S = 2.5
HEADERS = {
    "Host": fleets.HOST,
    "X-Api-Key": "k1",
    "Token-Counts": "100,96",
}
PATH_BY_KIND = {"stream": "/pufi/1", "order": "/order/1", "look": "/look/1"}
# A group is formed within this time.
FIRST_START_S = 1.5
# A log line with one of these texts reports a fault of the program itself.
ERROR_PATTERNS = ("Traceback", "work failed", "invariant", "never retrieved")


class Soak:
    """Runs the faults of one seed under load and checks the guarantees."""

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        interrupt_start: bool = False,
        asks_for_pauses: bool = False,
        former_source: str | None = None,
        new_machines: bool = False,
        has_large_tables: bool = False,
        has_odd_entries: bool = False,
        entries: int = fleets.ENTRIES,
        stops_servers: bool = False,
        fills_disks: bool = False,
        repeats_answers: bool = False,
    ) -> None:
        """Prepare the soak of a seed.

        With `interrupt_start`, a control replica is killed while all start
        for the first time. With `asks_for_pauses`, servers ask for pauses
        now and then. With `former_source`, the folder of another build's
        packages, all nodes start with it and are updated one after the
        other, in place of other faults; with `new_machines`, most of them
        are replaced by machines with other addresses and empty disks. With
        `has_large_tables`, some versions have thousands of routes. With
        `has_odd_entries`, the list has one that can't be read now and then.
        With `stops_servers`, servers are processes, which signals stop. With
        `fills_disks`, disks of control replicas refuse writes in turns. With
        `repeats_answers`, servers are processes, which write some answers
        twice, are killed, and come back under new ids.
        """
        self._seed = seed
        self._interrupt_start = interrupt_start
        self._asks_for_pauses = asks_for_pauses
        self._former_source = former_source
        self._new_machines = new_machines
        self._has_large_tables = has_large_tables
        self._has_odd_entries = has_odd_entries
        self._rng = random.Random(seed + 1)
        self._stops_servers = stops_servers
        self._fills_disks = fills_disks
        self._repeats_answers = repeats_answers
        self._fleet = fleets.Fleet(
            folder,
            seed,
            entries,
            stops_servers,
            repeats_answers,
        )
        self._observations = self._fleet.observations
        self._request_count = 0
        self._kinds, self._interval_s = list(PATH_BY_KIND), REQUEST_INTERVAL_S
        if repeats_answers:
            # Most requests are orders, so that copies meet some.
            self._kinds += ["order"] * ORDERS_AMONG_REPEATED
            self._interval_s /= 2
        self._version = 7
        self._tasks: set[asyncio.Task] = set()

    async def run(self, length_s: float) -> list[str]:
        """Run for `length_s` and return the violated guarantees."""
        timeout = aiohttp.ClientTimeout(total=12.0)
        try:
            if self._former_source is not None:
                for node in self._fleet.nodes:
                    node.source = self._former_source
            await self._fleet.start()
            if self._interrupt_start:
                await self._kill_starting_control()
            async with aiohttp.ClientSession(timeout=timeout) as session:
                self._session = session
                await self._wait_until_all_served("after the start")
                self._fleet.clear_first_start()
                background = [
                    asyncio.create_task(work())
                    for work in (
                        self._send_requests,
                        self._publish_repeatedly,
                        self._publish_repeatedly,
                        self._read_repeatedly,
                    )
                ]
                await self._disrupt(length_s)
                await self._wait_until_all_served("after the last fault")
                await self._check_fault_free_period()
                for task in background:
                    task.cancel()
                await asyncio.gather(*background, return_exceptions=True)
                await asyncio.gather(*self._tasks)
                await self._check_versions()
            for node in self._fleet.nodes:
                if node.process.returncode is not None:
                    self._observations.failures.append(
                        f"{node.name} exited by itself"
                    )
        finally:
            await self._fleet.close()
        self._observations.disturbed = {
            guarantees.Sender(node.name, boot)
            for node in [*self._fleet.entries, *self._fleet.removed]
            for boot in node.disturbed_boots
        }
        for name, line in self._fleet.log_lines():
            if any(pattern in line for pattern in ERROR_PATTERNS):
                self._observations.failures.append(
                    f"{name} wrote: {line[:200]}"
                )
        return self._observations.violations()

    async def _kill_starting_control(self) -> None:
        rng = random.Random(self._seed + 2)
        await asyncio.sleep(rng.uniform(0.0, FIRST_START_S))
        index = rng.randrange(len(self._fleet.controls))
        node = self._fleet.controls[index]
        await node.kill()
        # The others may not have read their settings yet.
        self._fleet.clear_first_start([index])
        await node.start()

    def summary(self) -> str:
        """Return counts of requests, versions and reads."""
        statuses: dict[str, int] = {}
        for answer in self._observations.answers:
            key = f"{answer.kind} {answer.status or 'cut'}"
            statuses[key] = statuses.get(key, 0) + 1
        return (
            f"{len(self._observations.answers)} requests,"
            f" {len(self._observations.acknowledged)} versions acknowledged,"
            f" {len(self._observations.reads)} read,"
            f" {len(self._observations.pauses)} pauses asked for,"
            f" {self._observations.longest_without_version_s():.1f} s at most"
            f" without a new version; {statuses}"
        )

    async def _disrupt(self, length_s: float) -> None:
        """Inject the faults of the seed, or update all nodes."""
        work = []
        if self._former_source is None:
            faults = schedule.draw_faults(self._seed, length_s)
            work.append(self._inject_all(faults))
        else:
            work.append(self._update_all())
        if self._asks_for_pauses:
            rests = schedule.draw_rests(self._seed, length_s)
            work.extend(self._let_rest(rest) for rest in rests)
        if self._has_odd_entries:
            work.append(self._change_odd_entry(length_s))
        if self._stops_servers:
            work.append(self._stop_servers(length_s))
        if self._fills_disks:
            work.append(self._fill_disks(length_s))
        if self._repeats_answers:
            work.append(self._restart_servers(length_s))
        await asyncio.gather(*work)

    async def _stop_servers(self, length_s: float) -> None:
        servers = [*self._fleet.engines, *self._fleet.call_servers]
        start_s = asyncio.get_running_loop().time()
        for stop in schedule.draw_stops(self._seed, length_s, len(servers)):
            await self._sleep_until(start_s + stop.at_s)
            await asyncio.gather(
                *(
                    servers[number].stop_for(stop.duration_s)
                    for number in stop.servers
                )
            )

    async def _restart_servers(self, length_s: float) -> None:
        servers = [*self._fleet.call_servers, *self._fleet.engines]
        start_s = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as restarts:
            for restart in schedule.draw_restarts(
                self._seed, length_s, len(servers)
            ):
                await self._sleep_until(start_s + restart.at_s)
                restarts.create_task(
                    self._fleet.restart_server(
                        servers[restart.server], restart.lag_s
                    )
                )

    async def _fill_disks(self, length_s: float) -> None:
        controls = self._fleet.controls
        start_s = asyncio.get_running_loop().time()
        for disk in schedule.draw_full_disks(
            self._seed, length_s, len(controls)
        ):
            await self._sleep_until(start_s + disk.at_s)
            process = controls[disk.replica].process
            with contextlib.suppress(ProcessLookupError):
                with full_disk.refused_writes(process_id=process.pid):
                    await asyncio.sleep(disk.duration_s)

    async def _sleep_until(self, at_s: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, at_s - loop.time()))

    async def _change_odd_entry(self, length_s: float) -> None:
        rng = random.Random(self._seed + 6)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + length_s
        while loop.time() < end_s:
            self._fleet.odd_entry = rng.choice((None, *odd_json.ODD))
            await asyncio.sleep(rng.uniform(0.1, 1.0))
        self._fleet.odd_entry = None

    async def _let_rest(self, rest: schedule.ScheduledRest) -> None:
        servers = [*self._fleet.engines, *self._fleet.call_servers]
        name = servers[rest.server % len(servers)].name
        await asyncio.sleep(rest.at_s)
        self._fleet.resting.add(name)
        await asyncio.sleep(rest.duration_s)
        self._fleet.resting.discard(name)

    async def _update_all(self) -> None:
        fleet = self._fleet
        steps = schedule.draw_update(
            self._seed,
            len(fleet.controls),
            len(fleet.nodes),
            self._new_machines,
        )
        for step in steps:
            node = fleet.nodes[step.node]
            source = fleets.OWN_SOURCE
            if not step.is_new_build:
                source = self._former_source
            if step.is_new_machine:
                await self._replace_machine(node, source, step)
            else:
                await self._restart(node, source, step)
            await asyncio.sleep(step.wait_s)

    async def _restart(
        self, node: fleets.Node, source: str, step: schedule.Replacement
    ) -> None:
        async with node.lock:
            if step.is_killed:
                await node.kill()
            else:
                await self._stop(node)
            node.source = source
            await node.start()

    async def _replace_machine(
        self, old: fleets.Node, source: str, step: schedule.Replacement
    ) -> None:
        """Start a new machine, after the old one was lost or before it stops.

        The next step comes once the group has the new replica as a voter.
        """
        async with old.lock:
            if step.is_killed:
                await old.kill()
            new = self._fleet.replace_machine(old)
            new.source = source
            await new.start()
            if not step.is_killed:
                await asyncio.sleep(step.wait_s)
                await self._stop(old)
        if new in self._fleet.controls:
            await self._wait_until_repaired()

    async def _wait_until_repaired(self) -> None:
        names = {node.name for node in self._fleet.controls}
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                while await self._read_voters() != names:
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self._observations.failures.append(
                f"{sorted(names)} are not the voters"
                f" {RECOVERY_TIMEOUT_S:.0f} s after a machine was replaced"
            )

    async def _read_voters(self) -> set[str]:
        """Return the names of the voters, as any control replica has them."""
        node = self._rng.choice(self._fleet.controls)
        url = f"http://{node.ip}:{fleets.STATUS_PORT}/status"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self._session.get(url) as response:
                members = (await response.json())["members"]
                return {m["instance"] for m in members if m["votes"]}
        return set()

    async def _inject_all(self, events: list[schedule.ScheduledFault]) -> None:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        tasks = []
        for event in events:
            await asyncio.sleep(max(0.0, start_s + event.at_s - loop.time()))
            tasks.append(asyncio.create_task(self._inject(event)))
        await asyncio.gather(*tasks)

    async def _inject(self, event: schedule.ScheduledFault) -> None:
        fault, fleet = event.fault, self._fleet
        match fault:
            case schedule.Fault.KILL_ALL_CONTROL:
                await asyncio.gather(
                    *(
                        self._inject_process_fault(node, event)
                        for node in fleet.controls
                    )
                )
            case schedule.Fault.UNLIST:
                index = event.target % fleets.ENGINES
                name = fleet.engines[index].name
                fleet.unlisted.add(name)
                await asyncio.sleep(event.duration_s)
                fleet.unlisted.discard(name)
            case schedule.Fault.LOSE_ZONE:
                zone = event.target % fleets.ZONES
                zone_proxies = fleet.fault_proxies[
                    zone : fleets.ENGINES : fleets.ZONES
                ]
                await asyncio.gather(
                    *(
                        self._inject_link_fault(proxy, event)
                        for proxy in zone_proxies
                    )
                )
            case _ if fault.value.endswith("_entry"):
                index = event.target % len(fleet.entries)
                await self._inject_process_fault(fleet.entries[index], event)
            case _ if fault.value.endswith("_control"):
                index = event.target % fleets.CONTROLS
                await self._inject_process_fault(fleet.controls[index], event)
            case _:
                index = event.target % len(fleet.fault_proxies)
                await self._inject_link_fault(
                    fleet.fault_proxies[index], event
                )

    async def _inject_link_fault(
        self, proxy, event: schedule.ScheduledFault
    ) -> None:
        match event.fault:
            case schedule.Fault.RESET_LINK:
                proxy.reset_connections()
                return
            case schedule.Fault.SILENCE_ANSWERS:
                proxy.faults.drops_answers = True
            case schedule.Fault.SILENCE_BOTH:
                proxy.faults.drops_answers = proxy.faults.drops_requests = True
            case schedule.Fault.SLOW_LINK:
                proxy.faults.delay_s = 0.15
            case schedule.Fault.REFUSE_LINK | schedule.Fault.LOSE_ZONE:
                proxy.faults.refuses = True
                proxy.reset_connections()
        await asyncio.sleep(event.duration_s)
        proxy.heal()

    async def _inject_process_fault(
        self, node: fleets.Node, event: schedule.ScheduledFault
    ) -> None:
        """Stop, pause or kill a process; a stop may hit a stopping process."""
        fault = event.fault
        if fault.value.startswith("pause"):
            if not node.lock.locked():
                node.signal_process(signal.SIGSTOP)
                await asyncio.sleep(event.duration_s)
                node.signal_process(signal.SIGCONT)
            return
        if node.lock.locked():
            # Already stopping: a second SIGTERM must do no harm.
            if fault.value.startswith("stop"):
                node.signal_process(signal.SIGTERM)
            return
        async with node.lock:
            if fault.value.startswith("stop"):
                await self._stop(node)
            else:
                await node.kill()
            if fault is schedule.Fault.WIPE_CONTROL:
                self._fleet.wipe(event.target % fleets.CONTROLS)
            await asyncio.sleep(event.duration_s / 2)
            await node.start()

    async def _stop(self, node: fleets.Node) -> None:
        node.signal_process(signal.SIGTERM)
        try:
            async with asyncio.timeout(fleets.EXIT_TIMEOUT_S):
                exit_code = await node.process.wait()
        except TimeoutError:
            if node.boot not in node.disturbed_boots:
                self._observations.failures.append(
                    f"{node.name} did not exit within its grace period"
                )
            await node.kill()
            return
        if (
            exit_code not in (0, -signal.SIGTERM)
            and node.boot not in node.disturbed_boots
        ):
            self._observations.failures.append(
                f"{node.name} exited with code {exit_code}"
            )

    async def _send_requests(self) -> None:
        while True:
            kind = self._rng.choice(self._kinds)
            node = self._rng.choice(self._fleet.entries)
            task = asyncio.create_task(self._send_request(kind, node))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._interval_s)

    async def _send_request(self, kind: str, node: fleets.Node) -> int | None:
        """Send one request; return its status, None if it got no answer."""
        self._request_count += 1
        request_id = f"{kind}-{self._request_count}"
        boot = node.boot
        sender = guarantees.Sender(node.name, boot)
        self._observations.sender_by_id[request_id] = sender
        undisturbed = (
            not node.lock.locked() or boot not in node.disturbed_boots
        )
        method = "GET" if kind == "look" else "POST"
        headers = {
            **HEADERS,
            "Attempt-Id": request_id,
            "Deadline-Ms": "6000" if kind == "stream" else "2500",
        }
        url = f"http://{node.ip}:{fleets.ENTRY_PORT}{PATH_BY_KIND[kind]}"
        status, body, not_run = None, b"", False
        try:
            async with self._session.request(
                method, url, headers=headers, data=b"prompt"
            ) as response:
                body = await response.read()
                status = response.status
                not_run = status != 200 and b'"not_run"' in body
        except (aiohttp.ClientError, TimeoutError):
            # Refused or cut off; `Observations` checks if that is allowed.
            pass
        undisturbed = (
            undisturbed
            and boot == node.boot
            and boot not in node.disturbed_boots
        )
        self._observations.answers.append(
            guarantees.Answer(
                request_id, kind, status, body, not_run, undisturbed
            )
        )
        return status

    async def _publish_repeatedly(self) -> None:
        """Publish new versions; two operators may try the same version."""
        while True:
            version = self._version + 1
            marker = f"{version}-{self._rng.random()}"
            if await self._publish(version, marker):
                self._version = max(self._version, version)
            await asyncio.sleep(MAX_PUBLISH_INTERVAL_S * self._rng.random())

    def _more_routes(self, version: int) -> int:
        """Return how many routes a version has besides those that serve."""
        if not self._has_large_tables or version % 3:
            return 0
        return random.Random(version).randrange(MAX_MORE_ROUTES)

    async def _publish(self, version: int, marker: str = "") -> bool:
        node = self._rng.choice(self._fleet.controls)
        url = f"http://{node.ip}:{fleets.CONTROL_PORT}"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self._session.post(
                f"{url}/v1/Configuration.Replace",
                json=fleets.document(
                    version, marker, self._more_routes(version)
                ),
            ) as response:
                if response.status == 200:
                    now_s = asyncio.get_running_loop().time()
                    self._observations.acknowledged.append((now_s, version))
                    return True
                # 409: another operator published this version first.
                return response.status == 409
        return False

    async def _read_repeatedly(self) -> None:
        while True:
            await self._read()
            await asyncio.sleep(0.05)

    async def _read(self) -> int | None:
        loop = asyncio.get_running_loop()
        node = self._rng.choice(self._fleet.controls)
        url = f"http://{node.ip}:{fleets.CONTROL_PORT}/v1/Configuration.Read"
        began_s = loop.time()
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self._session.get(url) as response:
                content = await response.read()
                if response.status == 200:
                    version = json.loads(content)["version"]
                    self._observations.reads.append(
                        guarantees.Read(
                            began_s, loop.time(), version, str(content)
                        )
                    )
                    return version
        return None

    async def _all_served(self) -> bool:
        """Return whether publishing works and all entry instances serve."""
        if not await self._publish(self._version):
            return False
        statuses = await asyncio.gather(
            *(
                self._send_request(kind, node)
                for node in self._fleet.entries
                for kind in ("stream", "look")
            )
        )
        # The backend server itself answers 500 to every 13th call.
        return all(status in (200, 500) for status in statuses)

    async def _wait_until_all_served(self, when: str) -> None:
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                while not await self._all_served():
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self._observations.failures.append(
                f"not everything is served {RECOVERY_TIMEOUT_S:.0f} s {when}"
            )

    async def _check_fault_free_period(self) -> None:
        """Require an answer to every request sent from now on."""
        await asyncio.gather(*self._tasks, return_exceptions=True)
        before = len(self._observations.answers)
        await asyncio.sleep(FAULT_FREE_S)
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for answer in self._observations.answers[before:]:
            if answer.status not in (200, 500) and not answer.not_run:
                self._observations.failures.append(
                    f"{answer.kind} {answer.request_id} ended with"
                    f" {answer.status} in the fault-free period"
                )

    async def _check_versions(self) -> None:
        """Require that the newest version is in force everywhere.

        The version is read after a delay: one that was proposed just before
        the operators were stopped may still commit.
        """
        await asyncio.sleep(IN_FORCE_TIMEOUT_S)
        version = None
        while version is None:
            version = await self._read()
        for node in self._fleet.entries:
            url = f"http://{node.ip}:{fleets.STATUS_PORT}/status"
            applied = None
            with contextlib.suppress(aiohttp.ClientError):
                async with self._session.get(url) as response:
                    applied = (await response.json())["table_version"]
            if applied != version:
                self._observations.failures.append(
                    f"{node.name} has version {applied}, not {version}"
                )
