"""Section of the log, the same for the standalone daemon and for an entry on the platform."""

from __future__ import annotations

from ragworttiller.config.base import Section
from ragworttiller.config.options import Choice
from ragworttiller.config.settings import LogSettings

LOG_SECTION = Section(
    "log",
    "Log lines of this process.",
    LogSettings,
    [
        Choice(
            "level",
            "Least severe level that is written.",
            choices=("debug", "info", "warning", "error"),
            default="info",
        ),
        Choice(
            "format",
            "JSON objects or readable text, one line each.",
            choices=("json", "text"),
            default="json",
        ),
    ],
)
