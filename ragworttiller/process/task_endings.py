"""Determines from workers' reports how licensed tasks ended."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

from ragworttiller.process.bookings import trim
from ragworttiller.process.cell_rows import JobRow, Running, index_of, job_of
from ragworttiller.process.cell_state import Attempt, CellState
from ragworttiller.process.learning import Learner
from ragworttiller.process.lease_book import lease_end
from ragworttiller.process.license_proof import LicenseProof
from ragworttiller.process.quarantine import Quarantine
from ragworttiller.process.retries import STABLE_SECONDS, Retries
from ragworttiller.process.task_sizes import TaskSizes
from ragworttiller.services.worker import TaskReport

log = logging.getLogger(__name__)

LOST = "lost"
NEVER_STARTED = "never_started"
LAPSED = "lapsed"
GONE = "gone"
# Reasons that no report of the worker gives: what they prove depends on when the start was sent.
UNREPORTED = (NEVER_STARTED, LAPSED, GONE)
PREEMPTED = "preempted"
PROOF_PERIOD_SECONDS = 2.0
REFRESH_TIMEOUT_SECONDS = 2.0
MAX_OVERDUE_SECONDS = 0.5
MAX_REPORTED_HELD_ENDS = 1000
END_REASONS = {"done": "done", "failed": "failed", "checkpointed": PREEMPTED, "lapsed": LOST}


class RemoteEnd(NamedTuple):
    """End of a task on a worker of this shard; ``home`` is the shard of its job.

    ``reason`` is one of a `TaskEnded`, or `LAPSED` or `GONE` if the leases of a silent worker have
    lapsed that is not declared gone, or is.
    """

    home: int
    decision: str
    task: str
    attempt: int
    reason: str


class _ExpectedEnd(NamedTuple):
    """Attempt with the monotonic time at which it is expected to end."""

    key: Attempt
    at: float


class TaskEndings:
    """Records the ends of licensed tasks, and reports those of other shards' jobs.

    Parameters
    ----------
    state : CellState
        State of the owner.
    retries : Retries
        Receives failures of jobs.
    quarantine : Quarantine
        Receives failures of workers.
    learner : Learner
        Receives resource usage and run times.
    sizes : TaskSizes
        Raises the bookings of tasks that use more than they booked.
    """

    def __init__(
        self,
        state: CellState,
        retries: Retries,
        quarantine: Quarantine,
        learner: Learner,
        sizes: TaskSizes,
    ) -> None:
        self._state = state
        self._retries = retries
        self._quarantine = quarantine
        self._learner = learner
        self._sizes = sizes
        self._proof = LicenseProof(state)
        self._reported_held_ends: dict[Attempt, None] = {}
        self._expected: dict[str, list[_ExpectedEnd]] = {}
        self.on_remote_end: Callable[[RemoteEnd], None] = lambda end: None

    async def run(self) -> None:
        """Start probes of workers and look for proof on earlier owners, until cancelled."""
        async for now in self._state.context.timers.ticks(PROOF_PERIOD_SECONDS):
            self._quarantine.start_probes(now)
            for owner in self._other_owners():
                if self._proof.proven_at(owner) is None:
                    await self._proof.cannot_send(owner)

    def is_licensed(self, worker: str, report: TaskReport) -> bool:
        """Return whether the reported attempt is licensed or held on the worker."""
        running = self._state.fold.running(report.task)
        if running is not None and running.shard == self._state.context.shard:
            return running.attempt == report.attempt and running.worker == worker
        return self._hold_of(worker, report.task, report.attempt) is not None

    def is_known(self, worker: str, report: TaskReport) -> bool:
        """Return whether the fold has reached the license of the reported attempt."""
        if self.is_licensed(worker, report):
            return True
        job, index = job_of(report.task), index_of(report.task)
        row = self._state.fold.jobs.get(job)
        if row is None:
            return job in self._state.fold.ended
        return 0 <= index < len(row.attempts) and row.attempts[index] >= report.attempt

    def handle_report(self, worker: str, report: TaskReport) -> None:
        """Process a worker's report on a licensed attempt."""
        key = (report.task, report.attempt)
        row = self._state.fold.jobs.get(job_of(report.task))
        running = self._state.fold.running(report.task)
        if running is None or row is None:
            self._handle_held(worker, report)
        elif not report.ended:
            self._handle_running(worker, report, row, running)
        else:
            reason = self._end_reason(worker, key, report.state)
            self._expected[worker] = [e for e in self._expected.get(worker, []) if e.key != key]
            if self._state.record_task_end(*key, reason):
                self._record_result(worker, report, row, reason)

    def run_time(self, row: JobRow) -> float | None:
        """Return the expected run time of a job's tasks in seconds."""
        return self._learner.run_time(row)

    def expect_end(self, worker: str, key: Attempt, seconds: float | None) -> None:
        """Set the seconds until an attempt is expected to end, or None if unknown."""
        others = [e for e in self._expected.get(worker, []) if e.key != key]
        if seconds is not None:
            others.append(_ExpectedEnd(key, self._state.now() + seconds))
        self._expected[worker] = others

    def seconds_to_next_end(self, worker: str) -> float:
        """Return the seconds until the next expected end on a worker, infinite without any."""
        now = self._state.now()
        delays = [e.at - now for e in self._expected.get(worker, [])]
        return min(
            (delay for delay in delays if delay > -MAX_OVERDUE_SECONDS), default=float("inf")
        )

    def missing_attempts(self, worker: str, seen: set[Attempt], asked_at: float) -> list[Attempt]:
        """Return licensed attempts missing from a report that was requested at ``asked_at``.

        Licenses of this owner whose start it has not sent and never will are ended at once.
        """
        row = self._state.fold.bookings.workers.get(worker)
        if row is None:
            return []
        missing: list[Attempt] = []
        for task in list(row.tasks):
            running = self._state.fold.running(task)
            if running is None or (task, running.attempt) in seen:
                continue
            if self._should_be_listed(task, running, asked_at):
                missing.append((task, running.attempt))
        for key in row.holds:
            hold = self._state.fold.bookings.holds[key]
            if (key[1], hold.attempt) not in seen:
                missing.append((key[1], hold.attempt))
        return missing

    def end_missing_attempt(self, worker: str, key: Attempt, asked_at: float) -> None:
        """End an attempt that its worker has not listed for longer than a lease.

        A license of an earlier owner is ended only by a report that was requested, at
        ``asked_at``, after that owner could provably no longer send its start.
        """
        running = self._state.fold.running(key[0])
        if running is None or running.shard != self._state.context.shard:
            self._report_to_home(worker, key, NEVER_STARTED)
            return
        if running.holder == self._state.holder:
            sent = self._state.sent_starts.get(key)
            self._state.record_task_end(*key, LOST if sent and sent.answered else NEVER_STARTED)
            return
        proven_at = self._proof.proven_at(running.holder)
        if proven_at is not None and asked_at > proven_at:
            log.info("task %s ended: worker %s lists no start of its earlier owner", key[0], worker)
            self._state.record_task_end(*key, LOST)

    def end_lapsed_tasks(self, worker: str) -> None:
        """End the tasks of an unresponsive worker whose leases have all expired.

        A task that is not idempotent stays booked until its worker is declared gone.
        """
        row = self._state.fold.bookings.workers.get(worker)
        if row is None:
            return
        listed = self._is_listed(worker)
        for task in list(row.tasks):
            running = self._state.fold.running(task)
            job = self._state.fold.jobs.get(job_of(task))
            if running is None or job is None or task in self._state.planned:
                continue
            if not job.submitted.idempotent and listed:
                continue
            if self._state.record_task_end(task, running.attempt, LOST):
                log.warning("task %s ended: the leases of worker %s have lapsed", task, worker)
        for decision, task in list(row.holds):
            hold = self._state.fold.bookings.holds[decision, task]
            self._report_to_home(worker, (task, hold.attempt), LAPSED if listed else GONE)

    def _other_owners(self) -> set[str]:
        """Return the other owners that are known: recent ones, and those that licensed tasks."""
        rows = self._state.fold.jobs.values()
        holders = {running.holder for row in rows for running in row.running.values()}
        return (holders | self._state.fold.owners.keys()) - {self._state.holder}

    async def may_be_renewed(self) -> bool:
        """Return whether another owner may hold leases on this shard's workers now.

        Each owner records its begin, so the log tells of all others. One that serves no more may
        have renewed until that was proven.
        """
        if not self._state.began or self._other_owner_serves():
            return True
        if not await self._state.context.stream.refresh(REFRESH_TIMEOUT_SECONDS):
            return True
        return self._other_owner_serves()

    def _other_owner_serves(self) -> bool:
        return any(not self._leases_lapsed_of(owner) for owner in self._other_owners())

    def _leases_lapsed_of(self, owner: str) -> bool:
        proven_at = self._proof.proven_at(owner)
        return proven_at is not None and self._state.now() > lease_end(self._state.lease, proven_at)

    def _is_listed(self, worker: str) -> bool:
        """Return whether a worker is not declared gone; one reading of the list proves nothing."""
        row = self._state.fold.bookings.workers.get(worker)
        return row is not None and row.declared.state != "gone"

    def _should_be_listed(self, task: str, running: Running, asked_at: float) -> bool:
        """Return whether a report must list a licensed task; end one whose start was never sent."""
        state = self._state
        if task in state.planned or state.is_ending(task, running.attempt):
            return False
        if running.holder != state.holder:
            return True
        sent = state.sent_starts.get((task, running.attempt))
        if sent is None:
            state.record_task_end(task, running.attempt, NEVER_STARTED)
            return False
        return sent.at < asked_at

    def _end_reason(self, worker: str, key: Attempt, state: str) -> str:
        requested = self._state.stop_reason(worker, key)
        if state in ("stopped", "checkpointed") and requested is not None:
            return requested
        return END_REASONS.get(state, LOST)

    def _handle_running(
        self, worker: str, report: TaskReport, row: JobRow, running: Running
    ) -> None:
        run_time = self._learner.run_time(row)
        key = (report.task, report.attempt)
        self.expect_end(worker, key, None if run_time is None else run_time - report.ran)
        self._learner.record_usage(row, report.task, report.attempt, report.usage)
        self._sizes.grow(worker, report, running)
        if report.ran >= STABLE_SECONDS:
            self._quarantine.record_success(
                worker, (row.submitted.workspace, row.submitted.template)
            )

    def _record_result(self, worker: str, report: TaskReport, row: JobRow, reason: str) -> None:
        job = row.submitted
        template = (job.workspace, job.template)
        now = self._state.now()
        self._learner.record_end(row, report.task, report.attempt, report.ran, reason == "done")
        if reason == "done":
            self._quarantine.record_success(worker, template)
        elif reason == "failed":
            if not self._quarantine.record_failure(worker, template, now):
                self._retries.record_failure(
                    job.job, report.task, worker, report.ran, now, job.kind
                )
        else:
            self._quarantine.record_no_result(worker, report.task)

    def _handle_held(self, worker: str, report: TaskReport) -> None:
        if not report.ended:
            return
        key = (report.task, report.attempt)
        reason = self._end_reason(worker, key, report.state)
        self._report_to_home(worker, key, reason)
        if key not in self._reported_held_ends:
            self._reported_held_ends[key] = None
            trim(self._reported_held_ends, MAX_REPORTED_HELD_ENDS)
            self._record_held_result(worker, report.task, reason)

    def _record_held_result(self, worker: str, task: str, reason: str) -> None:
        """Record the result of a held task, by job since its template is not known here."""
        if reason == "done":
            self._quarantine.record_success(worker, ("", job_of(task)))
        elif reason == "failed":
            self._quarantine.record_failure(worker, ("", job_of(task)), self._state.now())

    def _report_to_home(self, worker: str, key: Attempt, reason: str) -> None:
        decision = self._hold_of(worker, *key)
        if decision is not None:
            hold = self._state.fold.bookings.holds[decision, key[0]]
            self.on_remote_end(RemoteEnd(hold.home, decision, *key, reason))

    def _hold_of(self, worker: str, task: str, attempt: int) -> str | None:
        """Return the decision of the hold of an attempt on a worker."""
        bookings = self._state.fold.bookings
        row = bookings.workers.get(worker)
        for decision, held in row.holds if row else ():
            if held == task and bookings.holds[decision, held].attempt == attempt:
                return decision
        return None
