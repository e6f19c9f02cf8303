"""The routing table in force, as a deterministic state.

The highest version wins. The document is kept as the operator sent it, so
that it is read back unchanged; its digest tells contents apart.
"""

import dataclasses

from oriolejunction import commands
from oriolejunction import invariants
from oriolejunction import routing_table


@dataclasses.dataclass
class PublishedTable:
    """The newest document committed so far."""

    version: routing_table.TableVersion = routing_table.NO_TABLE
    document: bytes = b""
    digest: str = ""


def is_already_published(
    held: PublishedTable,
    version: routing_table.TableVersion,
    digest: str,
) -> bool:
    """Return whether publishing would change nothing, and is no conflict.

    A later change has overtaken an older version.
    """
    if version == held.version:
        return digest == held.digest
    return version < held.version


def publish(
    held: PublishedTable, command: commands.PublishTable
) -> commands.TablePublished | commands.TableRefused:
    """Put a document in force where its version is the highest.

    An older version is acknowledged. Other content under the version held
    is refused.
    """
    if command.version > held.version:
        invariants.require_rising_revision(held.version, command.version)
        held.version = command.version
        held.document = command.document
        held.digest = command.digest
    elif not is_already_published(held, command.version, command.digest):
        return commands.TableRefused(
            held.version,
            f"version {held.version} is in force with other content",
        )
    return commands.TablePublished(held.version)
