"""The platform's limit on the memory of a process."""

import asyncio
import pathlib

# `memoryMb` of a frontend of gasrecupera-orio; more ends the process.
MEMORY_MB = 150


def memory_mb(process):
    """Return what a process takes, None if it has ended."""
    try:
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    except OSError:
        return None
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return None


class Platform:
    """Ends processes that take too much memory, and starts them again."""

    def __init__(self, record, nodes):
        self.record, self.nodes = record, nodes
        self.ends = {node.name: 0 for node in nodes}
        self.most_mb = {node.name: 0.0 for node in nodes}

    async def run(self):
        while True:
            for node in self.nodes:
                used = memory_mb(node.process)
                if used is None:
                    continue
                self.most_mb[node.name] = max(self.most_mb[node.name], used)
                if used > MEMORY_MB:
                    self.ends[node.name] += 1
                    self.record.write(
                        f"{node.name} takes {used:.0f} MB of {MEMORY_MB}: its"
                        " process ends"
                    )
                    await node.kill()
                    await asyncio.sleep(0.3)
                    await node.start()
            await asyncio.sleep(0.05)
