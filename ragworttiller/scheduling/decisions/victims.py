"""Choice of runs to stop, so that a more urgent task can start on their runner."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import NamedTuple

from typing_extensions import override

from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.scheduling.decisions.queue_order import LATE_FACTOR, OrderInputs
from ragworttiller.scheduling.state.runs import Run, RunState

# A run shorter than this has hardly any work since its last checkpoint to lose.
MIN_RUN_SECONDS = 1.0
MAX_PREEMPTIONS_PER_TASK = 2
# Waiting for a restart costs a victim's job about this many times its stop and restore.
RESTART_DELAY_FACTOR = 2.0
# Share of its objective that an urgent job may have used before others are stopped for it.
MAX_WAIT_SHARE = 0.5


class Beneficiary(NamedTuple):
    """Waiting task of a more urgent stage; times are in seconds.

    ``fits_at`` is the time at which it could start if nothing is stopped.
    """

    inputs: OrderInputs
    size: Resources
    fits_at: float


class Candidate(NamedTuple):
    """Run that may be stopped, the order inputs of its stage, and how often its task was."""

    run: Run
    inputs: OrderInputs
    preemptions: int


class VictimPolicy(ABC):
    """Chooses which runs of a runner to stop."""

    @abstractmethod
    def helps(self, beneficiary: Beneficiary, now: float) -> bool:
        """Return whether stopping other runs can let a task's job be on time.

        Parameters
        ----------
        beneficiary : Beneficiary
            Task that needs room.
        now : float
            Time in seconds.
        """

    @abstractmethod
    def choose(
        self,
        beneficiary: Beneficiary,
        free: Resources,
        candidates: Sequence[Candidate],
        now: float,
    ) -> list[Run]:
        """Return the runs to stop, none if stopping them is not enough or costs too much.

        Parameters
        ----------
        beneficiary : Beneficiary
            Task that needs room.
        free : Resources
            Resources of the runner that are free or will be once stopping runs have ended.
        candidates : sequence of Candidate
            Runs on the runner.
        now : float
            Time in seconds.
        """


class NoVictims(VictimPolicy):
    """Stop nothing; the baseline."""

    @override
    def helps(self, beneficiary: Beneficiary, now: float) -> bool:
        return False

    @override
    def choose(
        self,
        beneficiary: Beneficiary,
        free: Resources,
        candidates: Sequence[Candidate],
        now: float,
    ) -> list[Run]:
        return []


class CheckpointedVictims(VictimPolicy):
    """Stop runs with checkpoints whose jobs can still be on time, for a job that could not be.

    Load pattern: a task that only few runners may run, or that needs a whole one, waits while
    less urgent work with time to spare is spread over these runners. A run stopped at a checkpoint
    loses the restore time and the wait for its restart. It is not stopped if it is nearly done, has
    just started, was stopped before, or if its job would be late for it.

    Parameters
    ----------
    stop_seconds : float
        Longest time that a run takes to stop.
    restore_seconds : float
        Time that a run takes to resume from a checkpoint.
    """

    def __init__(self, stop_seconds: float, restore_seconds: float) -> None:
        self._stop_seconds = stop_seconds
        self._loss_seconds = stop_seconds + restore_seconds

    @override
    def helps(self, beneficiary: Beneficiary, now: float) -> bool:
        inputs = beneficiary.inputs
        if inputs.lasts or beneficiary.fits_at - now <= self._loss_seconds:
            return False
        deadline = inputs.since + LATE_FACTOR * inputs.objective
        if now + self._stop_seconds + inputs.remaining > deadline:
            return False
        return beneficiary.fits_at + inputs.remaining > (
            inputs.since + MAX_WAIT_SHARE * inputs.objective
        )

    @override
    def choose(
        self,
        beneficiary: Beneficiary,
        free: Resources,
        candidates: Sequence[Candidate],
        now: float,
    ) -> list[Run]:
        eligible = [row for row in candidates if self._eligible(row, beneficiary, now)]
        eligible.sort(key=lambda row: -row.run.expected_end)
        chosen: list[Run] = []
        for row in eligible:
            if beneficiary.size.fits(free):
                break
            if _helps(row.run.reservation, beneficiary.size, free):
                chosen.append(row.run)
                free = free.plus(row.run.reservation)
        return chosen if beneficiary.size.fits(free) else []

    def _eligible(self, row: Candidate, beneficiary: Beneficiary, now: float) -> bool:
        run, spec = row.run, row.run.spec
        if not spec.checkpoints or spec.daemon or spec.gang or spec.fills:
            return False
        if run.state is not RunState.RUNNING or now - run.started_at < MIN_RUN_SECONDS:
            return False
        if row.inputs.priority <= beneficiary.inputs.priority:
            return False
        if row.preemptions >= MAX_PREEMPTIONS_PER_TASK:
            return False
        if run.expected_end - now < self._loss_seconds:
            return False
        end = now + row.inputs.remaining + RESTART_DELAY_FACTOR * self._loss_seconds
        return end < row.inputs.since + row.inputs.objective


def _helps(reservation: Resources, size: Resources, free: Resources) -> bool:
    """Return whether a reservation has some of a resource that is missing."""
    missing = size.minus(free).maximum(NO_RESOURCES)
    return any(needed > 0 and held > 0 for needed, held in zip(missing, reservation, strict=True))
