"""Summary of the load of a cell, which its owner publishes with its claim."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.scheduling.decisions.pressure import (
    UpstreamRunners,
    WaitingWork,
    WorkspaceUse,
    beyond_share,
    expected_wait,
    is_full,
    total,
    unusable_room,
)
from ragworttiller.scheduling.decisions.queue_order import LATE_FACTOR, OrderInputs
from ragworttiller.scheduling.records.formats import Pressure, PressureRow
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.state.active_jobs import ActiveJobs
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.runner_pool import RunnerPool
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage
from ragworttiller.scheduling.state.takeover import Takeover
from ragworttiller.scheduling.state.workspaces import NO_WORKSPACE

# All entries read the claim twice a second.
MAX_ROWS = 64
# Claims between the renewals, each 0.5 s, carry the last summary: it takes milliseconds to compute.
MIN_INTERVAL_SECONDS = 0.4
MAX_WORKSPACES = 64


class PressureMeter:
    """Computes how long a new job waits, by upstream and priority.

    Parameters
    ----------
    pool : RunnerPool
        Runners of the cell.
    active : ActiveJobs
        Active jobs.
    takeover : Takeover
        Runners on which an earlier owner's tasks may still run.
    config : QueueFold
        Current configuration.
    """

    def __init__(
        self, pool: RunnerPool, active: ActiveJobs, takeover: Takeover, config: QueueFold
    ) -> None:
        self._pool = pool
        self._active = active
        self._takeover = takeover
        self._config = config
        self._last = Pressure(0.0, [], [])
        self._measured_at = float("-inf")

    def summary(self, now: float, wall: float) -> Pressure:
        """Return a recent summary, given the time in seconds, and in seconds since the epoch."""
        if now - self._measured_at >= MIN_INTERVAL_SECONDS:
            self._last, self._measured_at = self._measure(now, wall), now
        return self._last

    def _measure(self, now: float, wall: float) -> Pressure:
        reserved = self._reserved()
        work = [row for row in self._waiting(now, wall) if not self._at_cap(row, reserved)]
        runners = self._runners()
        beyond = self._beyond_share(reserved, work, runners)
        rows = [
            row
            for upstream, priority in self._levels()
            if upstream in runners
            and (row := _row(upstream, priority, work, runners[upstream], set(beyond)))
        ]
        rows.sort(key=lambda row: -row.wait)
        return Pressure(wall, rows[:MAX_ROWS], beyond[:MAX_WORKSPACES])

    def _levels(self) -> set[tuple[str, int]]:
        """Return the upstreams and priorities of the queues."""
        current = self._config.current
        queues = current.queues if current is not None else ()
        return {(queue.upstream, queue.priority) for queue in queues}

    def _reserved(self) -> dict[str, Resources]:
        """Return what the runs of each workspace reserve."""
        found: dict[str, Resources] = {}
        for work in self._active.by_id.values():
            name = _workspace(work)
            for stage in work.stages.values():
                if count := len(stage.active_runs):
                    size = _times(stage.spec.reservation, count)
                    found[name] = found.get(name, NO_RESOURCES).plus(size)
        return found

    def _waiting(self, now: float, wall: float) -> Iterator[WaitingWork]:
        """Yield the tasks that wait for room before a new job does."""
        for work in self._active.by_id.values():
            if not work.open:
                continue
            known: dict[int, OrderInputs] = {}
            for stage in work.ready(wall):
                if self._takeover.blocks(work.row, stage):
                    continue
                # A stage that needs a label waits for some of the runners only.
                if not stage.spec.label and not _is_hopeless(work, stage, now, wall, known):
                    yield WaitingWork(
                        work.queue.upstream,
                        work.queue.priority,
                        _workspace(work),
                        len(stage.waiting),
                        stage.spec.reservation,
                        stage.spec.estimate,
                    )

    def _at_cap(self, row: WaitingWork, reserved: dict[str, Resources]) -> bool:
        """Return whether tasks wait for the cap of their workspace and not for room."""
        workspace = self._config.workspaces.get(row.workspace)
        if workspace is None:
            return False
        needed = reserved.get(row.workspace, NO_RESOURCES).plus(row.size)
        return any(cap and need > cap for need, cap in zip(needed, workspace.cap, strict=True))

    def _runners(self) -> dict[str, UpstreamRunners]:
        """Return what is free on the runners of each upstream, also on those out of reach."""
        by_upstream: dict[str, list[RunnerState]] = {}
        for runner in self._pool.runners.values():
            if not (runner.lost or runner.entry.draining) and runner.listed:
                by_upstream.setdefault(runner.entry.upstream, []).append(runner)
        return {
            upstream: UpstreamRunners(
                [runner.free for runner in rows],
                total([runner.free_of_lasting_tasks for runner in rows]),
            )
            for upstream, rows in by_upstream.items()
        }

    def _beyond_share(
        self,
        reserved: dict[str, Resources],
        work: Sequence[WaitingWork],
        runners: dict[str, UpstreamRunners],
    ) -> list[str]:
        names = reserved.keys() | {row.workspace for row in work}
        uses = {
            name: WorkspaceUse(reserved.get(name, NO_RESOURCES), workspace.weight)
            for name in names
            if (workspace := self._config.workspaces.get(name)) is not None
        }
        return beyond_share(uses, total([row.capacity for row in runners.values()]))


def _row(
    upstream: str,
    priority: int,
    work: Sequence[WaitingWork],
    runners: UpstreamRunners,
    beyond: set[str],
) -> PressureRow | None:
    """Return the row of an upstream and a priority, None unless it is full for that priority."""
    ahead = [row for row in work if row.upstream == upstream and row.priority <= priority]
    if not is_full(ahead, runners.free):
        return None
    room = unusable_room(ahead, runners.free)
    wait = expected_wait(ahead, runners.capacity)
    within = [row for row in ahead if row.priority < priority or row.workspace not in beyond]
    wait_within = 0.0
    if is_full(within, runners.free):
        wait_within = expected_wait(within, runners.capacity)
    return PressureRow(upstream, priority, round(wait, 3), round(wait_within, 3), room)


def _is_hopeless(
    work: JobWork, stage: Stage, now: float, wall: float, known: dict[int, OrderInputs]
) -> bool:
    """Return whether a job will be so late that all others come before it."""
    inputs = work.order_inputs(stage, now, wall, known)
    end = now + inputs.remaining
    return not inputs.lasts and end > inputs.since + LATE_FACTOR * inputs.objective


def _workspace(work: JobWork) -> str:
    accepted = work.row.accepted
    return accepted.workspace if accepted is not None else NO_WORKSPACE


def _times(size: Resources, count: int) -> Resources:
    return Resources(*(count * amount for amount in size))
