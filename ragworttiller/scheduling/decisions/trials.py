"""Trials of tasks that are suspected of crashing runners: the choice of a runner, and the start."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping, Set

from ragworttiller.scheduling.decisions.crash_blame import has_just_started
from ragworttiller.scheduling.decisions.crash_rules import exclusive_seconds
from ragworttiller.scheduling.state.orders import run_fields
from ragworttiller.scheduling.state.runner_pool import RunnerPool
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, Stage

log = logging.getLogger(__name__)

MAX_TRIAL_SHARE = 0.25
# What a lasting task on the runner counts, in seconds of its work: it has to be placed again.
LASTING_TASK_SECONDS = 10.0
# What a runner that has crashed lately counts, in thousandths of a core times seconds.
UNSOUND_COST = 1e6
# A runner that was out of reach for longer than its leases may be so again within this time.
RETURN_SECONDS = 20.0
# What such a runner counts, in thousandths of a core times seconds: if its lease expires during the
# trial, nothing is proved.
RETURN_COST = 2e4
OVERDUE_TRIAL_INTERVAL_SECONDS = 1.5


class Trials:
    """Trials of one planning pass.

    Load pattern: a crash leaves a few suspected tasks, and a rack that crashes leaves dozens at
    once. Each is tried where the least work is lost if its runner crashes, and only a share of the
    runners has a trial at a time, so that all other tasks go on starting. A runner that was out of
    reach is empty when it answers again, and is not chosen for that alone. Nor is one on which
    tasks start at the same moment: if it crashed, they would be blamed as well.
    """

    def __init__(self) -> None:
        self._slots = 0
        self._now = 0.0

    def begin(self, runners: int, on_trial: int, now: float) -> None:
        """Start a new planning pass.

        Parameters
        ----------
        runners, on_trial : int
            Number of runners on which tasks may start, and of those with a trial beside them.
        now : float
            Time in seconds.
        """
        most = max(int((runners + on_trial) * MAX_TRIAL_SHARE), 1)
        self._slots = most - on_trial
        self._now = now

    def may_exceed_share(self, stage: Stage) -> bool:
        """Return whether a trial of an overdue stage may exceed the share of runners.

        Its tasks do so one after the other, so that they do not close all runners at once.
        """
        return stage.overdue and self._now - stage.last_trial_at > OVERDUE_TRIAL_INTERVAL_SECONDS

    def choose(
        self,
        runners: Iterable[RunnerState],
        must_start: bool = False,
        in_gang: bool = False,
    ) -> RunnerState | None:
        """Return the runner for one more trial, None if there is none now.

        Parameters
        ----------
        runners : iterable of RunnerState
            Runners that can take the task.
        must_start : bool
            Whether the trial may exceed the share: a gang starts whole or not at all, and a lasting
            task may wait for a short time only.
        in_gang : bool
            Whether the task belongs to a gang, which may start beside tasks that have just started:
            it would seldom find enough runners without any.
        """
        if self._slots <= 0 and not must_start:
            return None
        if not in_gang:
            runners = [r for r in runners if not has_just_started(r, self._now)]
        chosen = min(runners, key=self._harm, default=None)
        if chosen is not None:
            self._slots -= 1
        return chosen

    def _harm(self, runner: RunnerState) -> float:
        """Return the work that is lost if a runner crashes, in thousandths of a core times s."""
        harm = UNSOUND_COST if self._now < runner.unsound_until else 0.0
        if self._now - runner.returned_at < RETURN_SECONDS:
            harm += RETURN_COST
        for run in runner.runs.values():
            seconds = LASTING_TASK_SECONDS
            if not run.spec.daemon:
                seconds = 0.0 if run.checkpoint else self._now - run.started_at
            harm += run.reservation.cpu * (seconds + 1.0)
        return harm


def tried_tasks(stage: Stage, chosen: Mapping[int, str]) -> Set[int]:
    """Return which of the tasks that start are trials, given the runner of each.

    Members of a gang that start on one runner cannot be told apart if it crashes, so that all of
    them are tried there if one is suspected.
    """
    if not stage.crashes:
        return frozenset()
    suspects = {index for index in chosen if stage.is_suspect(index)}
    if not stage.spec.gang:
        return suspects
    runners = {chosen[index] for index in suspects}
    return {index for index, runner in chosen.items() if runner in runners}


def begin_trial(pool: RunnerPool, stage: Stage, run: Run, runner: RunnerState, now: float) -> None:
    """Record that a run is a trial, and start nothing else beside it for a while.

    Parameters
    ----------
    pool : RunnerPool
        Runners of the cell.
    stage : Stage
        Stage of the task.
    run, runner : Run, RunnerState
        Run of the task, and the runner on which it starts.
    now : float
        Time in seconds.
    """
    index = run.task.ordinal
    rows = stage.crashes.get(index, [])
    seconds = exclusive_seconds(rows)
    stage.trials[index] = runner.id
    stage.last_trial_at = now
    stage.trial_addresses[index] = runner.entry.address
    pool.begin_trial(runner, run, now + seconds)
    extra = {**run_fields(run), "crashes": len(rows), "seconds": round(seconds, 3)}
    log.info("suspected task is tried", extra={**extra, "beside": len(runner.runs) - 1})
