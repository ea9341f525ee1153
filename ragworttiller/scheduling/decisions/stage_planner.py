"""Decides which waiting tasks start on which runners, and which advisor calls they need."""

from __future__ import annotations

import logging
import math
from collections.abc import Collection, Mapping, Sequence

from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.advice import CandidatePolicy
from ragworttiller.scheduling.decisions.advice_planner import AdvicePlanner
from ragworttiller.scheduling.decisions.caps import RESERVE_DELAY_SECONDS, Caps
from ragworttiller.scheduling.decisions.contained_stages import ContainedStages
from ragworttiller.scheduling.decisions.copy_planner import CopyPlanner
from ragworttiller.scheduling.decisions.entry_loads import EntryLoads
from ragworttiller.scheduling.decisions.evacuator import Evacuator
from ragworttiller.scheduling.decisions.fair_order import ReadyStage, ShareOrder
from ragworttiller.scheduling.decisions.free_resources import FreeResources
from ragworttiller.scheduling.decisions.gang_room import possible_runners, reserves_for_gang
from ragworttiller.scheduling.decisions.headroom import HeadroomPolicy
from ragworttiller.scheduling.decisions.kinds import KindPolicy
from ragworttiller.scheduling.decisions.last_tasks import LastTasksPolicy, SlowStart
from ragworttiller.scheduling.decisions.lasting_stages import LastingStages
from ragworttiller.scheduling.decisions.move_planner import MovePlanner
from ragworttiller.scheduling.decisions.overdue_stages import OverdueStages, waits_for_long
from ragworttiller.scheduling.decisions.pass_speeds import PassSpeeds
from ragworttiller.scheduling.decisions.placer import Placer
from ragworttiller.scheduling.decisions.queue_order import OrderInputs, QueueOrder
from ragworttiller.scheduling.decisions.room_maker import RoomMaker
from ragworttiller.scheduling.decisions.stragglers import Leftovers
from ragworttiller.scheduling.decisions.successor_starts import SuccessorStarts
from ragworttiller.scheduling.decisions.trials import begin_trial, tried_tasks
from ragworttiller.scheduling.decisions.undone_starts import undo_gang_starts, undo_start
from ragworttiller.scheduling.state.contained_errors import ContainedErrors
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.orders import Plan, StartOrder
from ragworttiller.scheduling.state.runner_pool import RunnerPool
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, RunState, Stage
from ragworttiller.scheduling.state.speeds import Speeds
from ragworttiller.scheduling.state.takeover import Takeover

log = logging.getLogger(__name__)

START_DEADLINE_SECONDS = 1.2
# The placement of a lasting task is stored before its start is ordered with a deadline of its own.
PLACEMENT_SECONDS = 2.0
# Time in which a placement is stored unless the store is slow.
STORED_SOON_SECONDS = 0.2
AVOID_FAILED_RUNNER_SECONDS = 2.0
# How long a gang, or a task that has failed, leaves runners on probation to other tasks.
MAX_PROBE_WAIT_SECONDS = 8.0
NO_KINDS: frozenset[str] = frozenset()


class StagePlanner:
    """Places waiting tasks in the order of their jobs.

    Parameters
    ----------
    epoch : int
        Epoch of the ownership.
    pool : RunnerPool
        Runners of the cell.
    takeover : Takeover
        Runners on which an earlier owner's tasks may still run.
    speeds : Speeds
        Observed speeds of runners and of their kinds.
    order, candidate_policy : QueueOrder, CandidatePolicy
        Scheduling policies.
    placer : Placer
        Chooses runners.
    room_maker : RoomMaker
        Reserves and frees room for stages that wait.
    headroom : HeadroomPolicy
        Limits what patient stages take.
    caps : Caps
        Limits what each workspace starts.
    shares : ShareOrder
        Order by the shares of workspaces.
    copies : CopyPlanner
        Starts copies of stragglers with the room that is left.
    moves : MovePlanner
        Moves stragglers to the room that is left.
    kinds : KindPolicy
        Decides which stages avoid slow kinds of runners, and which take them first.
    last_tasks : LastTasksPolicy
        Decides how many tasks wait for a fast runner rather than start on a slow one.
    evacuator : Evacuator
        Moves tasks off draining runners.
    errors : ContainedErrors
        Puts stages aside that cannot be placed.

    Attributes
    ----------
    loads : EntryLoads
        Calls to the advisor in flight at each entry.
    """

    def __init__(
        self,
        epoch: int,
        pool: RunnerPool,
        takeover: Takeover,
        speeds: Speeds,
        order: QueueOrder,
        placer: Placer,
        candidate_policy: CandidatePolicy,
        room_maker: RoomMaker,
        headroom: HeadroomPolicy,
        caps: Caps,
        shares: ShareOrder,
        copies: CopyPlanner,
        moves: MovePlanner,
        kinds: KindPolicy,
        last_tasks: LastTasksPolicy,
        evacuator: Evacuator,
        errors: ContainedErrors,
    ) -> None:
        self._errors = errors
        self._contained = ContainedStages(errors)
        self._caps = caps
        self._shares = shares
        self._last_tasks = last_tasks
        self._kinds = kinds
        self._headroom = headroom
        self._copies = copies
        self._moves = moves
        self._epoch = epoch
        self._pool = pool
        self._takeover = takeover
        self._speeds = PassSpeeds(speeds)
        self._order = order
        self._placer = placer
        self.loads = EntryLoads()
        self._advice = AdvicePlanner(self.loads, candidate_policy)
        self._room_maker = room_maker
        self._overdue = OverdueStages(pool, caps)
        self._lasting = LastingStages(pool, caps, self._advice)
        self._evacuator = evacuator
        # Starts of lasting tasks that may wait until their placements are stored.
        self._delayed: list[Run] = []
        self._successors = SuccessorStarts(evacuator.successors, takeover, placer, caps)

    def plan(
        self,
        plan: Plan,
        jobs: Mapping[str, JobWork],
        capacity: Resources,
        now: float,
        wall: float,
    ) -> None:
        """Add the starts and advisor calls that are due now to a plan.

        Parameters
        ----------
        plan : Plan
            Receives the starts and the calls.
        jobs : mapping
            Active jobs, by identifier.
        capacity : Resources
            Capacity of all listed runners.
        now, wall : float
            Time of the owner, and time of day in seconds since the epoch.
        """
        usable = self._pool.accepting_tasks(now)
        free_resources = FreeResources(usable)
        self._speeds.begin(self._pool.kinds, now)
        self._kinds.begin(self._speeds.kinds)
        self._last_tasks.begin(free_resources, self._speeds.kinds, now)
        self._advice.begin(plan.calls, free_resources, len(usable), now)
        self._room_maker.begin(jobs, free_resources, now, wall)
        self._placer.trials.begin(len(usable), self._pool.on_trial(now), now)
        capped, lasting = self._caps.begin(), self._lasting
        attempt, for_all = self._errors.attempt, self._contained.for_all
        attempt("successors", now, self._start_successors, plan, jobs, free_resources, now)
        ready = self._contained.ready(jobs, lambda rows: self._ready_stages(rows, now, wall), now)
        self._overdue.begin()
        for_all(ready, lambda rows: self._record_arrivals(rows, now), now, "arrivals")
        for_all(ready, lambda rows: self._overdue.mark(rows, capped, now), now, "overdue stages")
        for_all(ready, lambda rows: lasting.plan_calls(rows, capped, now), now, "lasting calls")
        attempt("calls for evacuations", now, self._plan_calls_for_evacuations, jobs)
        attempt("calls for delayed starts", now, self._plan_renewals, jobs, now)
        ready = self._contained.without_aside(ready, now)
        held_back: set[str] = set()
        for row in self._shares.arrange(ready, self._order, capacity, now):
            try:
                self._place(plan, row, free_resources, held_back, capped, now)
            except Exception as exc:
                self._contained.put_aside(row, exc, now)

        def allowance_now(work: JobWork, stage: Stage) -> float:
            inputs = work.order_inputs(stage, now, wall)
            room = free_resources.upstream_room(work.queue.upstream)
            return self._headroom.allowance(inputs, 0.0, room, now)

        for_all(
            ready,
            lambda rows: self._start_on_suspended(plan, rows, capped, now),
            now,
            "suspended runners",
        )
        left = Leftovers(jobs, free_resources, ready, allowance_now, now)
        attempt("copies", now, self._copies.plan, plan, left)
        attempt("moves", now, self._moves.plan, left)
        ahead = self._lasting.plan_calls_ahead
        attempt("calls ahead", now, ahead, jobs.values(), self._takeover, capped, now, wall)
        successors = self._advice.plan_for_successors
        attempt("calls for successors", now, successors, jobs.values(), self._pool.silent())

    def _start_successors(
        self, plan: Plan, jobs: Mapping[str, JobWork], free: FreeResources, now: float
    ) -> None:
        """Start the tasks of evacuated runs that have ended, before any other task."""
        for row in self._successors.due(jobs, free, now):
            expected = row.work.expected_seconds(row.stage)
            chosen = {row.ordinal: row.runner}
            self._start(plan, row.work, row.stage, chosen, expected, False, now)

    def _plan_calls_for_evacuations(self, jobs: Mapping[str, JobWork]) -> None:
        """Plan calls to the advisor for tasks on draining runners."""
        for stage_id, needed in self._evacuator.awaiting.items():
            work = jobs.get(stage_id.job)
            if work is not None:
                stage = work.stages[stage_id]
                self._advice.plan_for_evacuation(work, stage, needed, self._evacuator.ages)

    def _plan_renewals(self, jobs: Mapping[str, JobWork], now: float) -> None:
        """Plan calls to the advisor for starts that wait until their placements are stored."""
        self._delayed = [
            run
            for run in self._delayed
            if run.state is RunState.STARTING and run.task.stage.job in jobs
        ]
        for stage_id in dict.fromkeys(run.task.stage for run in self._delayed):
            work = jobs[stage_id.job]
            stage = work.stages[stage_id]
            runners = [
                run.runner
                for run in self._delayed
                if stage.active_runs.get(run.task.ordinal) is run
                and now - run.started_at > STORED_SOON_SECONDS
                and not stage.placements.is_stored(run.task.ordinal, run.runner)
            ]
            self._advice.plan_renewal(work, stage, runners)

    def _place(
        self,
        plan: Plan,
        row: ReadyStage,
        free_resources: FreeResources,
        held_back: set[str],
        capped: bool,
        now: float,
    ) -> None:
        """Start the tasks of a stage that can be placed, and make room for the others.

        Upstreams whose room is kept for a gang are added to ``held_back``.
        """
        work, stage, inputs = row
        if work.queue.upstream in held_back and not (inputs.lasts or stage.overdue):
            return
        allowance = self._allowance(work, stage, inputs, free_resources, now)
        if allowance < stage.spec.reservation.cpu:
            return
        allowed = self._allowed_by_cap(work, stage, now) if capped else len(stage.waiting)
        if not allowed:
            return
        self._relax_avoidance(work, stage, free_resources, now)
        placed = self._start_placeable(
            plan, work, stage, inputs, free_resources, allowance, allowed, now
        )
        if not stage.waiting.size or (placed and stage.spec.gang):
            return
        if placed and self._takeover.blocks(work.row, stage):
            # The others may run on an unsettled runner, and need no room yet.
            return
        if placed and capped:
            allowed = self._allowed_by_cap(work, stage, now)
            if not allowed:
                return
        stage.blocked_since = stage.blocked_since or now
        room_soon: set[str] | None = None
        if self._advice.looks_ahead(work) and not stage.spec.gang:
            ahead = self._advice.call_seconds(work)
            room_soon = self._room_maker.make_room(work, stage, inputs, ahead, allowed)
        self._advice.plan_for_blocked(work, stage, room_soon)
        if reserves_for_gang(work, stage, free_resources, now):
            held_back.add(work.queue.upstream)

    def _allowance(
        self,
        work: JobWork,
        stage: Stage,
        inputs: OrderInputs,
        free_resources: FreeResources,
        now: float,
    ) -> float:
        """Return the processor time that the tasks of a stage may reserve now."""
        if stage.overdue:
            return math.inf
        room = free_resources.upstream_room(work.queue.upstream)
        waited = now - (stage.ready_since or now)
        return self._headroom.allowance(inputs, waited, room, now)

    def _start_on_suspended(
        self, plan: Plan, ready: list[ReadyStage], capped: bool, now: float
    ) -> None:
        """Start lasting tasks that have waited for long on suspended runners."""
        rows = [row for row in ready if row[1].overdue and row[1].waiting and row[2].lasts]
        runners = self._pool.accepting_lasting_tasks_only(now) if rows else []
        if not runners:
            return
        free = FreeResources(runners)
        for work, stage, inputs in rows:
            allowed = self._allowed_by_cap(work, stage, now) if capped else len(stage.waiting)
            if allowed:
                self._start_placeable(plan, work, stage, inputs, free, math.inf, allowed, now)

    def _allowed_by_cap(self, work: JobWork, stage: Stage, now: float) -> int:
        """Return how many tasks the cap of its workspace allows a stage, and record if none."""
        allowed = self._caps.allowed(stage, now - (stage.ready_since or now))
        if allowed:
            stage.cap_hold.end(now)
            return allowed
        stage.overdue = False
        work.hold_for_cap(stage, now)
        if not stage.cap_hold.logged:
            stage.cap_hold.logged = True
            extra = {"stage": str(stage.id), "workspace": stage.workspace}
            log.info("stage held by the cap of its workspace", extra=extra)
        if stage.active_runs:
            # Its next wave starts when a task ends, and needs tickets then.
            self._advice.plan_for_blocked(work, stage, None)
        elif now - (stage.cap_hold.since or now) > RESERVE_DELAY_SECONDS:
            self._caps.reserve(stage)
        return 0

    def _record_arrivals(self, ready: list[ReadyStage], now: float) -> None:
        """Tell the headroom policy which stages have become ready."""
        for work, stage, inputs in ready:
            if stage.ready_since is None:
                stage.ready_since = now
                cpu = len(stage.waiting) * stage.spec.reservation.cpu
                self._headroom.record_arrival(work.queue.upstream, inputs.priority, cpu, now)

    def _ready_stages(self, jobs: Collection[JobWork], now: float, wall: float) -> list[ReadyStage]:
        rows: list[ReadyStage] = []
        settled = self._takeover.all_settled
        for work in jobs:
            if not work.open:
                continue
            known: dict[int, OrderInputs] = {}
            for stage in work.ready(wall):
                if settled or not self._takeover.blocks(work.row, stage):
                    rows.append((work, stage, work.order_inputs(stage, now, wall, known)))
        return rows

    def _relax_avoidance(
        self, work: JobWork, stage: Stage, free: FreeResources, now: float
    ) -> None:
        """Let tasks that have failed start on more runners once their stage is blocked for long."""
        blocked = now - (stage.blocked_since or now)
        stage.joins_probes = stage.spec.gang and blocked > MAX_PROBE_WAIT_SECONDS
        stage.tries_failed_on_probation = stage.overdue or blocked > MAX_PROBE_WAIT_SECONDS
        if blocked <= AVOID_FAILED_RUNNER_SECONDS:
            return
        stage.last_failed_runner.clear()
        if stage.failed_runs and not stage.tries_failed_on_probation:
            stage.tries_failed_on_probation = all(
                runner.on_probation for runner in possible_runners(work, stage, free)
            )

    def _start_placeable(
        self,
        plan: Plan,
        work: JobWork,
        stage: Stage,
        inputs: OrderInputs,
        free_resources: FreeResources,
        allowance: float,
        allowed: int,
        now: float,
    ) -> bool:
        """Start the tasks that can be placed and return whether there were any.

        ``allowance`` limits the processor time that they reserve, in thousandths of a core, and
        ``allowed`` their number.
        """
        if stage.spec.gang and stage.active_runs:
            return False
        needs_ticket = work.queue.advice is not None
        upstream = work.queue.upstream
        if needs_ticket:
            holders = stage.tickets.holders(now)
            with_room = free_resources.those_with_room(holders, upstream, stage.spec, stage.overdue)
        else:
            with_room = free_resources.with_room(upstream, stage.spec, stage.overdue)
        if not with_room:
            return False
        indices: Sequence[int] = self._takeover.startable(work.row, stage)
        if stage.trials:
            # A trial of an earlier owner may still run.
            indices = [index for index in indices if index not in stage.trials]
        if stage.losses:
            indices = [index for index in indices if not stage.awaits_proof(index, now)]
        if allowance < len(indices) * stage.spec.reservation.cpu:
            indices = indices[: int(allowance // stage.spec.reservation.cpu)]
        if allowed < len(indices):
            indices = indices[:allowed]
        if stage.spec.gang and len(indices) < stage.spec.tasks:
            return False
        expected = work.expected_seconds(stage)
        costs = self._kinds.costs(work.queue, stage.spec, inputs, expected, now)
        time_ratios = self._speeds.time_ratios(with_room, by_kind=bool(costs))

        def start(runners: Sequence[RunnerState], tasks: Sequence[int]) -> set[int]:
            if not runners or not tasks:
                return set()
            chosen = self._placer.place(
                stage, runners, free_resources, tasks, time_ratios, costs, inputs.late(now)
            )
            self._start(plan, work, stage, chosen, expected, bool(costs), now)
            return set(chosen)

        ages = self._evacuator.ages
        if stage.spec.daemon and not stage.spec.gang and ages.drains(upstream):
            younger, others = ages.younger_first(upstream, with_room)
            started = start(younger, indices)
            return bool(started | start(others, [i for i in indices if i not in started]))
        slow = self._kinds.in_effect(work.queue) if costs else NO_KINDS
        if not slow or needs_ticket or stage.spec.gang:
            return bool(start(with_room, indices))
        started = start([r for r in with_room if r.entry.kind not in slow], indices)
        left = [index for index in indices if index not in started]
        slow_rows = [runner for runner in with_room if runner.entry.kind in slow]
        if left and slow_rows:
            ratio = min(time_ratios[runner.id] for runner in slow_rows)
            slow_start = SlowStart(upstream, slow, ratio, expected)
            waiting = self._last_tasks.waiting(stage, slow_start, len(left))
            if stage.overdue:
                waiting = 0
            started |= start(slow_rows, left[: len(left) - waiting])
        return bool(started)

    def _start(
        self,
        plan: Plan,
        work: JobWork,
        stage: Stage,
        chosen: Mapping[int, str],
        expected: float,
        by_kind: bool,
        now: float,
    ) -> None:
        """Start tasks on the runners chosen for them; their kind tells its duration ``by_kind``."""
        if not chosen:
            return
        stage.blocked_since = None
        needs_ticket = work.queue.advice is not None
        # The runs of a gang have the same number and start from the same checkpoint.
        number = max(stage.next_number(i, self._epoch) for i in chosen) if stage.spec.gang else 0
        checkpoint = next(iter(stage.checkpoints.values()), "") if stage.spec.gang else None
        planned = len(plan.starts)
        tried = tried_tasks(stage, chosen)
        for index, name in chosen.items():
            runner = self._pool.runners[name]
            try:
                run = stage.start(index, name, self._epoch, now, number)
                run.expected_seconds = expected
                if by_kind:
                    run.expected_seconds *= self._speeds.kinds.time_ratio(runner.entry.kind)
                if checkpoint is not None:
                    run.resume(checkpoint)
                seconds = START_DEADLINE_SECONDS + (PLACEMENT_SECONDS if stage.spec.daemon else 0.0)
                run.start_deadline = runner.grant_start(now, seconds)
                runner.add(run)
                if index in tried:
                    begin_trial(self._pool, stage, run, runner, now)
                ticket = stage.tickets.valid_ticket(name, now) if needs_ticket else ""
                order = StartOrder(run, work.spec.spec, run.start_deadline, ticket, run.trial)
                plan.starts.append(order)
                if needs_ticket and stage.spec.daemon:
                    self._delayed.append(run)
            except Exception:
                if stage.spec.gang:
                    undo_gang_starts(plan, planned, stage, self._pool.runners, now)
                undo_start(stage, index, runner, now)
                raise
        # Other lasting tasks of it may have waited for as long.
        stage.overdue = stage.overdue and stage.spec.daemon and waits_for_long(stage, now)
        self._last_tasks.record_starts(chosen.values())
