"""Record of the failures on a runner, its suspensions and its probation."""

from __future__ import annotations

from ragworttiller.scheduling.state.runs import Run

FAILURE_WINDOW_SECONDS = 4.0
FAILURES_TO_SUSPEND = 2
SUSPEND_STEP_SECONDS = 3.0
MAX_SUSPEND_SECONDS = 12.0
# How much longer than the runs that failed a probe has to work to end a probation.
PROBE_STRETCH = 2.0
MAX_PROBE_SECONDS = 60.0


class RunnerHealth:
    """Failures on one boot of a runner, and what follows from them; times are in seconds.

    A runner on which several runs fail is suspended. After that it is on probation, until a task
    is done there, or has worked for longer than those that failed.

    Attributes
    ----------
    suspended_until : float
        Time before which no tasks start on the runner, but for lasting ones that wait for long.
    """

    def __init__(self) -> None:
        self.suspended_until = 0.0
        self._suspensions = 0
        self._refused_until = float("-inf")
        self._longest_failure = 0.0
        self._failures: list[float] = []

    @property
    def on_probation(self) -> bool:
        """Whether the runner gets one probe task at a time after a suspension."""
        return self._suspensions > 0

    def suspended(self, now: float) -> bool:
        """Return whether the runner is suspended."""
        return now < self.suspended_until

    def refused_lately(self, now: float) -> bool:
        """Return whether the runner has refused a start, so that it would refuse the next one."""
        return now < self._refused_until

    def record_failure(self, run: Run | None, now: float) -> bool:
        """Record a failed run and return whether the runner is to be suspended for it.

        A lasting task that would have ended a probation counts as a success of the runner, so that
        its own end says nothing against the runner.

        Parameters
        ----------
        run : Run or None
            The run, None if this owner does not know it.
        now : float
            Time of the owner, in seconds.
        """
        if run is not None:
            if run.spec.daemon and self._outlives_failures(run, now):
                return False
            self._longest_failure = max(self._longest_failure, now - run.started_at)
        recent = [at for at in self._failures if now - at < FAILURE_WINDOW_SECONDS]
        self._failures = [*recent, now]
        return len(self._failures) >= FAILURES_TO_SUSPEND or self.on_probation

    def suspend(self, now: float, refused: bool = False) -> bool:
        """Start no tasks on the runner for a while; consecutive suspensions grow longer.

        Parameters
        ----------
        now : float
            Time of the owner, in seconds.
        refused : bool
            Whether the runner has refused a start, so that it would refuse the next one too.

        Returns
        -------
        bool
            Whether the suspension is new.
        """
        if refused:
            self._refused_until = now + SUSPEND_STEP_SECONDS
        if self.suspended(now):
            return False
        self._suspensions += 1
        self.suspended_until = now + min(
            SUSPEND_STEP_SECONDS * self._suspensions, MAX_SUSPEND_SECONDS
        )
        return True

    def record_probe(self, run: Run, now: float) -> bool:
        """Count a probe that has outlived the runs that failed as a success.

        Returns
        -------
        bool
            Whether this has ended the probation.
        """
        if not self.on_probation or run.started_at < self.suspended_until:
            return False
        if not self._outlives_failures(run, now):
            return False
        self.record_success(now)
        return True

    def record_success(self, now: float) -> None:
        """Record a task that was done, which ends the probation after a suspension."""
        self._failures.clear()
        if not self.suspended(now):
            self._suspensions = 0
            self._longest_failure = 0.0

    def _outlives_failures(self, run: Run, now: float) -> bool:
        """Return whether a run has worked for longer than it took others to fail here."""
        needed = max(FAILURE_WINDOW_SECONDS, PROBE_STRETCH * self._longest_failure)
        return run.worked_seconds(now) >= min(needed, MAX_PROBE_SECONDS)
