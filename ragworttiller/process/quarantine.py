"""Tells bad workers from bad jobs by where tasks fail."""

from __future__ import annotations

from collections import defaultdict
from enum import StrEnum

CONSECUTIVE_FAILURES = 3
UNLIKE_TEMPLATES = 2
BAD_TEMPLATE_WORKERS = 3
QUARANTINE_SECONDS = 30.0
MAX_QUARANTINE_SECONDS = 1800.0

Template = tuple[str, str]


class WorkerMode(StrEnum):
    """Standing of a worker."""

    GOOD = "good"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"
    PROBING = "probing"


class _Standing:
    """What is known of one worker."""

    def __init__(self) -> None:
        self.mode = WorkerMode.GOOD
        self.failures: list[Template] = []
        self.rounds = 0
        self.until = 0.0
        self.probe: str | None = None


class Quarantine:
    """Sets aside workers that fail tasks of unlike templates, and probes them later.

    A worker with several failures in a row and no success is suspect and gets one task at a time.
    It is set aside if the failures are of unlike templates or of one that succeeds on other
    workers. Templates that fail on several workers do not count against any. After a time that
    doubles with each round, one task is let through as a probe; its result clears the worker or
    starts the next round.
    """

    def __init__(self) -> None:
        self._standings: dict[str, _Standing] = defaultdict(_Standing)
        self._failing: dict[Template, set[str]] = defaultdict(set)
        self._working: dict[Template, set[str]] = defaultdict(set)
        self._cleared: set[str] = set()

    def mode(self, worker: str) -> WorkerMode:
        """Return the standing of a worker."""
        standing = self._standings.get(worker)
        return standing.mode if standing else WorkerMode.GOOD

    def accepts_task(self, worker: str) -> bool:
        """Return whether a worker may get a new task now."""
        standing = self._standings.get(worker)
        if standing is None or standing.mode is WorkerMode.GOOD:
            return True
        return standing.mode is not WorkerMode.QUARANTINED and standing.probe is None

    def restricted_workers(self) -> list[str]:
        """Return the workers that are suspect, quarantined or probed."""
        return [name for name, s in self._standings.items() if s.mode is not WorkerMode.GOOD]

    def pop_cleared(self) -> set[str]:
        """Return the workers that were cleared since the last call."""
        cleared, self._cleared = self._cleared, set()
        return cleared

    def start_probes(self, now: float) -> None:
        """Let the probe of each worker begin whose time is over."""
        for standing in self._standings.values():
            if standing.mode is WorkerMode.QUARANTINED and standing.until <= now:
                standing.mode = WorkerMode.PROBING
                standing.probe = None

    def record_placement(self, worker: str, task: str) -> None:
        """Take note of a task that is placed; on a doubtful worker it is the probe."""
        if self.mode(worker) in (WorkerMode.SUSPECT, WorkerMode.PROBING):
            self._standings[worker].probe = task

    def record_no_result(self, worker: str, task: str) -> None:
        """Take note that a placed task ended without a result."""
        standing = self._standings.get(worker)
        if standing is not None and standing.probe == task:
            standing.probe = None

    def record_success(self, worker: str, template: Template) -> None:
        """Take note of a task that is done, or has long been running."""
        self._working[template].add(worker)
        self._failing[template].discard(worker)
        standing = self._standings.get(worker)
        if standing is None or standing.mode is WorkerMode.QUARANTINED:
            return
        if standing.mode is not WorkerMode.GOOD:
            self._cleared.add(worker)
        del self._standings[worker]

    def record_failure(self, worker: str, template: Template, now: float) -> bool:
        """Take note of a failure; return whether the worker is to blame for it."""
        self._failing[template].add(worker)
        self._working[template].discard(worker)
        standing = self._standings[worker]
        if standing.mode is WorkerMode.QUARANTINED:
            return True
        if standing.mode is WorkerMode.PROBING:
            self._set_aside(standing, now)
            return True
        standing.failures = [*standing.failures, template][-2 * CONSECUTIVE_FAILURES :]
        standing.probe = None
        if self._to_blame(worker, standing):
            self._set_aside(standing, now)
            return True
        if len(standing.failures) >= CONSECUTIVE_FAILURES:
            standing.mode = WorkerMode.SUSPECT
        return False

    def _to_blame(self, worker: str, standing: _Standing) -> bool:
        counted = [t for t in standing.failures if not self._bad(t)]
        if len(counted) < CONSECUTIVE_FAILURES:
            return False
        templates = set(counted)
        if len(templates) >= UNLIKE_TEMPLATES:
            return True
        return bool(self._working[counted[0]] - {worker})

    def _bad(self, template: Template) -> bool:
        """Return whether a template fails on workers that others do not fail on."""
        suspects = {
            worker
            for worker in self._failing[template]
            if self.mode(worker) in (WorkerMode.GOOD, WorkerMode.SUSPECT)
            and set(self._standings[worker].failures) <= {template}
        }
        return len(suspects) >= BAD_TEMPLATE_WORKERS and not self._working[template]

    def _set_aside(self, standing: _Standing, now: float) -> None:
        pause = min(QUARANTINE_SECONDS * 2**standing.rounds, MAX_QUARANTINE_SECONDS)
        standing.mode = WorkerMode.QUARANTINED
        standing.rounds += 1
        standing.until = now + pause
        standing.probe = None
        standing.failures.clear()
