"""A planned replacement of a core machine, and then the loss of two disks.

Exits with 1 if the acknowledged configuration can't be read back, 0 if it can,
and 2 if the case can't run. Without trouble, no disk is lost.
"""

import asyncio
import os
import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import deployment as deployments  # noqa: E402

LEAD_S = 12.0
CATCH_UP_S = 4.0
STABLE_WINDOW_S = 3.0
RECOVERY_S = 12.0
# From the end of the machine that was replaced to the loss of the disks.
LOSS_AFTER_S = 1.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


async def play(folder: pathlib.Path, record: deployments.Record) -> int:
    """Play the case; return the exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    site = deployments.Deployment(folder, record)
    core = [site.add_core(number, True) for number in (1, 2, 3, 4, 5)]
    try:
        await site.start_platform()
        for machine in core:
            await site.start(machine)
        if not await site.publish(core, deployments.document(7), LEAD_S):
            record.add("the first configuration wasn't taken")
            return NOT_RUN
        await asyncio.sleep(LEAD_S)
        # The new machine first, then SIGTERM, once it had `catchUpS`.
        new = site.add_core(6, is_first_start=False)
        await site.start(new)
        await asyncio.sleep(CATCH_UP_S + 0.5)
        removed = core.pop(3)
        await site.stop(removed)
        core.append(new)
        if not await site.publish(core, deployments.document(8), 4.0):
            record.add("the group takes no change after the replacement")
            return NOT_RUN
        await asyncio.sleep(LOSS_AFTER_S)
        if has_trouble:
            lost = core[:2]
            for machine in lost:
                await site.kill(machine)
                site.wipe(machine)
            await asyncio.sleep(0.5)
            for machine in lost:
                await site.start(machine)
        await asyncio.sleep(RECOVERY_S + CATCH_UP_S)
        await site.publish(core, deployments.document(9), 10.0)
        return await read_back(site, core, 8)
    finally:
        await site.close()


async def read_back(
    site: deployments.Deployment,
    core: list[deployments.Machine],
    acknowledged: int,
) -> int:
    """Ask all machines for twice `stableWindowMs`; return the status."""
    versions: set[int | None] = set()
    until_s = time.monotonic() + 2 * STABLE_WINDOW_S
    while time.monotonic() < until_s:
        versions |= set(
            await asyncio.gather(*(site.read(machine) for machine in core))
        )
        await asyncio.sleep(0.2)
    found = {each for each in versions if each is not None}
    site.record.add(f"read back: {sorted(found) or 'no configuration'}")
    if not found or min(found) < acknowledged:
        site.record.add(f"broken: version {acknowledged} was acknowledged")
        return BROKEN
    site.record.add("held")
    return HELD


def main() -> None:
    """Play the case in a temporary folder."""
    record = deployments.Record(pathlib.Path(__file__).with_name("record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        try:
            status = asyncio.run(play(pathlib.Path(folder), record))
        except (OSError, deployments.CannotRun) as error:
            record.add(f"the case can't run: {error!r}")
            status = NOT_RUN
    sys.exit(status)


if __name__ == "__main__":
    main()
