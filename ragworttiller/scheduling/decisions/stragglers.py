"""Finds runs that take much longer than they should, and room for their tasks elsewhere."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping, Set
from itertools import islice
from typing import NamedTuple

from ragworttiller.scheduling.decisions.free_resources import FreeResources
from ragworttiller.scheduling.decisions.placer import Placer
from ragworttiller.scheduling.decisions.queue_order import OrderInputs
from ragworttiller.scheduling.decisions.straggler_policy import (
    LearntDurations,
    RunOutlook,
    sibling_median,
)
from ragworttiller.scheduling.decisions.waiting_stages import WaitingStages
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.orders import PendingStops
from ragworttiller.scheduling.state.runner_pool import RunnerPool
from ragworttiller.scheduling.state.runs import Run, RunState, Stage
from ragworttiller.scheduling.state.speeds import Speeds
from ragworttiller.scheduling.state.takeover import Takeover

# Of the runners with room, only the fastest are ranked.
MAX_RUNNERS_RANKED = 32


class Leftovers(NamedTuple):
    """What is left at the end of a planning pass at the time ``now``, in seconds.

    ``jobs`` are the active jobs, ``free`` the room left after all waiting stages were placed, and
    ``ready`` the stages that could start in the pass. ``allowance`` returns the processor time that
    tasks of a stage may reserve, in thousandths of a core.
    """

    jobs: Mapping[str, JobWork]
    free: FreeResources
    ready: Iterable[tuple[JobWork, Stage, OrderInputs]]
    allowance: Callable[[JobWork, Stage], float]
    now: float

    def allows(self, straggler: Straggler) -> bool:
        """Return whether one more task of the straggler's stage may take room."""
        work, stage = straggler.work, straggler.stage
        return stage.spec.reservation.cpu <= self.allowance(work, stage)


class Straggler(NamedTuple):
    """Straggling run, with its job and stage."""

    work: JobWork
    stage: Stage
    outlook: RunOutlook

    @property
    def task_index(self) -> int:
        """Index of its task in the stage."""
        return self.outlook.run.task.ordinal


class StragglerSearch:
    """Finds stragglers among the runs of a cell, and runners that could take their tasks.

    Parameters
    ----------
    pool : RunnerPool
        Runners of the cell.
    takeover : Takeover
        Runners on which an earlier owner's tasks may still run.
    speeds : Speeds
        Observed speeds of runners.
    placer : Placer
        Chooses runners.
    stops : PendingStops
        Runs that are to be stopped.
    durations : LearntDurations
        What is learnt of the durations of tasks.
    """

    def __init__(
        self,
        pool: RunnerPool,
        takeover: Takeover,
        speeds: Speeds,
        placer: Placer,
        stops: PendingStops,
        durations: LearntDurations,
    ) -> None:
        self._pool = pool
        self._takeover = takeover
        self._speeds = speeds
        self._placer = placer
        self._stops = stops
        self._durations = durations

    def find(
        self,
        left: Leftovers,
        wanted: Callable[[Stage], bool],
        straggles_after: Callable[[float | None, float | None], float],
    ) -> list[Straggler]:
        """Return the stragglers, the most urgent first, of these the one that should end last.

        Parameters
        ----------
        left : Leftovers
            Jobs and time of the pass.
        wanted : Callable
            Returns whether to search the runs of a stage.
        straggles_after : Callable
            Returns the duration in seconds from which a run is a straggler, given the median of its
            ended siblings and the learnt duration that few tasks of its kind exceed.
        """
        known = map(self._pool.runners.get, self._pool.silent())
        silent = {r.id for r in known if r is not None and r.suspect(left.now)}
        rows: list[Straggler] = []
        settled = self._takeover.all_settled
        for work in left.jobs.values():
            if not work.open or not settled and self._takeover.may_hide_runs_of(work.row):
                continue
            for stage in work.stages.values():
                if not stage.active_runs or not wanted(stage):
                    continue
                median = sibling_median(stage.durations)
                slow_after = self._durations.ninetieth_percentile(work.queue.key, stage.spec)
                started_before = left.now - straggles_after(median, slow_after)
                for run in self._runs_before(stage, started_before, silent):
                    outlook = RunOutlook(run, median, slow_after, run.runner in silent)
                    rows.append(Straggler(work, stage, outlook))
        rows.sort(key=lambda r: (r.work.queue.priority, -r.outlook.expected_end(left.now)))
        return rows

    def _runs_before(self, stage: Stage, started_before: float, silent: Set[str]) -> Iterator[Run]:
        """Yield the active runs that are at work since before a time, or on silent runners."""
        for index, run in stage.active_runs.items():
            if run.started_at >= started_before and run.runner not in silent:
                continue
            if run.state is not RunState.RUNNING or run in self._stops:
                continue
            if index not in stage.copies and index not in stage.crashes:
                yield run

    def place(
        self,
        straggler: Straggler,
        left: Leftovers,
        waiting: WaitingStages,
        pays: Callable[[RunOutlook, float, float], bool],
    ) -> str | None:
        """Return another runner for a straggler's task, whose room is then taken, None if none can.

        Parameters
        ----------
        straggler : Straggler
            The straggler.
        left : Leftovers
            Room and time of the pass.
        waiting : WaitingStages
            Stages that still wait, and may need the runners.
        pays : Callable
            Returns whether a new run pays, given the outlook, the time ratio of the runner and the
            time in seconds.
        """
        work, stage, outlook = straggler.work, straggler.stage, straggler.outlook
        upstream, now = work.queue.upstream, left.now
        if work.queue.advice is not None:
            holders = stage.tickets.holders(now)
            with_room = left.free.those_with_room(holders, upstream, stage.spec)
        else:
            with_room = left.free.with_room(upstream, stage.spec)
        ratios = {r.id: self._speeds.time_ratio(r.id, now) for r in with_room}
        suited = (
            runner
            for runner in sorted(with_room, key=lambda runner: ratios[runner.id])
            if runner.id != outlook.run.runner
            and pays(outlook, ratios[runner.id], now)
            and not waiting.may_need(runner, work.queue.priority)
        )
        ranked = list(islice(suited, MAX_RUNNERS_RANKED))
        index = straggler.task_index
        return self._placer.place(stage, ranked, left.free, [index], ratios).get(index)
