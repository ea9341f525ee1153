"""Wait of a lasting task between two of its runs."""

from __future__ import annotations

from collections import defaultdict


class TaskWait:
    """Wait of one lasting task for its next run.

    Parameters
    ----------
    since : float
        Time in seconds since when the task waits.
    first : bool
        Whether this owner knows of no earlier run.
    ended : str
        How the run before it ended, empty if there was none.
    stopped_for : str
        Reason for which that run was stopped, empty if it was not.

    Attributes
    ----------
    refused : int
        Starts during this wait that were refused or have expired.
    seconds_by_reason : dict of str to float
        Seconds of the wait by its reason, as far as it was sampled.
    """

    def __init__(self, since: float, first: bool, ended: str = "", stopped_for: str = "") -> None:
        self.since = since
        self.first = first
        self.ended = ended
        self.stopped_for = stopped_for
        self.refused = 0
        self.seconds_by_reason: dict[str, float] = defaultdict(float)
