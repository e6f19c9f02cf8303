"""A build holds exactly the sources of its checkout."""

import os
import pathlib
import shutil
import subprocess
import sys
import time
import tomllib

import pytest

from oriolejunction import cli
from oriolejunction import source_digest

ROOT = pathlib.Path(__file__).resolve().parents[1]
INSTALLED = pathlib.Path("target/deps/oriolejunction")


@pytest.fixture
def checkout(tmp_path):
    """Return a checkout whose required packages are installed already."""
    shutil.copytree(
        ROOT / "src",
        tmp_path / "src",
        ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"),
    )
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    (tmp_path / "target/deps").mkdir(parents=True)
    shutil.copy(
        ROOT / "deploy/requirements.txt",
        tmp_path / "target/deps/.requirements",
    )
    return tmp_path


def _build(checkout):
    deploy = tomllib.loads((checkout / "deploy/system.toml").read_text())
    subprocess.run(
        deploy["build"],
        shell=True,
        cwd=checkout,
        check=True,
        env={"PATH": f"{pathlib.Path(sys.executable).parent}:/usr/bin:/bin"},
    )


def _files(package):
    return {
        path.relative_to(package): path.read_bytes()
        for path in package.rglob("*")
        if path.is_file() and "__pycache__" not in path.parts
    }


def test_second_build_replaces_newer_and_removes_unknown_modules(checkout):
    sources = checkout / "src/oriolejunction"
    installed = checkout / INSTALLED
    _build(checkout)
    changed = installed / "controllers/routing.py"
    changed.write_text(changed.read_text() + "# newer\n")
    shutil.copystat(sources / "controllers/routing.py", changed)
    ahead_s = time.time() + 3_600
    for path in (changed, installed / "removed_module.py"):
        path.touch()
        os.utime(path, (ahead_s, ahead_s))
    assert _files(installed) != _files(sources)
    _build(checkout)
    assert _files(installed) == _files(sources)
    assert not list(installed.rglob("removed_module*"))


def test_unchanged_build_writes_no_file(checkout):
    _build(checkout)
    before = {
        path: path.stat().st_mtime_ns
        for path in (checkout / INSTALLED).rglob("*")
    }
    _build(checkout)
    after = {
        path: path.stat().st_mtime_ns
        for path in (checkout / INSTALLED).rglob("*")
    }
    assert after == before


def test_digest_tells_whether_an_installed_package_is_the_checkout(checkout):
    sources = checkout / "src/oriolejunction"
    installed = checkout / INSTALLED
    _build(checkout)
    digest = source_digest.source_digest(installed)
    assert digest == source_digest.source_digest(sources)
    assert source_digest.running_sources(installed) == digest
    assert (installed.parent / source_digest.DIGEST_FILE).exists()
    (installed / "removed_module.py").touch()
    assert source_digest.source_digest(installed) != digest


def test_version_names_the_sources(capsys):
    cli.Commands().version()
    assert source_digest.source_digest() in capsys.readouterr().out
