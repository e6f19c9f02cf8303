"""An engine crashes during a stream without a length, as the machine freezes.

Exits with 1 if a stream ended as complete before its last event, 0 if none
did, and 2 if the case can't run. Without trouble, nothing crashes or freezes.
"""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from standins import deployment as deployments  # noqa: E402
from standins import engine as engines  # noqa: E402
from standins import engine_process  # noqa: E402
from standins import wire  # noqa: E402

LEAD_S = 12.0
# A crashed engine is back after this time.
DOWN_S = 1.2
FREEZE_S = 3.0
FREEZE_AT_EVENT = 20
ROUNDS = 4
HELD, BROKEN, NOT_RUN = 0, 1, 2


async def play(folder: pathlib.Path, record: deployments.Record) -> int:
    """Play the case; return the exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    site = deployments.Deployment(folder, record)
    core = [site.add_core(number, True) for number in (1, 2, 3, 4, 5)]
    fronts = [site.add_front(number) for number in (1, 2)]
    servers = [
        engine_process.EngineProcess(site, number, "redactor")
        for number in (1, 2, 3, 4)
    ]
    try:
        await site.start_platform()
        for server in servers:
            await server.start()
        for machine in (*core, *fronts):
            await site.start(machine)
        document = deployments.add_streams(deployments.document(7))
        if not await site.publish(core, document, LEAD_S):
            return NOT_RUN
        await asyncio.sleep(LEAD_S)
        cut_short = complete = 0
        for number in range(ROUNDS):
            front = fronts[number % len(fronts)]
            answer = await one_round(site, servers, front, number, has_trouble)
            if answer is not None and answer.status == 200:
                events = answer.body.count(b"id: ")
                cut_short += events < engines.EVENTS
                complete += events == engines.EVENTS
        record.add(f"ended as complete: {complete} whole, {cut_short} early")
        if cut_short:
            return BROKEN
        return HELD if complete or has_trouble else NOT_RUN
    finally:
        await site.close()
        for server in servers:
            await server.close()


async def one_round(
    site: deployments.Deployment,
    servers: list[engine_process.EngineProcess],
    front: deployments.Machine,
    number: int,
    has_trouble: bool,
) -> wire.Message | None:
    """Read a stream through the trouble; return it if it has an end."""
    request_id = f"stream{number:010x}"
    troubles: list[asyncio.Task] = []

    async def trouble(server: engine_process.EngineProcess) -> None:
        site.record.add(f"{front.name} freezes")
        front.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.2)
        server.kill()
        await asyncio.sleep(DOWN_S)
        await server.close()
        await server.start()
        await asyncio.sleep(FREEZE_S - DOWN_S - 0.2)
        front.process.send_signal(signal.SIGCONT)
        site.record.add(f"{front.name} wakes")

    def on_line(server: engine_process.EngineProcess, line: str) -> None:
        is_due = line == f"sent {request_id} {FREEZE_AT_EVENT}"
        if is_due and has_trouble and not troubles:
            troubles.append(asyncio.create_task(trouble(server)))

    for server in servers:
        server.on_line = on_line
    site.record.add(f"client sends {request_id} to {front.name}")
    answer = await wire.call(
        f"{front.ip}:{site.client}",
        "POST",
        f"/summary/{number}",
        {
            "Host": "ficu95.example",
            "Attempt-Id": request_id,
            "Deadline-Ms": "25000",
            "X-Api-Key": "k1",
            "Model": "m",
            "Token-Counts": "1000,480",
            "Prompt-Prefix": f"5c1e{number:04x}:200,91bd{number:04x}:800",
        },
        b"logbook",
        timeout_s=15.0,
    )
    told = "no end of the answer"
    if answer is not None:
        events = answer.body.count(b"id: ")
        told = f"{answer.status}, {events} events and the end"
    site.record.add(f"client gets {told} for {request_id}")
    if troubles:
        await troubles[0]
    await asyncio.sleep(3.0)
    return answer


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
