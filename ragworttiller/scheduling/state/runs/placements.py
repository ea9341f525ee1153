"""Runners on which the tasks of a lasting stage were last ordered to start."""

from __future__ import annotations

from collections.abc import Mapping


class Placements:
    """Placements of the tasks of one lasting stage, each stored before its start is ordered.

    A task is placed anew only once its last run has certainly ended. So an owner that has fenced
    the ones before it among the jobs, and has read these, knows the only runner on which a task may
    run: the one last stored.

    Load pattern: lasting tasks start rarely, but have to run again soon after an owner and a runner
    were lost. So one append for all starts of a planning pass costs little, while other tasks start
    too often for it.

    Attributes
    ----------
    boots : dict of int to str
        Boot on which a task was last to start, by index of the task.
    """

    def __init__(self) -> None:
        self.boots: dict[int, str] = {}
        self._stored: set[int] = set()

    def restore(self, boots: Mapping[int, str]) -> None:
        """Restore the placements that were read from the store."""
        self.boots, self._stored = dict(boots), set(boots)

    def place(self, index: int, boot: str) -> None:
        """Record that a task is to start on a boot, or was found there."""
        if self.boots.get(index) != boot:
            self.boots[index] = boot
            self._stored.discard(index)

    def mark_stored(self, boots: Mapping[int, str]) -> None:
        """Record that placements are stored, after all that were to be stored before.

        Those that have changed meanwhile are to be stored anew, also if they change back: another
        append of them may be under way.
        """
        self._stored.update(index for index, boot in boots.items() if self.boots.get(index) == boot)

    def is_stored(self, index: int, boot: str) -> bool:
        """Return whether a boot is the last stored placement of a task."""
        return index in self._stored and self.boots.get(index) == boot
