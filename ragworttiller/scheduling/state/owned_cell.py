"""Decisions of the owner of a cell, without I/O: starts, stops and calls to the advisor."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping

from ragworttiller.platform.runner_answers import HoldAnswer
from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.advice import AdviceCall
from ragworttiller.scheduling.decisions.caps import Caps
from ragworttiller.scheduling.decisions.cell_policies import CellPolicies, default_policies
from ragworttiller.scheduling.decisions.copy_planner import CopyPlanner
from ragworttiller.scheduling.decisions.entry_loads import EntryLoads
from ragworttiller.scheduling.decisions.evacuator import Evacuator
from ragworttiller.scheduling.decisions.move_planner import MovePlanner
from ragworttiller.scheduling.decisions.placer import Placer
from ragworttiller.scheduling.decisions.room_maker import RoomMaker
from ragworttiller.scheduling.decisions.separation import SHARING_REASON, SeparationPolicy
from ragworttiller.scheduling.decisions.stage_planner import StagePlanner
from ragworttiller.scheduling.decisions.straggler_policy import LearntDurations, TailDurations
from ragworttiller.scheduling.decisions.stragglers import StragglerSearch
from ragworttiller.scheduling.records.formats import Claim
from ragworttiller.scheduling.records.job_fold import JobFold
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.records.runner_fold import RunnerFold
from ragworttiller.scheduling.state.active_jobs import ActiveJobs
from ragworttiller.scheduling.state.advice_meter import AdviceMeter
from ragworttiller.scheduling.state.claim_contents import ClaimContents
from ragworttiller.scheduling.state.contained_errors import ContainedErrors
from ragworttiller.scheduling.state.copy_tally import CopyTally
from ragworttiller.scheduling.state.job_previews import JobPreviews
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.lasting_waits import LastingWaits
from ragworttiller.scheduling.state.learnt_store import LearntStore
from ragworttiller.scheduling.state.orders import Changes, PendingStops, Plan
from ragworttiller.scheduling.state.owed_jobs import OwedJobs
from ragworttiller.scheduling.state.pressure_meter import PressureMeter
from ragworttiller.scheduling.state.removed_workspaces import RemovedWorkspaces
from ragworttiller.scheduling.state.run_tracker import RunTracker
from ragworttiller.scheduling.state.runner_pool import RunnerPool
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, Stage
from ragworttiller.scheduling.state.speeds import Speeds
from ragworttiller.scheduling.state.takeover import Takeover
from ragworttiller.scheduling.state.unseen_runs import UnseenRuns
from ragworttiller.scheduling.state.work_items import job_item
from ragworttiller.scheduling.state.workspace_usage import WorkspaceUsage
from ragworttiller.scheduling.state.workspaces import Workspace

log = logging.getLogger(__name__)

LEASE_SECONDS = 4.5
# A pass that never ends would leave an owner that does nothing.
MAX_FAILED_PASSES = 20


class Cell:
    """State of all jobs and runners as known to the owner of the cell.

    Parameters
    ----------
    epoch : int
        Epoch of the ownership, also the fencing token.
    jobs : JobFold
        Jobs recorded in the store.
    config : QueueFold
        Current configuration.
    runners : RunnerFold
        Runners listed by the platform.
    takeover : Takeover
        Runners on which an earlier owner's tasks may still run.
    lease : float
        Duration of the granted leases, in seconds.
    policies : CellPolicies, optional
        Scheduling policies; those of the default settings by default.
    durations : LearntDurations, optional
        What copies take for the tail of durations; by default what the cell has observed.
    measures_pressure : bool
        Whether claims tell how long a new job waits.

    Attributes
    ----------
    usage : WorkspaceUsage
        What each workspace uses.
    owed : OwedJobs
        Tells which jobs are beyond the weight of their workspace.
    caps : Caps
        Limits what each workspace starts.
    shares : ShareOrder
        Order by the shares of workspaces.
    previews : JobPreviews
        Jobs that are looked at without any effect.
    errors : ContainedErrors
        Runners, jobs, stages and steps that are put aside after an unexpected error.
    advice_meter : AdviceMeter
        Measures how much of the entries' time calls to the advisor take.
    """

    def __init__(
        self,
        epoch: int,
        jobs: JobFold,
        config: QueueFold,
        runners: RunnerFold,
        takeover: Takeover,
        lease: float = LEASE_SECONDS,
        policies: CellPolicies | None = None,
        durations: LearntDurations | None = None,
        measures_pressure: bool = False,
    ) -> None:
        policies = policies or default_policies()
        self._observation = policies.observation
        self._separation = policies.separation
        self._epoch = epoch
        self._takeover = takeover
        self._lease = lease
        self._stops = PendingStops()
        speeds = Speeds()
        self._job_fold = jobs
        self._config = config
        self._listed = runners
        self._unseen = UnseenRuns(takeover, jobs, runners)
        self.errors = ContainedErrors()
        self._failed_passes = 0
        self.usage = WorkspaceUsage(self._unseen)
        self.owed = OwedJobs(jobs, config)
        self.caps = Caps(self.usage, config)
        self.shares = policies.shares(self.usage, self.owed, config)
        observed = policies.estimates.durations
        self._active = ActiveJobs(
            jobs, config, self._stops, speeds, self.caps, policies.estimates, self.errors
        )
        workspaces = RemovedWorkspaces(config, self._active)
        self._learnt = LearntStore(speeds.kinds, observed, workspaces)
        restore, began_at = self._learnt.restore, takeover.began_at
        self.errors.attempt(
            "learnt values of a claim", began_at, restore, takeover.learnt, began_at
        )
        self._copies = CopyTally()
        self.advice_meter = AdviceMeter(began_at)
        self._tracker = RunTracker(
            self._active,
            runners,
            takeover,
            self._stops,
            speeds,
            self._copies,
            observed,
            lease,
            policies.separation,
            self.usage,
            self.errors,
        )
        placer = Placer(policies.placement, policies.separation)
        self.previews = JobPreviews(self._active, policies.placement, policies.separation, speeds)
        learnt = durations or TailDurations(observed)
        search = StragglerSearch(self.pool, takeover, speeds, placer, self._stops, learnt)
        meter = None
        if measures_pressure:
            meter = PressureMeter(self.pool, self._active, takeover, config)
        self._claim_contents = ClaimContents(
            self._active, takeover, meter, self._learnt, self.errors
        )
        self._evacuator = Evacuator(policies.evacuation, self.pool, self.caps, self._stops)
        self._planner = StagePlanner(
            epoch,
            self.pool,
            takeover,
            speeds,
            policies.order,
            placer,
            policies.candidates,
            RoomMaker(self._stops, policies.victims, policies.stop_seconds),
            policies.headroom,
            self.caps,
            self.shares,
            CopyPlanner(epoch, self.pool, search, policies.copies, self._copies, self.caps),
            MovePlanner(self.pool, search, policies.moves, self._stops),
            policies.kinds,
            policies.last_tasks,
            self._evacuator,
            self.errors,
        )

    @property
    def epoch(self) -> int:
        """Epoch of the ownership."""
        return self._epoch

    @property
    def known_workspaces(self) -> Mapping[str, Workspace]:
        """Last records of the workspaces by name, also of those removed."""
        return self._config.known_workspaces

    @property
    def capacity(self) -> Resources:
        """Capacity of all listed runners."""
        return self._listed.capacity

    @property
    def skipped_entries(self) -> int:
        """Number of runner entries that could not be read, those written again included."""
        return self._listed.skipped.count

    @property
    def lease(self) -> float:
        """Duration of the granted leases, in seconds."""
        return self._lease

    @property
    def takeover(self) -> Takeover:
        """Runners on which an earlier owner's tasks may still run."""
        return self._takeover

    @property
    def separation(self) -> SeparationPolicy:
        """Policy that keeps tasks apart, and what it has learnt."""
        return self._separation

    @property
    def pool(self) -> RunnerPool:
        """Runners of the cell."""
        return self._tracker.pool

    @property
    def copies(self) -> CopyTally:
        """Copies of stragglers, and what became of them."""
        return self._copies

    @property
    def entry_loads(self) -> EntryLoads:
        """Calls to the advisor in flight at each entry, and which entries fail them."""
        return self._planner.loads

    @property
    def lasting_waits(self) -> LastingWaits:
        """Waits of lasting tasks for their next run."""
        return self._tracker.lasting_waits

    @property
    def runners(self) -> dict[str, RunnerState]:
        """Runners of the cell, by identifier."""
        return self.pool.runners

    @property
    def jobs(self) -> dict[str, JobWork]:
        """Active jobs, by identifier."""
        return self._active.by_id

    @property
    def has_changed_jobs(self) -> bool:
        """Whether the progress of some job has changed and is not being stored."""
        return self._active.has_changes

    @property
    def withholds_ends(self) -> bool:
        """Whether runners have to keep their ends, since the effects of some are not stored."""
        return self._active.withholds_ends

    def refresh(self, now: float, wall: float) -> None:
        """Update jobs, runners and queues from the folds."""
        touched = list(self._job_fold.touched)
        self.pool.refresh(now)
        self._active.refresh(now, wall)
        try:
            self._unseen.include(touched)
        except Exception as exc:
            counted = self.errors.counts.total()
            self._include_each(touched, now)
            self.errors.note_transient(exc, now, "unseen runs", counted)
        self.errors.attempt("owed jobs", now, self.owed.include, touched)

    def _include_each(self, jobs: list[str], now: float) -> None:
        """Count the unseen tasks of some jobs, without those that cannot be counted."""
        for job in jobs:
            try:
                self._unseen.include([job])
            except Exception as exc:
                self.errors.put_aside(job_item(job), exc, now, "unseen runs")

    def claim(
        self,
        owner: str,
        incarnation: int,
        position: int,
        now: float,
        address: str = "",
        wall: float = 0.0,
    ) -> Claim:
        """Return the claim to write next: all that a successor must know of this owner's runs.

        Parameters
        ----------
        owner : str
            Name of this instance.
        incarnation : int
            Number that identifies this start of the instance.
        position : int
            Offset of the next record of the jobs to read.
        now : float
            Time in seconds.
        address : str
            Address at which this instance listens for its peers.
        wall : float
            Time of day, in seconds since the epoch.
        """
        contents = self._claim_contents
        return Claim(
            owner,
            incarnation,
            self._epoch,
            position,
            self.pool.roster(),
            self.pool.withdraw(now),
            self._active.counted_pending(now),
            unsettled=self._takeover.unresolved,
            address=address,
            pressure=contents.pressure(now, wall),
            learnt=contents.learnt(now),
            unsettled_seconds=round(max(self._takeover.seconds_left(now), 0.0), 3),
            stores_placements=contents.stores_placements(),
        )

    def may_order_after(self, stored: Claim) -> bool:
        """Return whether orders may follow the claim with which this owner claimed the cell.

        That claim repeats what the owner before knew, so it may tell of stored placements of
        lasting tasks that this owner cannot read, and would not claim.
        """
        if not stored.may_order:
            return False
        return self._claim_contents.stores_placements() or not stored.stores_placements

    def kind_ratios(self) -> dict[str, float]:
        """Return the duration of tasks on each known kind of runner, relative to the mean."""
        return self._learnt.kind_ratios()

    def kind_samples(self) -> dict[str, float]:
        """Return the number of tasks from which the speed of each known kind was learnt."""
        return self._learnt.kind_samples()

    def pending(self) -> dict[str, int]:
        """Return the number of jobs without a started task, by queue."""
        return self._active.pending()

    def apply_hold_answer(self, runner: RunnerState, answer: HoldAnswer, now: float) -> None:
        """Apply a runner's answer to a hold: its clock, its ended tasks and its running tasks."""
        self._tracker.apply_hold_answer(runner, answer, now)

    def mark_started(self, run: Run, now: float) -> None:
        """Record that a runner has started a run."""
        self._tracker.mark_started(run, now)

    def awaits_start(self, run: Run) -> bool:
        """Return whether the unanswered start of a run should be repeated.

        Of a speculative step it is not once the run is to be stopped, since its task may be done.
        """
        return not (run.spec.speculative and run in self._stops)

    def mark_start_refused(self, run: Run, reason: str, now: float) -> None:
        """Requeue the task of a start that was refused or has expired, and so never ran."""
        self._tracker.mark_start_refused(run, reason, now)

    def plan(self, now: float, wall: float) -> Plan:
        """Return the starts, stops, advisor calls, looks and pace orders that are due now.

        Raises
        ------
        Exception
            An unexpected error ended the choice of starts, and no runner, job or stage can be
            blamed for it, or many passes in a row failed so.
        """
        plan, attempt = Plan([], [], [], [], []), self.errors.attempt
        self.pool.end_runs(now)
        attempt("settling of crashes", now, self._tracker.crashes.settle, now)
        attempt("evacuation", now, self._evacuator.plan, self.jobs, now)
        separation = self._separation
        attempt("separation", now, separation.begin, self.runners, self._stops, self._stage_of, now)
        leaving = separation.departures
        move = self._evacuator.plan_departures
        attempt("departures", now, move, leaving, SHARING_REASON, self.jobs, now)
        attempt("looks", now, self._plan_looks, plan, now)
        self._plan_starts(plan, now, wall)
        plan.stops.extend(self._stops.due(now))
        attempt("paces", now, lambda: plan.paces.extend(separation.pace_orders(now)))
        return plan

    def _plan_starts(self, plan: Plan, now: float, wall: float) -> None:
        """Add starts and advisor calls; after an error, those decided before it go out."""
        jobs = self.errors.open_jobs(self._active.by_id, now)
        try:
            self._planner.plan(plan, jobs, self.capacity, now, wall)
        except Exception as exc:
            self._failed_passes += 1
            if self._failed_passes > MAX_FAILED_PASSES:
                raise
            self.errors.contain(exc, now, "planning")
        else:
            self._failed_passes = 0
        for call in plan.calls:
            self.advice_meter.begin_call(call)

    def _plan_looks(self, plan: Plan, now: float) -> None:
        try:
            rows = self._looks_due(self.runners.values(), now)
        except Exception as exc:
            counted = self.errors.counts.total()
            rows = self.errors.select(
                self.runners.values(), lambda r: bool(self._looks_due([r], now)), now, "looks"
            )
            self.errors.note_transient(exc, now, "looks", counted)
        looks = {runner.id: runner for runner in rows}
        looks |= {runner.id: runner for runner in self._separation.looks(now)}
        plan.looks.extend(self.pool.without_aside(list(looks.values()), now))

    def _stage_of(self, run: Run) -> Stage | None:
        return self._active.stage(run.task.stage)

    def _looks_due(self, runners: Iterable[RunnerState], now: float) -> list[RunnerState]:
        return [
            runner
            for runner in runners
            if runner.next_look_at <= now
            and not runner.look_in_flight
            and runner.ended_at is None
            and self._observation.look_due(runner, now)
        ]

    def record_no_answer(
        self, runner: RunnerState, sent_at: float, now: float, refused: bool = False
    ) -> None:
        """Count an order that a runner did not answer, unless it has answered a later one.

        Parameters
        ----------
        runner : RunnerState
            Runner that did not answer.
        sent_at, now : float
            Time of the order and current time, in seconds.
        refused : bool
            Whether nothing listens at its address.
        """
        self._observation.record_unanswered(now)
        if runner.last_answer_at <= sent_at:
            self.pool.record_no_answer(runner, now, refused)

    def record_unanswered_look(self, runner: RunnerState, sent_at: float, now: float) -> None:
        """Record a look that a runner did not answer; see `record_no_answer`."""
        self._observation.record_unanswered(now)
        if runner.last_answer_at <= sent_at and runner.record_unanswered_look():
            self.pool.record_no_answer(runner, now)

    def set_entries(self, names: list[str]) -> None:
        """Set the entries among which calls to the advisor are distributed."""
        self._planner.loads.set_entries(names)

    def apply_advice(self, call: AdviceCall, granted: dict[str, str], now: float) -> None:
        """Store the tickets and denials that the advisor returned for a call.

        The platform counts the validity of a ticket from its grant, and the answer may be late.
        """
        stage = self._end_call(call, now)
        self._planner.loads.mark_answered(call.entry, now)
        if stage is not None:
            granted_at = min(call.granted_at, now)
            stage.tickets.record_advice(call.runners, granted, granted_at, call.validity)

    def mark_advice_failed(self, call: AdviceCall, now: float) -> None:
        """Record that a call to the advisor failed; its entry gets no calls for a while."""
        self._end_call(call, now)
        self._planner.loads.mark_failed(call.entry, now, call.asked_at)

    def _end_call(self, call: AdviceCall, now: float) -> Stage | None:
        """Mark a call as ended and return its stage, None if the job is no longer active."""
        self.advice_meter.end_call(call, now)
        self._planner.loads.end_call(call.entry, call.duration)
        stage = self._active.stage(call.stage)
        if stage is not None:
            stage.tickets.end_call(call.entry)
        return stage

    def placement_stored(self, run: Run) -> bool:
        """Return whether the last stored placement of a lasting task is that of a run."""
        stage = self._stage_of(run)
        return stage is not None and stage.placements.is_stored(run.task.ordinal, run.runner)

    def newest_ticket(self, run: Run, now: float) -> str:
        """Return the newest valid ticket for the runner of a run, empty if there is none."""
        stage = self._stage_of(run)
        return "" if stage is None else stage.tickets.valid_ticket(run.runner, now)

    def announce_start(self, run: Run) -> None:
        """Let the trial or the placement of a run be stored, before its start is ordered."""
        work = self.jobs.get(run.task.stage.job)
        if work is not None:
            self._active.mark_changed(work)

    def take_changes(self) -> Changes:
        """Return the changes to write to the store and clear the set of changed jobs."""
        ends = {r.id: r.last_end_seen for r in self.runners.values() if r.has_unrecorded_ends}
        progress = self._active.take_progress()
        return Changes(progress, {} if self.withholds_ends else ends)

    def defer_change(self, job: str, error: Exception) -> None:
        """Record that the progress of a job cannot be encoded; it is tried again later."""
        self._active.defer_change(job, error)

    def has_deferred_change(self, job: str) -> bool:
        """Return whether the progress of a job could not be encoded."""
        return self._active.has_deferred_change(job)

    def mark_recorded(self, changes: Changes) -> None:
        """Mark changes as stored: runners may discard their ends, and ended jobs are removed."""
        for name, number in changes.ends.items():
            if name in self.runners:
                runner = self.runners[name]
                runner.last_end_recorded = max(runner.last_end_recorded, number)
        self._active.mark_recorded(changes.progress)

    def restore_changes(self, changes: Changes) -> None:
        """Mark the jobs of changes that were not stored as changed again."""
        self._active.restore_changed(changes.progress)
