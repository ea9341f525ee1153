"""Time for which the cap of its workspace has held a stage."""

from __future__ import annotations


class CapHold:
    """Holds of one stage by the cap of its workspace; times are in seconds.

    Attributes
    ----------
    since : float or None
        Time since when the cap allows no more of its tasks, None while it allows one.
    logged : bool
        Whether a line about the first hold was written.
    """

    def __init__(self) -> None:
        self.since: float | None = None
        self.logged = False
        self._earlier_seconds = 0.0

    def begin(self, now: float) -> None:
        """Record that the cap allows no more of the tasks."""
        if self.since is None:
            self.since = now

    def end(self, now: float) -> None:
        """Record that the cap allows a task, or that none waits."""
        if self.since is not None:
            self._earlier_seconds += now - self.since
            self.since = None

    def seconds(self, now: float) -> float:
        """Return for how many seconds the cap has held the stage in all."""
        return self._earlier_seconds + (0.0 if self.since is None else now - self.since)
