"""Load of the model of a cell's owner: size of the cell, and the jobs that arrive."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import NamedTuple

from ragworttiller.platform.configuration import AdviceCost, Queue
from ragworttiller.resources import Resources
from ragworttiller.scheduling.state.jobs import JobSpec, StepSpec
from ragworttiller.scheduling.state.workspaces import NO_WORKSPACE, Workspace

UPSTREAM = "marking"
CHECKS = Queue("checks", "h", "/c/", UPSTREAM, 0, 4, 2.0, 0.25, AdviceCost(0.039, 0.00056, 2.5))
BATCHES = Queue("batches", "h", "/b/", UPSTREAM, 2, 2, 2.0, 1.2, AdviceCost(0.546, 0.0078, 2.5))
WATCHES = Queue("watches", "h", "/w/", UPSTREAM, 1, 4, 2.0, 2.5, AdviceCost(0.585, 0.00845, 2.5))
ALLOWED_SHARE = {CHECKS.name: 0.7, BATCHES.name: 0.35, WATCHES.name: 0.35}

START_DELAY_SECONDS = 1.0
FIRST_WORKSPACE_SHARE = 0.25
# A quarter of the mean runner.
CAP_CPU_PER_RUNNER = 4500


class Costs(NamedTuple):
    """Processor time of the owner in seconds: of a step, a call to a runner and an event."""

    step: float = 1.2e-7
    call: float = 0.00025
    event: float = 0.00005


class Load(NamedTuple):
    """Size of the cell, its arrivals a second and the burst of checks.

    The jobs are spread over a number of ``workspaces``, of which the first sends a quarter; 0 for a
    cell without workspaces.
    """

    runners: int = 270
    entries: int = 97
    checks: float = 25.6
    batches: float = 3.65
    watches: float = 0.05
    first_watches: int = 8
    burst_factor: float = 2.0
    burst_at: float = 6.0
    burst_seconds: float = 4.0
    seconds: float = 40.0
    costs: Costs = Costs()
    seed: int = 1
    workspaces: int = 0


# A third of the large site, with a slower owner in proportion. The burst is that of callers whose
# submissions were refused for a while and come again together.
BURST_LOAD = Load(
    runners=90,
    entries=32,
    checks=8.5,
    batches=1.2,
    watches=0.017,
    first_watches=3,
    burst_factor=6.0,
    seconds=32.0,
    costs=Costs(1.1e-6, 0.0006, 0.00015),
)


def workspace_name(number: int) -> str:
    """Return the name of a numbered workspace."""
    return f"workspace-{number:03d}"


def workspaces(load: Load) -> tuple[Workspace, ...]:
    """Return the workspaces of a load, each with a cap of a quarter of the cell."""
    cap = Resources(load.runners * CAP_CPU_PER_RUNNER, 0, 0)
    names = (workspace_name(number) for number in range(load.workspaces))
    return tuple(Workspace(name, frozenset(), 1.0, cap) for name in names)


class Arrival(NamedTuple):
    """Job of a workspace that arrives at a time, in seconds."""

    at: float
    queue: Queue
    spec: JobSpec
    workspace: str = NO_WORKSPACE


class Arrivals:
    """Jobs that arrive under a load.

    Parameters
    ----------
    load : Load
        Rates and burst.
    rng : random.Random
        Source of the arrival times and sizes.
    """

    def __init__(self, load: Load, rng: random.Random) -> None:
        self._load = load
        self._random = rng
        # Apart from the other choices, so that these do not depend on the number of workspaces.
        self._workspace_random = random.Random(load.seed)

    def __iter__(self) -> Iterator[Arrival]:
        load, rng = self._load, self._random
        for number in range(load.first_watches):
            yield Arrival(0.05 * number, WATCHES, self._watch(), self._workspace())
        for queue, rate, make in (
            (CHECKS, load.checks, self._check),
            (BATCHES, load.batches, self._batch),
            (WATCHES, load.watches, self._watch),
        ):
            at = START_DELAY_SECONDS
            while at < load.seconds:
                in_burst = load.burst_at <= at < load.burst_at + load.burst_seconds
                factor = load.burst_factor if queue is CHECKS and in_burst else 1.0
                at += rng.expovariate(rate * factor)
                yield Arrival(at, queue, make(), self._workspace())

    def _workspace(self) -> str:
        count = self._load.workspaces
        if not count:
            return NO_WORKSPACE
        first = self._workspace_random.random() < FIRST_WORKSPACE_SHARE
        return workspace_name(0 if first else self._workspace_random.randrange(count))

    def _check(self) -> JobSpec:
        steps = 2 if self._random.random() < 0.6 else 1
        width = self._width(9.4, 56)
        return self._chain(steps, width, self._cpu(3600, 11_000), 4000, 0.64)

    def _batch(self) -> JobSpec:
        return self._chain(2, self._width(16, 80), self._cpu(4500, 7600), 4600, 4.8)

    def _watch(self) -> JobSpec:
        size = Resources(self._cpu(4500, 7600), 8000)
        return JobSpec("", (StepSpec(self._width(20, 60), size, daemon=True),))

    def _chain(self, steps: int, width: int, cpu: int, memory: int, estimate: float) -> JobSpec:
        size = Resources(cpu, memory)
        return JobSpec(
            "",
            tuple(
                StepSpec(width, size, estimate, (number - 1,) if number else ())
                for number in range(steps)
            ),
        )

    def _width(self, mean: float, most: int) -> int:
        return max(1, min(int(self._random.lognormvariate(0.0, 0.7) * 0.8 * mean), most))

    def _cpu(self, mean: float, most: int) -> int:
        return max(300, min(int(self._random.lognormvariate(0.0, 0.4) * mean), most))
