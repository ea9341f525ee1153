"""Tests of the log lines of a process."""

from __future__ import annotations

import json
import logging
import os

import pytest

from ragworttiller import logs


@pytest.fixture()
def pipe():
    """Yield both ends of a pipe that is not being read."""
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def record(text: str) -> logging.LogRecord:
    return logging.makeLogRecord({"msg": text, "levelname": "INFO", "name": "x"})


class TestBoundedHandler:
    def test_a_stalled_reader_does_not_block_the_writer(self, pipe):
        reader, writer = pipe
        handler = logs.BoundedHandler(writer, max_queued_lines=10)
        for number in range(3000):
            handler.emit(record(f"{number} " + "x" * 200))
        first = os.read(reader, 1 << 20)
        handler.emit(record("last"))
        rest = os.read(reader, 1 << 20).decode().splitlines()
        assert first.startswith(b"0 x")
        assert json.loads(rest[0])["lines"] > 1000
        assert rest[-1] == "last"

    def test_long_lines_are_cut(self, pipe):
        reader, writer = pipe
        logs.BoundedHandler(writer).emit(record("x" * 100_000))
        assert len(os.read(reader, 1 << 20)) == logs.MAX_LINE_BYTES

    def test_json_lines_name_the_instance(self, pipe):
        reader, writer = pipe
        root = logging.getLogger()
        before, level = root.handlers[:], root.level
        try:
            with os.fdopen(os.dup(writer), "w") as stream:
                logs.set_up("info", "json", "e1", stream)
                logging.getLogger("x").info("started", extra={"task": "t"})
                line = json.loads(os.read(reader, 4096))
        finally:
            root.handlers[:] = before
            root.setLevel(level)
        assert (line["message"], line["instance"], line["task"]) == ("started", "e1", "t")
