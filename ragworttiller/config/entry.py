"""Settings of an entry on the platform."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from ragworttiller.config.base import Section, read_sections
from ragworttiller.config.limit_options import limit_options
from ragworttiller.config.log_section import LOG_SECTION
from ragworttiller.config.options import Address, Choice, Flag, Integer, ListOf, Number, Text
from ragworttiller.config.settings import LogSettings
from ragworttiller.connection.limits import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_MB,
    ConnectionLimits,
    connection_limits,
)
from ragworttiller.platform.names import PRESSURE_CONTRACT, WORKSPACES_CONTRACT
from ragworttiller.platform.store_records import LENGTH_BYTES, StoreLimits

DEFAULT_LINK_MBPS = 1000.0
BYTES_PER_MEGABIT = 125_000
# An append without an answer for a second is made again beside the first.
MAX_APPEND_SECONDS = 0.5


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
    """Addresses and limits of the platform's services, and the contracts that are in force."""

    store_address: str
    advisor_address: str | None
    record_bytes: int = StoreLimits().record_bytes
    request_bytes: int = StoreLimits().request_bytes
    contracts: list[str] = []

    @property
    def has_workspaces(self) -> bool:
        """Whether the deployment has workspaces, even if no configuration was read yet."""
        return WORKSPACES_CONTRACT in self.contracts

    @property
    def refuses_under_pressure(self) -> bool:
        """Whether jobs may be refused because the cell is full."""
        return PRESSURE_CONTRACT in self.contracts


class EntryBounds(NamedTuple):
    """Bounds that the platform sets."""

    longest_lease_ms: float = 6000.0
    shutdown_grace_s: float = 6.0
    status_s: float = 120.0
    stop_grace_ms: float = 900.0
    restore_ms: float = 250.0
    interference_ms: float = 4500.0
    revoke_ms: float = 5000.0
    config_apply_ms: float = 3000.0
    strict_revoke: bool = False

    @property
    def max_key_check_age(self) -> float:
        """Seconds for which keys are checked with a configuration that nobody has confirmed."""
        return (self.config_apply_ms if self.strict_revoke else self.revoke_ms) / 1000


class EntryLimits(NamedTuple):
    """Resources that the process may use: memory in MiB, file descriptors, and its link."""

    memory_mb: int = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_DESCRIPTORS
    link_mbps: float = DEFAULT_LINK_MBPS

    @property
    def link_bytes_per_second(self) -> float:
        """Bandwidth of the link."""
        return self.link_mbps * BYTES_PER_MEGABIT

    @property
    def connections(self) -> ConnectionLimits:
        """Limits on the connections of callers."""
        return connection_limits(self.memory_mb, self.max_fds)


class EntryPolicies(NamedTuple):
    """Names of the policies by which the owner of the cell decides."""

    order: str = "slack"
    placement: str = "fast_tight_fit"
    candidates: str = "useful"
    observation: str = "expected_ends"
    preemption: str = "checkpointed"
    headroom: str = "arrivals"
    interference: str = "none"
    shares: str = "weighted"
    copies: str = "stragglers"
    moves: str = "checkpointed"
    kinds: str = "avoid_slow"
    estimates: str = "learnt"
    evacuation: str = "certain_successors"
    last_tasks: str = "wait_for_fast"


class EntrySettings(NamedTuple):
    """All settings of an entry."""

    instance: EntryInstance
    platform: EntryPlatform
    bounds: EntryBounds
    limits: EntryLimits
    policies: EntryPolicies
    log: LogSettings

    @property
    def store_limits(self) -> StoreLimits:
        """Lengths that the store accepts; an append takes the link half a second at most.

        It always has room for one record of the longest length.
        """
        platform = self.platform
        of_link = int(self.limits.link_bytes_per_second * MAX_APPEND_SECONDS)
        shortest = platform.record_bytes + LENGTH_BYTES
        return StoreLimits(
            platform.record_bytes, min(platform.request_bytes, max(of_link, shortest))
        )


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
            Integer(
                "record_bytes",
                "Longest record that the store accepts.",
                low=10_000,
                high=2**30,
                unit="bytes",
                default="262144",
            ),
            Integer(
                "request_bytes",
                "Most bytes of all records of one append.",
                low=20_000,
                high=2**30,
                unit="bytes",
                default="2097152",
            ),
            ListOf(
                Text("contracts", "Contracts of the platform that are in force."),
                default="",
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
            ),
            _milliseconds(
                "revoke_ms", "Longest time for which a withdrawn API key still works.", "5000"
            ),
            _milliseconds(
                "config_apply_ms", "Time after which a new configuration is in force.", "3000"
            ),
            Flag(
                "strict_revoke",
                "Whether config_apply_ms holds in place of revoke_ms for withdrawn API keys.",
                default="false",
            ),
        ],
    ),
    Section(
        "limits",
        "Resources that this process may use, from which the limits on its callers follow.",
        EntryLimits,
        [
            *limit_options(),
            Number(
                "link_mbps",
                "Bandwidth of the link of this instance. Configurations for which it takes over a "
                "quarter of a second are taken from other entries, compressed.",
                low=0.1,
                high=1_000_000,
                unit="megabits a second",
                default=str(DEFAULT_LINK_MBPS),
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
            _policy("shares", "Order of workspaces within a priority.", "weighted", "none"),
            _policy("headroom", "Room kept free for urgent tasks.", "arrivals", "none"),
            _policy("preemption", "Runs stopped for more urgent tasks.", "checkpointed", "none"),
            _policy("copies", "Second runs of slow tasks.", "stragglers", "none"),
            _policy("moves", "Slow runs stopped to go on elsewhere.", "checkpointed", "none"),
            _policy("kinds", "Use of slow kinds of runners.", "avoid_slow", "none"),
            _policy(
                "last_tasks",
                "Tasks for which only slow kinds of runners have room.",
                "wait_for_fast",
                "start_now",
            ),
            _policy(
                "evacuation",
                "Moves of lasting tasks off draining runners.",
                "certain_successors",
                "room_on_paper",
            ),
            _policy("estimates", "Expected durations of tasks.", "learnt", "submitted"),
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
