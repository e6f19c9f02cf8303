"""A loopback proxy that delays, resets, silences and refuses."""

import asyncio
import contextlib
import dataclasses

from tests.platform import gateway_rig


@dataclasses.dataclass
class LinkFaults:
    """How a proxy treats what passes, until it is healed."""

    delay_s: float = 0.0
    drops_requests: bool = False
    drops_answers: bool = False
    refuses: bool = False


class FaultProxy:
    """Passes bytes to a target, as badly as its link says."""

    def __init__(self, target: str) -> None:
        self._target = target
        self.faults = LinkFaults()
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at a free port."""
        self._server, self.address = await gateway_rig.listen(
            self._handle_connection
        )

    def heal(self) -> None:
        """Pass bytes as they come, on connections that lost none."""
        self.faults = LinkFaults()

    def reset_connections(self) -> None:
        """Reset every connection that is open."""
        for writer in list(self._writers):
            gateway_rig.reset(writer)

    async def close(self) -> None:
        """Stop at once."""
        self._server.close()
        self.reset_connections()
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
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            gateway_rig.reset(writer)
            return
        self._writers |= {writer, back}
        try:
            await asyncio.gather(
                self._forward(
                    reader, back, lambda: self.faults.drops_requests
                ),
                self._forward(
                    there, writer, lambda: self.faults.drops_answers
                ),
            )
        except asyncio.CancelledError:
            # Only close() cancels; asyncio reports a cancelled handler.
            pass
        finally:
            self._writers -= {writer, back}
            writer.close()
            back.close()

    async def _forward(self, reader, writer, drops) -> None:
        # A connection never goes on behind bytes that were lost.
        has_dropped = False
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                has_dropped = has_dropped or drops()
                if not has_dropped:
                    writer.write(data)
                    await writer.drain()
        if has_dropped:
            # Nor does its end get through.
            return
        if not writer.transport.is_closing():
            writer.close()
