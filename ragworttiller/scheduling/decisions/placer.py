"""Choice of runners for the tasks of a stage."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.free_resources import FreeResources
from ragworttiller.scheduling.decisions.runner_rules import accepts_another
from ragworttiller.scheduling.decisions.separation import SeparationPolicy
from ragworttiller.scheduling.decisions.task_placement import PlacementPolicy
from ragworttiller.scheduling.decisions.trials import Trials
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage


class RankedRunners:
    """Runners that can take one more task of a stage, each with the cost of placing it there.

    Parameters
    ----------
    stage : Stage
        The stage.
    runners : sequence of RunnerState
        Runners that suit the stage.
    free : FreeResources
        What is free on them, from which the tasks placed are subtracted.
    score : Callable
        Returns the cost of placing a task on a runner, given what is free there.
    separation : SeparationPolicy
        Tells which tasks may share a runner, and at what cost.
    late : bool
        Whether the stage takes no account of the tasks that it disturbs.

    Attributes
    ----------
    scores : dict of str to float
        Cost by runner; the lowest one wins.
    """

    def __init__(
        self,
        stage: Stage,
        runners: Sequence[RunnerState],
        free: FreeResources,
        score: Callable[[RunnerState, Resources], float],
        separation: SeparationPolicy,
        late: bool,
    ) -> None:
        self._stage = stage
        self._runners = {runner.id: runner for runner in runners}
        self._free = free
        self._score = score
        self._separation = separation
        self._late = late
        self._separates = separation.concerns(stage)
        self._running = stage.runs_by_runner()
        self.scores: dict[str, float] = {}
        self._costs: dict[str, float] = {}
        for runner in runners:
            self._update(runner)

    def all(self) -> list[RunnerState]:
        """Return all ranked runners."""
        return [self._runners[name] for name in self.scores]

    def best(self, runners: Iterable[RunnerState]) -> RunnerState | None:
        """Return the one of some ranked runners with the lowest cost, None if there are none."""
        return min(runners, key=lambda runner: self.scores[runner.id], default=None)

    def lowest(self) -> RunnerState | None:
        """Return the ranked runner with the lowest cost, None if there is none."""
        if not self.scores:
            return None
        return self._runners[min(self.scores, key=self.scores.__getitem__)]

    def place(self, runner: RunnerState) -> None:
        """Take the room of one task on a runner."""
        self._running[runner.id] += 1
        self._free.subtract(runner.id, self._stage.spec.reservation)
        self._update(runner)

    def undo(self, placed: Iterable[str]) -> None:
        """Return the room of tasks that were placed on runners."""
        size = self._stage.spec.reservation
        for name in placed:
            self._free.subtract(name, Resources().minus(size))

    def close(self, runner: RunnerState) -> None:
        """Place no more tasks on a runner in this pass."""
        self._free.close(runner.id)
        self._update(runner)

    def preferred_without_separation(self, runner: RunnerState) -> str | None:
        """Return the runner that would be chosen without the cost of separation, if another one."""
        if not self._costs:
            return None
        scores = self.scores
        instead = min(scores, key=lambda name: scores[name] - self._costs[name])
        return instead if scores[instead] > scores[runner.id] else None

    def _update(self, runner: RunnerState) -> None:
        """Update the score of a runner, which has none if it can take no task of the stage now."""
        stage = self._stage
        self.scores.pop(runner.id, None)
        free = self._free.for_stage(runner.id, stage.overdue)
        if not stage.spec.reservation.fits(free):
            return
        running = self._running[runner.id]
        if not accepts_another(runner, stage, running):
            return
        cost = 0.0
        if self._separates:
            self._costs.pop(runner.id, None)
            if not self._separation.joins(stage, runner, running):
                return
            cost = self._costs[runner.id] = self._separation.cost(stage, runner, self._late)
        self.scores[runner.id] = self._score(runner, free) + cost


class Placer:
    """Places tasks of a stage, individually or as a gang.

    Parameters
    ----------
    policy : PlacementPolicy
        Ranks the runners that have room.
    separation : SeparationPolicy
        Adds the cost of tasks that slow each other down.
    records_choices : bool
        Whether the choices that this cost has changed are counted and logged.

    Attributes
    ----------
    trials : Trials
        Chooses the runners of tasks that are suspected of crashing them.
    """

    def __init__(
        self,
        policy: PlacementPolicy,
        separation: SeparationPolicy,
        records_choices: bool = True,
    ) -> None:
        self._policy = policy
        self._records_choices = records_choices
        self._separation = separation
        self.trials = Trials()

    def place(
        self,
        stage: Stage,
        runners: Sequence[RunnerState],
        free_resources: FreeResources,
        indices: Sequence[int],
        time_ratios: Mapping[str, float],
        kind_costs: Mapping[str, float] = {},
        late: bool = False,
    ) -> dict[int, str]:
        """Return a runner for each task in ``indices`` that can be placed now.

        A gang is placed whole or not at all. ``kind_costs`` are added to the scores of runners of a
        kind. A ``late`` stage takes no account of the tasks that it disturbs.
        """

        def score(runner: RunnerState, free: Resources) -> float:
            cost = kind_costs.get(runner.entry.kind, 0.0) if kind_costs else 0.0
            ratio = time_ratios.get(runner.id, 1.0)
            return self._policy.score(stage, runner, free, ratio) + cost

        ranked = RankedRunners(stage, runners, free_resources, score, self._separation, late)
        if stage.spec.gang:
            return self._place_gang(stage, ranked, indices)
        return self._place_each(stage, ranked, indices)

    def _place_each(
        self, stage: Stage, ranked: RankedRunners, indices: Sequence[int]
    ) -> dict[int, str]:
        """Return a runner for each of some tasks that can be placed now."""
        chosen: dict[int, str] = {}
        for index in indices:
            suspect = index in stage.crashes and stage.is_suspect(index)
            failed = _has_failed(stage, index)
            if suspect:
                best = self._choose_for_trial(stage, _open_to(stage, ranked, index), not chosen)
            elif failed:
                best = ranked.best(_open_to(stage, ranked, index))
            else:
                best = ranked.lowest()
            if best is None:
                if suspect or failed:
                    continue
                break
            if not suspect and not failed:
                self._record_choice(stage, ranked, best)
            chosen[index] = best.id
            ranked.place(best)
            if suspect:
                ranked.close(best)
        return chosen

    def _choose_for_trial(
        self, stage: Stage, runners: Sequence[RunnerState], first: bool
    ) -> RunnerState | None:
        """Return the runner on which a task is tried; ``first`` is whether none was placed yet."""
        if not runners:
            return None
        return self.trials.choose(runners, first and self.trials.may_exceed_share(stage))

    def _place_gang(
        self, stage: Stage, ranked: RankedRunners, indices: Sequence[int]
    ) -> dict[int, str]:
        """Return a runner for each task of a gang, none unless all can be placed.

        The suspected members are tried together, on as few runners as they fit on. The others join
        them only if there is no other room.
        """
        chosen: dict[int, str] = {}
        tried: dict[str, RunnerState] = {}
        suspects = {index for index in indices if stage.crashes and stage.is_suspect(index)}
        for index in sorted(indices, key=lambda index: index not in suspects):
            runners = _open_to(stage, ranked, index)
            if index in suspects:
                best = self._choose_for_suspect(runners, tried)
            else:
                best = _best_apart(ranked, runners, tried)
            if best is None:
                ranked.undo(chosen.values())
                return {}
            if not suspects and not _has_failed(stage, index):
                self._record_choice(stage, ranked, best)
            chosen[index] = best.id
            ranked.place(best)
        for runner in tried.values():
            ranked.close(runner)
        return chosen

    def _choose_for_suspect(
        self, runners: Sequence[RunnerState], tried: dict[str, RunnerState]
    ) -> RunnerState | None:
        """Return the runner for a suspected member of a gang, one of those ``tried`` if it can."""
        best = next((runner for runner in runners if runner.id in tried), None)
        if best is None:
            best = self.trials.choose(runners, must_start=True, in_gang=True)
        if best is not None:
            tried[best.id] = best
        return best

    def _record_choice(self, stage: Stage, ranked: RankedRunners, best: RunnerState) -> None:
        """Record a choice that would be another one without the costs of separation."""
        if not self._records_choices:
            return
        instead = ranked.preferred_without_separation(best)
        if instead is not None:
            self._separation.record_placement(stage, best.id, instead)


def _best_apart(
    ranked: RankedRunners, runners: Sequence[RunnerState], tried: Mapping[str, RunnerState]
) -> RunnerState | None:
    """Return the best of some runners, one on which no member of the gang is tried if it can."""
    if not tried:
        return ranked.best(runners)
    apart = [runner for runner in runners if runner.id not in tried]
    return ranked.best(apart or runners)


def _open_to(stage: Stage, ranked: RankedRunners, index: int) -> list[RunnerState]:
    """Return the ranked runners on which a task may run, which may have failed."""
    runners = ranked.all()
    if not _has_failed(stage, index):
        return runners
    return [runner for runner in runners if _may_retry(stage, index, runner)]


def _has_failed(stage: Stage, index: int) -> bool:
    """Return whether a task has failed, so that it avoids some runners."""
    return index in stage.failed_runs or index in stage.last_failed_runner


def _may_retry(stage: Stage, index: int, runner: RunnerState) -> bool:
    """Return whether a task that has failed may run on a runner."""
    if runner.on_probation and index in stage.failed_runs and not stage.tries_failed_on_probation:
        return False
    return stage.last_failed_runner.get(index) != runner.id
