"""What one control replica has still to send to another."""

import asyncio
import dataclasses

from oriolejunction.controllers import origin_backlog
from oriolejunction import fleet_messages as fm
from oriolejunction.peers import pacer as pacers


@dataclasses.dataclass
class PendingRelay:
    """What is still to be sent to one control replica, and its sender."""

    task: asyncio.Task
    pacer: pacers.Pacer
    origins: origin_backlog.OriginBacklog
    reports: dict[str, fm.EntryReport] = dataclasses.field(
        default_factory=dict
    )
