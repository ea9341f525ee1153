"""Starts copies of stragglers with the room that no waiting task needs."""

from __future__ import annotations

from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.caps import Caps
from ragworttiller.scheduling.decisions.copies import CopyPolicy
from ragworttiller.scheduling.decisions.stragglers import Leftovers, Straggler, StragglerSearch
from ragworttiller.scheduling.decisions.waiting_stages import WaitingStages
from ragworttiller.scheduling.state.copy_tally import CopyTally
from ragworttiller.scheduling.state.orders import Plan, StartOrder
from ragworttiller.scheduling.state.runner_pool import RunnerPool
from ragworttiller.scheduling.state.runner_state import RunnerState

# A start may be carried out until its deadline, and a copy must not start later than 1 s after the
# end of its task was acknowledged. Clocks are estimated and may be 2% slow.
START_DEADLINE_SECONDS = 0.8
CHECK_INTERVAL_SECONDS = 0.1
MAX_COPIES_PER_TASK = 3
# A search looks at all runners of an upstream.
MAX_SEARCHES_PER_PASS = 4


class CopyPlanner:
    """Plans the starts of copies at the end of a planning pass.

    Parameters
    ----------
    epoch : int
        Epoch of the ownership.
    pool : RunnerPool
        Runners of the cell.
    search : StragglerSearch
        Finds stragglers, and runners for their copies.
    policy : CopyPolicy
        Decides which runs are stragglers, and whether a copy pays.
    tally : CopyTally
        Live copies.
    caps : Caps
        Caps of the workspaces, which copies count against.
    """

    def __init__(
        self,
        epoch: int,
        pool: RunnerPool,
        search: StragglerSearch,
        policy: CopyPolicy,
        tally: CopyTally,
        caps: Caps,
    ) -> None:
        self._caps = caps
        self._epoch = epoch
        self._pool = pool
        self._search = search
        self._policy = policy
        self._tally = tally
        self._checked_at = float("-inf")

    def plan(self, plan: Plan, left: Leftovers) -> None:
        """Add the starts of copies that are due now to a plan."""
        if left.now < self._checked_at + CHECK_INTERVAL_SECONDS:
            return
        self._checked_at = left.now
        budget = self._budget_left(left.now)
        if budget.cpu <= 0:
            return
        stragglers = self._search.find(
            left, lambda stage: stage.may_have_copies, self._policy.straggles_after
        )
        waiting, searches = WaitingStages(left.ready if stragglers else ()), 0
        for row in stragglers:
            size = row.stage.spec.reservation
            if not (self._may_be_copied(row) and size.fits(budget) and left.allows(row)):
                continue
            searches += 1
            if searches > MAX_SEARCHES_PER_PASS:
                break
            name = self._search.place(row, left, waiting, self._policy.pays)
            if name is not None:
                plan.starts.append(self._start(row, self._pool.runners[name], left.now))
                budget = budget.minus(size)

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

    def _may_be_copied(self, row: Straggler) -> bool:
        """Return whether another copy of a task may start.

        The start may be carried out after a failure of the other run, which must not be the last
        attempt then.
        """
        if row.stage.copies_started[row.task_index] >= MAX_COPIES_PER_TASK:
            return False
        if not self._caps.allows_copy(row.stage):
            return False
        failed = len(row.stage.failed_runs.get(row.task_index, ()))
        return failed + 1 < row.work.queue.attempts

    def _start(self, row: Straggler, runner: RunnerState, now: float) -> StartOrder:
        needs_ticket = row.work.queue.advice is not None
        ticket = row.stage.tickets.valid_ticket(runner.id, now) if needs_ticket else ""
        run = row.stage.start_copy(row.task_index, runner.id, self._epoch, now)
        try:
            run.start_deadline = runner.grant_start(now, START_DEADLINE_SECONDS)
            runner.add(run)
            self._tally.start(run, row.outlook.run)
        except Exception:
            row.stage.requeue(run, now, ran=False)
            runner.remove(run)
            raise
        return StartOrder(run, row.work.spec.spec, run.start_deadline, ticket)
