"""Starts copies of stragglers with the room that no waiting task needs."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping, Set
from itertools import islice
from typing import NamedTuple

from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.copies import (
    CopyPolicy,
    LearntDurations,
    RunOutlook,
    sibling_median,
)
from ragworttiller.scheduling.decisions.free_resources import FreeResources
from ragworttiller.scheduling.decisions.queue_order import OrderInputs
from ragworttiller.scheduling.decisions.task_placement import Placer
from ragworttiller.scheduling.decisions.waiting_stages import WaitingStages
from ragworttiller.scheduling.state.copy_tally import CopyTally
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.orders import PendingStops, Plan, StartOrder
from ragworttiller.scheduling.state.runner_pool import RunnerPool
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import RunState, Stage
from ragworttiller.scheduling.state.speeds import Speeds
from ragworttiller.scheduling.state.takeover import Takeover

# A start may be carried out until its deadline, and a copy must not start later than 1 s after the
# end of its task was acknowledged. Clocks are estimated and may be 2% slow.
START_DEADLINE_SECONDS = 0.8
CHECK_INTERVAL_SECONDS = 0.1
MAX_COPIES_PER_TASK = 3
# A search looks at all runners of an upstream.
MAX_SEARCHES_PER_PASS = 4
# Of the runners with room, only the fastest are ranked.
MAX_RUNNERS_RANKED = 32


class Straggler(NamedTuple):
    """Straggling run, with its job and stage."""

    work: JobWork
    stage: Stage
    outlook: RunOutlook

    @property
    def task_index(self) -> int:
        """Index of its task in the stage."""
        return self.outlook.run.task.ordinal


class CopyPlanner:
    """Plans the starts of copies at the end of a planning pass.

    Parameters
    ----------
    epoch : int
        Epoch of the ownership.
    pool : RunnerPool
        Runners of the cell.
    takeover : Takeover
        Runners on which an earlier owner's tasks may still run.
    speeds : Speeds
        Observed speeds of runners.
    policy : CopyPolicy
        Decides which runs are stragglers, and whether a copy pays.
    placer : Placer
        Chooses runners.
    stops : PendingStops
        Runs that are to be stopped.
    tally : CopyTally
        Live copies.
    durations : LearntDurations
        What is learnt of the durations of tasks.
    """

    def __init__(
        self,
        epoch: int,
        pool: RunnerPool,
        takeover: Takeover,
        speeds: Speeds,
        policy: CopyPolicy,
        placer: Placer,
        stops: PendingStops,
        tally: CopyTally,
        durations: LearntDurations,
    ) -> None:
        self._epoch = epoch
        self._pool = pool
        self._takeover = takeover
        self._speeds = speeds
        self._policy = policy
        self._placer = placer
        self._stops = stops
        self._tally = tally
        self._durations = durations
        self._checked_at = float("-inf")

    def plan(
        self,
        plan: Plan,
        jobs: Mapping[str, JobWork],
        free: FreeResources,
        ready: Iterable[tuple[JobWork, Stage, OrderInputs]],
        allowance: Callable[[JobWork, Stage], float],
        now: float,
    ) -> None:
        """Add the starts of copies that are due now to a plan.

        Parameters
        ----------
        plan : Plan
            The plan.
        jobs : mapping
            Active jobs, by identifier.
        free : FreeResources
            Room that is left after all waiting stages were placed.
        ready : iterable of tuple
            Stages that could start in this pass, with their jobs and inputs of the queue order.
        allowance : Callable
            Returns the processor time that copies of a stage may reserve, in thousandths of a core.
        now : float
            Time in seconds.
        """
        if now < self._checked_at + CHECK_INTERVAL_SECONDS:
            return
        self._checked_at = now
        left = self._budget_left(now)
        if left.cpu <= 0:
            return
        stragglers = list(self._stragglers(jobs, now))
        if not stragglers:
            return
        waiting = WaitingStages(ready)
        # The most urgent first, and of these the one that ends last.
        stragglers.sort(key=lambda row: (row.work.queue.priority, -row.outlook.expected_end(now)))
        searches = 0
        for row in stragglers:
            size = row.stage.spec.reservation
            if not size.fits(left) or size.cpu > allowance(row.work, row.stage):
                continue
            searches += 1
            if searches > MAX_SEARCHES_PER_PASS:
                break
            runner_id = self._place(row, free, waiting, now)
            if runner_id is not None:
                plan.starts.append(self._start(row, self._pool.runners[runner_id], now))
                left = left.minus(size)

    def _budget_left(self, now: float) -> Resources:
        """Return what more copies may reserve."""
        cpu = memory = accelerators = 0
        for runner in self._pool.accepting_tasks(now):
            capacity = runner.entry.capacity
            cpu += capacity.cpu
            memory += capacity.memory
            accelerators += capacity.accelerators
        budget = self._policy.budget(Resources(cpu, memory, accelerators))
        return budget.minus(self._tally.reserved)

    def _stragglers(self, jobs: Mapping[str, JobWork], now: float) -> Iterator[Straggler]:
        known = map(self._pool.runners.get, self._pool.silent())
        silent = {runner.id for runner in known if runner is not None and runner.suspect(now)}
        for work in jobs.values():
            if not work.open or self._takeover.may_hide_runs_of(work.row):
                continue
            for stage in work.stages.values():
                if stage.active_runs and stage.may_have_copies:
                    yield from self._stragglers_of(work, stage, silent, now)

    def _stragglers_of(
        self, work: JobWork, stage: Stage, silent: Set[str], now: float
    ) -> Iterator[Straggler]:
        median = sibling_median(stage.durations)
        slow_after = self._durations.ninetieth_percentile(work.queue.key, stage.spec)
        started_before = now - self._policy.straggles_after(median, slow_after)
        for index, run in stage.active_runs.items():
            if run.started_at >= started_before and run.runner not in silent:
                continue
            if run.state is not RunState.RUNNING or run in self._stops:
                continue
            if self._may_be_copied(work, stage, index):
                outlook = RunOutlook(run, median, slow_after, run.runner in silent)
                yield Straggler(work, stage, outlook)

    def _may_be_copied(self, work: JobWork, stage: Stage, index: int) -> bool:
        """Return whether a copy of a task may start, whatever its progress.

        The start may be carried out after a failure of the other run, which must not be the last
        attempt then.
        """
        if index in stage.copies or stage.copies_started[index] >= MAX_COPIES_PER_TASK:
            return False
        if index in stage.crashes:
            return False
        return len(stage.failed_runs.get(index, ())) + 1 < work.queue.attempts

    def _place(
        self, row: Straggler, free: FreeResources, waiting: WaitingStages, now: float
    ) -> str | None:
        """Return the runner for a copy, whose room is then taken, None if there is none."""
        work, stage, upstream = row.work, row.stage, row.work.queue.upstream
        if work.queue.advice is not None:
            with_room = free.those_with_room(stage.tickets.holders(now), upstream, stage.spec)
        else:
            with_room = free.with_room(upstream, stage.spec)
        ratios = {r.id: self._speeds.time_ratio(r.id, now) for r in with_room}
        fastest = sorted(with_room, key=lambda runner: ratios[runner.id])
        suited = (
            runner
            for runner in fastest
            if runner.id != row.outlook.run.runner
            and self._policy.pays(row.outlook, ratios[runner.id], now)
            and not waiting.may_need(runner, work.queue.priority)
        )
        chosen = list(islice(suited, MAX_RUNNERS_RANKED))
        return self._placer.place(stage, chosen, free, [row.task_index], ratios).get(row.task_index)

    def _start(self, row: Straggler, runner: RunnerState, now: float) -> StartOrder:
        run = row.stage.start_copy(row.task_index, runner.id, self._epoch, now)
        run.start_deadline = runner.grant_start(now, START_DEADLINE_SECONDS)
        runner.add(run)
        self._tally.start(run, row.outlook.run)
        needs_ticket = row.work.queue.advice is not None
        ticket = row.stage.tickets.valid_ticket(runner.id, now) if needs_ticket else ""
        return StartOrder(run, row.work.spec.spec, run.start_deadline, ticket)
