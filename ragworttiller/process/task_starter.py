"""Licenses planned tasks in groups and sends their start commands."""

from __future__ import annotations

import logging
import math
from collections.abc import Sequence
from typing import NamedTuple

import anyio

from ragworttiller.decisions import Decision
from ragworttiller.exceptions import RagworttillerError, WorkerRefused, WorkerUnreachable
from ragworttiller.placement.policy import Choice
from ragworttiller.process.cell_rows import JobRow, job_of
from ragworttiller.process.cell_state import CellState, PlannedTask, SentStart, commit_failed
from ragworttiller.process.fold import Committed
from ragworttiller.process.lease_book import lease_end
from ragworttiller.process.room_view import RoomView
from ragworttiller.process.task_endings import NEVER_STARTED, TaskEndings
from ragworttiller.records import HoldDecided, TaskStarted
from ragworttiller.resources import Resources
from ragworttiller.services.worker import TaskSpec

log = logging.getLogger(__name__)

SEND_WINDOW_SECONDS = 1.0
REFUSAL_BLOCK_SECONDS = 5.0
REFUSED = "refused a start"


class TaskPlan(NamedTuple):
    """Task with the worker that was chosen for it.

    ``address`` is set for a worker of another shard, whose owner holds the room. ``since`` is the
    wall-clock time at which the task became pending.
    """

    task: str
    attempt: int
    shard: int
    worker: str
    address: str
    need: Resources
    choice: Choice
    since: float


class TaskStarter:
    """Licenses planned tasks and sends the start commands of licensed ones.

    A start is sent once, by the owner that holds the license, within `SEND_WINDOW_SECONDS` after
    the license was read back; after that, the owner gives the license up instead.

    Parameters
    ----------
    state : CellState
        State of the owner.
    rooms : RoomView
        Free room, in which plans are reserved.
    endings : TaskEndings
        Receives the times at which tasks are expected to end.
    """

    def __init__(self, state: CellState, rooms: RoomView, endings: TaskEndings) -> None:
        self._state = state
        self._rooms = rooms
        self._endings = endings
        self.started = 0

    def reserve_plan(self, plan: TaskPlan) -> None:
        """Reserve the resources of a plan."""
        job = self._state.fold.jobs[job_of(plan.task)].submitted
        self._state.planned[plan.task] = PlannedTask(job.workspace, plan.worker, plan.need)
        if plan.shard == self._state.context.shard:
            self._rooms.reserve(plan.worker, plan.need)

    def release_plan(self, plan: TaskPlan) -> None:
        """Release the resources of a plan."""
        if self._state.planned.pop(plan.task, None) is None:
            return
        if plan.shard == self._state.context.shard:
            self._rooms.unreserve(plan.worker, plan.need)

    async def start(self, plans: Sequence[TaskPlan]) -> None:
        """License reserved plans of this shard's workers independently, and start them."""
        state = self._state
        records = [
            TaskStarted(
                state.context.stream.record_id(),
                plan.task,
                plan.attempt,
                plan.worker,
                plan.need,
                state.holder,
                state.wall(),
            )
            for plan in plans
        ]
        try:
            results = await state.commit_all(records)
            licensed = [
                (plan, result.offset)
                for plan, result in zip(plans, results, strict=True)
                if isinstance(result, Committed) and result.verdict.valid
            ]
            for plan, result in zip(plans, results, strict=True):
                self._record_decision(plan, result)
            await self.send(licensed)
        finally:
            for plan in plans:
                self.release_plan(plan)
            state.wake()

    async def start_together(self, job: str, decision: str, plans: Sequence[TaskPlan]) -> bool:
        """License reserved plans of one job, either all or none, and start them.

        Returns
        -------
        bool
            Whether they were licensed; False only if it is certain that they were not.

        Raises
        ------
        AppendUndecided
            The decision may still be appended; its licenses are then given up.
        """
        state = self._state
        record = HoldDecided(
            state.context.stream.record_id(),
            decision,
            job,
            True,
            [(plan.task, plan.attempt, plan.shard, plan.worker) for plan in plans],
            plans[0].need,
            state.holder,
            state.wall(),
        )
        try:
            [result] = await state.commit_all([record])
            for plan in plans:
                self._record_decision(plan, result)
            if not commit_failed(result):
                assert isinstance(result, Committed)
                await self.send([(plan, result.offset) for plan in plans])
                return True
            if isinstance(result, RagworttillerError):
                raise result
            return False
        finally:
            for plan in plans:
                self.release_plan(plan)
            state.wake()

    async def send(self, licensed: Sequence[tuple[TaskPlan, int]]) -> None:
        """Send the starts of licensed plans, one command per worker."""
        read_back_at = self._state.now()
        by_worker: dict[str, list[tuple[TaskPlan, int]]] = {}
        for plan, offset in licensed:
            by_worker.setdefault(plan.worker, []).append((plan, offset))
        async with anyio.create_task_group() as tasks:
            for worker, group in by_worker.items():
                tasks.start_soon(self._send_to_worker, worker, group, read_back_at)

    async def _send_to_worker(
        self, worker: str, group: list[tuple[TaskPlan, int]], read_back_at: float
    ) -> None:
        state = self._state
        address = self._address(group[0][0])
        client = state.context.fleet.worker(worker, address) if address else None
        late = state.now() - read_back_at > SEND_WINDOW_SECONDS
        plans = [plan for plan, offset in group if not late and self._license_usable(plan, offset)]
        for plan, _ in group:
            if plan not in plans or client is None:
                state.record_task_end(plan.task, plan.attempt, NEVER_STARTED)
        if not plans or client is None:
            return
        for plan in plans:
            state.sent_starts[plan.task, plan.attempt] = SentStart(
                worker, state.now(), False, math.inf
            )
        specs, may_have_started = [self._spec(plan) for plan in plans], True
        try:
            answers = await client.start(specs)
        except WorkerUnreachable:
            answers = []
            self._rooms.set_reporting(worker, False)
        except WorkerRefused as exc:
            answers, may_have_started = [exc.code] * len(plans), False
        finally:
            if may_have_started and plans[0].shard == state.context.shard:
                state.leases.record_grant(worker, specs[0].lease, state.now())
        self._handle_answers(worker, plans, answers, specs[0].lease)

    def _handle_answers(
        self, worker: str, plans: list[TaskPlan], answers: list[str], lease: float
    ) -> None:
        state = self._state
        for plan in plans:
            now = state.now()
            state.sent_starts[plan.task, plan.attempt] = SentStart(
                worker, now, bool(answers), lease_end(lease, now)
            )
            state.on_start(worker)
            row = state.fold.jobs.get(job_of(plan.task))
            if row is not None and plan.shard == state.context.shard:
                run_time = self._endings.run_time(row)
                self._endings.expect_end(worker, (plan.task, plan.attempt), run_time)
        self.started += len(answers)
        refused = [plan for plan, answer in zip(plans, answers, strict=False) if answer != "ok"]
        for plan in refused:
            log.warning("worker %s refused to start task %s", worker, plan.task)
            state.record_task_end(plan.task, plan.attempt, NEVER_STARTED)
        if refused:
            self._rooms.block(worker, REFUSED, state.now() + REFUSAL_BLOCK_SECONDS)

    def _license_usable(self, plan: TaskPlan, offset: int) -> bool:
        """Return whether the license is still in force and may be used."""
        running = self._state.fold.running(plan.task)
        row = self._state.fold.jobs.get(job_of(plan.task))
        return (
            running is not None
            and running.offset == offset
            and row is not None
            and not row.state
            and not self._state.is_ending(plan.task, plan.attempt)
        )

    def _address(self, plan: TaskPlan) -> str:
        if plan.address:
            return plan.address
        row = self._state.fold.bookings.workers.get(plan.worker)
        return row.declared.address if row else ""

    def _spec(self, plan: TaskPlan) -> TaskSpec:
        job: JobRow = self._state.fold.jobs[job_of(plan.task)]
        return TaskSpec(
            plan.task,
            plan.attempt,
            plan.need,
            job.submitted.run_time,
            self._state.lease,
            job.submitted.rules.get("arguments", {}),
        )

    def _record_decision(self, plan: TaskPlan, result: Committed | RagworttillerError) -> None:
        """Record the decision of a plan, with the result of its license."""
        row = self._state.fold.jobs.get(job_of(plan.task))
        if isinstance(result, Committed):
            offset, reason = result.offset, plan.choice.reason
            chosen = plan.worker if result.verdict.valid else None
            if not result.verdict.valid:
                reason = f"license void: {result.verdict.reason}"
        else:
            offset, reason, chosen = 0, f"no license: {result.code}", None
        self._state.context.decisions.record(
            Decision(
                "place",
                plan.task,
                row.submitted.workspace if row else "",
                plan.choice.candidates,
                chosen,
                reason,
                offset,
                max(0.0, self._state.wall() - plan.since),
            )
        )
