"""Set-up of logging: JSON lines for machines or text lines for people."""

from __future__ import annotations

import logging
import os
import select
import sys
from collections import deque
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter
from typing_extensions import override

MOST_LINES = 2000
MOST_BYTES = select.PIPE_BUF

_PLAIN_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class TextFormatter(logging.Formatter):
    """Readable lines; extra fields follow the message as ``name=value``."""

    def __init__(self) -> None:
        super().__init__("%(asctime)s %(levelname)s %(name)s %(message)s")

    @override
    def format(self, record: logging.LogRecord) -> str:
        extra = " ".join(f"{name}={value!r}" for name, value in extra_fields(record).items())
        line = super().format(record)
        return f"{line} {extra}" if extra else line


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor and never waits for it.

    Lines wait while the reader is slow; beyond a bound the oldest are dropped, and the number of
    dropped lines is written in their place.

    Parameters
    ----------
    descriptor : int
        Descriptor to write to.
    most_lines : int
        Lines that may wait.
    """

    def __init__(self, descriptor: int, most_lines: int = MOST_LINES) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._most_lines = most_lines
        self._waiting: deque[bytes] = deque()
        self._dropped = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    @override
    def emit(self, record: logging.LogRecord) -> None:
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        # A line of at most this length is written whole or not at all.
        self._waiting.append(line if len(line) <= MOST_BYTES else line[: MOST_BYTES - 1] + b"\n")
        while len(self._waiting) > self._most_lines:
            self._waiting.popleft()
            self._dropped += 1
        self.flush()

    @override
    def flush(self) -> None:
        while self._waiting and self._poll.poll(0):
            if self._dropped:
                self._waiting.appendleft(
                    b'{"message": "lines dropped", "lines": %d}\n' % self._dropped
                )
                self._dropped = 0
            os.write(self._descriptor, self._waiting[0])
            self._waiting.popleft()


def extra_fields(record: logging.LogRecord) -> dict[str, Any]:
    """Return the fields that a call to the logger added to a record."""
    return {k: v for k, v in vars(record).items() if k not in _PLAIN_ATTRIBUTES}


def set_up(level: str, form: str, instance: str, stream: TextIO | None = None) -> None:
    """Send all log records to a stream.

    Parameters
    ----------
    level : str
        Lowest level that is written, such as ``info``.
    form : str
        ``json`` or ``text``.
    instance : str
        Name of this instance, a field of each JSON line.
    stream : TextIO, optional
        Stream to write to, standard error by default.
    """
    handler = BoundedHandler((stream or sys.stderr).fileno())
    handler.setFormatter(TextFormatter() if form == "text" else _json_formatter(instance))
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
