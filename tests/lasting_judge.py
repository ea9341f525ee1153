"""Check that no lasting task waits while runners that may take it have room for it twice over."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

ROOM_SECONDS = 3.0
CALM_SECONDS = 4.0
RESTART_SECONDS = 6.0
MIN_RUNNERS = 2


class LastingTask(NamedTuple):
    """State of a lasting task, as its runners know it.

    ``ended_at`` is the time in seconds at which its last run ended, or at which its job was
    submitted, and ``runners`` are those that may take it and have room for it.
    """

    name: str
    running: bool
    ended_at: float
    runners: Iterable[str]


class LostTask(NamedTuple):
    """Lasting task that was not run; ``since`` is the time in seconds from which it should have."""

    name: str
    since: float
    seconds: float


class LastingJudge:
    """Finds lasting tasks that do not run though there is room for them.

    A task is lost if at least `MIN_RUNNERS` runners that may take it have room for it for
    `ROOM_SECONDS`, without a disturbance in these and in the `CALM_SECONDS` before, and its last
    run ended at least `RESTART_SECONDS` ago.

    Attributes
    ----------
    lost : dict of str to LostTask
        Longest wait of each lost task.
    longest : float
        Longest time in seconds for which a task waited with room for it, lost or not.
    """

    def __init__(self) -> None:
        self.lost: dict[str, LostTask] = {}
        self.longest = 0.0
        self._room_since: dict[str, float] = {}

    def check(self, now: float, calm_since: float, tasks: Iterable[LastingTask]) -> None:
        """Check all lasting tasks; call it at intervals that are short against `ROOM_SECONDS`.

        Parameters
        ----------
        now : float
            Time in seconds.
        calm_since : float
            Time of the end of the last disturbance, ``now`` while one lasts.
        tasks : iterable of LastingTask
            All lasting tasks that are to run.
        """
        rows = {task.name: task for task in tasks}
        self._room_since = {
            name: self._room_since.get(name, now)
            for name, task in rows.items()
            if not task.running and len(set(task.runners)) >= MIN_RUNNERS
        }
        for name, room_since in self._room_since.items():
            restart_at = rows[name].ended_at + RESTART_SECONDS - ROOM_SECONDS
            since = max(room_since, calm_since + CALM_SECONDS, restart_at)
            self.longest = max(self.longest, now - since)
            if now - since >= ROOM_SECONDS:
                self.lost[name] = LostTask(name, since, now - since)
