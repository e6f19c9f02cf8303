"""A loopback proxy that delays, resets, drops and refuses traffic."""

import asyncio
import contextlib
import dataclasses

from tests.platform import gateway_rig


@dataclasses.dataclass
class LinkFaults:
    """Faults that a proxy applies to its connections until healed."""

    delay_s: float = 0.0
    drops_requests: bool = False
    drops_answers: bool = False
    refuses: bool = False


class FaultProxy:
    """Forwards bytes to a target and applies `faults` to them."""

    def __init__(self, target: str) -> None:
        self._target = target
        self.faults = LinkFaults()
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server, self.address = await gateway_rig.listen(
            self._handle_connection
        )

    def heal(self) -> None:
        """Remove all faults; connections that lost bytes stay silent."""
        self.faults = LinkFaults()

    def reset_connections(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            gateway_rig.reset(writer)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self.reset_connections()
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _handle_connection(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        if self.faults.refuses:
            gateway_rig.reset(writer)
            return
        host, port = self._target.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            gateway_rig.reset(writer)
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward(
                    reader, target_writer, lambda: self.faults.drops_requests
                ),
                self._forward(
                    target_reader, writer, lambda: self.faults.drops_answers
                ),
            )
        except asyncio.CancelledError:
            # Only close() cancels; asyncio would log a cancelled handler.
            pass
        finally:
            self._writers -= {writer, target_writer}
            writer.close()
            target_writer.close()

    async def _forward(self, reader, writer, is_dropping) -> None:
        # Drops all bytes after dropped ones: TCP never delivers past a gap.
        has_dropped = False
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                has_dropped = has_dropped or is_dropping()
                if not has_dropped:
                    writer.write(data)
                    await writer.drain()
        if has_dropped:
            # The end of the connection comes after the gap: drop it too.
            return
        if not writer.transport.is_closing():
            writer.close()
