"""Backoff of failed tasks, and the limits at which their job fails."""

from __future__ import annotations

MAX_FAILED_WORKERS = 3
MAX_FAILURES = 6
BATCH_BACKOFF_SECONDS = 0.5
MAX_BATCH_BACKOFF_SECONDS = 60.0
SERVICE_BACKOFF_SECONDS = 1.0
MAX_SERVICE_BACKOFF_SECONDS = 300.0
STABLE_SECONDS = 10.0


class _TaskFailures:
    """Failures of one task; ``count`` restarts after a run of `STABLE_SECONDS`."""

    def __init__(self) -> None:
        self.workers: set[str] = set()
        self.count = 0


class _JobFailures:
    """Failures of one job."""

    def __init__(self) -> None:
        self.workers: set[str] = set()
        self.tasks: dict[str, _TaskFailures] = {}


class Retries:
    """Failures by job, and the times before which tasks are not retried.

    A service is restarted without limit, with a backoff that doubles until a run reaches
    `STABLE_SECONDS`. Any other job fails when one of its tasks has failed on `MAX_FAILED_WORKERS`
    workers or `MAX_FAILURES` times, or when its tasks have failed on `MAX_FAILED_WORKERS` workers
    and none is done.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, _JobFailures] = {}
        self._not_before: dict[str, float] = {}

    def not_before(self, task: str) -> float:
        """Return the monotonic time before which a task is not retried."""
        return self._not_before.get(task, 0.0)

    def failed_workers(self, job: str) -> set[str]:
        """Return the workers on which tasks of the job have failed."""
        job_failures = self._jobs.get(job)
        return job_failures.workers if job_failures else set()

    def record_failure(
        self, job: str, task: str, worker: str, ran: float, now: float, kind: str
    ) -> None:
        """Record a failure that is not attributed to the worker."""
        job_failures = self._jobs.setdefault(job, _JobFailures())
        job_failures.workers.add(worker)
        failures = job_failures.tasks.setdefault(task, _TaskFailures())
        failures.workers.add(worker)
        count = failures.count = failures.count + 1 if ran < STABLE_SECONDS else 1
        if kind == "service":
            backoff = min(SERVICE_BACKOFF_SECONDS * 2 ** (count - 1), MAX_SERVICE_BACKOFF_SECONDS)
        else:
            backoff = min(BATCH_BACKOFF_SECONDS * 2 ** (count - 1), MAX_BATCH_BACKOFF_SECONDS)
        self._not_before[task] = now + backoff

    def failure_reason(self, job: str, kind: str, done: int) -> str:
        """Return why a job of which ``done`` tasks are done has failed, or an empty string."""
        job_failures = self._jobs.get(job)
        if job_failures is None or kind == "service":
            return ""
        if not done and len(job_failures.workers) >= MAX_FAILED_WORKERS:
            return f"tasks failed on {len(job_failures.workers)} workers"
        for task, failures in job_failures.tasks.items():
            if len(failures.workers) >= MAX_FAILED_WORKERS:
                return f"task {task} failed on {len(failures.workers)} workers"
            if failures.count >= MAX_FAILURES:
                return f"task {task} failed {failures.count} times"
        return ""

    def forget(self, job: str) -> None:
        """Remove a job that has ended."""
        job_failures = self._jobs.pop(job, None)
        if job_failures is not None:
            for task in job_failures.tasks:
                self._not_before.pop(task, None)

    def expire(self, now: float) -> bool:
        """Remove the backoffs that have ended; return whether there were any."""
        expired = [task for task, at in self._not_before.items() if at <= now]
        for task in expired:
            del self._not_before[task]
        return bool(expired)
