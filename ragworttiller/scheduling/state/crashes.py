"""Crashes of runners under their tasks, and losses of runners that may only be out of reach.

Silence proves nothing: a runner counts as crashed only once another boot answers in its place.
Until then its loss is kept under its tasks. It counts later, or is dropped if the boot answers.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator, Sequence, Set
from typing import NamedTuple

from ragworttiller.exceptions import Unreadable
from ragworttiller.platform.boots import replaces
from ragworttiller.platform.names import task_id
from ragworttiller.scheduling.decisions.crash_blame import (
    MAX_CRASH_SECONDS,
    SAME_START_SECONDS,
    blame_runs,
)
from ragworttiller.scheduling.decisions.crash_rules import gives_up, trial_seconds
from ragworttiller.scheduling.records.formats import Blame, Crash, Loss, Withdrawn
from ragworttiller.scheduling.state.active_jobs import ActiveJobs
from ragworttiller.scheduling.state.jobs import TaskId
from ragworttiller.scheduling.state.orders import run_fields
from ragworttiller.scheduling.state.runner_pool import RunnerPool
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, Stage
from ragworttiller.scheduling.state.takeover import Takeover

log = logging.getLogger(__name__)

# A boot of which nothing was heard for so long is not attributed to its tasks any more.
MAX_LOSS_SECONDS = 60.0


class _Silent(NamedTuple):
    """Boot that may have crashed: its address, when it was lost, and the tasks concerned."""

    address: str
    since: float
    tasks: list[TaskId]


class Crashes:
    """Records under which tasks runners have crashed, or may have.

    Parameters
    ----------
    jobs : ActiveJobs
        Jobs of the tasks.
    pool : RunnerPool
        Runners of the cell.
    takeover : Takeover
        Runners on which an earlier owner's tasks may still run.
    """

    def __init__(self, jobs: ActiveJobs, pool: RunnerPool, takeover: Takeover) -> None:
        self._jobs = jobs
        self._pool = pool
        self._takeover = takeover
        self._silent: dict[str, _Silent] = {}

    def blame(self, runner: RunnerState, now: float) -> list[tuple[Run, Crash]]:
        """Return the runs that a lost runner may have crashed of, each with what speaks for it."""
        proved = _ended_before_its_leases(runner)
        explained = self._addresses_of_tried(runner)
        alone = self._pool.was_lost_alone(runner)
        alone = alone and not self._pool.others_are_unsound(explained, now)
        return blame_runs(runner, alone, proved, now)

    def _addresses_of_tried(self, runner: RunnerState) -> Set[str]:
        """Return the addresses at which runners have crashed under the tasks tried on one."""
        addresses = {runner.entry.address}
        for run in runner.runs.values():
            stage = self._jobs.stage(run.task.stage) if run.trial else None
            if stage is not None:
                rows = stage.crashes.get(run.task.ordinal, ())
                addresses.update(row.address for row in rows)
        return addresses

    def record_lost(
        self, runner: RunnerState, blamed: Sequence[tuple[Run, Crash]], now: float
    ) -> None:
        """Record the loss of a runner under tasks: as a crash if another boot answers."""
        proved = runner.ended_at is not None
        for run, crash in blamed:
            if proved:
                self._record_crash(run.task, crash)
            else:
                self._record_loss(run.task, crash, runner.entry.address, now)
        if not proved and self._has_ended(runner.id, runner.entry.address):
            self._record_proof(runner.id)

    def record_answer(self, runner: RunnerState) -> None:
        """Record that a boot has answered, which then has not crashed."""
        if runner.id in self._silent:
            self._drop(runner.id, "it answers again")

    def record_later_boot(self, runner: RunnerState) -> None:
        """Record the first answer of a boot, which proves that others have ended."""
        for name, row in list(self._silent.items()):
            if _stands_in(runner, name, row.address):
                self._record_proof(name)

    def record_ended(self, runner: RunnerState) -> None:
        """Record that another boot answers in place of one."""
        if runner.id in self._silent:
            self._record_proof(runner.id)

    def settle(self, now: float) -> None:
        """Record what an earlier owner had seen begin, and drop losses without proof."""
        self._settle_losses(now)
        for row in self._takeover.take_lost():
            self._settle_withdrawn(row, now)
        self._settle_trials(now)
        for name, silent in list(self._silent.items()):
            if now - silent.since > MAX_LOSS_SECONDS:
                self._drop(name, "nothing was heard of it")

    def clear_outlived(self, stage: Stage, run: Run, now: float) -> None:
        """Clear a task that has run for longer than it took its runners to crash."""
        index = run.task.ordinal
        crashes, losses = stage.crashes.get(index, []), stage.losses.get(index, [])
        if not crashes and not losses:
            return
        work = self._jobs.by_id.get(stage.id.job)
        rows = [*crashes, *(_crash(loss) for loss in losses)]
        if work is None or now - run.started_at < trial_seconds(rows):
            return
        extra = {**run_fields(run), "crashes": len(crashes), "losses": len(losses)}
        log.info("task cleared of crashes", extra=extra)
        stage.clear_crashes(index)
        self._jobs.mark_changed(work)

    def _settle_losses(self, now: float) -> None:
        """Take over the losses that an earlier owner recorded without proof."""
        while self._jobs.inherited_losses:
            stage = self._jobs.stage(self._jobs.inherited_losses.pop())
            if stage is None:
                continue
            for index, rows in list(stage.losses.items()):
                stage.lost_at[index] = now
                for row in list(rows):
                    self._watch(TaskId(stage.id, index), row, now)
                    self._settle_known(row.runner, row.address)

    def _settle_withdrawn(self, row: Withdrawn, now: float) -> None:
        """Settle the tasks that were on a runner that had fallen silent before the takeover."""
        rows = list(_tasks(row))
        tried = self._tried_last(row.runner, rows)
        for position, (task, seconds) in enumerate(rows):
            stage = self._jobs.stage(task.stage)
            if stage is None or task.ordinal not in stage.waiting:
                continue
            if tried and task not in tried:
                self._acquit(stage, task, row.runner)
            elif seconds <= MAX_CRASH_SECONDS:
                latest = position < row.latest
                self._record_inherited(task, row.runner, row.address, latest, seconds, now)

    def _tried_last(self, boot: str, rows: Sequence[tuple[TaskId, float]]) -> Set[TaskId]:
        """Return the tasks whose trial explains the loss of a boot to the others, if there are any.

        As for the runs of this owner, nothing has started beside a trial that started last, alone.
        Tasks that were adopted together, or whose seconds are unknown, are not told apart, unless
        they are the members of one gang that were tried together.
        """
        if not rows:
            return frozenset()
        first, latest = rows[0]
        stage = self._jobs.stage(first.stage)
        trials = _open_trials(stage) if stage is not None else {}
        if stage is None or trials.get(first.ordinal) != boot:
            return frozenset()
        tried = {first}
        if stage.spec.gang:
            tried |= {TaskId(stage.id, index) for index, on in trials.items() if on == boot}
        others = [seconds for task, seconds in rows if task not in tried]
        if any(seconds <= latest + SAME_START_SECONDS for seconds in others):
            return frozenset()
        return tried

    def _acquit(self, stage: Stage, task: TaskId, boot: str) -> None:
        """Drop an earlier trial on a boot that was lost under the trial of another task."""
        if stage.trials.get(task.ordinal) != boot:
            return
        del stage.trials[task.ordinal]
        work = self._jobs.by_id.get(task.stage.job)
        if work is not None:
            self._jobs.mark_changed(work)

    def _settle_trials(self, now: float) -> None:
        """Settle the trials of an earlier owner whose runner has answered or lost its leases."""
        for name in list(self._jobs.inherited_trials):
            stage = self._jobs.stage(name)
            for index, boot in (_open_trials(stage) if stage is not None else {}).items():
                if self._takeover.is_unresolved(boot):
                    continue
                assert stage is not None
                del stage.trials[index]
                runner = self._pool.runners.get(boot)
                if runner is None or not runner.has_answered:
                    address = stage.trial_addresses.get(index, "")
                    self._record_inherited(TaskId(name, index), boot, address, True, 0.0, now)
            if stage is None or not _open_trials(stage):
                self._jobs.inherited_trials.discard(name)

    def _record_inherited(
        self, task: TaskId, boot: str, address: str, latest: bool, seconds: float, now: float
    ) -> None:
        """Record the loss of a runner of which the earlier owner knew the tasks."""
        runner = self._pool.runners.get(boot)
        if runner is not None:
            address = runner.entry.address
        if self._has_ended(boot, address):
            blame = Blame.LATEST if latest else Blame.BESIDE
            self._record_crash(task, Crash(boot, seconds, str(blame), address=address))
        else:
            self._record_loss(task, Crash(boot, seconds, str(Blame.BESIDE)), address, now)

    def _settle_known(self, boot: str, address: str) -> None:
        """Settle the loss of a boot if it is known already what became of it."""
        runner = self._pool.runners.get(boot)
        if runner is not None and runner.has_answered and not runner.lost:
            self._drop(boot, "it answers again")
        elif self._has_ended(boot, address):
            self._record_proof(boot)

    def _has_ended(self, boot: str, address: str) -> bool:
        """Return whether another boot has answered or is listed in place of one.

        At the address of a boot, one before it may have answered too, but not after it.
        """
        if self._pool.has_ended(boot):
            return True
        runner = self._pool.runners.get(boot)
        heard_at = runner.last_answer_at if runner is not None else float("-inf")
        return any(
            replaces(other.id, boot)
            or (other.last_answer_at > heard_at and _stands_in(other, boot, address))
            for other in self._pool.runners.values()
        )

    def _record_loss(self, task: TaskId, crash: Crash, address: str, now: float) -> None:
        """Record the loss of a runner that may only be out of reach, to be settled later."""
        stage, work = self._jobs.stage(task.stage), self._jobs.by_id.get(task.stage.job)
        if stage is None or work is None or task.ordinal in stage.done:
            return
        loss = Loss(crash.runner, address, crash.seconds, crash.blame, crash.alone)
        stage.add_loss(task.ordinal, loss, now)
        self._watch(task, loss, now)
        losses = len(stage.losses[task.ordinal])
        extra = {"task": str(task), **crash._asdict(), "losses": losses}
        log.info("silent runner lost under a task", extra=extra)
        self._jobs.mark_changed(work)

    def _watch(self, task: TaskId, loss: Loss, now: float) -> None:
        """Note that the loss of a boot under a task is to be settled."""
        row = self._silent.setdefault(loss.runner, _Silent(loss.address, now, []))
        row.tasks.append(task)

    def _record_proof(self, boot: str) -> None:
        """Record the loss of a boot as a crash."""
        for task, loss in self._take_losses(boot):
            self._record_crash(task, _crash(loss))

    def _drop(self, boot: str, reason: str) -> None:
        """Drop the loss of a boot, which then counts under no task."""
        names = []
        for task, _ in self._take_losses(boot):
            names.append(str(task))
            work = self._jobs.by_id.get(task.stage.job)
            if work is not None:
                self._jobs.mark_changed(work)
        if names:
            extra = {"runner": boot, "why": reason, "tasks": names}
            log.info("loss of a runner not attributed", extra=extra)

    def _take_losses(self, boot: str) -> list[tuple[TaskId, Loss]]:
        """Return the losses under the tasks of a boot, which are then settled."""
        silent = self._silent.pop(boot, None)
        taken = []
        for task in silent.tasks if silent is not None else []:
            stage = self._jobs.stage(task.stage)
            loss = stage.take_loss(task.ordinal, boot) if stage is not None else None
            if loss is not None:
                taken.append((task, loss))
        return taken

    def _record_crash(self, task: TaskId, crash: Crash) -> None:
        """Record the crash of a runner under a task, which may be given up for it."""
        stage, work = self._jobs.stage(task.stage), self._jobs.by_id.get(task.stage.job)
        if stage is None or work is None or task.ordinal in stage.done:
            return
        stage.add_crash(task.ordinal, crash)
        rows = stage.crashes[task.ordinal]
        extra = {"task": str(task), **crash._asdict(), "crashes": len(rows)}
        log.warning("runner lost under a task", extra={**extra, "gives_up": gives_up(rows)})
        self._jobs.mark_changed(work)


def _ended_before_its_leases(runner: RunnerState) -> bool:
    """Return whether a boot had ended before its leases, provided that it has ended at all.

    Another boot answered by then, or nothing listened at its address, unlike at that of a runner
    that is out of reach.
    """
    return any(
        at is not None and not runner.lease_expired(at)
        for at in (runner.ended_at, runner.refused_since)
    )


def _stands_in(runner: RunnerState, boot: str, address: str) -> bool:
    """Return whether an answer of a runner proves that another boot has ended."""
    if runner.id == boot:
        return False
    return replaces(runner.id, boot) or bool(address) and runner.entry.address == address


def _open_trials(stage: Stage) -> dict[int, str]:
    """Return the trials of which no run is known, by index of their task."""
    return {index: boot for index, boot in stage.trials.items() if index in stage.waiting}


def _tasks(row: Withdrawn) -> Iterator[tuple[TaskId, float]]:
    """Yield the tasks that a claim names on a runner, as far as they are readable.

    Each comes with the seconds for which it had run, 0 if unknown.
    """
    for position, name in enumerate(row.tasks):
        seconds = row.seconds[position] if position < len(row.seconds) else 0.0
        try:
            yield task_id(name), seconds
        except Unreadable as exc:
            log.warning("unreadable task of a claim skipped", extra={"why": str(exc)})


def _crash(loss: Loss) -> Crash:
    """Return a loss as the crash that it counts as once the end of the boot is proved."""
    return Crash(loss.runner, loss.seconds, loss.blame, loss.alone, loss.address)
