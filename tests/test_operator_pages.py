"""Operators' pages: the commands run, and every name is listed."""

import asyncio
import os
import pathlib
import re
import shlex
import sys

import pytest

from oriolejunction import errors
from oriolejunction import invariants
from oriolejunction.questionnaire import answers as answer_files
from oriolejunction import telemetry

ROOT = pathlib.Path(__file__).parent.parent
COMMAND = re.compile(r"(?:`|^    )(oriolejunction [^`\n]+)", re.MULTILINE)
STANDALONE_COMMANDS = frozenset(
    {"local", "demo", "bench", "engine", "service"}
)
EMPTY_LINES = b"\n" * 400
TIMEOUT_S = 60.0


def commands_of(page):
    found = COMMAND.findall(page.read_text())
    return [
        line for line in found if line.split()[1] not in STANDALONE_COMMANDS
    ]


PAGES = [
    page
    for page in sorted((ROOT / "docs" / "operators").glob("*.md"))
    if commands_of(page)
]


class CommandRunner:
    """Runs an operator's commands against a deployment."""

    def __init__(self, deployment, folder):
        addresses = deployment.addresses
        self._folder = folder
        self._environment = {
            "PYTHONPATH": str(ROOT / "src"),
            "PATH": os.environ["PATH"],
            "ORIOLEJUNCTION_OPERATOR_URL": addresses.operators_urls[0],
            "ORIOLEJUNCTION_OPERATOR_TOKEN": addresses.operator_token,
        }
        answers = answer_files.dump(deployment.sample_answers())
        (folder / "answers.toml").write_text(answers)
        (folder / "examples").symlink_to(ROOT / "examples")
        self._draft = "no-draft"
        self._revision = "0"

    async def run(self, command):
        """Run a command; return its exit status and output.

        Later commands get the draft and revision that it printed.
        """
        words = [self._substitute(word) for word in shlex.split(command)[1:]]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "oriolejunction",
            *words,
            cwd=self._folder,
            env=self._environment,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        async with asyncio.timeout(TIMEOUT_S):
            output, _ = await process.communicate(EMPTY_LINES)
        self._record_ids(output.decode())
        return process.returncode, output.decode()

    def _substitute(self, word):
        if word == "DRAFT" or word.startswith("d-"):
            return self._draft
        return self._revision if word in ("REVISION", "N") else word

    def _record_ids(self, output):
        if found := re.search(r"draft (d-\S+)", output):
            self._draft = found[1]
        if found := re.search(r"revision (\d+)", output):
            self._revision = found[1]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
async def test_commands_on_page(page, deployment, tmp_path):
    runner = CommandRunner(deployment, tmp_path)
    for command in commands_of(page):
        status, output = await runner.run(command)
        if command.split()[1] == "serve":
            assert "--instance-id / ORIOLEJUNCTION_INSTANCE_ID" in output
        else:
            assert status == 0, f"{command}: {output}"


def test_every_metric_is_on_its_page():
    page = (ROOT / "docs" / "operators" / "metrics.md").read_text()
    metrics = telemetry.Telemetry().registry.get_all()
    missing = [m.name for m in metrics if f"`{m.name}`" not in page]
    assert missing == []


def test_every_error_is_on_a_page():
    folder = ROOT / "docs" / "operators"
    pages = "".join(page.read_text() for page in folder.glob("*.md"))
    codes = {
        value.code
        for value in vars(errors).values()
        if isinstance(value, type)
        and issubclass(value, errors.ServingError)
        and value.__subclasses__() == []
    }
    missing = [code for code in codes if f"`{code}`" not in pages]
    assert missing == []


def test_every_invariant_is_on_its_page():
    page = (ROOT / "docs" / "INVARIANTS.md").read_text()
    functions = [
        name for name in vars(invariants) if name.startswith("require_")
    ]
    missing = [name for name in functions if f"`{name}`" not in page]
    assert missing == []


def test_links_between_pages_resolve():
    for page in (ROOT / "docs").rglob("*.md"):
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
            assert (page.parent / target).exists(), f"{page}: {target}"
