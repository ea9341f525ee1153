"""Decides for which stages the advisor is called, and when."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Iterable, Sequence, Set

from ragworttiller.scheduling.decisions.advice import (
    MAX_RUNNERS_PER_CALL,
    AdviceCall,
    CandidatePolicy,
    call_duration,
)
from ragworttiller.scheduling.decisions.entry_loads import SHORT_CALL_SECONDS, EntryLoads
from ragworttiller.scheduling.decisions.free_resources import FreeResources
from ragworttiller.scheduling.decisions.runner_ages import RunnerAges
from ragworttiller.scheduling.decisions.runner_rules import accepts_another, suitable
from ragworttiller.scheduling.decisions.successor_names import (
    AwaitedSuccessors,
    successors_to_ask,
)
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import RunState, Stage

# The advisor is called for the first stages of a queue before a runner has room for them: for one
# stage per RUNNERS_PER_STAGE_AHEAD usable runners, but at least for MIN_STAGES_AHEAD.
MIN_STAGES_AHEAD = 3
RUNNERS_PER_STAGE_AHEAD = 8
AHEAD_MARGIN_SECONDS = 0.3
CALL_GRACE_SECONDS = 2.0
# Delay before a stage is searched again that has sufficient tickets, or no entry to call for it.
RECHECK_DELAY_SECONDS = 0.01
# The same while one pass cannot search all stages, in the time that searching each once takes.
RECHECK_DELAY_ROUNDS = 2.0
MAX_RECHECK_DELAY_SECONDS = 0.4
# A search for the runners to name looks at all runners of an upstream.
MAX_SEARCHES_PER_PASS = 16
# Lasting tasks come first, and leave some of these searches to all other stages.
MAX_URGENT_SEARCHES_PER_PASS = 8
# Tasks on draining runners still have a run, and leave the other urgent searches to those without.
MAX_EVACUATION_SEARCHES_PER_PASS = 4
# With more runners to name, they are divided among calls of several entries, which take less time.
RUNNERS_PER_CALL_AT_ONCE = 30


class AdvicePlanner:
    """Plans calls for stages that wait for room and for those whose predecessors end soon.

    Load pattern: a burst leaves hundreds of stages waiting, and a search of the runners to name for
    each of them in each pass would keep the owner from all other work. So a pass makes a limited
    number of searches, and the delay before a stage is searched again grows with the number of
    stages for which a search was due and with the time between passes.

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
        self._free = FreeResources(())
        self._usable_runners = 0
        self._now = 0.0
        self._blocked: Counter[str] = Counter()
        self._searches_due = 0
        self._evacuation_searches = 0
        self._recheck_delay = RECHECK_DELAY_SECONDS
        self._no_entry_for: set[bool] = set()

    def begin(self, calls: list[AdviceCall], free: FreeResources, usable: int, now: float) -> None:
        """Start a new planning pass.

        Parameters
        ----------
        calls : list of AdviceCall
            List to which the due calls are added.
        free : FreeResources
            Runners on which tasks may start.
        usable : int
            Number of these runners.
        now : float
            Time in seconds.
        """
        self._recheck_delay = RECHECK_DELAY_SECONDS
        rounds = self._searches_due / MAX_SEARCHES_PER_PASS
        if rounds > 1:
            delay = RECHECK_DELAY_ROUNDS * rounds * (now - self._now)
            self._recheck_delay = min(max(delay, RECHECK_DELAY_SECONDS), MAX_RECHECK_DELAY_SECONDS)
        self._calls, self._free, self._usable_runners, self._now = calls, free, usable, now
        self._searches_due = self._evacuation_searches = 0
        self._blocked.clear()
        self._no_entry_for.clear()

    def looks_ahead(self, work: JobWork) -> bool:
        """Return whether the next blocked stage of a queue is called for before it has room."""
        max_stages = max(MIN_STAGES_AHEAD, self._usable_runners // RUNNERS_PER_STAGE_AHEAD)
        return self._blocked[work.queue.name] < max_stages

    def call_seconds(self, work: JobWork) -> float:
        """Return how long before a start a ticket for one runner has to be asked for."""
        cost = work.queue.advice
        return 0.0 if cost is None else call_duration(cost, 1) + AHEAD_MARGIN_SECONDS

    def plan_for_blocked(
        self,
        work: JobWork,
        stage: Stage,
        room_soon: Collection[str] | None,
    ) -> None:
        """Plan a call for a stage of which not all tasks could be placed.

        Parameters
        ----------
        work, stage : JobWork, Stage
            The stage and its job; stages are passed in queue order.
        room_soon : collection of str or None
            Runners on which a task of the stage will fit by the time that a call is answered, None
            if any runner may be the next.
        """
        ahead = self.looks_ahead(work)
        self._blocked[work.queue.name] += 1
        if not self._may_search(work, stage):
            return
        with_room = self._free.with_room(work.queue.upstream, stage.spec, stage.overdue)
        if ahead:
            if room_soon is not None:
                room_soon = {*room_soon, *(runner.id for runner in with_room)}
            self._plan_call_ahead(work, stage, room_soon)
        elif with_room and not stage.tickets.known:
            self._plan_call_ahead(work, stage)
        else:
            calls = self._calls_at_once(work)
            names = self._choose(stage, with_room, False, calls)
            if not self._plan_calls(work, stage, names, calls):
                stage.tickets.recheck_at = self._now + self._recheck_delay

    def plan_for_lasting(self, work: JobWork, stage: Stage, suspended: FreeResources) -> None:
        """Plan a call for lasting tasks that have waited if there is room for one of them.

        It comes before those for all other stages, of which there may always be enough for every
        entry, and takes the first entry that is free. For an overdue stage it names ``suspended``
        runners with room as well, unless enough others are known to be allowed. A search that finds
        no runner to name is not repeated at once: stages that wait for long come first in each
        pass, and would take all of its searches.
        """
        upstream, tickets = work.queue.upstream, stage.tickets
        searched = self._searches_due >= MAX_URGENT_SEARCHES_PER_PASS
        if searched or tickets.urgent_recheck_at > self._now:
            return
        if not self._search_due(work, stage, True):
            return
        with_room = self._free.with_room(upstream, stage.spec, stage.overdue)
        last_resort = suspended.with_room(upstream, stage.spec) if stage.overdue else []
        last_resort = [runner for runner in last_resort if runner.id not in tickets.denied]
        places = _places_with_ticket(stage, [*with_room, *last_resort], self._now)
        if places >= len(stage.waiting):
            # They start in this pass.
            return
        if not (with_room or last_resort) or not self._may_search(work, stage, True):
            return
        calls = self._calls_at_once(work)
        names = self._choose(stage, with_room, False, calls)
        if len(tickets.allowed.intersection(names)) < len(stage.waiting):
            names += self._choose(stage, last_resort, False, calls)
        needed = self._plan_calls(work, stage, names, calls, urgent=True)
        tickets.urgent_recheck_at = 0.0 if needed else self._now + self._recheck_delay

    def plan_for_evacuation(
        self, work: JobWork, stage: Stage, needed: AwaitedSuccessors, ages: RunnerAges
    ) -> None:
        """Plan a call for lasting tasks that run on draining runners, as if they waited.

        Runners that should stay come first. Tickets that end too soon for a task to be stopped and
        started again count as none.

        Parameters
        ----------
        work, stage : JobWork, Stage
            The stage and its job; stages are passed in the order in which their runners leave.
        needed : AwaitedSuccessors
            Number of these tasks, and for how long tickets have to be valid.
        ages : RunnerAges
            Tells which runners should stay.
        """
        upstream, tickets = work.queue.upstream, stage.tickets
        if self._evacuation_searches >= MAX_EVACUATION_SEARCHES_PER_PASS:
            return
        if tickets.urgent_recheck_at > self._now or not self._search_due(work, stage, True):
            return
        with_room = self._free.with_room(upstream, stage.spec)
        if not with_room or not self._may_search(work, stage, True):
            return
        self._evacuation_searches += 1
        needed = needed._replace(tasks=needed.tasks + len(stage.waiting))
        names = successors_to_ask(stage, upstream, with_room, self._free, needed, ages)
        useful = self._plan_calls(work, stage, names, self._calls_at_once(work), urgent=True)
        tickets.urgent_recheck_at = 0.0 if useful else self._now + self._recheck_delay

    def plan_renewal(self, work: JobWork, stage: Stage, runners: Sequence[str]) -> None:
        """Plan a call for the runners of starts whose tickets run out before they are sent.

        A start of a lasting task is sent once its placement is stored, which a slow store delays.
        """
        cost = work.queue.advice
        if cost is None or not self._search_due(work, stage, True):
            return
        limit = self._now + call_duration(cost, len(runners)) + AHEAD_MARGIN_SECONDS
        names = [name for name in runners if stage.tickets.valid_until(name) < limit]
        self._plan_call(work, stage, names, urgent=True)

    def plan_for_held(self, work: JobWork, stage: Stage, seconds: float) -> None:
        """Plan a call for lasting tasks that an earlier owner keeps waiting for ``seconds`` more.

        It is made as long before as it takes, so that its tickets are still valid then, and after
        the calls for all stages that can start.
        """
        cost = work.queue.advice
        if cost is None:
            return
        longest = call_duration(cost, MAX_RUNNERS_PER_CALL) + AHEAD_MARGIN_SECONDS
        if seconds > longest or not self._may_search(work, stage):
            return
        with_room = self._free.with_room(work.queue.upstream, stage.spec)
        if _places_with_ticket(stage, with_room, self._now) >= len(stage.waiting):
            return
        names = self._candidate_policy.choose_runners(stage, with_room, self._now, False)
        names = names[:MAX_RUNNERS_PER_CALL]
        if seconds > call_duration(cost, len(names)) + AHEAD_MARGIN_SECONDS:
            return
        if not self._plan_call(work, stage, names):
            stage.tickets.recheck_at = self._now + self._recheck_delay

    def plan_for_successors(self, jobs: Iterable[JobWork], silent: Set[str]) -> None:
        """Plan calls for stages whose predecessors are about to end.

        A run on a ``silent`` runner seems about to end for as long as nothing is heard of it, and
        calls for what follows would keep the advisor from all other stages.
        """
        for work in jobs:
            cost = work.queue.advice
            if cost is None or not work.open:
                continue
            margin = call_duration(cost, self._usable_runners) + AHEAD_MARGIN_SECONDS
            for stage in work.stages.values():
                if (
                    not stage.waiting.size
                    or not stage.spec.after
                    or work.predecessors_complete(stage)
                ):
                    continue
                if not self._predecessors_end_within(work, stage, margin, silent):
                    continue
                if self._may_search(work, stage):
                    self._plan_call_ahead(work, stage)

    def _may_search(self, work: JobWork, stage: Stage, urgent: bool = False) -> bool:
        """Return whether to search runners to name for a stage now, which counts as a search."""
        if not self._search_due(work, stage, urgent):
            return False
        self._searches_due += 1
        stage.tickets.awaits_call = self._searches_due > MAX_SEARCHES_PER_PASS
        return not stage.tickets.awaits_call

    def _search_due(self, work: JobWork, stage: Stage, urgent: bool = False) -> bool:
        """Return whether a call may be made for a stage, and some entry may be free for it.

        An ``urgent`` one does not wait for calls that are late.
        """
        cost = work.queue.advice
        if cost is None:
            return False
        tickets = stage.tickets
        if tickets.recheck_at > self._now:
            return False
        awaits_answer = tickets.call_deadline > self._now
        if awaits_answer and not (urgent and tickets.calls_are_late(self._now)):
            return False
        if (call_duration(cost, 1) > SHORT_CALL_SECONDS) in self._no_entry_for:
            tickets.awaits_call = True
            return False
        return True

    def _plan_call_ahead(
        self, work: JobWork, stage: Stage, room_soon: Collection[str] | None = None
    ) -> None:
        """Plan a call that includes runners without room, or delay the next check if none helps.

        Of the runners that are known to be allowed, only those in ``room_soon`` are named, since
        tickets expire; by default all are.
        """
        upstream, allowed = work.queue.upstream, stage.tickets.allowed
        named = [
            runner
            for runner in suitable(
                self._free.of_upstream(upstream), upstream, stage.spec, stage.overdue
            )
            if room_soon is None or runner.id not in allowed or runner.id in room_soon
        ]
        calls = self._calls_at_once(work)
        names = self._choose(stage, named, True, calls)
        if not self._plan_calls(work, stage, names, calls):
            stage.tickets.recheck_at = self._now + self._recheck_delay

    def _calls_at_once(self, work: JobWork) -> int:
        """Return how many calls may be made for a stage at once; a short call is made alone."""
        cost = work.queue.advice
        if cost is None or call_duration(cost, 1) <= SHORT_CALL_SECONDS:
            return 1
        return self._loads.calls_at_once(self._now)

    def _choose(
        self, stage: Stage, runners: Sequence[RunnerState], ahead: bool, calls: int
    ) -> list[str]:
        return self._candidate_policy.choose_runners(stage, runners, self._now, ahead, calls)

    def _plan_calls(
        self,
        work: JobWork,
        stage: Stage,
        names: Sequence[str],
        calls: int,
        urgent: bool = False,
    ) -> bool:
        """Plan calls among which runners are divided; return whether any is needed.

        Each call names some of the most useful runners, which come first.
        """
        count = min(calls, math.ceil(len(names) / RUNNERS_PER_CALL_AT_ONCE))
        if count <= 1:
            return self._plan_call(work, stage, names, urgent)
        planned = [self._plan_call(work, stage, names[i::count], urgent) for i in range(count)]
        return any(planned)

    def _plan_call(
        self, work: JobWork, stage: Stage, names: Sequence[str], urgent: bool = False
    ) -> bool:
        """Plan a call that names runners, if an entry is available; return whether it is needed."""
        cost = work.queue.advice
        if cost is None or not names:
            return False
        names = names[:MAX_RUNNERS_PER_CALL]
        duration = call_duration(cost, len(names))
        tickets = stage.tickets
        asked = tickets.asked_entries if tickets.calls_are_late(self._now) else ()
        entry = self._loads.assign(duration, self._now, urgent, asked)
        if entry is None:
            if not asked:
                self._no_entry_for.add(duration > SHORT_CALL_SECONDS)
            stage.tickets.awaits_call = True
            # With a delay, a later stage would take the next entry before a lasting one.
            if not stage.spec.daemon:
                stage.tickets.recheck_at = self._now + self._recheck_delay
            return True
        wait = self._loads.backlog(entry) - duration
        end = self._now + wait + duration
        stage.tickets.begin_call(entry, self._now, end, end + CALL_GRACE_SECONDS)
        call = AdviceCall(stage.id, tuple(names), entry, wait, duration, cost.validity, self._now)
        self._calls.append(call)
        return True

    def _predecessors_end_within(
        self, work: JobWork, stage: Stage, seconds: float, silent: Set[str]
    ) -> bool:
        """Return whether all predecessors are expected to end within ``seconds``."""
        for predecessor in work.predecessors(stage):
            if predecessor.waiting:
                return False
            for run in predecessor.active_runs.values():
                if run.state is not RunState.RUNNING or run.runner in silent:
                    return False
                if run.expected_end - self._now > seconds:
                    return False
        return True


def _places_with_ticket(stage: Stage, runners: Iterable[RunnerState], now: float) -> int:
    """Return how many tasks of a stage fit on runners for which it has a valid ticket."""
    holders = stage.tickets.holders(now)
    if not holders:
        return 0
    spec, running = stage.spec, stage.runs_by_runner()
    return sum(
        spec.reservation.copies_in(
            runner.free, (spec.per_runner or spec.tasks) - running[runner.id]
        )
        for runner in runners
        if runner.id in holders and accepts_another(runner, stage, running[runner.id])
    )
