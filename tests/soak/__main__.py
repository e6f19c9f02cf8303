"""Run soaks by hand: ``python -m tests.soak --first 1 --count 50``."""

import asyncio
import pathlib
import signal
import sys
import tempfile

import fire

from tests import former_build
from tests.soak import fleet as fleets
from tests.soak import soak as soaks


async def _run_seed(
    seed: int, length_s: float, folder: str, options: dict[str, object]
) -> list[str]:
    path = pathlib.Path(folder) / str(seed)
    path.mkdir()
    soak = soaks.Soak(path, seed, **options)
    violations = await soak.run(length_s)
    print(f"seed {seed}: {soak.summary()}")
    for violation in violations[:10]:
        print(f"seed {seed}: BROKEN: {violation}", flush=True)
    return violations


async def _run_seeds(first, count, length_s, jobs, folder, options) -> int:
    # SIGTERM cancels the soaks, so that they end the processes they started.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    job_limit = asyncio.Semaphore(jobs)

    async def run_one(seed: int) -> bool:
        async with job_limit:
            return bool(await _run_seed(seed, length_s, folder, options))

    seeds = range(first, first + count)
    return sum(await asyncio.gather(*(run_one(seed) for seed in seeds)))


def main(
    first: int = 1,
    count: int = 50,
    seconds: float = 12.0,
    jobs: int = 3,
    interrupt_start: bool = False,
    pauses: bool = True,
    update_from: str | None = None,
    new_machines: bool = False,
    large_tables: bool = False,
    odd_entries: bool = False,
    entries: int = fleets.ENTRIES,
    stopped_servers: bool = False,
    full_disks: bool = False,
    repeated_answers: bool = False,
) -> None:
    """Run COUNT seeds from FIRST on; the logs of all are kept on disk.

    With --interrupt_start, one control replica is killed at the first start.
    With --nopauses, no server asks for a pause. With --update_from COMMIT,
    all nodes begin with the sources of that commit and are updated; with
    --new_machines, most of them by machines with other addresses and disks.
    With --large_tables, some versions have thousands of routes; with
    --odd_entries, the list has an entry now and then that can't be read.
    --entries N starts N entry instances. With --stopped_servers, servers are
    processes, which signals stop now and then; with --full_disks, the disks
    of control replicas refuse writes in turns. With --repeated_answers,
    servers write some answers twice, and restart under new ids.
    """
    folder = tempfile.mkdtemp(prefix="soak-")
    options = {
        "interrupt_start": interrupt_start,
        "asks_for_pauses": pauses,
        "new_machines": new_machines,
        "has_large_tables": large_tables,
        "has_odd_entries": odd_entries,
        "entries": entries,
        "stops_servers": stopped_servers,
        "fills_disks": full_disks,
        "repeats_answers": repeated_answers,
        "former_source": update_from
        and former_build.extract(
            str(update_from), pathlib.Path(folder) / "former"
        ),
    }
    failed_seeds = asyncio.run(
        _run_seeds(first, count, seconds, jobs, folder, options)
    )
    print(f"{count} seeds, {failed_seeds} broken; logs in {folder}")
    sys.exit(bool(failed_seeds))


if __name__ == "__main__":
    fire.Fire(main)
