"""The routing table in force, as a deterministic state.

The highest version wins. The document is stored as the operator sent it, so
that it is read back unchanged; its digest shows whether contents differ.
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
    table: PublishedTable,
    version: routing_table.TableVersion,
    digest: str,
) -> bool:
    """Return whether a document counts as published without a change.

    This holds for the same content under the version in force, and for any
    older version, since a later change has replaced it.
    """
    if version == table.version:
        return digest == table.digest
    return version < table.version


def publish(
    table: PublishedTable, command: commands.PublishTable
) -> commands.TablePublished | commands.TableRefused:
    """Put a document in force if its version is the highest.

    An older version is acknowledged without a change. Other content under
    the version in force is refused.
    """
    if command.version > table.version:
        invariants.require_rising_revision(table.version, command.version)
        table.version = command.version
        table.document = command.document
        table.digest = command.digest
    elif not is_already_published(table, command.version, command.digest):
        return commands.TableRefused(
            table.version,
            f"version {table.version} is in force with other content",
        )
    return commands.TablePublished(table.version)
