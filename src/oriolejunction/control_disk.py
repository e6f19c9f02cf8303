"""Prepares the disk of a control replica before its modules are loaded.

Only the first start of a deployment says that its disks are new. A process
that ends before this is stored leaves a disk that looks like a lost one.
"""

import pathlib

from oriolejunction.consensus import identity
from oriolejunction import node_settings


def prepare(path: pathlib.Path) -> None:
    """Store the identity of a replica with this settings file.

    Raise `Failure` for settings or an identity that cannot be read, and
    `OSError` for a disk that cannot be written.
    """
    settings = node_settings.load(path, node_settings.ControlSettings)
    data_dir = pathlib.Path(settings.data_dir)
    data_dir.mkdir(parents=True, exist_ok=True)
    identity.load(data_dir, settings.initial_voters())
