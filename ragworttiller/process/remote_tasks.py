"""Calls between a job's home shard and the shards whose workers run its tasks."""

from __future__ import annotations

import logging

from ragworttiller.exceptions import RagworttillerError
from ragworttiller.process.cell_links import call_owner
from ragworttiller.process.cell_rows import JobRow, Running, index_of, job_of
from ragworttiller.process.cell_state import Attempt, CellState
from ragworttiller.process.learning import Learner
from ragworttiller.process.lease_book import lease_end
from ragworttiller.process.license_proof import LicenseProof
from ragworttiller.process.retries import Retries
from ragworttiller.process.task_endings import LAPSED, LOST, NEVER_STARTED, UNREPORTED
from ragworttiller.records import HoldDecided

log = logging.getLogger(__name__)

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
        await self._check_earlier_owners(ends)
        for task, attempt, reason in ends:
            running = self._state.fold.running(task)
            row = self._state.fold.jobs.get(job_of(task))
            if running is None or row is None or running.attempt != attempt:
                continue
            recorded = self._reason_to_record(task, running, row, reason)
            if recorded and self._state.record_task_end(task, attempt, recorded):
                self._update_statistics(task, running, row, recorded)
        return [task for task, attempt, _ in ends if self._has_ended(task, attempt)]

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

    def _has_ended(self, task: str, attempt: int) -> bool:
        """Return whether an attempt was licensed and has ended.

        One without a license may still get it, or this owner has not read it. Its hold is kept
        until the worker's shard asks for the decision, which then is made in the log.
        """
        running = self._state.fold.running(task)
        if running is not None and running.attempt == attempt:
            return False
        row = self._state.fold.jobs.get(job_of(task))
        if row is None:
            return job_of(task) in self._state.fold.ended
        index = index_of(task)
        return 0 <= index < len(row.attempts) and row.attempts[index] >= attempt

    async def _check_earlier_owners(self, ends: list[tuple[str, int, str]]) -> None:
        """Look for the proof that earlier owners of this shard send nothing more."""
        tasks = [self._state.fold.running(task) for task, _, reason in ends if reason in UNREPORTED]
        for holder in {running.holder for running in tasks if running is not None}:
            if holder != self._state.holder:
                await self._proof.cannot_send(holder)

    def _reason_to_record(self, task: str, running: Running, row: JobRow, reason: str) -> str:
        """Return the reason to record, or an empty string while the task may still run."""
        if reason not in UNREPORTED:
            return reason
        if task in self._state.planned or not self._start_lapsed(task, running):
            log.info("task %s may still run, though its worker's shard says %s", task, reason)
            return ""
        if reason == LAPSED:
            return LOST if row.submitted.idempotent else ""
        sent = self._state.sent_starts.get((task, running.attempt))
        unsent = running.holder == self._state.holder and not (sent and sent.answered)
        return NEVER_STARTED if unsent and reason == NEVER_STARTED else LOST

    def _start_lapsed(self, task: str, running: Running) -> bool:
        """Return whether the lease has lapsed that the start under a license granted.

        The shard of the worker knows the renewals only: a start comes from this shard.
        """
        now = self._state.now()
        if running.holder == self._state.holder:
            sent = self._state.sent_starts.get((task, running.attempt))
            return sent is None or now > sent.leased_until
        proven_at = self._proof.proven_at(running.holder)
        return proven_at is not None and now > lease_end(self._state.lease, proven_at)

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
