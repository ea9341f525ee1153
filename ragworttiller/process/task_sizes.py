"""Raises the bookings of running tasks that use more than they booked."""

from __future__ import annotations

from ragworttiller.process.cell_rows import Running
from ragworttiller.process.cell_state import CellState
from ragworttiller.process.room_view import RoomView
from ragworttiller.records import TaskResized
from ragworttiller.resources import Resources
from ragworttiller.services.worker import TaskReport

RESIZE_SECONDS = 10.0


class TaskSizes:
    """Raises the bookings of running tasks to their usage, and never lowers them.

    The growth of one task is recorded at most once per `RESIZE_SECONDS`, so that a task that grows
    step by step costs few records.

    Parameters
    ----------
    state : CellState
        State of the owner.
    rooms : RoomView
        Free room that the growth must fit in.
    """

    def __init__(self, state: CellState, rooms: RoomView) -> None:
        self._state = state
        self._rooms = rooms
        self._resized: dict[str, float] = {}

    def grow(self, worker: str, report: TaskReport, running: Running) -> None:
        """Raise the booking of a task to its usage, as far as its worker has room."""
        if report.usage.fits(running.need):
            return
        now = self._state.now()
        if now - self._resized.get(report.task, -RESIZE_SECONDS) < RESIZE_SECONDS:
            return
        grown = self._grown_need(report.usage, running.need, self._rooms.free_room(worker))
        if grown == running.need:
            return
        self._resized = {t: at for t, at in self._resized.items() if now - at < RESIZE_SECONDS}
        self._resized[report.task] = now
        stream = self._state.context.stream
        stream.post(TaskResized(stream.record_id(), report.task, report.attempt, grown))

    def _grown_need(self, usage: Resources, booked: Resources, room: Resources) -> Resources:
        free = room.maximum(Resources())
        return Resources(
            min(max(booked.cpu, usage.cpu), booked.cpu + free.cpu),
            min(max(booked.memory, usage.memory), booked.memory + free.memory),
            booked.accelerators,
        )
