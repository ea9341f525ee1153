"""Composition of a cell on loopback."""

from __future__ import annotations

from typing import NamedTuple

from ragworttiller.resources import Resources

TOKEN = "operator-token-of-this-run"
LE_GOFF = "legoff"
ONG_KINH = "ongkinh"
LE_GOFF_DOMAINS = ("quimper", "brest", "concarneau")
ONG_KINH_DOMAINS = ("thuduc", "binhtan", "govap", "district7")
LE_GOFF_WORKERS_PER_RACK = 8
ONG_KINH_WORKERS_PER_RACK = 6
LE_GOFF_WORKER = Resources(16_000, 65_536, 0)
ONG_KINH_WORKER = Resources(64_000, 131_072, 0)
ACCELERATORS_PER_WORKER = 4
ACCELERATOR_WORKER_INTERVAL = 4
RUNNER_SLOTS = 8
RUNNER_CONNECTIONS = 64


class PlannedWorker(NamedTuple):
    """Worker of the plan."""

    worker: str
    capacity: Resources
    failure_domain: str
    rack: str


class CellPlan(NamedTuple):
    """Sizes of a cell.

    ``keep`` is the number of entries that each stream of the log retains; ``directory_lag`` is in
    seconds. ``runners`` is the number of runners by upstream.
    """

    entries: int = 7
    workers: list[PlannedWorker] = []
    runners: dict[str, int] = {}
    keep: int | None = None
    directory_lag: float = 1.0
    seed: int = 1
    options: dict[str, dict[str, str]] = {}


def entry_domain(number: int) -> str:
    """Return the failure domain of an entry."""
    domains = LE_GOFF_DOMAINS + ONG_KINH_DOMAINS
    return domains[number % len(domains)]


def planned_workers(count: int) -> list[PlannedWorker]:
    """Return ``count`` workers of Le Goff and as many of Ong Kinh."""
    return [
        *_fleet("lg", count, LE_GOFF_WORKER, LE_GOFF_DOMAINS, LE_GOFF_WORKERS_PER_RACK),
        *_fleet("ok", count, ONG_KINH_WORKER, ONG_KINH_DOMAINS, ONG_KINH_WORKERS_PER_RACK),
    ]


def _fleet(
    prefix: str, count: int, capacity: Resources, domains: tuple[str, ...], workers_per_rack: int
) -> list[PlannedWorker]:
    workers = []
    for number in range(count):
        accelerators = ACCELERATORS_PER_WORKER if number % ACCELERATOR_WORKER_INTERVAL == 0 else 0
        domain = domains[(number // workers_per_rack) % len(domains)]
        workers.append(
            PlannedWorker(
                f"{prefix}-{number:02d}",
                capacity._replace(accelerators=accelerators),
                domain,
                f"{prefix}-rack-{number // workers_per_rack}",
            )
        )
    return workers
