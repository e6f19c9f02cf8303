"""A group of one replica: a synced log file replayed at start."""

import asyncio
import os
import pathlib
import zlib

import msgspec

from oriolejunction.controllers import control_state
from oriolejunction import errors
from oriolejunction import messages

_HEADER_BYTES = 8
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(messages.Command)


class SingleReplica:
    """Commit commands to one file and apply them."""

    def __init__(self, data_dir: pathlib.Path) -> None:
        self.state = control_state.ControlState()
        self._lock = asyncio.Lock()
        path = data_dir / "control.log"
        known = path.read_bytes() if path.exists() else b""
        end = self._replay(known)
        self._file = open(path, "ab")
        if end < len(known):
            self._file.truncate(end)

    def _replay(self, data: bytes) -> int:
        position = 0
        while position + _HEADER_BYTES <= len(data):
            length = int.from_bytes(data[position : position + 4], "big")
            checksum = int.from_bytes(data[position + 4 : position + 8], "big")
            start = position + _HEADER_BYTES
            body = data[start : start + length]
            if len(body) < length:
                break
            if zlib.crc32(body) != checksum:
                if start + length == len(data):
                    break
                raise errors.Failure(
                    errors.CorruptLog(f"bad checksum at byte {position}")
                )
            control_state.apply(self.state, _decoder.decode(body))
            position = start + length
        return position

    async def propose(
        self, command: messages.Command
    ) -> messages.CommandResult:
        """Write, sync and apply a command."""
        body = _encoder.encode(command)
        header = len(body).to_bytes(4, "big") + zlib.crc32(body).to_bytes(
            4, "big"
        )
        async with self._lock:
            self._file.write(header + body)
            self._file.flush()
            os.fsync(self._file.fileno())
            return control_state.apply(self.state, command)

    async def confirm(self) -> None:
        """Return at once: a group of one is always current."""

    async def close(self) -> None:
        """Close the log file."""
        self._file.close()
