"""Decides for which stages the advisor is called, and when."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Sequence

from ragworttiller.scheduling.decisions.advice import (
    MAX_RUNNERS_PER_CALL,
    AdviceCall,
    CandidatePolicy,
    EntryLoads,
    call_duration,
)
from ragworttiller.scheduling.decisions.task_placement import suits
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import RunState, Stage

# The advisor is called for the first stages of a queue before a runner has room for them: for one
# stage per RUNNERS_PER_STAGE_AHEAD usable runners, but at least for MIN_STAGES_AHEAD.
MIN_STAGES_AHEAD = 3
RUNNERS_PER_STAGE_AHEAD = 8
AHEAD_MARGIN_SECONDS = 0.3
CALL_GRACE_SECONDS = 2.0
# Delay before a stage is checked again that has sufficient tickets, or that no entry can call for.
RECHECK_DELAY_SECONDS = 0.05


class AdvicePlanner:
    """Plans calls for stages that wait for room and for those whose predecessors end soon.

    Parameters
    ----------
    loads : EntryLoads
        Calls to the advisor in flight at each entry.
    candidate_policy : CandidatePolicy
        Chooses the runners that a call names.
    """

    def __init__(self, loads: EntryLoads, candidate_policy: CandidatePolicy) -> None:
        self._loads = loads
        self._candidate_policy = candidate_policy
        self._calls: list[AdviceCall] = []
        self._usable: list[RunnerState] = []
        self._now = 0.0
        self._blocked: Counter[str] = Counter()

    def begin(self, calls: list[AdviceCall], usable: list[RunnerState], now: float) -> None:
        """Start a new planning pass.

        Parameters
        ----------
        calls : list of AdviceCall
            List to which the due calls are added.
        usable : list of RunnerState
            Runners on which tasks may start.
        now : float
            Time in seconds.
        """
        self._calls, self._usable, self._now = calls, usable, now
        self._blocked.clear()

    def looks_ahead(self, work: JobWork) -> bool:
        """Return whether the next blocked stage of a queue is called for before it has room."""
        max_stages = max(MIN_STAGES_AHEAD, len(self._usable) // RUNNERS_PER_STAGE_AHEAD)
        return self._blocked[work.queue.name] < max_stages

    def call_seconds(self, work: JobWork) -> float:
        """Return how long before a start a ticket for one runner has to be asked for."""
        cost = work.queue.advice
        return 0.0 if cost is None else call_duration(cost, 1) + AHEAD_MARGIN_SECONDS

    def plan_for_blocked(
        self,
        work: JobWork,
        stage: Stage,
        with_room: Sequence[RunnerState],
        room_soon: Collection[str] | None,
    ) -> None:
        """Plan a call for a stage of which not all tasks could be placed.

        Parameters
        ----------
        work, stage : JobWork, Stage
            The stage and its job; stages are passed in queue order.
        with_room : sequence of RunnerState
            Runners that meet the rules of the stage and have room for one of its tasks.
        room_soon : collection of str or None
            Runners on which a task of the stage will fit by the time that a call is answered, None
            if any runner may be the next.
        """
        ahead = self.looks_ahead(work)
        self._blocked[work.queue.name] += 1
        if not self._may_plan_call(work, stage):
            return
        if with_room and not ahead:
            if stage.tickets.known:
                self._plan_call(work, stage, with_room, False)
            elif stage.tickets.recheck_at <= self._now:
                self._plan_call_ahead(work, stage)
        elif ahead and (with_room or stage.tickets.recheck_at <= self._now):
            if room_soon is not None:
                room_soon = {*room_soon, *(runner.id for runner in with_room)}
            self._plan_call_ahead(work, stage, room_soon)

    def plan_for_successors(self, jobs: Iterable[JobWork]) -> None:
        """Plan calls for stages whose predecessors are about to end."""
        for work in jobs:
            cost = work.queue.advice
            if cost is None or not work.open:
                continue
            margin = call_duration(cost, len(self._usable)) + AHEAD_MARGIN_SECONDS
            for stage in work.stages.values():
                if not stage.waiting or not stage.spec.after or work.predecessors_complete(stage):
                    continue
                if stage.tickets.recheck_at > self._now or not self._may_plan_call(work, stage):
                    continue
                if self._predecessors_end_within(work, stage, margin):
                    self._plan_call_ahead(work, stage)

    def _may_plan_call(self, work: JobWork, stage: Stage) -> bool:
        return work.queue.advice is not None and stage.tickets.call_deadline <= self._now

    def _plan_call_ahead(
        self, work: JobWork, stage: Stage, room_soon: Collection[str] | None = None
    ) -> None:
        """Plan a call that includes runners without room, or delay the next check if none helps.

        Of the runners that are known to be allowed, only those in ``room_soon`` are named, since
        tickets expire; by default all are.
        """
        upstream, allowed = work.queue.upstream, stage.tickets.allowed
        suitable = [
            runner
            for runner in self._usable
            if suits(runner, upstream, stage.spec)
            and (room_soon is None or runner.id not in allowed or runner.id in room_soon)
        ]
        if not self._plan_call(work, stage, suitable, True):
            stage.tickets.recheck_at = self._now + RECHECK_DELAY_SECONDS

    def _plan_call(
        self, work: JobWork, stage: Stage, runners: Sequence[RunnerState], ahead: bool
    ) -> bool:
        """Plan a call if an entry is available; return whether the stage needs one."""
        cost = work.queue.advice
        names = self._candidate_policy.choose_runners(stage, runners, self._now, ahead)
        if cost is None or not names:
            return False
        names = names[:MAX_RUNNERS_PER_CALL]
        duration = call_duration(cost, len(names))
        entry = self._loads.assign(duration, self._now)
        if entry is None:
            stage.tickets.recheck_at = self._now + RECHECK_DELAY_SECONDS
            return True
        wait = self._loads.backlog(entry) - duration
        stage.tickets.call_deadline = self._now + wait + duration + CALL_GRACE_SECONDS
        call = AdviceCall(stage.id, tuple(names), entry, wait, duration, cost.validity, self._now)
        self._calls.append(call)
        return True

    def _predecessors_end_within(self, work: JobWork, stage: Stage, seconds: float) -> bool:
        """Return whether all predecessors are expected to end within ``seconds``."""
        for predecessor in work.predecessors(stage):
            if predecessor.waiting:
                return False
            for run in predecessor.active_runs.values():
                if run.state is not RunState.RUNNING:
                    return False
                if run.expected_end - self._now > seconds:
                    return False
        return True
