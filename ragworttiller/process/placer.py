"""Chooses a worker for a task by the placement policy of its workspace."""

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

FAILED_HERE_REASON = "failed this job"
PROBE_REASON = "on probe"
QUARANTINE_REASON = "quarantined"


class Placer:
    """Chooses workers for the tasks of this shard's jobs.

    Parameters
    ----------
    state : CellState
        State of the owner.
    rooms : RoomView
        Free room of the workers.
    policies : WorkspacePolicies
        Policy of each workspace.
    quarantine : Quarantine
        Workers that are suspect, quarantined or on probe.
    retries : Retries
        Workers on which jobs have failed.
    learner : Learner
        Expected resource use of tasks.
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
        """Update free room, blocks and quarantine of the workers."""
        self._rooms.sync()
        self._rooms.expire(self._state.now())
        self._quarantine.start_probes(self._state.now())
        for worker in self._quarantine.restricted_workers():
            if self._quarantine.accepts_task(worker):
                self._rooms.unblock(worker, QUARANTINE_REASON)
            else:
                self._rooms.block(worker, QUARANTINE_REASON)
        for worker in self._quarantine.pop_cleared():
            self._rooms.unblock(worker, QUARANTINE_REASON)
        self._largest = NOTHING
        for _, capacity in self._rooms.index.shapes:
            self._largest = self._largest.maximum(capacity)

    def has_own_constraints(self, row: JobRow) -> bool:
        """Return whether a job may find no room although other jobs of its class do."""
        rules = row.submitted.rules
        job = row.submitted.job
        return bool(
            rules.get("spread") or rules.get("max_per_worker") or self._retries.failed_workers(job)
        )

    def need(self, row: JobRow) -> Resources:
        """Return the resources to book for a task of a job."""
        return self._learner.need(row, self._largest)

    def plan(self, row: JobRow, task: str, need: Resources) -> Planned | None:
        """Plan a task on a worker; return None when no worker fits now."""
        choice = self._choose(row, need)
        if choice is None:
            return None
        worker = choice.worker
        if self._quarantine.mode(worker) is not WorkerMode.GOOD:
            self._quarantine.record_placement(worker, task)
            self._rooms.block(worker, QUARANTINE_REASON)
        attempt = row.attempts[index_of(task)] + 1
        since = self._state.waiting_since(row, task)
        shard = self._state.context.shard
        return Planned(task, attempt, shard, worker, "", need, choice, since)

    def has_room(self, row: JobRow) -> bool:
        """Return whether some worker has room for one more task of a job now."""
        return self._choose(row, self.need(row)) is not None

    def choose_worker(self, workspace: str, demand: Demand) -> Choice | None:
        """Choose a worker for a task of a job of any shard, or return None if none fits."""
        policy = self._policies.policy(workspace)
        with self._state.context.decisions.timing("place"):
            return policy.choose(demand, self._rooms.index)

    def explain(self, row: JobRow) -> str:
        """Return the rule or resource that prevents the placement of a job's tasks."""
        demand = self._demand(row, self.need(row))
        policy = self._policies.policy(row.submitted.workspace)
        return policy.explain(demand, self._rooms.index)

    def _choose(self, row: JobRow, need: Resources) -> Choice | None:
        demand = self._demand(row, need)
        workspace = row.submitted.workspace
        avoided, unproven = self._avoided_workers(row), self._unproven_workers(row)
        if not avoided and not unproven:
            return self.choose_worker(workspace, demand)
        with (
            self._rooms.temporarily_blocked(avoided, FAILED_HERE_REASON),
            self._rooms.temporarily_blocked(unproven, PROBE_REASON),
        ):
            return self.choose_worker(workspace, demand)

    def _demand(self, row: JobRow, need: Resources) -> Demand:
        rules = rules_of(row)
        return Demand(need, rules, row.submitted.urgency, self._count_running_tasks(row, rules))

    def _avoided_workers(self, row: JobRow) -> set[str]:
        """Return the workers on which the job failed, or none if no other worker is up."""
        avoided = self._retries.failed_workers(row.submitted.job)
        if not avoided or all(
            worker.name in avoided for worker in self._rooms.index.workers() if worker.state == "up"
        ):
            return set()
        return avoided

    def _unproven_workers(self, row: JobRow) -> set[str]:
        """Return all restricted workers for a job whose tasks cannot be restarted, else none."""
        if movable(row):
            return set()
        return set(self._quarantine.restricted_workers())

    def _count_running_tasks(self, row: JobRow, rules: Rules) -> RunningTaskCounts | None:
        """Count the job's running and planned tasks by location, if a rule needs the counts."""
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
