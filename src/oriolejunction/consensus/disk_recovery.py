"""Reopens the files of a replica after its disk refused a write."""

import asyncio
import pathlib

import structlog

from oriolejunction import clock as clocks
from oriolejunction.consensus import audit_file
from oriolejunction.consensus import storage as storages

DISK_RETRY_MS = 500
_log = structlog.get_logger(__name__)


async def reload(
    folder: pathlib.Path,
    clock: clocks.Clock,
    audit_log: audit_file.AuditFile,
) -> storages.Storage:
    """Return what is on the disk, as after a restart, once it takes writes.

    After a failed write or sync the disk's content is unknown, so all that
    is loaded is written and synced anew.
    """
    while True:
        await clock.sleep_ms(DISK_RETRY_MS)
        try:
            await asyncio.to_thread(audit_log.sync)
            storage = await asyncio.to_thread(storages.Storage.load, folder)
            await asyncio.to_thread(storage.rewrite)
        except OSError as error:
            _log.warning("disk still lost", why=repr(error))
            continue
        _log.warning("disk regained", index=storage.log.last_index)
        return storage
