"""Distinguishes faulty workers from faulty jobs by where tasks fail."""

from __future__ import annotations

from collections import defaultdict
from enum import StrEnum

MIN_CONSECUTIVE_FAILURES = 3
MIN_DISTINCT_TEMPLATES = 2
MIN_BAD_TEMPLATE_WORKERS = 3
QUARANTINE_SECONDS = 30.0
MAX_QUARANTINE_SECONDS = 1800.0

TemplateKey = tuple[str, str]


class WorkerMode(StrEnum):
    """Mode of a worker, which depends on the failures of its tasks."""

    GOOD = "good"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"
    PROBING = "probing"


class _WorkerHealth:
    """Mode, recent failures and probe of one worker."""

    def __init__(self) -> None:
        self.mode = WorkerMode.GOOD
        self.failures: list[TemplateKey] = []
        self.quarantines = 0
        self.until = 0.0
        self.probe_task: str | None = None


class Quarantine:
    """Quarantines workers that fail tasks of different templates, and probes them later.

    A worker with several failures in a row and no success is suspect and gets one task at a time.
    It is quarantined if the failures are of different templates or of one that succeeds on other
    workers. Failures of a template that fails on several workers count against no worker. After a
    time that doubles with each quarantine, the worker gets one task as a probe; the result of the
    probe clears the worker or starts the next quarantine.
    """

    def __init__(self) -> None:
        self._health: dict[str, _WorkerHealth] = defaultdict(_WorkerHealth)
        self._failed_on: dict[TemplateKey, set[str]] = defaultdict(set)
        self._succeeded_on: dict[TemplateKey, set[str]] = defaultdict(set)
        self._cleared: set[str] = set()

    def mode(self, worker: str) -> WorkerMode:
        """Return the mode of a worker."""
        health = self._health.get(worker)
        return health.mode if health else WorkerMode.GOOD

    def accepts_task(self, worker: str) -> bool:
        """Return whether a worker may get a new task now."""
        health = self._health.get(worker)
        if health is None or health.mode is WorkerMode.GOOD:
            return True
        return health.mode is not WorkerMode.QUARANTINED and health.probe_task is None

    def restricted_workers(self) -> list[str]:
        """Return the workers that are suspect, quarantined or on probe."""
        return [name for name, health in self._health.items() if health.mode is not WorkerMode.GOOD]

    def pop_cleared(self) -> set[str]:
        """Return the workers cleared since the last call."""
        cleared, self._cleared = self._cleared, set()
        return cleared

    def start_probes(self, now: float) -> None:
        """Begin the probe of each worker whose quarantine is over; it then accepts one task."""
        for health in self._health.values():
            if health.mode is WorkerMode.QUARANTINED and health.until <= now:
                health.mode = WorkerMode.PROBING
                health.probe_task = None

    def record_placement(self, worker: str, task: str) -> None:
        """Record a placed task; on a suspect or probed worker it becomes the probe."""
        if self.mode(worker) in (WorkerMode.SUSPECT, WorkerMode.PROBING):
            self._health[worker].probe_task = task

    def record_no_result(self, worker: str, task: str) -> None:
        """Record that a placed task ended without a result."""
        health = self._health.get(worker)
        if health is not None and health.probe_task == task:
            health.probe_task = None

    def record_success(self, worker: str, template: TemplateKey) -> None:
        """Record a task that is done or has been running for long."""
        self._succeeded_on[template].add(worker)
        self._failed_on[template].discard(worker)
        health = self._health.get(worker)
        if health is None or health.mode is WorkerMode.QUARANTINED:
            return
        if health.mode is not WorkerMode.GOOD:
            self._cleared.add(worker)
        del self._health[worker]

    def record_failure(self, worker: str, template: TemplateKey, now: float) -> bool:
        """Record a failure; return whether it is attributed to the worker."""
        self._failed_on[template].add(worker)
        self._succeeded_on[template].discard(worker)
        health = self._health[worker]
        if health.mode is WorkerMode.QUARANTINED:
            return True
        if health.mode is WorkerMode.PROBING:
            self._quarantine(health, now)
            return True
        health.failures = [*health.failures, template][-2 * MIN_CONSECUTIVE_FAILURES :]
        health.probe_task = None
        if self._is_faulty(worker, health):
            self._quarantine(health, now)
            return True
        if len(health.failures) >= MIN_CONSECUTIVE_FAILURES:
            health.mode = WorkerMode.SUSPECT
        return False

    def _is_faulty(self, worker: str, health: _WorkerHealth) -> bool:
        counted = [t for t in health.failures if not self._is_bad_template(t)]
        if len(counted) < MIN_CONSECUTIVE_FAILURES:
            return False
        templates = set(counted)
        if len(templates) >= MIN_DISTINCT_TEMPLATES:
            return True
        return bool(self._succeeded_on[counted[0]] - {worker})

    def _is_bad_template(self, template: TemplateKey) -> bool:
        """Return whether the template itself is faulty.

        A faulty one succeeds on no worker, and fails on several on which no other template failed.
        """
        failed_workers = {
            worker
            for worker in self._failed_on[template]
            if self.mode(worker) in (WorkerMode.GOOD, WorkerMode.SUSPECT)
            and set(self._health[worker].failures) <= {template}
        }
        return len(failed_workers) >= MIN_BAD_TEMPLATE_WORKERS and not self._succeeded_on[template]

    def _quarantine(self, health: _WorkerHealth, now: float) -> None:
        seconds = min(QUARANTINE_SECONDS * 2**health.quarantines, MAX_QUARANTINE_SECONDS)
        health.mode = WorkerMode.QUARANTINED
        health.quarantines += 1
        health.until = now + seconds
        health.probe_task = None
        health.failures.clear()
