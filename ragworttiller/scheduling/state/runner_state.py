"""State of one boot of a runner, as known to the owner."""

from __future__ import annotations

from collections.abc import Callable

from ragworttiller.platform.boots import born_at
from ragworttiller.platform.listing import RunnerEntry
from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.scheduling.state.jobs import TaskId
from ragworttiller.scheduling.state.runner_health import RunnerHealth
from ragworttiller.scheduling.state.runs import Run
from ragworttiller.scheduling.state.workspace_usage import WorkspaceUsage

# The clock of a runner may be 2% slow.
MIN_CLOCK_RATE = 0.98
MAX_ANSWER_AGE_SECONDS = 1.7
SUSPECT_AFTER_SECONDS = 0.8
# Consecutive unanswered looks that count as a missed call: single ones are lost on the way.
LOOKS_PER_MISS = 2
MAX_RECENT_ENDS = 500


class RunnerState(RunnerHealth):
    """One boot of a runner: its clock, lease and free resources, beside its health.

    Parameters
    ----------
    entry : RunnerEntry
        Listed attributes of the runner.
    usage : WorkspaceUsage, optional
        Receives what the runs on the runner use.
    listed_at : float
        Time in seconds at which the boot was first listed.

    Attributes
    ----------
    id : str
        Identifier of the boot.
    entry : RunnerEntry
        Listed attributes, as last read.
    free : Resources
        Unreserved resources; may be negative after a takeover.
    runs : dict
        Runs on the runner, by task and number.
    enrolled : bool
        Whether the stored claim names the runner as one on which tasks may start.
    renewal_withheld : bool
        Whether the stored claim, or the one being written, says that the lease is not renewed.
    listed : bool
        Whether the platform lists the runner.
    lost : bool
        Whether the runner is unreachable and all its runs have certainly ended.
    ended_at : float or None
        Time at which another boot was known to answer in its place, None before.
    misses : int
        Number of consecutive calls that the runner did not answer.
    silent_since : float or None
        Time of the first of these calls, None if there is none.
    refuses : bool
        Whether nothing listened at its address at the last call.
    refused_since : float or None
        Time of the first such call since its last answer, None if there was none.
    unsound_until : float
        Time until which a crash may be the runner's own fault: a boot at its address has ended.
    returned_at : float
        Time of its first answer after it was last lost, -inf if there was none.
    birth : tuple of int and float
        Order in which runners were born: as they report it in milliseconds since the epoch, 0 if
        they do not, and then as they were first listed, in seconds.
    leaves_at : float
        Time at which a draining runner may shut down.
    last_end_seen, last_end_recorded : int
        Number of the last end that was processed, and of the last whose effects are stored.
    look_in_flight : bool
        Whether a look beside the long poll has no answer yet.
    last_look_at : float
        Time at which the last look was sent.
    next_look_at : float
        Time before which no look can be due, -inf if its runs have changed since it was computed.
    serving_runs, filling_runs : int
        Number of runs with a tail latency bound, and of those whose processor time is not reserved.
    admits_filling : Callable or None
        Returns whether a filling task of an image, whose stage may be overdue, may join the serving
        ones; None if none may.
    """

    def __init__(
        self, entry: RunnerEntry, usage: WorkspaceUsage | None = None, listed_at: float = 0.0
    ) -> None:
        super().__init__()
        self._usage = usage or WorkspaceUsage()
        self.id = entry.runner
        self.entry = entry
        self.free = entry.capacity
        self.runs: dict[tuple[TaskId, int], Run] = {}
        self.enrolled = False
        self.renewal_withheld = False
        self.listed = True
        self.lost = False
        self.ended_at: float | None = None
        self.misses = 0
        self.silent_since: float | None = None
        self.refuses = False
        self.refused_since: float | None = None
        self.unsound_until = float("-inf")
        self.last_end_seen = 0
        self.last_end_recorded = 0
        self.look_in_flight = False
        self.last_look_at = float("-inf")
        self.next_look_at = float("-inf")
        self.admits_filling: Callable[[str, bool], bool] | None = None
        self.last_answer_at = float("-inf")
        self.returned_at = float("-inf")
        self.leaves_at = float("inf")
        self.birth = (born_at(entry.runner), listed_at)
        self._used = NO_RESOURCES
        self._used_by_lasting = NO_RESOURCES
        self.serving_runs = 0
        self.filling_runs = 0
        self._clock_reading: tuple[float, float] | None = None
        self._lease_end = 0.0
        self._granted_at: float | None = None
        self._unanswered_looks = 0
        self._recent_ends: dict[tuple[TaskId, int], None] = {}
        self._trial: Run | None = None
        self._trial_until = 0.0

    @property
    def has_answered(self) -> bool:
        """Whether the runner has answered this owner."""
        return self._clock_reading is not None

    @property
    def free_of_lasting_tasks(self) -> Resources:
        """Resources that no lasting task reserves: those that are free now, or will be."""
        return self.entry.capacity.minus(self._used_by_lasting)

    @property
    def has_unrecorded_ends(self) -> bool:
        """Whether the effects of some end are not stored yet."""
        return self.last_end_seen > self.last_end_recorded

    @property
    def removable(self) -> bool:
        """Whether the runner does not answer and has neither runs nor unrecorded ends."""
        return self.misses > 0 and not self.runs and not self.has_unrecorded_ends

    @property
    def awaits_enrollment(self) -> bool:
        """Whether tasks could start on the runner once the stored claim names it."""
        waiting = self.has_answered and not self.enrolled and self.misses == 0
        waiting = waiting and self.ended_at is None
        return waiting and self.listed and not self.entry.draining

    @property
    def runs_trial(self) -> bool:
        """Whether a task that is or was tried runs here."""
        return any(run.trial for run in self.runs.values())

    @property
    def probe_running(self) -> bool:
        """Whether a task started after the last suspension is running."""
        return any(run.started_at >= self.suspended_until for run in self.runs.values())

    @property
    def awaits_withdrawal(self) -> bool:
        """Whether the stored claim should tell at once what may have ended with the runner."""
        return self.refuses and self.enrolled and bool(self.runs)

    def keeps_filling_away(self, image: str, overdue: bool) -> bool:
        """Return whether a filling task of an image may not join the serving ones here.

        ``overdue`` is whether its stage has waited for long.
        """
        if not self.serving_runs:
            return False
        return self.admits_filling is None or not self.admits_filling(image, overdue)

    def suspect(self, now: float) -> bool:
        """Return whether the runner may be unreachable; its lease is then not renewed."""
        return (
            self.has_answered
            and self.misses > 0
            and now - self.last_answer_at > SUSPECT_AFTER_SECONDS
        )

    def accepts_tasks(self, now: float) -> bool:
        """Return whether tasks may start on the runner."""
        return now >= self.suspended_until and self._usable(now)

    def accepts_lasting_tasks_only(self, now: float) -> bool:
        """Return whether the runner is suspended, but need not refuse a start."""
        return self.suspended(now) and not self.refused_lately(now) and self._usable(now)

    def _usable(self, now: float) -> bool:
        """Return whether tasks may start on the runner as far as no suspension forbids it."""
        return (
            self.listed
            and self.enrolled
            and self.ended_at is None
            and not self.entry.draining
            and not self.lost
            and self.misses == 0
            and now - self.last_answer_at < MAX_ANSWER_AGE_SECONDS
            and (self._trial is None or not self.on_trial(now))
        )

    def begin_trial(self, run: Run, until: float) -> None:
        """Let no other task start here until a time in seconds, or until the run has ended.

        Members of a gang may be tried together: of these, the one for which the trial is longest.
        """
        run.trial = True
        if self._trial is None or self._trial.key not in self.runs or until > self._trial_until:
            self._trial, self._trial_until = run, until

    def on_trial(self, now: float) -> bool:
        """Return whether no task starts here because another one is being tried."""
        return self._trial is not None and self._trial.key in self.runs and now < self._trial_until

    def record_miss(self, now: float, refused: bool = False) -> None:
        """Record a call that the runner did not answer; nothing listens there if it ``refused``."""
        self.misses += 1
        self.refuses = refused
        if refused and self.refused_since is None:
            self.refused_since = now
        if self.silent_since is None:
            self.silent_since = now

    def record_answer(self, clock: float, now: float) -> bool:
        """Record an answer with the runner's clock reading, in seconds.

        Returns
        -------
        bool
            Whether the answer is at least as recent as those before. Answers on different
            connections may overtake each other.
        """
        self.last_answer_at = now
        self.next_look_at = float("-inf")
        self.misses = 0
        self.silent_since = None
        self.refuses = False
        self.refused_since = None
        if self.lost:
            self.lost, self.returned_at = False, now
        self._unanswered_looks = 0
        if self._clock_reading is not None and clock < self._clock_reading[0]:
            return False
        self._clock_reading = (clock, now)
        return True

    def record_unanswered_look(self) -> bool:
        """Record a look without an answer and return whether it counts as a missed call."""
        self._unanswered_looks += 1
        return self._unanswered_looks % LOOKS_PER_MISS == 0

    def record_end(self, task: TaskId, run: int) -> None:
        """Record that a run has ended, so that reports from before its end are not believed."""
        self._recent_ends[task, run] = None
        if len(self._recent_ends) > MAX_RECENT_ENDS:
            del self._recent_ends[next(iter(self._recent_ends))]

    def has_ended(self, task: TaskId, run: int) -> bool:
        """Return whether a run was reported as ended."""
        return (task, run) in self._recent_ends

    def clock_at(self, now: float) -> float:
        """Return an estimate of the runner's clock, in seconds."""
        clock, at = self._clock_reading or (0.0, now)
        return clock + (now - at)

    def grant_lease(self, now: float, duration: float) -> float | None:
        """Return the end of a new lease on the runner's clock, None if none is to be granted.

        Parameters
        ----------
        now : float
            Time of the owner, in seconds.
        duration : float
            Duration of the lease, in seconds.
        """
        if not self.has_answered or self.renewal_withheld or self.suspect(now) or self.lost:
            return None
        end = self.clock_at(now) + duration
        self._lease_end = max(self._lease_end, end)
        self._granted_at = now
        return end

    def grant_start(self, now: float, duration: float) -> float:
        """Return the deadline of a start on the runner's clock, which also extends the lease.

        Parameters
        ----------
        now : float
            Time of the owner, in seconds.
        duration : float
            Time in seconds after which the runner is to ignore the start.
        """
        deadline = self.clock_at(now) + duration
        self._lease_end = max(self._lease_end, deadline)
        return deadline

    def assume_earlier_lease(self, duration: float, now: float) -> None:
        """Assume that an earlier owner may have granted a lease just before the first answer."""
        self._lease_end = max(self._lease_end, self.clock_at(now) + duration)

    def silent_seconds(self, now: float) -> float | None:
        """Return the seconds since the last answer, None if there was none."""
        return round(now - self.last_answer_at, 3) if self.has_answered else None

    def seconds_since_grant(self, now: float) -> float | None:
        """Return the seconds since this owner last sent a renewal, None if it sent none."""
        return None if self._granted_at is None else round(now - self._granted_at, 3)

    def lease_left(self, now: float) -> float | None:
        """Return the longest time in seconds for which the lease may last, None if unknown.

        It counts on the slowest allowed clock, and is negative once the lease has expired.
        """
        if self._clock_reading is None:
            return None
        clock, at = self._clock_reading
        return round((self._lease_end - clock) / MIN_CLOCK_RATE - (now - at), 3)

    def lease_expired(self, now: float) -> bool:
        """Return whether the lease has certainly expired, even on the slowest allowed clock."""
        if self._clock_reading is None:
            return True
        clock, at = self._clock_reading
        return clock + MIN_CLOCK_RATE * (now - at) > self._lease_end

    def add(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.key] = run
        self._used = self._used.plus(run.reservation)
        if run.spec.daemon:
            self._used_by_lasting = self._used_by_lasting.plus(run.reservation)
        self._update_usage(run, 1)
        self._usage.add(run)

    def remove(self, run: Run) -> None:
        """Remove a run that has ended and free its resources."""
        if self.runs.pop(run.key, None) is not None:
            self._used = self._used.minus(run.reservation)
            if run.spec.daemon:
                self._used_by_lasting = self._used_by_lasting.minus(run.reservation)
            self._update_usage(run, -1)
            self._usage.remove(run)

    def update(self, entry: RunnerEntry) -> None:
        """Replace the listed attributes, which changes the free resources."""
        if entry != self.entry:
            self.entry = entry
            self.free = entry.capacity.minus(self._used)

    def _update_usage(self, run: Run, change: int) -> None:
        self.next_look_at = float("-inf")
        self.free = self.entry.capacity.minus(self._used)
        self.serving_runs += change if run.spec.target else 0
        self.filling_runs += change if run.spec.fills else 0
