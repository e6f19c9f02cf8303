"""Structured JSON logs on standard output that never block.

A line is written at once or not at all: if a stuck reader lets the pipe fill
up, lines are dropped and counted, and the count precedes the next line.
"""

import os

import structlog

from oriolejunction import logs

# Writes of up to this size to a pipe are atomic (PIPE_BUF on Linux).
MAX_LINE_BYTES = 4_096


class LineWriter:
    """Writes lines to a descriptor without blocking."""

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unreported = 0
        self.dropped = 0

    def msg(self, line: str) -> None:
        """Write one line, or count it as dropped."""
        if self._unreported:
            notice = (
                f'{{"event":"log lines dropped","count":{self._unreported}}}'
            )
            if not self._write(notice):
                self._drop()
                return
            self._unreported = 0
        if not self._write(line):
            self._drop()

    # structlog calls the method that is named after the level.
    debug = info = warning = error = critical = exception = msg

    def _drop(self) -> None:
        self.dropped += 1
        self._unreported += 1

    def _write(self, line: str) -> bool:
        data = line.encode("utf-8", "replace")[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            return os.write(self._descriptor, data) == len(data)
        except OSError:
            # A full or closed pipe: the caller counts the line as dropped.
            return False


def configure(level: str, descriptor: int = 1, **fields: object) -> LineWriter:
    """Log JSON lines at `level` and above, each with `fields`."""
    writer = LineWriter(descriptor)
    logs.configure_writer(
        level,
        lambda *_: writer,
        fields,
        extra_processors=(structlog.processors.format_exc_info,),
        cache_loggers=True,
    )
    return writer
