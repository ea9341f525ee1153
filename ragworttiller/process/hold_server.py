"""Handles requests of other shards to hold room on this shard's workers."""

from __future__ import annotations

import logging

from ragworttiller.exceptions import RagworttillerError
from ragworttiller.placement.policy import Choice, Demand
from ragworttiller.placement.rules import Rules
from ragworttiller.process.backfill import WaitingJob
from ragworttiller.process.bookings import Hold
from ragworttiller.process.cell_links import call_owner
from ragworttiller.process.cell_rows import job_of
from ragworttiller.process.cell_state import CellState, commit_failed
from ragworttiller.process.gangs import Gangs
from ragworttiller.process.hold_client import HoldReply, HoldRequest, Placement
from ragworttiller.process.job_queue import OrderKey
from ragworttiller.process.job_rules import rules_in
from ragworttiller.process.placer import Placer
from ragworttiller.process.preemption import Preemption
from ragworttiller.process.room_view import RoomView
from ragworttiller.process.scheduler import Scheduler
from ragworttiller.process.task_endings import RemoteEnd
from ragworttiller.records import HoldPlaced, HoldReleased
from ragworttiller.resources import Resources

log = logging.getLogger(__name__)

RESOLVE_AFTER_SECONDS = 5.0
RESOLVE_RETRY_SECONDS = 30.0
CHECK_PERIOD_SECONDS = 1.0
RECENT_REFUSAL_SECONDS = 10.0


class HoldServer:
    """Places holds for other shards, and releases them when their tasks have ended.

    Parameters
    ----------
    state : CellState
        State of the owner.
    rooms : RoomView
        Free room.
    placer : Placer
        Chooses workers.
    gangs : Gangs
        Keeps the jobs of other shards that wait for room here.
    scheduler : Scheduler
        Reserves room for the first waiting job.
    preemption : Preemption
        Stops less urgent work to make room.
    """

    def __init__(
        self,
        state: CellState,
        rooms: RoomView,
        placer: Placer,
        gangs: Gangs,
        scheduler: Scheduler,
        preemption: Preemption,
    ) -> None:
        self._state = state
        self._rooms = rooms
        self._placer = placer
        self._gangs = gangs
        self._scheduler = scheduler
        self._preemption = preemption
        self._refused_at = -RECENT_REFUSAL_SECONDS
        self._resolve_at: dict[str, float] = {}
        self._queued_ends: dict[tuple[str, str], RemoteEnd] = {}

    @property
    def recently_refused(self) -> bool:
        """Whether a hold request found too little room in the last `RECENT_REFUSAL_SECONDS`."""
        return self._state.now() - self._refused_at < RECENT_REFUSAL_SECONDS

    async def run(self) -> None:
        """Report ends to home shards and resolve decisions on holds, until cancelled."""
        async for now in self._state.context.timers.ticks(CHECK_PERIOD_SECONDS):
            if self._state.active:
                await self._report_ends()
                await self._resolve_decisions(now)

    def queue_end(self, end: RemoteEnd) -> None:
        """Queue the end of a held task for the report to its home shard."""
        self._queued_ends[end.decision, end.task] = end

    async def hold(self, request: HoldRequest) -> HoldReply:
        """Place holds for as many tasks of another shard's job as have room."""
        state = self._state
        need = Resources(*request["need"])
        rules = rules_in(request["rules"])
        self._placer.refresh()
        chosen: list[tuple[str, int, Choice]] = []
        used = [
            hold.worker
            for (_, task), hold in state.fold.bookings.holds.items()
            if job_of(task) == request["job"]
        ]
        with self._scheduler.reservation_enforced(OrderKey(*request["key"])):
            for task, attempt in request["tasks"]:
                choice = self._choose(request, Demand(need, rules), used)
                if choice is None:
                    break
                self._rooms.reserve(choice.worker, need)
                used.append(choice.worker)
                chosen.append((task, attempt, choice))
        self._register_waiting_job(request, need, rules, len(request["tasks"]) - len(chosen))
        try:
            placements = await self._commit(request, need, chosen)
        finally:
            for _, _, choice in chosen:
                self._rooms.unreserve(choice.worker, need)
            state.wake()
        return HoldReply(placements=placements, starts_in=self._starts_in(request["job"]))

    def _starts_in(self, job: str) -> float | None:
        """Return the expected seconds until the first waiting job has room, None for others."""
        reservation, _ = self._scheduler.first_reservation()
        if reservation is None or reservation.job != job:
            return None
        return max(0.0, reservation.starts_at - self._state.now())

    def release(self, decision: str, task: str | None) -> None:
        """Release the holds of a decision, or of one of its tasks."""
        stream = self._state.context.stream
        stream.post(HoldReleased(stream.record_id(), decision, task))

    def _choose(self, request: HoldRequest, demand: Demand, used: list[str]) -> Choice | None:
        limit = demand.rules.max_per_worker
        full = {name for name in used if limit and used.count(name) >= limit}
        with self._rooms.temporarily_blocked(full, "holds as many tasks of the job as it may"):
            return self._placer.choose_worker(request["workspace"], demand)

    def _register_waiting_job(
        self, request: HoldRequest, need: Resources, rules: Rules, missing: int
    ) -> None:
        """Register a job that found too little room as waiting, if it is a gang or may preempt."""
        job = request["job"]
        if missing > 0:
            self._refused_at = self._state.now()
        if missing <= 0 or not (request["gang"] or request["preempt"]):
            self._gangs.remove_remote_job(job)
            return
        tasks = len(request["tasks"]) if request["gang"] else missing
        self._gangs.add_remote_job(WaitingJob(job, need, rules, tasks), OrderKey(*request["key"]))
        if request["preempt"]:
            self._preemption.request_room(job, need, rules, request["urgency"], missing)

    async def _commit(
        self,
        request: HoldRequest,
        need: Resources,
        chosen: list[tuple[str, int, Choice]],
    ) -> list[Placement]:
        state = self._state
        records = [
            HoldPlaced(
                state.context.stream.record_id(),
                request["decision"],
                request["home"],
                task,
                attempt,
                choice.worker,
                need,
                request["holder"],
                state.wall(),
            )
            for task, attempt, choice in chosen
        ]
        results = await state.commit_all(records)
        held: list[Placement] = []
        for record, result in zip(records, results, strict=True):
            row = state.fold.bookings.workers.get(record.worker)
            if not commit_failed(result) and row is not None:
                shard, address = state.context.shard, row.declared.address
                held.append(Placement(record.task, record.attempt, shard, record.worker, address))
                self._gangs.expect_hold_end((record.decision, record.task), request["run_time"])
        self._resolve_at[request["decision"]] = state.now() + RESOLVE_AFTER_SECONDS
        return held

    async def _report_ends(self) -> None:
        """Report queued ends to home shards, and release the holds of the tasks that ended."""
        ends, self._queued_ends = self._queued_ends, {}
        by_home: dict[int, list[RemoteEnd]] = {}
        for key, end in ends.items():
            if key in self._state.fold.bookings.holds:
                by_home.setdefault(end.home, []).append(end)
        for home, group in by_home.items():
            arguments = {"ends": [(end.task, end.attempt, end.reason) for end in group]}
            try:
                ended_tasks = await call_owner(self._state.context, home, "ended", arguments)
            except RagworttillerError as exc:
                log.info("report of task ends to shard %d failed: %s", home, exc)
                continue
            for end in group:
                if end.task in ended_tasks:
                    self.release(end.decision, end.task)

    async def _resolve_decisions(self, now: float) -> None:
        """Ask the home shards for the outcome of the decisions that have holds here."""
        decisions: dict[str, list[tuple[str, Hold]]] = {}
        for (decision, task), hold in self._state.fold.bookings.holds.items():
            decisions.setdefault(decision, []).append((task, hold))
        self._resolve_at = {name: at for name, at in self._resolve_at.items() if name in decisions}
        for decision, held in decisions.items():
            due = self._resolve_at.setdefault(decision, now + RESOLVE_AFTER_SECONDS)
            if due <= now:
                self._resolve_at[decision] = now + RESOLVE_RETRY_SECONDS
                await self._resolve_decision(decision, held)

    async def _resolve_decision(self, decision: str, held: list[tuple[str, Hold]]) -> None:
        home = held[0][1].home
        arguments = {
            "decision": decision,
            "tasks": [(task, hold.attempt) for task, hold in held],
        }
        try:
            running = await call_owner(self._state.context, home, "settle", arguments)
        except RagworttillerError as exc:
            log.info("request for the outcome of decision %s failed: %s", decision, exc)
            return
        if not running:
            self.release(decision, None)
            return
        for task, _ in held:
            if task not in running:
                self.release(decision, task)
