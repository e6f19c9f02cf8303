"""Bench ``throughput``: tokens per second and delay of one ``serve`` process.

The process under test sends its journal to a second one. Token sources and
load generators are separate processes. For comparison, a minimal relay
forwards the same kind of events in the same run. The throughput of each is
measured at a rate above what it can forward, but not so far above that it
only works off its backlog. The delay is measured at the target rate, from the
time at which the source sent a token: an upper bound of the delay added
between tokens.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import sys
import tempfile

import msgspec
import psutil

from bench import processes
from bench import token_load
from oriolejunction.bench import result
from oriolejunction import local_deployment
from oriolejunction import operator_client
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction import states

TARGET_TOKENS_PER_S = 16_000
MAX_DELAY_P95_MS = 2.0
MIN_SHARE_OF_RELAY = 0.5
SATURATING_TOKENS_PER_S = 24_000
RELAY_SATURATING_TOKENS_PER_S = 64_000
LIGHT_TOKENS_PER_S = 4_000
STREAMS = 400
SOURCES = 2
LOAD_GENERATORS = 2
MAX_SECONDS = 8.0
ZONES = ("a", "b")


@dataclasses.dataclass(frozen=True)
class LoadResult:
    """Combined result of all load generators, with the CPU used.

    `cpu_share` is a fraction of one core.
    """

    tokens_per_s: float
    delay_p50_ms: float
    delay_p95_ms: float
    delay_p99_ms: float
    refused: int
    cpu_share: float


@dataclasses.dataclass
class RateRun:
    """Starts and measures the processes for one offered rate."""

    folder: pathlib.Path
    tokens_per_s: float
    stack: contextlib.AsyncExitStack

    async def start_module(
        self, *arguments: str
    ) -> asyncio.subprocess.Process:
        """Start a Python module that is killed when the run ends."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.stack.push_async_callback(_kill_process, process)
        return process

    async def start_sources(self) -> list[str]:
        """Start the token sources and return their URLs."""
        urls = []
        for port in local_deployment.free_ports(SOURCES):
            rate = self.tokens_per_s / STREAMS
            await self.start_module("bench.token_source", str(port), str(rate))
            urls.append(f"http://{local_deployment.HOST}:{port}")
        return urls

    async def measure(self, url: str, pid: int, seconds: float) -> LoadResult:
        """Send load to `url` and measure the process that serves it."""
        process = psutil.Process(pid)
        generators = [
            await self.start_module(
                "bench.token_load",
                url + "/v1/completions",
                str(STREAMS // LOAD_GENERATORS),
                str(seconds),
            )
            for _ in range(LOAD_GENERATORS)
        ]
        await asyncio.sleep(
            token_load.SETTLE_S + token_load.CONNECT_PERIOD_S + 1.0
        )
        process.cpu_percent()
        await asyncio.sleep(seconds / 2)
        cpu_share = process.cpu_percent() / 100.0
        outputs = [
            (await generator.communicate())[0] for generator in generators
        ]
        reports = [
            msgspec.json.decode(output, type=token_load.GeneratorReport)
            for output in outputs
        ]
        return _combine_reports(reports, cpu_share)


def _combine_reports(
    reports: list[token_load.GeneratorReport], cpu_share: float
) -> LoadResult:
    return LoadResult(
        tokens_per_s=round(sum(r.tokens / r.seconds for r in reports)),
        delay_p50_ms=max(r.delay_p50_ms for r in reports),
        delay_p95_ms=max(r.delay_p95_ms for r in reports),
        delay_p99_ms=max(r.delay_p99_ms for r in reports),
        refused=sum(r.refused for r in reports),
        cpu_share=round(cpu_share, 2),
    )


async def _kill_process(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()


async def _measure_serve(
    rate_run: RateRun, source_urls: list[str], seconds: float
) -> LoadResult:
    instances = processes.serve_processes(rate_run.folder, ZONES, replicas=1)
    managed = [instance.managed for instance in instances]
    rate_run.stack.push_async_callback(processes.stop_all, managed)
    for process in managed:
        await process.start()
    urls = [instance.caller_url for instance in instances]
    await processes.wait_until_live(urls)
    client = operator_client.OperatorClient(
        instances[0].operator_url, processes.OPERATOR_TOKEN
    )
    answers = answer_files.redact_keys(_answers(source_urls))
    draft = await client.submit(answer_files.dump(answers))
    await client.accept(draft["draft_id"])
    await processes.wait_until_ready(urls)
    pid = instances[1].managed.process.pid
    return await rate_run.measure(urls[1], pid, seconds)


def _answers(source_urls: list[str]) -> answer_files.Answers:
    return answer_files.Answers(
        measure=states.Objective.LATENCY,
        zones=ZONES,
        models=(answer_files.ModelAnswer(local_deployment.MODEL, "1"),),
        engines=tuple(
            answer_files.EngineAnswer(
                f"source-{number}", url, ZONES[0], local_deployment.MODEL
            )
            for number, url in enumerate(source_urls)
        ),
        workspaces=tuple(
            answer_files.WorkspaceAnswer(name, key)
            for name, key in local_deployment.KEY_BY_WORKSPACE.items()
        ),
    )


async def _measure_relay(
    rate_run: RateRun, source_urls: list[str], seconds: float
) -> LoadResult:
    (port,) = local_deployment.free_ports(1)
    process = await rate_run.start_module(
        "bench.bare_relay", str(port), *source_urls
    )
    await asyncio.sleep(1.5)
    url = f"http://{local_deployment.HOST}:{port}"
    return await rate_run.measure(url, process.pid, seconds)


async def _measure_rate(
    measure_system, tokens_per_s: float, seconds: float
) -> LoadResult:
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(
            tempfile.TemporaryDirectory(ignore_cleanup_errors=True)
        )
        rate_run = RateRun(pathlib.Path(folder), tokens_per_s, stack)
        urls = await rate_run.start_sources()
        await asyncio.sleep(1.0)
        return await measure_system(rate_run, urls, seconds)


async def run(options: result.BenchOptions) -> result.BenchResult:
    """Measure ``serve`` and the bare relay, one after the other."""
    seconds = min(options.seconds, MAX_SECONDS)
    saturated = await _measure_rate(
        _measure_serve, SATURATING_TOKENS_PER_S, seconds
    )
    saturated_relay = await _measure_rate(
        _measure_relay, RELAY_SATURATING_TOKENS_PER_S, seconds
    )
    target = await _measure_rate(_measure_serve, TARGET_TOKENS_PER_S, seconds)
    relay_target = await _measure_rate(
        _measure_relay, TARGET_TOKENS_PER_S, seconds
    )
    light = await _measure_rate(_measure_serve, LIGHT_TOKENS_PER_S, seconds)
    tokens_per_s = max(saturated.tokens_per_s, target.tokens_per_s)
    relay_fraction = tokens_per_s / max(1.0, saturated_relay.tokens_per_s)
    figures = {
        "tokens_per_s": tokens_per_s,
        "at_full_load": dataclasses.asdict(saturated),
        "cpu_share": saturated.cpu_share,
        "relay_tokens_per_s": saturated_relay.tokens_per_s,
        "relay_cpu_share": saturated_relay.cpu_share,
        "share_of_bare_relay": round(relay_fraction, 3),
        "added_p95_ms": target.delay_p95_ms,
        "at_target": dataclasses.asdict(target),
        "relay_at_target": dataclasses.asdict(relay_target),
        "at_light_load": dataclasses.asdict(light),
        "streams": STREAMS,
        "meets_tokens_per_s": tokens_per_s >= TARGET_TOKENS_PER_S,
        "meets_added_p95": target.delay_p95_ms <= MAX_DELAY_P95_MS,
        "meets_share_of_relay": relay_fraction >= MIN_SHARE_OF_RELAY,
    }
    refused = (
        saturated.refused
        + saturated_relay.refused
        + target.refused
        + light.refused
    )
    return result.BenchResult("throughput", options.seed, figures, refused)
