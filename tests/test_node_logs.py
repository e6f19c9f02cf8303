"""Logging to standard output never blocks a request."""

import json
import os
import time

from oriolejunction import node_logs


def test_stuck_reader_does_not_block_and_dropped_lines_are_counted():
    reader, writer = os.pipe()
    log_writer = node_logs.LineWriter(writer)
    start = time.monotonic()
    for number in range(5_000):
        log_writer.msg(json.dumps({"event": "x" * 80, "number": number}))
    assert time.monotonic() - start < 2.0
    assert log_writer.dropped > 0
    data = os.read(reader, 1 << 20)
    log_writer.msg('{"event":"again"}')
    data += os.read(reader, 1 << 20)
    records = [json.loads(line) for line in data.decode().splitlines()]
    notices = [r for r in records if r["event"] == "log lines dropped"]
    assert sum(notice["count"] for notice in notices) == log_writer.dropped
    assert records[-1]["event"] == "again"
    os.close(reader)
    log_writer.msg("no reader")
    os.close(writer)


def test_long_line_is_truncated_to_an_atomic_write():
    reader, writer = os.pipe()
    node_logs.LineWriter(writer).msg("x" * 100_000)
    assert len(os.read(reader, 1 << 20)) == node_logs.MAX_LINE_BYTES
