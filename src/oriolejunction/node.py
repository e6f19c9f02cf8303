"""Command line that runs an entry instance or a control replica.

It is separate from `cli` so that a node doesn't import the stand-ins and
benches.
"""

import asyncio
import os
import pathlib
import signal
import sys

import fire
import structlog

from oriolejunction import errors
from oriolejunction import fleet_wiring
from oriolejunction import node_logs
from oriolejunction import settings as instance_settings
from oriolejunction import stop_signals

_log = structlog.get_logger(__name__)


class Commands:
    """Run one node of a deployment until SIGINT or SIGTERM."""

    def entry(self, boot: str | None = None) -> None:
        """Run an entry instance with the settings file BOOT."""
        asyncio.run(_run(fleet_wiring.EntryNode(_settings_path(boot))))

    def control(self, boot: str | None = None) -> None:
        """Run a control replica with the settings file BOOT."""
        asyncio.run(_run(fleet_wiring.ControlNode(_settings_path(boot))))


def _settings_path(boot: str | None) -> pathlib.Path:
    variable = instance_settings.ENVIRONMENT_PREFIX + "BOOT"
    found = boot or os.environ.get(variable)
    if not found:
        raise errors.Failure(
            errors.BadSettings(f"--boot / {variable}: is required")
        )
    return pathlib.Path(found)


async def _run(
    node: fleet_wiring.EntryNode | fleet_wiring.ControlNode,
) -> None:
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
    await stop.wait()
    await node.drain()
    await node.close()


def main() -> None:
    """Run the command line; print a `Failure` in one line."""
    try:
        fire.Fire(Commands, name="oriolejunction.node")
    except errors.Failure as failure:
        print(failure.error.message, file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    main()
