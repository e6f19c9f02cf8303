"""Bench ``config``: how soon an accepted revision is in force everywhere.

Seven instances run, three of them control replicas, while processes are
killed or paused and disks are lost. Each instance itself is polled for the
revision that it has in force.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import shutil
import tempfile
import time

import aiohttp

from bench import processes
from oriolejunction.bench import result
from oriolejunction import errors
from oriolejunction import operator_client
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction import states

INSTANCES = 7
REPLICAS = 3
ZONES = ("fukuoka", "kumamoto", "kagoshima")
MAX_IN_FORCE_MS = 6_000.0
POLL_S = 0.02
POLL_TIMEOUT_S = 0.5
TOTAL_TIMEOUT_S = 20.0
FAULT_FREE_CHANGES = 20
FAULT_ROUNDS = 3
MANY_CHANGES = 500


@dataclasses.dataclass
class Observations:
    """Observed revisions; `reverts` and `unfinished` count violations."""

    acknowledged: dict[int, str] = dataclasses.field(default_factory=dict)
    revision_by_url: dict[str, int] = dataclasses.field(default_factory=dict)
    reverts: int = 0
    unfinished: int = 0

    def observe(self, url: str, revision: int) -> None:
        """Record the revision in force at an instance."""
        if revision < self.revision_by_url.get(url, 0):
            self.reverts += 1
        self.revision_by_url[url] = revision


class Deployment:
    """The processes, with changes made through their public interfaces."""

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        zones = [ZONES[n % len(ZONES)] for n in range(INSTANCES)]
        self.instances = processes.serve_processes(
            folder, zones, REPLICAS, ("--drain-delay-ms=100",)
        )
        self.rng = random.Random(seed)
        self.observed = Observations()
        self.latencies_by_case: dict[str, result.Latencies] = {}
        self.latencies = result.Latencies()
        self._changes = 0
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=POLL_TIMEOUT_S)
        )

    async def start(self) -> None:
        """Start all instances and put the first revision in force."""
        for instance in self.instances:
            await instance.managed.start()
        await processes.wait_until_live(i.caller_url for i in self.instances)
        await self.change("first")
        await processes.wait_until_ready(i.caller_url for i in self.instances)

    async def close(self) -> None:
        """Kill all instances that still run."""
        await self._session.close()
        await processes.stop_all(i.managed for i in self.instances)

    def operator(self, instance) -> operator_client.OperatorClient:
        """Return a client for an instance's operator API."""
        return operator_client.OperatorClient(
            instance.operator_url, processes.OPERATOR_TOKEN
        )

    def answers(self) -> str:
        """Return questionnaire answers that differ from all earlier ones."""
        self._changes += 1
        answers = answer_files.Answers(
            measure=states.Objective.LATENCY,
            zones=ZONES,
            models=(answer_files.ModelAnswer("brew-assist", "1"),),
            engines=(
                answer_files.EngineAnswer(
                    "engine-0", "http://127.0.0.1:9", ZONES[0], "brew-assist"
                ),
            ),
            workspaces=(
                answer_files.WorkspaceAnswer(
                    "hakata", "hakata-key", tokens_per_s=self._changes
                ),
            ),
        )
        return answer_files.dump(answer_files.redact_keys(answers))

    async def retry_until_answered(self, call):
        """Retry an idempotent call until it succeeds or times out."""
        deadline_s = time.monotonic() + TOTAL_TIMEOUT_S
        while True:
            try:
                return await call()
            except errors.Failure:
                if time.monotonic() > deadline_s:
                    raise
                await asyncio.sleep(0.1)

    async def draft(self, instance) -> str:
        """Submit new answers and return the id of their draft."""
        text = self.answers()
        client = self.operator(instance)
        return (await self.retry_until_answered(lambda: client.submit(text)))[
            "draft_id"
        ]

    async def change(self, case: str, excluded=(), before=None) -> None:
        """Accept a new revision and record how long it takes to be in force.

        `excluded` instances are neither called nor waited for. `before` is
        awaited between submitting and accepting, to inject a fault.
        """
        entry = self.rng.choice(
            [i for i in self.instances if i not in excluded]
        )
        draft = await self.draft(entry)
        if before is not None:
            await before()
        started_s = time.monotonic()
        client = self.operator(entry)
        accepting = asyncio.create_task(
            self.retry_until_answered(lambda: client.accept(draft))
        )
        expected = max(self.observed.acknowledged, default=0) + 1
        try:
            async with asyncio.timeout(TOTAL_TIMEOUT_S):
                await asyncio.gather(
                    *(
                        self.wait_until_in_force(instance, expected)
                        for instance in self.instances
                        if instance not in excluded
                    )
                )
                elapsed_ms = (time.monotonic() - started_s) * 1000.0
                revision = (await accepting)["revision"]
        except TimeoutError:
            accepting.cancel()
            self.observed.unfinished += 1
            return
        self.observed.acknowledged[revision] = draft
        answered_ms = (time.monotonic() - started_s) * 1000.0
        self.record(case, elapsed_ms)
        self.record(f"{case}_answered", answered_ms)
        if case != "first":
            self.latencies.record(max(elapsed_ms, answered_ms))

    def record(self, case: str, elapsed_ms: float) -> None:
        """Record a duration under the name of a case."""
        self.latencies_by_case.setdefault(case, result.Latencies()).record(
            elapsed_ms
        )

    async def wait_until_in_force(self, instance, revision: int) -> None:
        """Wait until an instance reports this revision or a later one."""
        while await self.revision_at(instance) < revision:
            await asyncio.sleep(POLL_S)

    async def revision_at(self, instance) -> int:
        """Return the revision in force at an instance, 0 for none."""
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self._session.get(
                instance.caller_url + "/ready"
            ) as response:
                if response.status == 200:
                    revision = (await response.json())["revision"]
                    self.observed.observe(instance.caller_url, revision)
                    return revision
        return 0

    async def status(self) -> dict:
        """Return the status from the first instance that answers."""
        while True:
            for instance in self.instances:
                with contextlib.suppress(errors.Failure):
                    return await self.operator(instance).status()
            await asyncio.sleep(0.1)

    async def leader(self):
        """Return the instance that runs the control leader."""
        name = (await self.status())["leader"]
        return next(i for i in self.instances if i.managed.name == name)

    async def restart(self, instance) -> None:
        """Start an instance again and wait until it is ready."""
        await instance.managed.start()
        await processes.wait_until_ready([instance.caller_url])

    async def wait_until_repaired(self, lost: set[str]) -> None:
        """Wait until there are `REPLICAS` voters and none of them is lost."""
        async with asyncio.timeout(TOTAL_TIMEOUT_S):
            while True:
                rows = (await self.status())["replicas"]
                voters = {r["replica"] for r in rows if r["votes"]}
                if len(voters) == REPLICAS and not voters & lost:
                    return
                await asyncio.sleep(0.1)


async def without_faults(deployment: Deployment) -> None:
    """Make changes while nothing fails."""
    for _ in range(FAULT_FREE_CHANGES):
        await deployment.change("quiet")


async def leader_killed(deployment: Deployment) -> None:
    """Kill the control leader just before a draft is accepted."""
    for _ in range(FAULT_ROUNDS):
        leader = await deployment.leader()
        await deployment.change(
            "leader_killed", (leader,), leader.managed.kill
        )
        await deployment.restart(leader)


async def instance_paused(deployment: Deployment) -> None:
    """Pause an instance, then the leader, just before a draft is accepted."""
    leader = await deployment.leader()
    others = [i for i in deployment.instances if i is not leader]
    for paused in (deployment.rng.choice(others), leader):

        async def pause(instance=paused) -> None:
            instance.managed.pause()

        await deployment.change("instance_paused", (paused,), pause)
        paused.managed.resume()
        await processes.wait_until_ready([paused.caller_url])


async def voters_lost(deployment: Deployment) -> None:
    """Lose a voter's disk, wait for the repair, then lose a second one."""
    leader = await deployment.leader()
    replicas = deployment.instances[:REPLICAS]
    first, second = [i for i in replicas if i is not leader]
    await _lose_disk(deployment, first)
    await deployment.change("voter_lost", (first,))
    await _restart_with_empty_disk(deployment, first)
    await _lose_disk(deployment, second)
    await deployment.change("second_voter_lost", (second,))
    await _restart_with_empty_disk(deployment, second)
    await deployment.change("repaired")


async def _lose_disk(deployment: Deployment, instance) -> None:
    await instance.managed.kill()
    shutil.rmtree(instance.data_dir)


async def _restart_with_empty_disk(deployment: Deployment, instance) -> None:
    rows = (await deployment.status())["replicas"]
    name = instance.managed.name
    lost = {r["replica"] for r in rows if r["instance"] == name}
    started_s = time.monotonic()
    await deployment.restart(instance)
    await deployment.wait_until_repaired(lost)
    deployment.record("repair", (time.monotonic() - started_s) * 1000.0)


async def many_changes(deployment: Deployment) -> None:
    """Accept many revisions in quick succession."""
    accepting = []
    for _ in range(MANY_CHANGES):
        client = deployment.operator(
            deployment.rng.choice(deployment.instances)
        )
        expected = max(deployment.observed.acknowledged) + 1
        reply = {"revision": -1}
        while reply["revision"] != expected - 1:
            text = deployment.answers()
            reply = await deployment.retry_until_answered(
                lambda: client.submit(text)
            )
        draft = reply["draft_id"]
        deployment.observed.acknowledged[expected] = draft
        accepting.append(
            asyncio.create_task(
                _accept_as_revision(deployment, client, draft, expected)
            )
        )
    deployment.observed.unfinished += sum(await asyncio.gather(*accepting))


async def _accept_as_revision(
    deployment, client, draft: str, expected: int
) -> int:
    try:
        reply = await deployment.retry_until_answered(
            lambda: client.accept(draft)
        )
    except errors.Failure:
        return 1
    return int(reply["revision"] != expected)


async def restart_all(deployment: Deployment) -> int:
    """Restart all instances; return how many audit log entries are wrong.

    Counts entries out of sequence and acknowledged changes that the audit
    log lacks.
    """
    for instance in deployment.instances:
        await instance.managed.kill()
    for instance in deployment.instances:
        await instance.managed.start()
    await processes.wait_until_ready(
        i.caller_url for i in deployment.instances
    )
    acknowledged = deployment.observed.acknowledged
    await asyncio.gather(
        *(
            deployment.wait_until_in_force(instance, max(acknowledged))
            for instance in deployment.instances
        )
    )
    audit_log = await deployment.operator(deployment.instances[-1]).audit()
    entries = audit_log["entries"]
    accepted = {
        entry["revision"]: entry["draft_id"]
        for entry in entries
        if entry["action"] == states.ChangeAction.ACCEPT.value
    }
    gaps = sum(
        entry["number"] != position
        for position, entry in enumerate(entries, start=1)
    )
    return gaps + sum(
        accepted.get(revision) != draft
        for revision, draft in acknowledged.items()
    )


async def run(options: result.BenchOptions) -> result.BenchResult:
    """Run every case once, then restart all instances."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(pathlib.Path(folder), options.seed)
        try:
            await deployment.start()
            for case in (
                without_faults,
                leader_killed,
                instance_paused,
                voters_lost,
                many_changes,
            ):
                await case(deployment)
            audit_errors = await restart_all(deployment)
        finally:
            await deployment.close()
    return _result(options, deployment, audit_errors)


def _result(options, deployment: Deployment, audit_errors: int):
    observed = deployment.observed
    latencies = deployment.latencies
    figures = latencies.figures("in_force") | {
        "changes": len(observed.acknowledged),
        "reverts": observed.reverts,
        "forgotten": audit_errors,
        "unfinished": observed.unfinished,
    }
    for case, measured in deployment.latencies_by_case.items():
        figures[f"{case}_p50_ms"] = measured.at_ms(50)
        figures[f"{case}_max_ms"] = measured.at_ms(100)
    late = int(latencies.at_ms(100) > MAX_IN_FORCE_MS)
    return result.BenchResult(
        "config",
        options.seed,
        figures,
        observed.reverts + audit_errors + observed.unfinished + late,
    )
