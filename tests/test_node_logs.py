"""Logs on standard output cost no request anything."""

import json
import os
import time

from oriolejunction import node_logs


def test_stuck_reader_blocks_nothing_and_dropped_lines_are_counted():
    reader, writer = os.pipe()
    lines = node_logs.LineWriter(writer)
    start = time.monotonic()
    for number in range(5_000):
        lines.msg(json.dumps({"event": "x" * 80, "number": number}))
    assert time.monotonic() - start < 2.0
    assert lines.dropped > 0
    taken = os.read(reader, 1 << 20)
    lines.msg('{"event":"again"}')
    taken += os.read(reader, 1 << 20)
    told = [json.loads(line) for line in taken.decode().splitlines()]
    notices = [t for t in told if t["event"] == "log lines dropped"]
    assert sum(notice["count"] for notice in notices) == lines.dropped
    assert told[-1]["event"] == "again"
    os.close(reader)
    lines.msg("to nobody")
    os.close(writer)


def test_long_line_is_cut_to_what_a_pipe_takes_at_once():
    reader, writer = os.pipe()
    node_logs.LineWriter(writer).msg("x" * 100_000)
    assert len(os.read(reader, 1 << 20)) == node_logs.MAX_LINE_BYTES
