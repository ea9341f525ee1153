"""Logging setup: JSON lines for programs or text lines for people."""

from __future__ import annotations

import logging
import os
import select
import sys
from collections import deque
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter
from typing_extensions import override

MAX_QUEUED_LINES = 2000
MAX_LINE_BYTES = select.PIPE_BUF

_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class TextFormatter(logging.Formatter):
    """Formats records as readable lines; extra fields follow the message as ``name=value``."""

    def __init__(self) -> None:
        super().__init__("%(asctime)s %(levelname)s %(name)s %(message)s")

    @override
    def format(self, record: logging.LogRecord) -> str:
        extra = " ".join(f"{name}={value!r}" for name, value in extra_fields(record).items())
        line = super().format(record)
        return f"{line} {extra}" if extra else line


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking.

    Lines are queued while the reader is slow. When the queue is full, the oldest lines are dropped
    and a line with their number is written in their place. Lines are dropped in the same way while
    the descriptor cannot be written to, as when its reader has ended or the disk is full; a line
    that cannot be formatted is reported on standard error. The code that logs gets no error.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.
    max_queued_lines : int
        Lines that the queue can hold.
    """

    def __init__(self, descriptor: int, max_queued_lines: int = MAX_QUEUED_LINES) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._max_queued_lines = max_queued_lines
        self._queue: deque[bytes] = deque()
        self._dropped = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    @override
    def emit(self, record: logging.LogRecord) -> None:
        try:
            line = self.format(record).encode("utf-8", "replace") + b"\n"
        except Exception:
            self.handleError(record)
            return
        # A write to a pipe is atomic only up to this length; longer lines are cut, so that each is
        # written whole or not at all.
        self._queue.append(
            line if len(line) <= MAX_LINE_BYTES else line[: MAX_LINE_BYTES - 1] + b"\n"
        )
        while len(self._queue) > self._max_queued_lines:
            self._queue.popleft()
            self._dropped += 1
        self.flush()

    @override
    def flush(self) -> None:
        try:
            while self._queue and self._poll.poll(0):
                self._write_next()
        except BlockingIOError:
            return
        except OSError:
            self._dropped += len(self._queue)
            self._queue.clear()

    def _write_next(self) -> None:
        """Write the oldest line, or the number of those dropped before it."""
        if self._dropped:
            os.write(
                self._descriptor, b'{"message": "lines dropped", "lines": %d}\n' % self._dropped
            )
            self._dropped = 0
        os.write(self._descriptor, self._queue[0])
        self._queue.popleft()


def extra_fields(record: logging.LogRecord) -> dict[str, Any]:
    """Return the fields that a logging call passed as ``extra``."""
    return {k: v for k, v in vars(record).items() if k not in _STANDARD_ATTRIBUTES}


def set_up(level: str, line_format: str, instance: str, stream: TextIO | None = None) -> None:
    """Configure the root logger to write to a stream.

    Parameters
    ----------
    level : str
        Least severe level that is written, such as ``info``.
    line_format : str
        ``json`` or ``text``.
    instance : str
        Name of this instance, a field of each JSON line.
    stream : TextIO, optional
        Stream to write to, standard error by default.
    """
    handler = BoundedHandler((stream or sys.stderr).fileno())
    handler.setFormatter(TextFormatter() if line_format == "text" else _json_formatter(instance))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("httpcore").setLevel(logging.WARNING)
    logging.getLogger("asyncio").setLevel(logging.WARNING)


def _json_formatter(instance: str) -> logging.Formatter:
    return JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"instance": instance},
    )
