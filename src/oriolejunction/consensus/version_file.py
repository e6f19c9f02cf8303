"""The software versions that a control replica has listed, on its disk.

After a loss of power no process remembers which versions were in service
before. A stream that its caller takes up then may go on only if there was one
version, which the files of all replicas can tell.
"""

import collections.abc
import pathlib

import msgspec
import structlog

from oriolejunction.consensus import segments
from oriolejunction import ids

FILE_NAME = "versions"
Versions = dict[ids.ServiceName, tuple[ids.SoftwareVersion, ...]]
_log = structlog.get_logger(__name__)


class _Record(msgspec.Struct, frozen=True):
    """Versions by service; incomplete if others may have been in service."""

    versions: Versions
    is_complete: bool


class VersionFile:
    """Versions by service, as of the last time that they changed.

    A record is incomplete if the disk is new though the deployment is not,
    or if a change was not stored, until the list alone tells all versions.
    """

    def __init__(self, folder: pathlib.Path, is_first_start: bool) -> None:
        self._path = folder / FILE_NAME
        self._stored = self._load()
        self._is_complete = (
            is_first_start
            if self._stored is None
            else self._stored.is_complete
        )

    @property
    def versions(self) -> Versions | None:
        """Return the versions, None while the record is incomplete."""
        if not self._is_complete:
            return None
        return self._stored.versions if self._stored is not None else {}

    def _load(self) -> _Record | None:
        try:
            body = segments.decode_frame(self._path.read_bytes(), 0)
            if body is None:
                raise msgspec.DecodeError("damaged file")
            return msgspec.msgpack.decode(body, type=_Record)
        except FileNotFoundError:
            return None
        except (OSError, msgspec.DecodeError) as error:
            _log.error("software versions not read", why=str(error))
            return _Record({}, is_complete=False)

    def store(
        self,
        listed: collections.abc.Mapping[
            ids.ServiceName, collections.abc.Set[ids.SoftwareVersion]
        ],
        covers_streams: bool,
    ) -> None:
        """Store the versions that streams may have begun at.

        Former ones are dropped only if `covers_streams` is set: the list has
        been known for longer than any stream lasts.
        """
        self._is_complete |= covers_streams
        former: Versions = {}
        if self._stored is not None and not covers_streams:
            former = self._stored.versions
        versions: Versions = {
            service: tuple(
                sorted({*listed.get(service, ()), *former.get(service, ())})
            )
            for service in {*listed, *former}
        }
        record = _Record(versions, self._is_complete)
        if record == self._stored:
            return
        body = msgspec.msgpack.encode(record)
        try:
            segments.write_durably(self._path, segments.encode_frame(body))
        except OSError as error:
            _log.error("software versions not stored", why=str(error))
            self._forget()
            return
        self._stored = record
        _log.info("software versions stored", versions=versions)

    def _forget(self) -> None:
        """Trust no record without a version that could not be stored."""
        self._is_complete = False
        self._stored = None
        try:
            self._path.unlink(missing_ok=True)
            segments.sync_folder(self._path.parent)
        except OSError as error:
            _log.error("software versions not removed", why=str(error))
