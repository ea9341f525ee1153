"""Settings of an entry on the platform."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from ragworttiller.config.base import Section, read_sections
from ragworttiller.config.log_section import LOG_SECTION
from ragworttiller.config.options import Address, Choice, Number, Text
from ragworttiller.config.settings import LogSettings


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
    """Addresses of the platform's services."""

    store_address: str
    advisor_address: str | None


class EntryBounds(NamedTuple):
    """Bounds that the platform sets."""

    longest_lease_ms: float = 6000.0
    shutdown_grace_s: float = 6.0
    status_s: float = 120.0
    stop_grace_ms: float = 900.0
    restore_ms: float = 250.0
    interference_ms: float = 4500.0


class EntryPolicies(NamedTuple):
    """Names of the policies by which the owner of the cell decides."""

    order: str = "slack"
    placement: str = "fast_tight_fit"
    candidates: str = "useful"
    observation: str = "expected_ends"
    preemption: str = "checkpointed"
    headroom: str = "arrivals"
    interference: str = "none"


class EntrySettings(NamedTuple):
    """All settings of an entry."""

    instance: EntryInstance
    platform: EntryPlatform
    bounds: EntryBounds
    policies: EntryPolicies
    log: LogSettings


def _milliseconds(name: str, help: str, default: str) -> Number:
    return Number(name, help, low=0.0, high=3_600_000.0, unit="milliseconds", default=default)


def _policy(name: str, help: str, default: str, *others: str) -> Choice:
    return Choice(name, help, choices=(default, *others), default=default)


SECTIONS = (
    Section(
        "instance",
        "Name and addresses of this instance.",
        EntryInstance,
        [
            Text("name", "Name of this instance, unique in the cell.", sample="entry-1"),
            Text("failure_domain", "Failure domain of this instance.", sample="a"),
            Address("callers_address", "Address that callers connect to.", sample="10.0.0.1:8080"),
            Address(
                "readiness_address", "Address that the balancer probes.", sample="10.0.0.1:8081"
            ),
            Address(
                "peer_address", "Address that other entries connect to.", sample="10.0.0.1:7400"
            ),
            Number(
                "processors",
                "Processors of this instance; those with the most cores are the owner's standbys.",
                low=0.01,
                high=1024,
                unit="cores",
                default="1",
            ),
            Number(
                "processor_share",
                "Share of each processor that this instance can use.",
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
            Address("store_address", "Address of the platform's store.", sample="10.0.0.100:9000"),
            Address(
                "advisor_address",
                "Address of the placement advisor, which lists the runners that may run a stage.",
                optional=True,
            ),
        ],
    ),
    Section(
        "bounds",
        "Bounds that the platform sets.",
        EntryBounds,
        [
            _milliseconds("longest_lease_ms", "Longest lease that a runner accepts.", "6000"),
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
                "Time for which callers may query the state of an ended job.",
                low=1,
                high=86400,
                unit="seconds",
                default="120",
            ),
            _milliseconds(
                "stop_grace_ms", "Longest time that a runner takes to stop a run.", "900"
            ),
            _milliseconds("restore_ms", "Time that a run takes to resume.", "250"),
            Number(
                "interference_ms",
                "Time for which a serving task may be over its target because of filling tasks.",
                low=100,
                high=3_600_000,
                unit="milliseconds",
                default="4500",
                blank_is_missing=True,
            ),
        ],
    ),
    Section(
        "policies",
        "Policies by which the owner of the cell decides; each has a simple one to compare with.",
        EntryPolicies,
        [
            _policy("order", "Order of the waiting stages.", "slack", "arrival"),
            _policy("placement", "Choice of a runner for a task.", "fast_tight_fit", "first_fit"),
            _policy("candidates", "Runners that a call to the advisor names.", "useful", "all"),
            _policy(
                "observation",
                "Looks at runners beside the long polls.",
                "expected_ends",
                "long_poll_only",
            ),
            _policy("headroom", "Room kept free for urgent tasks.", "arrivals", "none"),
            _policy("preemption", "Runs stopped for more urgent tasks.", "checkpointed", "none"),
            _policy(
                "interference",
                "Tasks kept apart that slow each other down, and pace of filling tasks.",
                "none",
                "learned",
            ),
        ],
    ),
    LOG_SECTION,
)


def load_entry(path: Path) -> EntrySettings:
    """Return the settings of an entry.

    Raises
    ------
    SettingsInvalid
        The file cannot be read or has errors; the exception lists all of them.
    """
    return EntrySettings(**read_sections(path, SECTIONS))
