"""Decides which stages the advisor is asked about, and when."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from ragworttiller.scheduling.advice import (
    AdviceCall,
    CandidatePolicy,
    EntryLoads,
    call_duration,
)
from ragworttiller.scheduling.job_work import JobWork
from ragworttiller.scheduling.placement import suits
from ragworttiller.scheduling.runner_state import RunnerState
from ragworttiller.scheduling.runs import Run, RunState, Stage

# Stages of one queue that are asked about although no room is free for them.
MIN_STAGES_AHEAD = 3
RUNNERS_PER_STAGE_AHEAD = 8
AHEAD_MARGIN_SECONDS = 0.3
CALL_GRACE_SECONDS = 2.0
# A stage whose tickets suffice is not looked at again for so long, unless room comes free.
RECHECK_SECONDS = 0.05


class AdvicePlanner:
    """Asks about stages that wait for room, and about those whose turn comes soon.

    Parameters
    ----------
    loads : EntryLoads
        Calls to the advisor that each entry has under way.
    candidates : CandidatePolicy
        Chooses the runners that a call names.
    """

    def __init__(self, loads: EntryLoads, candidates: CandidatePolicy) -> None:
        self._loads = loads
        self._candidates = candidates
        self._calls: list[AdviceCall] = []
        self._usable: list[RunnerState] = []
        self._now = 0.0
        self._blocked: Counter[str] = Counter()

    def begin(self, calls: list[AdviceCall], usable: list[RunnerState], now: float) -> None:
        """Plan anew.

        Parameters
        ----------
        calls : list of AdviceCall
            Receives the calls that are due.
        usable : list of RunnerState
            Runners on which tasks may start.
        now : float
            Time in seconds.
        """
        self._calls, self._usable, self._now = calls, usable, now
        self._blocked.clear()

    def plan_for_blocked(
        self, work: JobWork, stage: Stage, with_room: Sequence[RunnerState]
    ) -> None:
        """Ask about a stage that could not be placed whole.

        Parameters
        ----------
        work, stage : JobWork, Stage
            The stage and its job, in the order of the queue.
        with_room : sequence of RunnerState
            Runners that suit the stage and have room for a task of it.
        """
        most_ahead = max(MIN_STAGES_AHEAD, len(self._usable) // RUNNERS_PER_STAGE_AHEAD)
        ahead = self._blocked[work.queue.name] < most_ahead
        self._blocked[work.queue.name] += 1
        if not self._may_ask(work, stage):
            return
        if with_room and not ahead:
            self._ask(work, stage, with_room, False)
        elif ahead and (with_room or stage.tickets.recheck_at <= self._now):
            self._ask_ahead(work, stage)

    def plan_for_successors(self, works: Iterable[JobWork]) -> None:
        """Ask about stages whose predecessors are about to end."""
        for work in works:
            cost = work.queue.advice
            if cost is None or not work.open:
                continue
            margin = call_duration(cost, len(self._usable)) + AHEAD_MARGIN_SECONDS
            for stage in work.stages.values():
                if not stage.waiting or not stage.spec.after or work.predecessors_complete(stage):
                    continue
                if stage.tickets.recheck_at > self._now or not self._may_ask(work, stage):
                    continue
                if self._predecessors_end_within(work, stage, margin):
                    self._ask_ahead(work, stage)

    def _may_ask(self, work: JobWork, stage: Stage) -> bool:
        return work.queue.advice is not None and stage.tickets.call_deadline <= self._now

    def _ask_ahead(self, work: JobWork, stage: Stage) -> None:
        """Ask about runners that have no room yet, and see whether any lacks a ticket."""
        upstream = work.queue.upstream
        suitable = [runner for runner in self._usable if suits(runner, upstream, stage.spec)]
        if not self._ask(work, stage, suitable, True):
            stage.tickets.recheck_at = self._now + RECHECK_SECONDS

    def _ask(
        self, work: JobWork, stage: Stage, runners: Sequence[RunnerState], ahead: bool
    ) -> bool:
        """Ask if an entry has time for it, and return whether an answer would help."""
        cost = work.queue.advice
        names = self._candidates.choose_runners(stage, runners, self._now, ahead)
        if cost is None or not names:
            return False
        duration = call_duration(cost, len(names))
        entry = self._loads.assign(duration, self._now)
        if entry is None:
            return True
        wait = self._loads.backlog(entry) - duration
        stage.tickets.call_deadline = self._now + wait + duration + CALL_GRACE_SECONDS
        call = AdviceCall(stage.id, tuple(names), entry, wait, duration, cost.validity, self._now)
        self._calls.append(call)
        return True

    def _predecessors_end_within(self, work: JobWork, stage: Stage, within: float) -> bool:
        """Return whether all tasks that a stage waits for run and end within some seconds."""
        for before in work.predecessors(stage):
            if before.waiting:
                return False
            for run in before.active_runs.values():
                if run.state is not RunState.RUNNING:
                    return False
                if _remaining_seconds(run, before, self._now) > within:
                    return False
        return True


def _remaining_seconds(run: Run, stage: Stage, now: float) -> float:
    """Return an estimate of the seconds that a run still takes."""
    elapsed = run.progressed_at - run.started_at
    if run.percent >= 5 and elapsed > 0:
        return elapsed * (100 - run.percent) / run.percent - (now - run.progressed_at)
    return stage.spec.estimate - (now - run.started_at)
