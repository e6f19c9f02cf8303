"""Nodes read no module once native threads run beside the interpreter."""

import asyncio
import contextlib
import os

import aiohttp

from tests.soak import fleet as fleets

STARTED_WITHIN_S = 15.0
# Python runs this file at the start of each process.
HOOK_FILE = "sitecustomize.py"
HOOK = """
import os
import sys

def report_late_import(event, arguments):
    if event == "open" and str(arguments[0]).endswith((".py", ".pyc")):
        if len(os.listdir("/proc/self/task")) > 1:
            os.write(2, b"late import: %s\\n" % str(arguments[0]).encode())

sys.addaudithook(report_late_import)
os.write(2, b"hook installed\\n")
"""


async def wait_until_configured(fleet):
    address = f"{fleet.controls[0].ip}:{fleets.CONTROL_PORT}"
    url = f"http://{address}/v1/Configuration.Replace"
    status = None
    async with asyncio.timeout(STARTED_WITHIN_S):
        async with aiohttp.ClientSession() as session:
            while status != 200:
                await asyncio.sleep(0.1)
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.post(
                        url, json=fleets.document(8)
                    ) as response:
                        status = response.status


async def wait_until_entries_served(fleet):
    async with asyncio.timeout(STARTED_WITHIN_S):
        while not all(
            "entry instance started" in node.log.read_text()
            for node in fleet.entries
        ):
            await asyncio.sleep(0.1)


async def test_no_module_is_read_while_native_threads_run(tmp_path):
    (tmp_path / HOOK_FILE).write_text(HOOK)
    fleet = fleets.Fleet(tmp_path, 40)
    for node in fleet.nodes:
        node.source = os.pathsep.join((fleets.OWN_SOURCE, str(tmp_path)))
    try:
        await fleet.start()
        await wait_until_configured(fleet)
        await wait_until_entries_served(fleet)
    finally:
        await fleet.close()
    lines = list(fleet.log_lines())
    hooked = {name for name, line in lines if line == "hook installed"}
    assert hooked == {node.name for node in fleet.nodes}
    assert [line for line in lines if line[1].startswith("late import")] == []
