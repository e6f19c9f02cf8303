"""Only the platform package has its wire names; it makes no decisions."""

import ast
import gc
import pathlib
import re

import pytest

SOURCE = pathlib.Path(__file__).parents[2] / "src" / "oriolejunction"
PACKAGE = SOURCE / "platform"
WIRE_NAMES = re.compile(
    r"attempt-id|response-signature|not-executed|instance-load|kv-backup"
    r"|kv-from|kv-fetch|kv-move|token-counts|prompt-prefix|deadline-ms"
    r"|expected-instance|expected-version|weight-versions|x-api-key"
    r"|server-leaving|instance-id:|cache-retention|pin-ms|length-hint"
    r"|pathprefix|targetlatencyms|maxattempts|trafficsplit|targetgapms"
    r"|kvcachetokens|handlettls|apikeys|coldremainingms|pagetoken"
    r"|configuration\.replace|configuration\.read|/v1/report"
    r"|seednodes|listenaddresses|cloudapi|internalportrange",
    re.IGNORECASE,
)
DECISION_MODULES = (
    "controllers",
    "blackboard",
    "clock",
    "random",
    "asyncio",
    "time",
)


def modules():
    return [
        path
        for path in sorted(SOURCE.rglob("*.py"))
        if PACKAGE not in path.parents
    ]


@pytest.mark.parametrize("path", modules(), ids=lambda path: path.stem)
def test_no_other_module_contains_a_wire_name(path):
    found = WIRE_NAMES.findall(path.read_text())
    assert found == []


def test_only_the_composition_roots_import_the_package():
    importers = [
        path.relative_to(SOURCE).as_posix()
        for path in modules()
        if "oriolejunction.platform" in path.read_text()
    ]
    assert importers == ["control_wiring.py", "entry_wiring.py"]


def parse(path):
    """Return the syntax tree of a file.

    Python 3.11 raises `SystemError` if the collection of garbage formats a
    traceback meanwhile, since that parses its source line.
    """
    gc.disable()
    try:
        return ast.parse(path.read_text())
    finally:
        gc.enable()


@pytest.mark.parametrize(
    "path", sorted(PACKAGE.glob("*.py")), ids=lambda path: path.stem
)
def test_package_imports_no_module_that_makes_decisions(path):
    imported = set()
    for node in ast.walk(parse(path)):
        if isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            imported |= {f"{node.module}.{a.name}" for a in node.names}
    assert [
        name
        for name in imported
        if set(name.split(".")) & set(DECISION_MODULES)
    ] == []


def test_package_stays_small():
    lines = sum(
        len(path.read_text().splitlines()) for path in PACKAGE.glob("*.py")
    )
    assert lines < 900
