"""The command line: one program for every role."""

import asyncio
import importlib.metadata
import os
import pathlib
import sys

import fire
import msgspec
import orjson

from oriolejunction.bench import batch
from oriolejunction.bench import catalogue
from oriolejunction.bench import result
from oriolejunction import clock as clocks
from oriolejunction import demonstration
from oriolejunction import errors
from oriolejunction import local_deployment
from oriolejunction import logs
from oriolejunction import node_client
from oriolejunction import node_settings
from oriolejunction import operator_client
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction.questionnaire import checks
from oriolejunction.questionnaire import fill
from oriolejunction import request_trace
from oriolejunction import rollout_client
from oriolejunction import settings as instance_settings
from oriolejunction import source_digest
from oriolejunction.standin import engine as standin_engine
from oriolejunction.standin import http_server
from oriolejunction.standin import service as standin_service
from oriolejunction import stop_signals
from oriolejunction import wiring


class Questionnaire:
    """Fill in, check and submit a questionnaire."""

    def fill(self, file: str) -> None:
        """Ask the questions one by one and write the answers to FILE."""
        path = pathlib.Path(file)
        known = _read_answers(file) if path.exists() else None
        path.write_text(answer_files.dump(fill.fill(known, input, print)))
        self.check(file)

    def check(self, file: str) -> None:
        """List every fault of the answers in FILE."""
        answers = checks.require_valid(_read_answers(file))
        print(f"{file}: {len(answers.engines)} engines, no faults")

    def submit(
        self, file: str, url: str | None = None, token: str | None = None
    ) -> None:
        """Store the configuration generated from FILE as a draft."""
        answers = checks.require_valid(_read_answers(file))
        redacted = answer_files.dump(answer_files.redact_keys(answers))
        reply = asyncio.run(_operator_client(url, token).submit(redacted))
        print(f"draft {reply['draft_id']}")
        for line in reply["differences"] or ["nothing changes"]:
            print(f"  {line}")


class SettingsFiles:
    """Check settings files of nodes."""

    def check(self, file: str, role: str = "entry") -> None:
        """Check FILE as the settings of an entry or a control node."""
        kinds = {
            "entry": node_settings.EntrySettings,
            "control": node_settings.ControlSettings,
        }
        if role not in kinds:
            raise errors.Failure(
                errors.BadSettings(f"--role is entry or control, not {role}")
            )
        node_settings.load(pathlib.Path(file), kinds[role])
        print(f"{file}: no faults")


class Nodes:
    """Inspect nodes of a deployment."""

    def status(self, *addresses: str) -> None:
        """Show the state reported by nodes at metrics ADDRESSES."""
        status_by_address = asyncio.run(node_client.fetch_statuses(addresses))
        print(node_client.status_table(status_by_address))
        if any("error" in reply for reply in status_by_address.values()):
            sys.exit(1)


class Rollouts:
    """Move a service of a deployment to another software version.

    REPLICAS are peer addresses of control replicas, separated by commas.
    """

    def begin(
        self,
        service: str,
        version: str,
        within: str,
        replicas: str | None = None,
    ) -> None:
        """Order that SERVICE moves to VERSION, in a time such as 12s."""
        duration_ms = rollout_client.parse_duration_ms(str(within))
        number = asyncio.run(
            rollout_client.begin(
                _replica_addresses(replicas),
                str(service),
                str(version),
                duration_ms,
            )
        )
        print(f"rollout {number} of {service} to {version} is ordered")

    def show(self, service: str, replicas: str | None = None) -> None:
        """Show the newest rollout of SERVICE, with progress while it runs."""
        status = asyncio.run(
            rollout_client.read(_replica_addresses(replicas), str(service))
        )
        print(rollout_client.status_text(status))


class Commands:
    """Serving system for long generations on engines that fail."""

    def __init__(self) -> None:
        self.questionnaire = Questionnaire()
        self.settings = SettingsFiles()
        self.nodes = Nodes()
        self.rollout = Rollouts()

    def serve(self, **flags: object) -> None:
        """Run one instance until SIGINT or SIGTERM."""
        settings = instance_settings.load(flags, os.environ)
        logs.configure(
            settings.log_level,
            instance=settings.instance_id,
            zone=settings.zone,
        )
        asyncio.run(_run_instance(settings))

    def version(self) -> None:
        """Print the version and the digest of the sources that run."""
        released = importlib.metadata.version("oriolejunction")
        print(f"{released} sources {source_digest.source_digest()}")

    def local(self) -> None:
        """Run a complete deployment in one process on loopback."""
        logs.configure("warning")
        asyncio.run(_run_local())

    def demo(self) -> None:
        """Kill an engine during an answer; exit 0 if the answer completes."""
        logs.configure("error")
        report = demonstration.main()
        print(report.table())
        if not report.passed:
            sys.exit(1)

    def accept(
        self, draft: str, url: str | None = None, token: str | None = None
    ) -> None:
        """Put DRAFT in force on every instance."""
        reply = asyncio.run(_operator_client(url, token).accept(str(draft)))
        print(f"revision {reply['revision']} is in force")

    def withdraw(
        self, target: str, url: str | None = None, token: str | None = None
    ) -> None:
        """Drop a draft, or restore what was in force before a revision."""
        reply = asyncio.run(_operator_client(url, token).withdraw(str(target)))
        print(f"revision {reply['revision']} is in force")

    def status(self, url: str | None = None, token: str | None = None) -> None:
        """Show each instance and the revision in force there."""
        reply = asyncio.run(_operator_client(url, token).status())
        print(f"revision {reply['revision']}, leader {reply['leader']}")
        for row in reply["instances"]:
            print(
                f"  {row['instance']:<20} {row['zone']:<16}"
                f" revision {row['applied']}"
                f" lease {row['lease_left_ms']} ms"
                f"{' leaving' if row['leaving'] else ''}"
            )
        for row in reply["replicas"]:
            print(
                f"  control replica {row['replica']} on {row['instance']}"
                f" ({row['zone']}){'' if row['votes'] else ', learning'}"
            )

    def audit(self, url: str | None = None, token: str | None = None) -> None:
        """Print the complete audit log of changes."""
        reply = asyncio.run(_operator_client(url, token).audit())
        for entry in reply["entries"]:
            print(orjson.dumps(entry).decode())

    def explain(self, request: str, *files: str) -> None:
        """Show the trace of REQUEST, and its cause, from log files FILES."""
        lines = [
            line
            for file in files
            for line in pathlib.Path(file).read_text().splitlines()
        ]
        found = request_trace.collect(str(request), lines)
        if not found:
            print(
                f"{request}: no log line contains this request id; searched"
                f" {len(lines)} lines in {', '.join(files) or 'no file'}",
                file=sys.stderr,
            )
            sys.exit(1)
        print(request_trace.format_trace(found))
        print(f"cause: {request_trace.find_cause(found)}")

    def bench(
        self,
        name: str,
        seed: int = 1,
        seconds: float = 20.0,
        report: str | None = None,
        json: bool = True,
    ) -> None:
        """Run bench NAME, or every bench if NAME is "all".

        REPORT is the folder for the report. Exits non-zero if an invariant
        or a bound was violated.
        """
        logs.configure("error")
        selected = catalogue.BENCH_BY_NAME
        if name != "all":
            selected = {name: catalogue.get_bench(name)}
        options = result.BenchOptions(seed=seed, seconds=seconds)
        if batch.run(selected, options, report):
            sys.exit(1)

    def engine(
        self,
        listen: str = "127.0.0.1:8100",
        name: str = "engine-0",
        model: str = local_deployment.MODEL,
        version: str = local_deployment.MODEL_VERSION,
        slowdown: float = 1.0,
        checks_fencing: bool = False,
    ) -> None:
        """Run a stand-in engine."""
        options = standin_engine.EngineOptions(
            name,
            model,
            str(version),
            slowdown,
            checks_fencing=checks_fencing,
        )
        app = standin_engine.StandinEngine(options).application()
        asyncio.run(http_server.serve(app, listen))

    def service(self, listen: str = "127.0.0.1:8200") -> None:
        """Run a stand-in plain service."""
        app = standin_service.StandinService().application()
        asyncio.run(http_server.serve(app, listen))


def main() -> None:
    """Run the command line; print a typed failure without a traceback."""
    try:
        fire.Fire(Commands, name="oriolejunction")
    except errors.Failure as failure:
        print(failure.error.message, file=sys.stderr)
        sys.exit(2)


def _read_answers(file: str) -> answer_files.Answers:
    try:
        return answer_files.parse(pathlib.Path(file).read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise errors.Failure(errors.FaultyAnswers(f"{file}: {error}"))


def _operator_client(
    url: str | None, token: str | None
) -> operator_client.OperatorClient:
    prefix = instance_settings.ENVIRONMENT_PREFIX
    url = url or os.environ.get(prefix + "OPERATOR_URL")
    token = token or os.environ.get(prefix + "OPERATOR_TOKEN")
    missing = [
        f"--{name} / {prefix}OPERATOR_{name.upper()}: is required"
        for name, value in (("url", url), ("token", token))
        if not value
    ]
    if missing:
        raise errors.Failure(errors.BadSettings("\n".join(missing)))
    return operator_client.OperatorClient(url, str(token))


def _replica_addresses(replicas: object) -> list[str]:
    """Return addresses from the flag, which may be parsed, or a variable."""
    variable = instance_settings.ENVIRONMENT_PREFIX + "CONTROL_REPLICAS"
    found = replicas or os.environ.get(variable)
    if not found:
        raise errors.Failure(
            errors.BadSettings(f"--replicas / {variable}: is required")
        )
    if isinstance(found, (list, tuple)):
        return [str(each) for each in found]
    return [each.strip() for each in str(found).split(",")]


async def _run_instance(settings: instance_settings.Settings) -> None:
    instance = wiring.Instance(settings, clocks.SystemClock())
    await instance.start()
    stop = stop_signals.stop_event()
    has_failed = await stop_signals.wait_for_end(stop, instance.failed)
    await instance.drain()
    await instance.stop()
    if has_failed:
        sys.exit(1)


async def _run_local() -> None:
    async with local_deployment.run_deployment() as deployment:
        await demonstration.apply_sample_config(deployment)
        print(msgspec.json.encode(deployment.addresses).decode(), flush=True)
        await stop_signals.stop_event().wait()
