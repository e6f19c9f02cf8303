"""Processor time and memory of a node's start, by package.

``python -m bench.start_cost [--source FOLDER ...]`` imports what each role
needs, in processes of their own, from each FOLDER in turn so that all see the
same load of the machine. It compiles the bytecode first, as the build does.
Of the times of several runs it prints the least, which is the one that other
processes disturbed least; those by package are by wall clock.
"""

import argparse
import collections
import compileall
import os
import re
import subprocess
import sys

ROLES = ("entry", "control")
SHOWN_PACKAGES = 12
_CODE = """
import gc, resource
gc.disable()
before = resource.getrusage(resource.RUSAGE_SELF)
import oriolejunction.node
import oriolejunction.{role}_wiring
after = resource.getrusage(resource.RUSAGE_SELF)
print(after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime)
print(after.ru_maxrss / 1024)
"""
_IMPORT_LINE = re.compile(r"import time:\s+(\d+) \|\s+\d+ \|\s+(\S+)")


def _run(source: str, role: str, *options: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, *options, "-c", _CODE.format(role=role)],
        env={
            **os.environ,
            "PYTHONPATH": source,
            # As `oriolejunction.node` sets it.
            "SSL_CERT_FILE": os.devnull,
        },
        capture_output=True,
        text=True,
        check=True,
    )


def _self_ms_by_module(source: str, role: str) -> dict[str, float]:
    lines = _run(source, role, "-X", "importtime").stderr.splitlines()
    found = (_IMPORT_LINE.fullmatch(line) for line in lines)
    return {match[2]: int(match[1]) / 1e3 for match in found if match}


def _print_packages(least_ms: dict[str, float]) -> None:
    ms_by_package: collections.Counter[str] = collections.Counter()
    for module, module_ms in least_ms.items():
        ms_by_package[module.partition(".")[0]] += module_ms
    for package, package_ms in ms_by_package.most_common(SHOWN_PACKAGES):
        print(f"    {package:<20} {package_ms:6.1f} ms")


def _measure(sources: list[str], role: str, runs: int) -> None:
    seconds = {source: [] for source in sources}
    memory_mb = {source: [] for source in sources}
    least_ms: dict[str, dict[str, float]] = {source: {} for source in sources}
    for _ in range(runs):
        for source in sources:
            used_s, used_mb = _run(source, role).stdout.split()
            seconds[source].append(float(used_s))
            memory_mb[source].append(float(used_mb))
            for module, ms in _self_ms_by_module(source, role).items():
                known_ms = least_ms[source].get(module, ms)
                least_ms[source][module] = min(known_ms, ms)
    for source in sources:
        print(
            f"{role} from {source}: {min(seconds[source]):.3f} s,"
            f" {min(memory_mb[source]):.1f} MB,"
            f" {len(least_ms[source])} modules"
        )
        _print_packages(least_ms[source])


def main() -> None:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--source", nargs="+", default=["src"])
    parser.add_argument("--runs", type=int, default=5)
    options = parser.parse_args()
    for source in options.source:
        compileall.compile_dir(source, quiet=1)
    for role in ROLES:
        _measure(options.source, role, options.runs)


if __name__ == "__main__":
    main()
