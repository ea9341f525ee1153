"""Interface to a worker's task agent."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any, NamedTuple

from ragworttiller.resources import Resources

RUNNING = "running"
ENDED_STATES = frozenset({"done", "failed", "stopped", "checkpointed", "lapsed"})


class TaskSpec(NamedTuple):
    """Task to start: ``task`` is ``job/index``; ``limit`` is what the worker reserves for it.

    ``run_time`` is in seconds, None for a service; ``lease`` is in seconds.
    """

    task: str
    attempt: int
    limit: Resources
    run_time: float | None
    lease: float
    parameters: dict[str, Any]


class TaskReport(NamedTuple):
    """Task as the worker sees it.

    ``state`` is ``running``, ``done``, ``failed``, ``stopped``, ``checkpointed`` or ``lapsed``.
    A state that is none of these says nothing about an end. ``usage`` may be out of date. ``ran``
    is the run time so far in seconds.
    """

    task: str
    attempt: int
    state: str
    usage: Resources
    ran: float

    @property
    def ended(self) -> bool:
        """Whether the worker says that the task has ended."""
        return self.state in ENDED_STATES

    @property
    def known(self) -> bool:
        """Whether this version knows the state."""
        return self.ended or self.state == RUNNING


class Worker(ABC):
    """Sends commands to one worker. Each command is idempotent for one task and attempt."""

    @abstractmethod
    async def start(self, specs: list[TaskSpec]) -> list[str]:
        """Start tasks and return ``ok`` or the reason of the refusal for each.

        Raises
        ------
        WorkerUnreachable
            The command may have taken effect.
        WorkerRefused
            The connection failed before the command was written.
        """

    @abstractmethod
    async def stop(self, tasks: list[tuple[str, int]], checkpoint: bool = False) -> None:
        """Stop tasks, given as pairs of task and attempt; ``checkpoint`` saves their progress."""

    @abstractmethod
    async def throttle(self, task: str, attempt: int, cpu: int) -> None:
        """Limit a task to ``cpu`` thousandths of a core."""

    @abstractmethod
    async def renew(self, lease: float) -> list[TaskReport]:
        """Renew the lease of every task for ``lease`` seconds and return all tasks.

        Ended tasks are reported until `forget` drops them.
        """

    @abstractmethod
    async def forget(self, tasks: list[tuple[str, int]]) -> None:
        """Drop ended tasks from the worker's reports."""


class WorkerFleet(ABC):
    """Creates the clients of workers from their addresses."""

    @abstractmethod
    def worker(self, name: str, address: str) -> Worker:
        """Return the client of a worker."""
