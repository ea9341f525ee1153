"""Calls between a job's home shard and the shards whose workers run its tasks."""

from __future__ import annotations

from ragworttiller.exceptions import RagworttillerError
from ragworttiller.process.cell_links import call_owner
from ragworttiller.process.cell_rows import JobRow, Running, job_of
from ragworttiller.process.cell_state import Attempt, CellState
from ragworttiller.process.learning import Learner
from ragworttiller.process.license_proof import LicenseProof
from ragworttiller.process.retries import Retries
from ragworttiller.process.task_endings import LOST, NEVER_STARTED
from ragworttiller.records import HoldDecided

COMMIT_TIMEOUT_SECONDS = 2.0


class RemoteTasks:
    """Records ends of tasks on other shards' workers, sends stops, and resolves decisions on holds.

    Parameters
    ----------
    state : CellState
        State of the owner.
    retries : Retries
        Counts failures of tasks.
    learner : Learner
        Discards its data on ended tasks.
    """

    def __init__(self, state: CellState, retries: Retries, learner: Learner) -> None:
        self._state = state
        self._retries = retries
        self._learner = learner
        self._proof = LicenseProof(state)
        self._queued_stops: dict[tuple[int, str, Attempt], tuple[str, bool]] = {}

    async def resolve_decision(self, decision: str, tasks: list[Attempt]) -> list[str]:
        """Return the tasks that run under a decision; abort it first if it is undecided."""
        if (
            not self._tasks_licensed_by(decision, tasks)
            and decision not in self._state.fold.decided
        ):
            stream = self._state.context.stream
            job = job_of(tasks[0][0])
            record = HoldDecided(stream.record_id(), decision, job, False, [])
            await stream.commit(record, COMMIT_TIMEOUT_SECONDS)
        return self._tasks_licensed_by(decision, tasks)

    async def record_ends(self, ends: list[tuple[str, int, str]]) -> list[str]:
        """Record ends that another shard reported; return the tasks whose attempts have ended."""
        for task, attempt, reason in ends:
            running = self._state.fold.running(task)
            row = self._state.fold.jobs.get(job_of(task))
            if running is None or row is None or running.attempt != attempt:
                continue
            recorded = await self._reason_to_record(task, running, row, reason)
            if recorded and self._state.record_task_end(task, attempt, recorded):
                self._update_statistics(task, running, row, recorded)
        ended_tasks: list[str] = []
        for task, attempt, _ in ends:
            running = self._state.fold.running(task)
            if running is None or running.attempt != attempt:
                ended_tasks.append(task)
        return ended_tasks

    def queue_stop(
        self, task: str, attempt: int, shard: int, worker: str, reason: str, checkpoint: bool
    ) -> None:
        """Queue the stop of a task on another shard's worker."""
        self._queued_stops[shard, worker, (task, attempt)] = (reason, checkpoint)

    async def send_stops(self) -> None:
        """Send the queued stops to the workers' shards; failed ones stay queued."""
        stops, self._queued_stops = self._queued_stops, {}
        by_shard: dict[int, list[tuple[str, str, int, str, bool]]] = {}
        for (shard, worker, key), (reason, checkpoint) in stops.items():
            by_shard.setdefault(shard, []).append((worker, *key, reason, checkpoint))
        for shard, group in by_shard.items():
            try:
                await call_owner(self._state.context, shard, "stop", {"stops": group})
            except RagworttillerError:
                for worker, task, attempt, reason, checkpoint in group:
                    self._queued_stops[shard, worker, (task, attempt)] = (reason, checkpoint)

    async def _reason_to_record(self, task: str, running: Running, row: JobRow, reason: str) -> str:
        """Return the reason to record, or an empty string while the task may still run."""
        if reason == "lapsed":
            return LOST if row.submitted.idempotent else ""
        if reason != NEVER_STARTED:
            return reason
        if task in self._state.planned:
            return ""
        if running.holder == self._state.holder:
            sent = self._state.sent_starts.get((task, running.attempt))
            return LOST if sent and sent.answered else NEVER_STARTED
        return LOST if await self._proof.cannot_send(running.holder) else ""

    def _update_statistics(self, task: str, running: Running, row: JobRow, reason: str) -> None:
        job = row.submitted
        self._learner.record_end(row, task, running.attempt, 0.0, False)
        if reason == "failed":
            ran = max(0.0, self._state.wall() - running.at)
            now = self._state.now()
            self._retries.record_failure(job.job, task, running.worker, ran, now, job.kind)

    def _tasks_licensed_by(self, decision: str, tasks: list[Attempt]) -> list[str]:
        licensed: list[str] = []
        for task, attempt in tasks:
            running = self._state.fold.running(task)
            if running and running.decision == decision and running.attempt == attempt:
                licensed.append(task)
        return licensed
