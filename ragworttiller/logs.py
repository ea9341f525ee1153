"""Set-up of logging: JSON lines for machines or text lines for people."""

from __future__ import annotations

import logging
import sys
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter
from typing_extensions import override

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
    handler = logging.StreamHandler(stream or sys.stderr)
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
