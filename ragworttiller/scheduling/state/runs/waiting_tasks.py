"""Tasks of a stage that wait for a runner, in the order in which they start."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from itertools import chain
from typing import overload

from typing_extensions import override

# Shared by all stages of which no task was taken, or has returned; never changed.
NONE_TAKEN: set[int] = set()
NONE_RETURNED: list[int] = []


class WaitingTasks(Sequence[int]):
    """Indices of the waiting tasks of one stage, of which the last starts first.

    A stage may have 100,000 tasks, and an owner holds many stages whose tasks all wait. So the
    tasks that have never left take no memory each: they are a range, the lowest of which starts
    first, but for those that were taken from its middle.

    Parameters
    ----------
    tasks : int
        Number of tasks of the stage, which all wait at first.

    Attributes
    ----------
    untouched : range
        Range of the tasks that have not left since they began to wait, and of those in ``taken``.
    taken : set of int
        Tasks in that range that do not wait; its lowest task always does.
    returned : list of int
        Tasks that wait again, which start before the others, the last of them first.
    size : int
        Number of waiting tasks, which a planning pass reads often.
    """

    __slots__ = ("returned", "size", "taken", "untouched")

    def __init__(self, tasks: int) -> None:
        self.untouched = range(tasks)
        self.taken = NONE_TAKEN
        self.returned = NONE_RETURNED
        self.size = tasks

    @property
    def last_untouched(self) -> int | None:
        """The task of those that have not left which starts last, None if there is none."""
        return next(self._untouched_descending(), None)

    def in_start_order(self) -> Sequence[int]:
        """Return the tasks, the one that starts first in front, as they are now."""
        if not self.taken and not self.returned:
            return self.untouched
        return list(reversed(self))

    def append(self, index: int) -> None:
        """Add a task that starts before all others."""
        if self.returned is NONE_RETURNED:
            self.returned = []
        self.returned.append(index)
        self.size += 1

    def remove(self, index: int) -> None:
        """Remove a task.

        Raises
        ------
        ValueError
            It does not wait.
        """
        if self._is_untouched(index):
            self._take([index])
        else:
            self.returned.remove(index)
        self.size -= 1

    def discard_all(self, indices: set[int]) -> None:
        """Remove those of some tasks that wait."""
        self.returned = [index for index in self.returned if index not in indices]
        self._take(index for index in indices if self._is_untouched(index))
        self.size = len(self.untouched) - len(self.taken) + len(self.returned)

    def clear(self) -> None:
        """Remove all tasks."""
        self.untouched = range(0)
        self.taken = NONE_TAKEN
        self.returned = NONE_RETURNED
        self.size = 0

    def sort(self, key: Callable[[int], float]) -> None:
        """Sort the tasks by a key, so that the one with the lowest starts first.

        Tasks with the same key keep their order.
        """
        self.returned = sorted(self, key=key, reverse=True)
        self.untouched = range(0)
        self.taken = NONE_TAKEN

    def _is_untouched(self, index: int) -> bool:
        return index in self.untouched and index not in self.taken

    def _take(self, indices: Iterable[int]) -> None:
        if self.taken is NONE_TAKEN:
            self.taken = set()
        self.taken.update(indices)
        self._skip_taken()

    def _skip_taken(self) -> None:
        """Let the range begin with a waiting task."""
        start, stop = self.untouched.start, self.untouched.stop
        while start < stop and start in self.taken:
            self.taken.remove(start)
            start += 1
        self.untouched = range(start, stop)

    def _untouched_descending(self) -> Iterator[int]:
        if not self.taken:
            return reversed(self.untouched)
        return (index for index in reversed(self.untouched) if index not in self.taken)

    def _untouched_ascending(self) -> Iterator[int]:
        if not self.taken:
            return iter(self.untouched)
        return (index for index in self.untouched if index not in self.taken)

    @override
    def __len__(self) -> int:
        return self.size

    @override
    def __iter__(self) -> Iterator[int]:
        return chain(self._untouched_descending(), self.returned)

    @override
    def __reversed__(self) -> Iterator[int]:
        return chain(reversed(self.returned), self._untouched_ascending())

    @override
    def __contains__(self, index: object) -> bool:
        if index in self.untouched:
            return index not in self.taken or index in self.returned
        return index in self.returned

    @overload
    def __getitem__(self, position: int) -> int: ...

    @overload
    def __getitem__(self, position: slice) -> Sequence[int]: ...

    @override
    def __getitem__(self, position: int | slice) -> int | Sequence[int]:
        return list(self)[position]

    @override
    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Sequence):
            return NotImplemented
        return list(self) == list(other)

    @override
    def __repr__(self) -> str:
        return f"WaitingTasks({list(self)})"
