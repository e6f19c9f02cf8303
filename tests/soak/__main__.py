"""Play soaks by hand: ``python -m tests.soak --first 1 --count 50``."""

import asyncio
import pathlib
import signal
import sys
import tempfile

import fire

from tests.soak import soak as soaks


async def _run_seed(seed: int, length_s: float, folder: str) -> list[str]:
    path = pathlib.Path(folder) / str(seed)
    path.mkdir()
    soak = soaks.Soak(path, seed)
    broken = await soak.run(length_s)
    print(f"seed {seed}: {soak.summary()}")
    for promise in broken[:10]:
        print(f"seed {seed}: BROKEN: {promise}", flush=True)
    return broken


async def _run_seeds(first, count, length_s, jobs, folder) -> int:
    # Whoever ends the soak must not leave its processes behind.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    gate = asyncio.Semaphore(jobs)

    async def one(seed: int) -> bool:
        async with gate:
            return bool(await _run_seed(seed, length_s, folder))

    seeds = range(first, first + count)
    return sum(await asyncio.gather(*(one(seed) for seed in seeds)))


def main(
    first: int = 1, count: int = 50, seconds: float = 12.0, jobs: int = 3
) -> None:
    """Play COUNT seeds from FIRST on; the logs of all stay on disk."""
    folder = tempfile.mkdtemp(prefix="soak-")
    broken = asyncio.run(_run_seeds(first, count, seconds, jobs, folder))
    print(f"{count} seeds, {broken} broken; logs in {folder}")
    sys.exit(bool(broken))


if __name__ == "__main__":
    fire.Fire(main)
