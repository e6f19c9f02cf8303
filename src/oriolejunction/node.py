"""Command line that runs an entry instance or a control replica.

It is separate from `cli` so that a node doesn't import the stand-ins and
benches, and imports only the modules of its own role, since callers wait
while an instance starts again.
"""

import argparse
import asyncio
import collections.abc
import faulthandler
import gc
import os
import pathlib
import signal
import sys
import typing

import structlog

from oriolejunction import errors
from oriolejunction import node_logs
from oriolejunction import settings as instance_settings
from oriolejunction import source_digest
from oriolejunction import stop_signals

if typing.TYPE_CHECKING:
    from oriolejunction import node_base

_log = structlog.get_logger(__name__)


def _load_entry(path: pathlib.Path) -> type["node_base.Node"]:
    from oriolejunction import entry_wiring

    return entry_wiring.EntryNode


def _load_control(path: pathlib.Path) -> type["node_base.Node"]:
    from oriolejunction import control_disk

    # Before the slow imports, during which the process may be ended.
    control_disk.prepare(path)
    from oriolejunction import control_wiring

    return control_wiring.ControlNode


# A close that takes longer leaves the stacks of all threads in the log.
SLOW_CLOSE_S = 2.0
LOAD_BY_ROLE = {"entry": _load_entry, "control": _load_control}


def _parse_arguments() -> argparse.Namespace:
    # Not by fire, which `cli` uses: its import takes 7 ms.
    parser = argparse.ArgumentParser(
        prog="oriolejunction.node",
        description="Run one node of a deployment until SIGINT or SIGTERM.",
    )
    parser.add_argument("role", choices=LOAD_BY_ROLE)
    parser.add_argument("path", nargs="?", help="the settings file")
    parser.add_argument("--boot", metavar="PATH", help="the settings file")
    return parser.parse_args()


def _run_role(
    load: collections.abc.Callable[[pathlib.Path], type["node_base.Node"]],
    boot: str | None,
) -> None:
    """Load the modules of a role and run its node."""
    # Its default action ends the process. The settings are read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = _settings_path(boot)
    # Read before gRPC starts its threads.
    source_digest.running_sources()
    # aiohttp reads the system's certificates when it is imported. A node
    # speaks plain HTTP and gRPC only.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    gc.disable()
    node_type = load(path)
    # Modules are never collected.
    gc.freeze()
    gc.enable()
    if asyncio.run(_run(node_type(path))):
        sys.exit(1)


def _settings_path(boot: str | None) -> pathlib.Path:
    variable = instance_settings.ENVIRONMENT_PREFIX + "BOOT"
    found = boot or os.environ.get(variable)
    if not found:
        raise errors.Failure(
            errors.BadSettings(f"--boot / {variable}: is required")
        )
    return pathlib.Path(found)


async def _run(node: "node_base.Node") -> bool:
    """Run a node until it is stopped or fails; return whether it failed."""
    settings = node.settings_file.current
    log_writer = node_logs.configure(
        settings.log_level, instance=settings.instance_id, zone=settings.zone
    )
    node.dropped_log_lines = lambda: log_writer.dropped
    stop = stop_signals.stop_event()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGHUP, node.settings_file.reload
    )
    await node.start()
    has_failed = await stop_signals.wait_for_end(stop, node.failed)
    if not has_failed:
        await node.drain()
    faulthandler.dump_traceback_later(SLOW_CLOSE_S)
    await node.close()
    _log.info("node closed")
    return has_failed


def main() -> None:
    """Run the command line; print a `Failure` in one line."""
    # A crash in a native library leaves the stacks of all threads in the log.
    faulthandler.enable()
    arguments = _parse_arguments()
    try:
        _run_role(
            LOAD_BY_ROLE[arguments.role], arguments.boot or arguments.path
        )
    except errors.Failure as failure:
        print(failure.error.message, file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    main()
