"""A node's settings file, reloaded when it changes."""

import pathlib

import structlog

from oriolejunction import clock as clocks
from oriolejunction import errors
from oriolejunction import node_settings

SETTINGS_CHECK_MS = 1_000.0
_log = structlog.get_logger(__name__)


class SettingsFile:
    """The settings of a node, reloaded when their file changes."""

    def __init__(self, path: pathlib.Path, settings_type: type) -> None:
        self._path = path
        self._settings_type = settings_type
        self._loaded_stamp = self._file_stamp()
        self.current = node_settings.load(path, settings_type)

    def _file_stamp(self) -> tuple[float, int]:
        status = self._path.stat()
        return status.st_mtime, status.st_size

    def reload(self) -> None:
        """Reload the file; keep the current settings if it is invalid."""
        try:
            self._loaded_stamp = self._file_stamp()
            self.current = node_settings.load(self._path, self._settings_type)
        except (OSError, errors.Failure) as error:
            _log.error("settings not reloaded", why=str(error))
            return
        _log.info("settings reloaded", seeds=self.current.control_seeds)

    async def watch(self, clock: clocks.Clock) -> None:
        """Reload whenever the file changes."""
        while True:
            await clock.sleep_ms(SETTINGS_CHECK_MS)
            try:
                changed = self._file_stamp() != self._loaded_stamp
            except OSError as error:
                _log.warning("settings file not found", why=str(error))
                continue
            if changed:
                self.reload()
