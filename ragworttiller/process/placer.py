"""Chooses the worker of one task under the policy of its workspace."""

from __future__ import annotations

from ragworttiller.placement.policy import Choice, Demand, RunningTaskCounts
from ragworttiller.placement.rules import Rules
from ragworttiller.process.cell_rows import JobRow, index_of, job_of
from ragworttiller.process.cell_state import CellState
from ragworttiller.process.job_rules import movable, rules_of
from ragworttiller.process.learning import Learner
from ragworttiller.process.policies import WorkspacePolicies
from ragworttiller.process.quarantine import Quarantine, WorkerMode
from ragworttiller.process.retries import Retries
from ragworttiller.process.room_view import RoomView
from ragworttiller.process.task_starter import Planned
from ragworttiller.resources import NOTHING, Resources

AVOIDED = "failed this job"
ON_PROBE = "on probe"
SET_ASIDE = "quarantined"


class Placer:
    """Chooses workers for the tasks of this shard's jobs.

    Parameters
    ----------
    state : CellState
        State of the owner.
    rooms : RoomView
        Free room.
    policies : WorkspacePolicies
        Policy of each workspace.
    quarantine : Quarantine
        Workers that are set aside.
    retries : Retries
        Workers on which jobs have failed.
    learner : Learner
        What tasks are expected to use.
    """

    def __init__(
        self,
        state: CellState,
        rooms: RoomView,
        policies: WorkspacePolicies,
        quarantine: Quarantine,
        retries: Retries,
        learner: Learner,
    ) -> None:
        self._state = state
        self._rooms = rooms
        self._policies = policies
        self._quarantine = quarantine
        self._retries = retries
        self._learner = learner
        self._largest = NOTHING

    def refresh(self) -> None:
        """Take over what changed on the workers, those set aside among it."""
        self._rooms.sync()
        self._rooms.expire(self._state.now())
        self._quarantine.tick(self._state.now())
        for worker in self._quarantine.set_aside():
            if self._quarantine.open(worker):
                self._rooms.unblock(worker, SET_ASIDE)
            else:
                self._rooms.block(worker, SET_ASIDE)
        for worker in self._quarantine.cleared():
            self._rooms.unblock(worker, SET_ASIDE)
        self._largest = NOTHING
        for _, capacity in self._rooms.index.shapes:
            self._largest = self._largest.maximum(capacity)

    def particular(self, row: JobRow) -> bool:
        """Return whether a job may find no room where others of its class do."""
        rules = row.submitted.rules
        job = row.submitted.job
        return bool(
            rules.get("spread") or rules.get("max_per_worker") or self._retries.failed_workers(job)
        )

    def need(self, row: JobRow) -> Resources:
        """Return what to book for a task of a job."""
        return self._learner.need(row, self._largest)

    def plan(self, row: JobRow, task: str, need: Resources) -> Planned | None:
        """Return a task with a worker for it, or None when no worker fits now."""
        choice = self._choose(row, need)
        if choice is None:
            return None
        worker = choice.worker
        if self._quarantine.mode(worker) is not WorkerMode.GOOD:
            self._quarantine.planned(worker, task)
            self._rooms.block(worker, SET_ASIDE)
        attempt = row.attempts[index_of(task)] + 1
        since = self._state.waiting_since(row, task)
        shard = self._state.context.shard
        return Planned(task, attempt, shard, worker, "", need, choice, since)

    def has_room(self, row: JobRow) -> bool:
        """Return whether a worker has room for one more task of a job now."""
        return self._choose(row, self.need(row)) is not None

    def choose_for(self, workspace: str, demand: Demand) -> Choice | None:
        """Return a worker for a task of any shard's job."""
        policy = self._policies.policy(workspace)
        with self._state.context.decisions.timing("place"):
            return policy.choose(demand, self._rooms.index)

    def explain(self, row: JobRow) -> str:
        """Return the rule or resource that stands in the way of a job's tasks."""
        demand = self._demand(row, self.need(row))
        policy = self._policies.policy(row.submitted.workspace)
        return policy.explain(demand, self._rooms.index)

    def _choose(self, row: JobRow, need: Resources) -> Choice | None:
        demand = self._demand(row, need)
        workspace = row.submitted.workspace
        avoided, probed = self._avoided(row), self._probed(row)
        if not avoided and not probed:
            return self.choose_for(workspace, demand)
        with self._rooms.kept_out(avoided, AVOIDED), self._rooms.kept_out(probed, ON_PROBE):
            return self.choose_for(workspace, demand)

    def _demand(self, row: JobRow, need: Resources) -> Demand:
        rules = rules_of(row)
        return Demand(need, rules, row.submitted.urgency, self._placed(row, rules))

    def _avoided(self, row: JobRow) -> set[str]:
        """Return the workers that failed the job, unless there are no others."""
        avoided = self._retries.failed_workers(row.submitted.job)
        if not avoided or all(
            worker.name in avoided for worker in self._rooms.index.workers() if worker.state == "up"
        ):
            return set()
        return avoided

    def _probed(self, row: JobRow) -> set[str]:
        """Return the workers that only work which may be started again may probe."""
        if movable(row):
            return set()
        return set(self._quarantine.set_aside())

    def _placed(self, row: JobRow, rules: Rules) -> RunningTaskCounts | None:
        """Return where the job's tasks run, for the rules that ask for it."""
        if not rules.spread and not rules.max_per_worker:
            return None
        job = row.submitted.job
        workers = [running.worker for running in row.running.values()]
        workers += [
            planned.worker for task, planned in self._state.planned.items() if job_of(task) == job
        ]
        placed = RunningTaskCounts({}, {}, {})
        for name in workers:
            placed.workers[name] = placed.workers.get(name, 0) + 1
            if name in self._rooms.index:
                worker = self._rooms.index.worker(name)
                domain = worker.failure_domain
                placed.racks[worker.rack] = placed.racks.get(worker.rack, 0) + 1
                placed.failure_domains[domain] = placed.failure_domains.get(domain, 0) + 1
        return placed
