"""Decides which waiting tasks start on which runners, and which advisor calls they need."""

from __future__ import annotations

from collections.abc import Collection

from ragworttiller.scheduling.advice import CandidatePolicy, EntryLoads
from ragworttiller.scheduling.advice_planner import AdvicePlanner
from ragworttiller.scheduling.job_work import JobWork
from ragworttiller.scheduling.order import QueueOrder
from ragworttiller.scheduling.orders import Plan, StartOrder
from ragworttiller.scheduling.placement import FreeResources, PlacementPolicy, Placer, suits
from ragworttiller.scheduling.runner_pool import RunnerPool
from ragworttiller.scheduling.runner_state import RunnerState
from ragworttiller.scheduling.runs import Stage
from ragworttiller.scheduling.speeds import Speeds
from ragworttiller.scheduling.takeover import Takeover

START_DEADLINE_SECONDS = 1.2
GANG_RESERVE_DELAY_SECONDS = 2.0
GANG_RESERVE_SECONDS = 4.0
AVOID_FAILED_RUNNER_SECONDS = 2.0


class StagePlanner:
    """Places waiting tasks in the order of their jobs.

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
    order, placement, candidate_policy : QueueOrder, PlacementPolicy, CandidatePolicy
        Scheduling policies.

    Attributes
    ----------
    loads : EntryLoads
        Calls to the advisor in flight at each entry.
    """

    def __init__(
        self,
        epoch: int,
        pool: RunnerPool,
        takeover: Takeover,
        speeds: Speeds,
        order: QueueOrder,
        placement: PlacementPolicy,
        candidate_policy: CandidatePolicy,
    ) -> None:
        self._epoch = epoch
        self._pool = pool
        self._takeover = takeover
        self._speeds = speeds
        self._order = order
        self._placer = Placer(placement)
        self.loads = EntryLoads()
        self._advice = AdvicePlanner(self.loads, candidate_policy)

    def plan(self, plan: Plan, jobs: Collection[JobWork], now: float, wall: float) -> None:
        """Add the starts and advisor calls that are due now to a plan."""
        usable = self._pool.accepting_tasks(now)
        free_resources = FreeResources(usable)
        self._advice.begin(plan.calls, usable, now)
        for work, stage in self._ready_stages(jobs, now, wall):
            with_room = [
                runner
                for runner in free_resources.candidates(stage.spec.reservation)
                if suits(runner, work.queue.upstream, stage.spec)
            ]
            placed = self._start_placeable(plan, work, stage, with_room, free_resources, now)
            if not stage.waiting or (placed and stage.spec.gang):
                continue
            stage.blocked_since = stage.blocked_since or now
            self._advice.plan_for_blocked(work, stage, with_room)
            if self._reserves_for_gang(stage, now):
                break
        self._advice.plan_for_successors(jobs)

    def _ready_stages(
        self, jobs: Collection[JobWork], now: float, wall: float
    ) -> list[tuple[JobWork, Stage]]:
        rows: list[tuple[tuple[float, ...], JobWork, Stage]] = []
        for work in jobs:
            if not work.open or self._takeover.blocks(work.row):
                continue
            for stage in work.ready(wall):
                key = self._order.key(work.order_inputs(stage, now, wall), now)
                rows.append((key, work, stage))
        rows.sort(key=lambda row: row[0])
        return [(work, stage) for _, work, stage in rows]

    def _start_placeable(
        self,
        plan: Plan,
        work: JobWork,
        stage: Stage,
        with_room: list[RunnerState],
        free_resources: FreeResources,
        now: float,
    ) -> bool:
        """Start the tasks that can be placed and return whether there were any."""
        if stage.spec.gang and stage.active_runs:
            return False
        if stage.blocked_since and now - stage.blocked_since > AVOID_FAILED_RUNNER_SECONDS:
            stage.last_failed_runner.clear()
        needs_ticket = work.queue.advice is not None
        if needs_ticket:
            with_room = [r for r in with_room if stage.tickets.valid_ticket(r.id, now)]
        if not with_room:
            return False
        indices = self._takeover.startable(stage)
        if stage.spec.gang and len(indices) < stage.spec.tasks:
            return False
        time_ratios = {runner.id: self._speeds.time_ratio(runner.id, now) for runner in with_room}
        chosen = self._placer.place(stage, with_room, free_resources, indices, time_ratios)
        if not chosen:
            return False
        stage.blocked_since = None
        # The runs of a gang have the same number and start from the same checkpoint.
        number = max(stage.next_number(i, self._epoch) for i in chosen) if stage.spec.gang else 0
        checkpoint = next(iter(stage.checkpoints.values()), "") if stage.spec.gang else None
        for index, name in chosen.items():
            runner = self._pool.runners[name]
            run = stage.start(index, name, self._epoch, now, number)
            if checkpoint is not None:
                run.resume(checkpoint)
            run.start_deadline = runner.clock_at(now) + START_DEADLINE_SECONDS
            runner.add(run)
            ticket = stage.tickets.valid_ticket(name, now) if needs_ticket else ""
            plan.starts.append(StartOrder(run, work.spec.spec, run.start_deadline, ticket))
        return True

    def _reserves_for_gang(self, stage: Stage, now: float) -> bool:
        """Return whether later stages must not start, to free room for a gang that waits long."""
        if not stage.spec.gang or stage.active_runs or stage.blocked_since is None:
            return False
        waited = now - stage.blocked_since
        return (
            GANG_RESERVE_DELAY_SECONDS < waited < GANG_RESERVE_DELAY_SECONDS + GANG_RESERVE_SECONDS
        )
