"""Forecast of when runners will have room, from the expected ends of their runs."""

from __future__ import annotations

from ragworttiller.resources import Resources
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import RunState

# Share of the longest stop after which a stopped run has usually ended.
USUAL_STOP_SHARE = 0.5


class RoomForecast:
    """Times at which tasks will fit on runners, computed on demand in one planning pass.

    Parameters
    ----------
    now : float
        Time in seconds.
    stop_seconds : float
        Longest time that a run takes to stop.
    """

    def __init__(self, now: float, stop_seconds: float) -> None:
        self._now = now
        self._stop_seconds = stop_seconds
        self._ends: dict[str, list[tuple[float, Resources]]] = {}

    def fits_at(self, runner: RunnerState, size: Resources, free: Resources) -> float:
        """Return the time from which a task fits on a runner, infinity if it is not foreseen.

        Parameters
        ----------
        runner : RunnerState
            The runner.
        size : Resources
            Resources of the task.
        free : Resources
            Resources of the runner that are free now, and not reserved.
        """
        if size.fits(free):
            return self._now
        for end, resources in self._expected_ends(runner):
            free = free.plus(resources)
            if size.fits(free):
                return end
        return float("inf")

    def forget(self, runner: RunnerState) -> None:
        """Compute the forecast of a runner again, because runs of it are being stopped."""
        self._ends.pop(runner.id, None)

    def _expected_ends(self, runner: RunnerState) -> list[tuple[float, Resources]]:
        if runner.id not in self._ends:
            rows: list[tuple[float, Resources]] = []
            for run in runner.runs.values():
                if run.state is RunState.STOPPING:
                    end = run.ordered_at + USUAL_STOP_SHARE * self._stop_seconds
                    rows.append((max(end, self._now), run.reservation))
                elif not run.spec.daemon:
                    # An overdue run is expected to take as long again as it is overdue.
                    overdue = max(self._now - run.expected_end, 0.0)
                    rows.append((run.expected_end + 2 * overdue, run.reservation))
            self._ends[runner.id] = sorted(rows, key=lambda row: row[0])
        return self._ends[runner.id]
