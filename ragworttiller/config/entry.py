"""Settings of an entry on the platform."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from ragworttiller.config.base import Section, read_sections
from ragworttiller.config.options import Address, Choice, Number, Text


class EntryInstance(NamedTuple):
    """Name and addresses of an entry."""

    name: str
    failure_domain: str
    callers_address: str
    readiness_address: str
    peer_address: str
    processors: float
    processor_share: float

    @property
    def speed(self) -> float:
        """Processor time that the instance can use, in cores."""
        return self.processors * self.processor_share


class EntryPlatform(NamedTuple):
    """Where the platform's services answer."""

    store_address: str
    advisor_address: str | None


class EntryBounds(NamedTuple):
    """Bounds that the platform sets."""

    longest_lease_ms: float
    shutdown_grace_s: float
    status_s: float


class EntryLog(NamedTuple):
    """Log lines of the process."""

    level: str
    format: str


class EntrySettings(NamedTuple):
    """All settings of an entry."""

    instance: EntryInstance
    platform: EntryPlatform
    bounds: EntryBounds
    log: EntryLog


def _millis(name: str, help: str, default: str) -> Number:
    return Number(name, help, low=0.0, high=3_600_000.0, unit="milliseconds", default=default)


SECTIONS = (
    Section(
        "instance",
        "Name and addresses of this instance.",
        EntryInstance,
        [
            Text("name", "Name of this instance, unique in the cell.", sample="entry-1"),
            Text("failure_domain", "Failure domain that this instance stands in.", sample="a"),
            Address("callers_address", "Where callers connect.", sample="10.0.0.1:8080"),
            Address("readiness_address", "Where the balancer asks.", sample="10.0.0.1:8081"),
            Address("peer_address", "Where other entries connect.", sample="10.0.0.1:7400"),
            Number(
                "processors",
                "Processors of this instance; strong instances stand by for the owner.",
                low=0.01,
                high=1024,
                unit="cores",
                default="1",
            ),
            Number(
                "processor_share",
                "Part of each processor that this instance can use.",
                low=0.001,
                high=1,
                unit="cores",
                default="1",
            ),
        ],
    ),
    Section(
        "platform",
        "Services of the platform.",
        EntryPlatform,
        [
            Address("store_address", "The platform's store.", sample="10.0.0.100:9000"),
            Address("advisor_address", "Service that names allowed runners.", optional=True),
        ],
    ),
    Section(
        "bounds",
        "Bounds that the platform sets.",
        EntryBounds,
        [
            _millis("longest_lease_ms", "Longest lease that a runner takes.", "6000"),
            Number(
                "shutdown_grace_s",
                "Time between SIGTERM and SIGKILL.",
                low=0.5,
                high=600,
                unit="seconds",
                default="6",
            ),
            Number(
                "status_s",
                "Time for which callers may ask for the state of an ended job.",
                low=1,
                high=86400,
                unit="seconds",
                default="120",
            ),
        ],
    ),
    Section(
        "log",
        "Log lines of this process.",
        EntryLog,
        [
            Choice(
                "level",
                "Lowest level that is written.",
                choices=("debug", "info", "warning", "error"),
                default="info",
            ),
            Choice("format", "Form of the lines.", choices=("json", "text"), default="json"),
        ],
    ),
)


def load_entry(path: Path) -> EntrySettings:
    """Return the settings of an entry.

    Raises
    ------
    SettingsInvalid
        The file cannot be read or has errors; all of them are named.
    """
    return EntrySettings(**read_sections(path, SECTIONS))
