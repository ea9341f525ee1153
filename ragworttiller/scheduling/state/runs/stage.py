"""A stage of an active job: its tasks, and the runs of these tasks."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator
from functools import partial
from itertools import chain
from statistics import median
from sys import intern

from ragworttiller.lazy_members import LazyMembers
from ragworttiller.scheduling.decisions.crash_rules import is_suspect, proof_wait_seconds
from ragworttiller.scheduling.records.formats import (
    Blame,
    Crash,
    Loss,
    StageProgress,
    decode_bitmap,
    encode_bitmap,
)
from ragworttiller.scheduling.state.jobs import StageId, StepSpec, TaskId
from ragworttiller.scheduling.state.runs.cap_hold import CapHold
from ragworttiller.scheduling.state.runs.failure_record import FailureRecord
from ragworttiller.scheduling.state.runs.placements import Placements
from ragworttiller.scheduling.state.runs.run import Run, RunState
from ragworttiller.scheduling.state.runs.task_wait import TaskWait
from ragworttiller.scheduling.state.runs.waiting_tasks import WaitingTasks
from ragworttiller.scheduling.state.tickets import Tickets
from ragworttiller.scheduling.state.workspaces import NO_WORKSPACE

RUNS_PER_EPOCH = 10_000
# Durations kept of a stage; its median hardly changes with more of them.
MAX_DURATIONS = 64
# Fewer may be the quickest of a stage only.
MIN_ENDED_SIBLINGS = 3
MAX_ENDED_SIBLINGS = 31
QUEUE_PREFIX = "queue:"


class Stage(LazyMembers):
    """One step of one occurrence, with the state of each of its tasks.

    While the job is open, every task is in exactly one of ``done``, ``waiting`` and
    ``active_runs``. The last task in ``waiting`` starts first: of a lasting step the one that has
    waited for the longest, of others the one that ended last. A task of a speculative step may
    have a second run, in ``copies``, beside the one in ``active_runs``.

    Parameters
    ----------
    stage : StageId
        Identifier of the stage.
    spec : StepSpec
        Step that the stage executes.
    workspace : str
        Workspace of its job, empty for none.
    queue : str
        Key of the queue of its job, which stands for the image if the step names none.

    Attributes
    ----------
    image : str
        Name under which tasks that behave alike are known.
    ready_since : float or None
        Time in seconds from which its tasks could start, None before the first planning pass then.
    begun : bool
        Whether a runner is known to have begun a run that has ended, or that was found. The order
        of a start alone does not count: it may be refused, or never arrive.
    idle_since : float or None
        Time in seconds of the first planning pass since when none of its tasks has started, None if
        there was none.
    tries_failed_on_probation : bool
        Whether tasks that have failed may start on runners on probation, for want of others.
    joins_probes : bool
        Whether its tasks start on runners on probation beside a probe, and several at a time.
    overdue : bool
        Whether its tasks have waited for so long that they may start on runners on probation and in
        reserved room, and if they last also on suspended runners. The advisor is then called for
        lasting ones first.
    requeued_at : dict of int to float
        Time in seconds at which the last run of a task ended without completing it, by index.
    waits : dict of int to TaskWait
        Waits of its lasting tasks for a run, by index, until the run is known to have started.
    preemptions : Counter
        Number of runs of each task that were stopped for more urgent tasks.
    preemption_checked_at : float
        Time in seconds of the last search for runs to stop for it.
    reserved_on : set of str
        Runners on which room was reserved for it in the last planning pass.
    reserved_since : float or None
        Time in seconds since when room is reserved for it, None if there is no reservation.
    failures : FailureRecord
        Where its tasks have failed lately.
    crashes : dict of int to list of Crash
        Runners that crashed under a task since it last outlived its trial, by index.
    losses : dict of int to list of Loss
        Runners lost under a task since then that may only be out of reach, by index.
    lost_at : dict of int to float
        Time in seconds at which this owner learnt of the last of them, by index.
    trials : dict of int to str
        Runner on which a task is tried, by index.
    last_trial_at : float
        Time in seconds at which the last trial of one of its tasks began, -inf before the first.
    trial_addresses : dict of int to str
        Address of the runner on which a task was last tried, by index.
    cap_hold : CapHold
        Time for which the cap of its workspace has kept its tasks waiting.
    certain : set of int
        Tasks that this owner has started or found running, so that all their runs are known to it.
    placements : Placements
        Runners on which its tasks were last to start, empty unless they last.
    last_failed_runner : dict of int to str
        Runner that a task avoids at its next start, by index.
    copies : dict of int to Run
        Second run of a task, by index; the task is also in ``active_runs``.
    surplus : dict
        Runs, by task and number, that are being stopped because the other run of their task was
        done first.
    successors : dict of int to str
        Runner on which room is reserved for the next run of a task, by index, while the present run
        is being stopped.
    moves : Counter
        Number of runs of each task that were stopped to go on elsewhere.
    copies_started : Counter
        Number of copies that this owner has started of each task.
    durations : deque of float
        Durations in seconds of the last runs that were done from start to end.
    waits_for_fast_since : float or None
        Time in seconds since when tasks wait for a fast runner though a slow one has room, None if
        none do.
    ended_seconds : float or None
        Usual duration in seconds of its ended tasks on a runner of mean speed, None if too few have
        ended.
    """

    __slots__ = (
        "_last_run_numbers",
        "_recent_seconds",
        "active_runs",
        "begun",
        "blocked_since",
        "cap_hold",
        "certain",
        "checkpoints",
        "copies",
        "copies_started",
        "crashes",
        "done",
        "durations",
        "ended_seconds",
        "failed_runs",
        "failures",
        "id",
        "idle_since",
        "image",
        "joins_probes",
        "last_failed_runner",
        "last_trial_at",
        "losses",
        "lost_at",
        "moves",
        "overdue",
        "placements",
        "preemption_checked_at",
        "preemptions",
        "ready_since",
        "requeued_at",
        "reserved_on",
        "reserved_since",
        "spec",
        "successors",
        "surplus",
        "tickets",
        "trial_addresses",
        "trials",
        "tries_failed_on_probation",
        "waiting",
        "waits",
        "waits_for_fast_since",
        "workspace",
    )

    MAKERS = {
        "done": set,
        "active_runs": dict,
        "copies": dict,
        "surplus": dict,
        "successors": dict,
        "moves": Counter,
        "copies_started": Counter,
        "durations": partial(deque, maxlen=MAX_DURATIONS),
        "failed_runs": dict,
        "checkpoints": dict,
        "failures": FailureRecord,
        "crashes": dict,
        "losses": dict,
        "lost_at": dict,
        "trials": dict,
        "trial_addresses": dict,
        "certain": set,
        "placements": Placements,
        "last_failed_runner": dict,
        "tickets": Tickets,
        "requeued_at": dict,
        "waits": dict,
        "preemptions": Counter,
        "reserved_on": set,
        "cap_hold": CapHold,
        "_recent_seconds": partial(deque, maxlen=MAX_ENDED_SIBLINGS),
        "_last_run_numbers": dict,
    }

    done: set[int]
    active_runs: dict[int, Run]
    copies: dict[int, Run]
    surplus: dict[tuple[TaskId, int], Run]
    successors: dict[int, str]
    moves: Counter[int]
    copies_started: Counter[int]
    durations: deque[float]
    failed_runs: dict[int, list[int]]
    checkpoints: dict[int, str]
    failures: FailureRecord
    crashes: dict[int, list[Crash]]
    losses: dict[int, list[Loss]]
    lost_at: dict[int, float]
    trials: dict[int, str]
    trial_addresses: dict[int, str]
    certain: set[int]
    placements: Placements
    last_failed_runner: dict[int, str]
    tickets: Tickets
    requeued_at: dict[int, float]
    waits: dict[int, TaskWait]
    preemptions: Counter[int]
    reserved_on: set[str]
    cap_hold: CapHold
    _recent_seconds: deque[float]
    _last_run_numbers: dict[int, int]

    def __init__(
        self, stage: StageId, spec: StepSpec, workspace: str = NO_WORKSPACE, queue: str = ""
    ) -> None:
        self.id = stage
        self.spec = spec
        self.image = spec.image or intern(f"{QUEUE_PREFIX}{queue}")
        self.workspace = workspace
        self.waiting = WaitingTasks(spec.tasks)
        self.last_trial_at = float("-inf")
        self.blocked_since: float | None = None
        self.ready_since: float | None = None
        self.begun = False
        self.idle_since: float | None = None
        self.tries_failed_on_probation = False
        self.joins_probes = False
        self.overdue = False
        self.preemption_checked_at = float("-inf")
        self.reserved_since: float | None = None
        self.waits_for_fast_since: float | None = None
        self.ended_seconds: float | None = None

    @property
    def complete(self) -> bool:
        """Whether every task has ended as done."""
        return not self.waiting.size and len(self.done) == self.spec.tasks

    @property
    def last_requeued_at(self) -> float:
        """Time in seconds of the last end that did not complete its task, -inf if there is none."""
        return max(self.requeued_at.values(), default=float("-inf"))

    @property
    def has_started(self) -> bool:
        """Whether a runner has begun a task, as far as that is known."""
        if self.begun or self.done or self.failed_runs or self.crashes or self.losses:
            return True
        runs = chain(self.active_runs.values(), self.copies.values())
        return any(run.state is not RunState.STARTING for run in runs)

    @property
    def has_progress(self) -> bool:
        """Whether there is something to record about a task."""
        ended = self.done or self.failed_runs or self.checkpoints or self.crashes or self.losses
        return bool(ended or self.placements.boots)

    @property
    def has_trials(self) -> bool:
        """Whether a task is tried, as far as that was recorded."""
        return self.is_made("trials") and bool(self.trials)

    @property
    def has_losses(self) -> bool:
        """Whether a runner was lost under a task that may only be out of reach."""
        return self.is_made("losses") and bool(self.losses)

    @property
    def may_have_copies(self) -> bool:
        """Whether the step allows copies of its tasks."""
        spec = self.spec
        return spec.speculative and not (spec.gang or spec.daemon or spec.fills)

    def longest_wait(self, now: float) -> float:
        """Return for how many seconds the first of the waiting tasks could have started."""
        if self.waiting.size and not self.is_made("requeued_at"):
            return 0.0 if self.ready_since is None else now - self.ready_since
        first = self.longest_waiting()
        return 0.0 if first is None else now - self._startable_since(first, now)

    def longest_waiting(self) -> int | None:
        """Return the index of the task that has waited for the longest, None if none waits."""
        ready, untouched = float("inf"), self.waiting.last_untouched
        if not self.waiting.returned:
            return untouched
        # No run of the untouched tasks has ended, so they all have waited for as long.
        first = () if untouched is None else (untouched,)
        rows = chain(first, self.waiting.returned)
        return min(rows, key=lambda i: self._startable_since(i, ready), default=None)

    def _startable_since(self, index: int, default: float) -> float:
        """Return since when a task could have started, ``default`` before the first pass."""
        ready_since = default if self.ready_since is None else self.ready_since
        return self.requeued_at.get(index, ready_since)

    def runs_by_runner(self) -> Counter[str]:
        """Return the number of runs on each runner with any, reserved places included."""
        counts = Counter(run.runner for run in self.active_runs.values())
        for runs in (self.copies, self.surplus):
            if runs:
                counts.update(run.runner for run in runs.values())
        if self.successors:
            counts.update(self.successors.values())
        return counts

    def runs_of(self, index: int) -> Iterator[Run]:
        """Yield the active run of a task and its copy, as far as there are any."""
        for runs in (self.active_runs, self.copies):
            if index in runs:
                yield runs[index]

    def restore(self, progress: StageProgress) -> None:
        """Restore the progress that an earlier owner recorded."""
        self.done = {index for index in decode_bitmap(progress.done) if index < self.spec.tasks}
        self.waiting.discard_all(self.done)
        self.failed_runs = {index: list(runs) for index, runs in progress.failures.items()}
        self.checkpoints = dict(progress.checkpoints)
        self._restore_crashes(progress)
        self.trials = dict(progress.trials)
        self.trial_addresses = dict(progress.trial_addresses)
        self.placements.restore(progress.placements or {})

    def _restore_crashes(self, progress: StageProgress) -> None:
        """Restore crashes and losses; of a record without losses, only trials are proved."""
        if progress.losses is not None:
            self.crashes = {index: list(rows) for index, rows in progress.crashes.items()}
            self.losses = {index: list(rows) for index, rows in progress.losses.items()}
            return
        for index, rows in progress.crashes.items():
            for row in rows:
                if row.blame == Blame.TRIAL:
                    self.add_crash(index, row)
                else:
                    loss = Loss(row.runner, "", row.seconds, str(Blame.BESIDE))
                    self.losses.setdefault(index, []).append(loss)

    def progress(self) -> StageProgress:
        """Return the progress of the stage to record."""
        return StageProgress(
            self.id.occurrence,
            self.id.step,
            encode_bitmap(self.done, self.spec.tasks),
            {index: list(runs) for index, runs in self.failed_runs.items()},
            {i: text for i, text in self.checkpoints.items() if i not in self.done},
            {index: list(rows) for index, rows in self.crashes.items()},
            dict(self.trials),
            {index: list(rows) for index, rows in self.losses.items()},
            {i: address for i, address in self.trial_addresses.items() if i in self.trials},
            dict(self.placements.boots) if self.spec.daemon else None,
        )

    def start(self, index: int, runner: str, epoch: int, now: float, number: int = 0) -> Run:
        """Start a waiting task and return its run; ``number`` 0 means the next run number."""
        self.waiting.remove(index)
        self.idle_since = None
        self.certain.add(index)
        if self.spec.daemon:
            self.placements.place(index, runner)
        number = number or self.next_number(index, epoch)
        self._last_run_numbers[index] = number
        run = Run(TaskId(self.id, index), number, runner, self.spec, now, self.workspace)
        run.image = self.image
        run.resume(self.checkpoints.get(index, ""))
        self.active_runs[index] = run
        return run

    def start_copy(self, index: int, runner: str, epoch: int, now: float) -> Run:
        """Start a copy of a running task beside its active run, and return the copy.

        It resumes from the last checkpoint that the active run has saved.
        """
        assert self.may_have_copies and index in self.active_runs and index not in self.copies
        number = self.next_number(index, epoch)
        self._last_run_numbers[index] = number
        run = Run(TaskId(self.id, index), number, runner, self.spec, now)
        run.resume(self.active_runs[index].checkpoint or self.checkpoints.get(index, ""))
        self.copies[index] = run
        self.copies_started[index] += 1
        return run

    def next_number(self, index: int, epoch: int) -> int:
        """Return a run number greater than those of all earlier runs of a task, by any owner."""
        return max(self._last_run_numbers.get(index, 0), (epoch - 1) * RUNS_PER_EPOCH) + 1

    def adopt(self, run: Run) -> None:
        """Add a run that an earlier owner started."""
        index = run.task.ordinal
        self.begun = run.adopted = True
        run.image = self.image
        run.pace.assume_unknown()
        self.waiting.remove(index)
        self.certain.add(index)
        if self.spec.daemon:
            self.placements.place(index, run.runner)
        self.waits.pop(index, None)
        self._last_run_numbers[index] = max(self._last_run_numbers.get(index, 0), run.number)
        self.active_runs[index] = run

    def accepts_found_copy(self, index: int) -> bool:
        """Return whether a task may have the second run that was found of it."""
        return self.may_have_copies and index in self.active_runs and index not in self.copies

    def adopt_copy(self, run: Run) -> Run:
        """Add a second run that was found of a task, and return the one that is now the copy.

        The run with the highest number is the active one.
        """
        index = run.task.ordinal
        run.adopted = True
        self._last_run_numbers[index] = max(self._last_run_numbers.get(index, 0), run.number)
        active, copy = self.active_runs[index], run
        if run.number > active.number:
            active, copy = run, active
        self.active_runs[index], self.copies[index] = active, copy
        return copy

    def mark_done(self, index: int) -> None:
        """Record that a task has ended as done."""
        self.active_runs.pop(index, None)
        self.copies.pop(index, None)
        self.clear_crashes(index)
        if index in self.waiting:
            self.waiting.remove(index)
        self.done.add(index)

    def record_duration(self, seconds: float) -> None:
        """Record the duration in seconds of a task, as on a runner of mean speed."""
        self._recent_seconds.append(seconds)
        if len(self._recent_seconds) >= MIN_ENDED_SIBLINGS:
            self.ended_seconds = median(self._recent_seconds)

    def add_failed_run(self, index: int, number: int) -> None:
        """Record a failed run of a task once, however often its end is reported."""
        runs = self.failed_runs.setdefault(index, [])
        if number not in runs:
            runs.append(number)

    def add_crash(self, index: int, crash: Crash) -> None:
        """Record the loss of a runner under a task once, with the most that speaks for it."""
        rows = self.crashes.setdefault(index, [])
        for position, row in enumerate(rows):
            if row.runner == crash.runner:
                if row.blame == Blame.BESIDE:
                    rows[position] = crash._replace(seconds=max(row.seconds, crash.seconds))
                return
        rows.append(crash)

    def is_suspect(self, index: int) -> bool:
        """Return whether a task starts only as a trial."""
        if index not in self.crashes:
            return False
        return is_suspect(self.crashes[index], len(self.losses.get(index, ())))

    def add_loss(self, index: int, loss: Loss, now: float) -> None:
        """Record the loss of a runner under a task that may only be out of reach."""
        known = self.take_loss(index, loss.runner)
        if known is not None:
            loss = loss._replace(seconds=max(known.seconds, loss.seconds))
        self.losses[index] = [*self.losses.get(index, ()), loss]
        self.lost_at[index] = now

    def take_loss(self, index: int, runner: str) -> Loss | None:
        """Return the loss of a runner under a task, which is then no longer recorded as such."""
        rows = self.losses.pop(index, [])
        left = [row for row in rows if row.runner != runner]
        if left:
            self.losses[index] = left
        return next((row for row in rows if row.runner == runner), None)

    def awaits_proof(self, index: int, now: float) -> bool:
        """Return whether a task waits until it is known what became of its runners."""
        rows, losses = self.crashes.get(index, ()), self.losses.get(index, ())
        seconds = proof_wait_seconds(rows, len(losses), self.spec.daemon)
        return now < self.lost_at.get(index, float("-inf")) + seconds

    def clear_crashes(self, index: int) -> None:
        """Record that a task has outlived what its runners crashed of."""
        self.crashes.pop(index, None)
        self.losses.pop(index, None)
        self.trials.pop(index, None)

    def requeue(self, run: Run, now: float, ran: bool = True) -> Run | None:
        """Return the task of an ended run to the waiting tasks if the run is the active one.

        If the task has a copy, that becomes its active run instead, and is returned. The end of a
        copy leaves the active run alone. Unless the run has ``ran``, the earlier wait goes on.
        """
        index = run.task.ordinal
        self.begun = self.begun or run.state is not RunState.STARTING
        if self.copies.get(index) is run:
            del self.copies[index]
            return None
        if self.active_runs.get(index) is not run:
            return None
        del self.active_runs[index]
        self.trials.pop(index, None)
        if self.spec.checkpoints and run.checkpoint:
            self.checkpoints[index] = run.checkpoint
        if index in self.copies:
            self.active_runs[index] = self.copies.pop(index)
            return self.active_runs[index]
        if ran:
            self.requeued_at[index] = now
        self.waiting.append(index)
        if self.spec.daemon:
            # Others of its stage may go on ending for ever.
            self.waiting.sort(key=self._waiting_since)
        return None

    def _waiting_since(self, index: int) -> float:
        """Return the time at which the last run of a task ended, -inf if there was none."""
        return self.requeued_at.get(index, float("-inf"))
