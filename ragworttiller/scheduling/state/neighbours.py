"""Which images run beside each other on a runner, and for which share of the time."""

from __future__ import annotations

from collections.abc import Mapping

from ragworttiller.scheduling.state.jobs import TaskId
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run

MIN_SHARE = 0.05


class _RunnerHistory:
    """Seconds for which each image has run on a runner since the runner was first seen.

    ``others`` counts each image once, however many of its tasks run. ``same`` counts an image only
    while a second task of it runs, which is a neighbour of the first.
    """

    def __init__(self, now: float) -> None:
        self.at = now
        self.others: dict[str, float] = {}
        self.same: dict[str, float] = {}
        self.begun: dict[tuple[TaskId, int], tuple[float, dict[str, float], float]] = {}


class Neighbours:
    """Integrates over time which images run on each runner.

    It is updated at each answer of a runner: an answer comes at once when a run has ended, and
    starts between two answers count from their time. So no event of a run has to be observed.
    """

    def __init__(self) -> None:
        self._histories: dict[str, _RunnerHistory] = {}

    def advance(self, runner: RunnerState, now: float) -> None:
        """Add the time since the last answer of a runner, before its runs are updated."""
        history = self._histories.get(runner.id)
        if history is None:
            history = self._histories[runner.id] = _RunnerHistory(now)
        shares = _shares(runner, history.at, now)
        elapsed = now - history.at
        for key, run in runner.runs.items():
            if key not in history.begun:
                same = history.same.get(run.image, 0.0)
                history.begun[key] = (max(run.started_at, history.at), dict(history.others), same)
        for image, share in shares.items():
            total = history.others.get(image, 0.0) + elapsed * min(share, 1.0)
            history.others[image] = total
            if share > 1.0:
                added = elapsed * min(share - 1.0, 1.0)
                history.same[image] = history.same.get(image, 0.0) + added
        history.at = now

    def beside(self, runner: RunnerState, run: Run, now: float) -> dict[str, float]:
        """Return the share of a run's time for which each image ran beside it, 0 to 1."""
        history = self._histories.get(runner.id)
        begun = history.begun.get(run.key) if history is not None else None
        if history is None or begun is None:
            return {}
        began_at, before, same = begun
        seconds = max(now - began_at, 1e-6)
        shares = {
            image: min((total - before.get(image, 0.0)) / seconds, 1.0)
            for image, total in history.others.items()
            if image != run.image
        }
        shares[run.image] = min((history.same.get(run.image, 0.0) - same) / seconds, 1.0)
        return {image: share for image, share in shares.items() if share >= MIN_SHARE}

    def forget(self, runner: RunnerState, run: Run) -> None:
        """Forget a run that has ended, and the past of a runner without runs."""
        history = self._histories.get(runner.id)
        if history is None:
            return
        history.begun.pop(run.key, None)
        if not history.begun:
            del self._histories[runner.id]

    def retain(self, runners: Mapping[str, RunnerState]) -> None:
        """Forget the runners that are not in a mapping, and the runs that they have no more."""
        for name in [name for name in self._histories if name not in runners]:
            del self._histories[name]
        for name, history in self._histories.items():
            gone = history.begun.keys() - runners[name].runs.keys()
            for key in gone:
                del history.begun[key]


def _shares(runner: RunnerState, since: float, now: float) -> dict[str, float]:
    """Return for each image how many of its tasks ran since a time, on average."""
    shares: dict[str, float] = {}
    elapsed = max(now - since, 1e-6)
    for run in runner.runs.values():
        present = min(max(now - run.started_at, 0.0) / elapsed, 1.0)
        shares[run.image] = shares.get(run.image, 0.0) + present * run.pace.share
    return shares


def images_now(runner: RunnerState, run: Run) -> dict[str, float]:
    """Return the share at which each image disturbs a run now, 0 to 1."""
    shares: dict[str, float] = {}
    for other in runner.runs.values():
        if other is not run:
            shares[other.image] = shares.get(other.image, 0.0) + other.pace.share
    return {image: min(share, 1.0) for image, share in shares.items() if share >= MIN_SHARE}
