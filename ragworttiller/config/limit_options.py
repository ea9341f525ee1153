"""Options for the resources of a process, shared by the daemon and an entry on the platform."""

from __future__ import annotations

from typing import Any

from ragworttiller.config.base import Option
from ragworttiller.config.options import Integer
from ragworttiller.connection.limits import DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_MB


def limit_options() -> list[Option[Any]]:
    """Return the options."""
    return [
        Integer(
            "memory_mb",
            "Memory that this process may use; a quarter of it is for connections of callers, and "
            "a sixteenth for their requests.",
            low=32,
            high=1024 * 1024,
            unit="MiB",
            default=str(DEFAULT_MEMORY_MB),
        ),
        Integer(
            "max_fds",
            "File descriptors that this process may have; callers get half of those that are left "
            "beside 200 for files.",
            low=256,
            high=1024 * 1024,
            unit="descriptors",
            default=str(DEFAULT_DESCRIPTORS),
        ),
    ]
