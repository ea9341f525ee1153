"""Owner of the cell: carries out the decisions of the cell while its term is valid."""

from __future__ import annotations

import logging
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import anyio.abc

from ragworttiller.exceptions import (
    AppendFenced,
    AppendUndecided,
    LogUnavailable,
    OrderRefused,
    OrderUndecided,
    RagworttillerError,
    RunnerGone,
)
from ragworttiller.platform.runners import HoldAnswer, RunnerClient, Start
from ragworttiller.platform.store import KeyedRecord, Producer, Store
from ragworttiller.scheduling.advice import Advice, AdviceCall
from ragworttiller.scheduling.cell import Cell
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.feed import Feed
from ragworttiller.scheduling.group_commit import GroupCommit
from ragworttiller.scheduling.orders import Changes, StartOrder, StopOrder, run_fields
from ragworttiller.scheduling.owner_watch import OwnerHeartbeat
from ragworttiller.scheduling.ownership import PRODUCER, Ownership
from ragworttiller.scheduling.records import JOBS, PROGRESS_SUFFIX, Claim, encode
from ragworttiller.scheduling.retention import Retention
from ragworttiller.scheduling.runner_state import RunnerState
from ragworttiller.scheduling.runs import Run, RunState
from ragworttiller.scheduling.standbys import NoStandbys, Standbys
from ragworttiller.scheduling.start_call import call_start
from ragworttiller.scheduling.term import Term

log = logging.getLogger(__name__)

HOLD_WAIT_SECONDS = 0.8
HOLD_RETRY_SECONDS = 0.1
# A look returns at once, so a missing answer was lost rather than late.
LOOK_TIMEOUT_SECONDS = 0.25
RECORDING_WAIT_SECONDS = 0.5
MIN_PLAN_INTERVAL_SECONDS = 0.004
MAX_PLAN_INTERVAL_SECONDS = 0.1
APPEND_TIMEOUT_SECONDS = 3.0
RETENTION_INTERVAL_SECONDS = 10.0
HEARTBEAT_INTERVAL_SECONDS = 0.2


class Owner:
    """Carries out the decisions of a cell: orders to runners, calls to the advisor and records.

    Parameters
    ----------
    cell : Cell
        State of the cell, and its decisions.
    term : Term
        Term of this owner; orders are sent only while it is valid.
    store : Store
        The platform's store.
    jobs : Feed
        Feed of the jobs.
    runners : Feed
        Feed of the runners; run by this owner.
    advice : Advice
        Calls the advisor.
    clock : Clock
        Source of time.
    name : str
        Name of this instance.
    incarnation : int
        Number that identifies this start of the instance.
    connect : Callable
        Returns the client of a runner, given its identifier and address.
    retention : Retention, optional
        Selects the ended jobs to drop; without it none are dropped.
    standbys : Standbys, optional
        Entries that receive heartbeats; none by default.
    """

    def __init__(
        self,
        cell: Cell,
        term: Term,
        store: Store,
        jobs: Feed,
        runners: Feed,
        advice: Advice,
        clock: Clock,
        name: str,
        incarnation: int,
        connect: Callable[[str, str], RunnerClient] = RunnerClient,
        retention: Retention | None = None,
        standbys: Standbys | None = None,
    ) -> None:
        self._standbys = standbys or NoStandbys()
        self._connect = connect
        self._retention = retention
        self._cell = cell
        self._term = term
        self._jobs_feed = jobs
        self._runners_feed = runners
        self._advice = advice
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._writer = GroupCommit(
            store, JOBS, Producer(PRODUCER, term.epoch), clock, first_sequence=1
        )
        self._clients: dict[str, RunnerClient] = {}
        self._plan_requested = anyio.Event()
        self._commit_requested = anyio.Event()
        self._ends_recorded = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def cell(self) -> Cell:
        """State of the cell, and its decisions."""
        return self._cell

    async def run(self, ownership: Ownership) -> None:
        """Act as the owner until the term ends."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._runners_feed.run)
            tasks.start_soon(self._writer.run)
            tasks.start_soon(self._plan_loop, ownership)
            tasks.start_soon(self._commit_loop)
            tasks.start_soon(self._retention_loop)
            tasks.start_soon(self._heartbeat_loop)
            await ownership.renew_until_ended(self._term, self.current_claim, self._enroll_runners)
            tasks.cancel_scope.cancel()
        log.info("ownership ended", extra={"epoch": self._term.epoch})

    def request_plan(self) -> None:
        """Request planning because some state has changed."""
        self._plan_requested.set()

    def current_claim(self) -> Claim:
        """Return the claim to write with the next renewal."""
        cell, now = self._cell, self._clock.now()
        return Claim(
            self._name,
            self._incarnation,
            self._term.epoch,
            self._jobs_feed.position,
            cell.pool.roster(),
            cell.pool.withdraw(now),
            cell.pending(),
        )

    def end_if_superseded(self, claim: Claim) -> None:
        """End the term if a claim has a later epoch."""
        if claim.epoch > self._term.epoch:
            log.info(
                "term superseded by a later claim",
                extra={"epoch": self._term.epoch, "by": claim.owner},
            )
            self._term.end()

    def _enroll_runners(self, claim: Claim) -> None:
        self._cell.pool.enroll(claim)
        self.request_plan()

    # Planning

    async def _plan_loop(self, ownership: Ownership) -> None:
        while True:
            with self._clock.move_on_after(MAX_PLAN_INTERVAL_SECONDS):
                await self._plan_requested.wait()
            self._plan_requested = anyio.Event()
            self._apply_changes(ownership)
            if self._term.valid:
                self._issue_orders()
            await self._clock.sleep(MIN_PLAN_INTERVAL_SECONDS)

    def _apply_changes(self, ownership: Ownership) -> None:
        cell = self._cell
        cell.set_entries(self._advice.entries)
        cell.refresh(self._clock.now(), self._clock.wall())
        for name, runner in cell.runners.items():
            if name not in self._clients:
                self._clients[name] = self._connect(name, runner.entry.address)
                self._spawn(self._hold_loop, runner, self._clients[name])
        if any(r.awaits_enrollment for r in cell.runners.values()):
            ownership.renew_now()

    def _issue_orders(self) -> None:
        plan = self._cell.plan(self._clock.now(), self._clock.wall())
        for start in plan.starts:
            self._spawn(self._start, start)
        for stop in plan.stops:
            self._spawn(self._stop, stop)
        for call in plan.calls:
            self._spawn(self._advise, call)
        for runner in plan.looks:
            runner.look_in_flight, runner.last_look_at = True, self._clock.now()
            self._spawn(self._look, runner)

    def _spawn(self, function: Callable[..., Coroutine[Any, Any, None]], *args: object) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(function, *args)

    # Orders

    async def _start(self, order: StartOrder) -> None:
        run, cell = order.run, self._cell
        client = self._clients.get(run.runner)
        runner = cell.runners.get(run.runner)
        if client is None or runner is None:
            return
        start = Start(
            run.task, run.number, order.spec, order.deadline, run.checkpoint, order.ticket
        )
        extra = run_fields(run)
        try:
            if not self._term.valid:
                cell.mark_start_refused(run, "term", self._clock.now())
                return
            await call_start(client, start, self._term.epoch, lambda: self._start_still_needed(run))
        except OrderRefused as exc:
            reason = exc.fields["reason"]
            log.info("start order refused", extra={**extra, "why": reason})
            cell.mark_start_refused(run, reason, self._clock.now())
            if reason == "unreachable":
                cell.record_no_answer(runner, run.started_at, self._clock.now())
        except OrderUndecided:
            log.info("start order undecided", extra=extra)
        except AppendFenced:
            self._end_fenced_term(run.runner)
            return
        except RunnerGone:
            cell.pool.remove_ended_boot(runner, self._clock.now(), "another boot answers")
        else:
            log.info("task started", extra={**extra, "epoch": self._term.epoch})
            cell.mark_started(run, self._clock.now())
            return
        self.request_plan()

    def _start_still_needed(self, run: Run) -> bool:
        """Return whether an unanswered start should be retried."""
        runner = self._cell.runners.get(run.runner)
        if runner is None or run.key not in runner.runs or not self._term.valid:
            return False
        late = runner.clock_at(self._clock.now()) > run.start_deadline
        return run.state is RunState.STARTING and not late

    async def _stop(self, order: StopOrder) -> None:
        run, cell = order.run, self._cell
        client, runner = self._clients.get(run.runner), cell.runners.get(run.runner)
        if client is None or runner is None or not self._term.valid:
            return
        extra = run_fields(run)
        try:
            await client.stop(run.task, run.number, self._term.epoch)
            log.info("stop order accepted", extra={**extra, "why": order.reason})
        except (OrderRefused, OrderUndecided) as exc:
            log.info("stop order failed", extra={**extra, "why": exc.code})
        except AppendFenced:
            self._end_fenced_term(run.runner)
        except RunnerGone:
            cell.pool.remove_ended_boot(runner, self._clock.now(), "another boot answers")

    async def _advise(self, call: AdviceCall) -> None:
        extra = {"stage": str(call.stage), "entry": call.entry, "named": len(call.runners)}
        try:
            tickets = await self._advice.ask(call)
        except RagworttillerError as exc:
            log.info("advisor call failed", extra={**extra, "why": exc.code})
            self._cell.mark_advice_failed(call, self._clock.now())
        else:
            elapsed = self._clock.now() - call.asked_at
            log.info(
                "advisor call answered",
                extra={**extra, "good": len(tickets), "took": round(elapsed, 3)},
            )
            self._cell.apply_advice(call, tickets, self._clock.now())
        self.request_plan()

    def _end_fenced_term(self, fenced_by: str) -> None:
        extra = {"epoch": self._term.epoch, "runner": fenced_by}
        log.warning("order or append fenced by a later owner", extra=extra)
        self._term.end()

    # Holds

    async def _hold_loop(self, runner: RunnerState, client: RunnerClient) -> None:
        """Send hold orders to a runner until its boot is removed."""
        try:
            while runner.id in self._cell.runners:
                await self._hold(runner, client)
                if runner.has_unrecorded_ends:
                    await self._wait_recorded(runner)
        finally:
            with anyio.CancelScope(shield=True):
                await client.close()
            self._clients.pop(runner.id, None)

    async def _hold(self, runner: RunnerState, client: RunnerClient) -> None:
        """Renew the lease of a runner, and apply its answer: running tasks and ended runs."""
        cell, now = self._cell, self._clock.now()
        if not self._term.valid:
            await self._clock.sleep(HOLD_RETRY_SECONDS)
            return
        deadline = runner.grant_lease(now, cell.lease)
        wait = HOLD_WAIT_SECONDS if deadline is not None and not runner.has_unrecorded_ends else 0.0
        try:
            held = await client.hold(self._term.epoch, runner.last_end_recorded, deadline, wait)
        except AppendFenced:
            self._end_fenced_term(runner.id)
        except RunnerGone:
            cell.pool.remove_ended_boot(runner, self._clock.now(), "another boot answers")
        except (OrderRefused, OrderUndecided):
            cell.record_no_answer(runner, now + wait, self._clock.now())
            await self._clock.sleep(HOLD_RETRY_SECONDS)
        else:
            self._apply_hold_answer(runner, held)
        self.request_plan()

    async def _look(self, runner: RunnerState) -> None:
        """Ask a runner for its ended runs beside the long poll, which may be lost."""
        client, sent_at = self._clients.get(runner.id), self._clock.now()
        try:
            if client is None or not self._term.valid:
                return
            held = await client.hold(
                self._term.epoch, runner.last_end_recorded, None, 0.0, LOOK_TIMEOUT_SECONDS
            )
        except AppendFenced:
            self._end_fenced_term(runner.id)
        except RunnerGone:
            self._cell.pool.remove_ended_boot(runner, self._clock.now(), "another boot answers")
        except (OrderRefused, OrderUndecided) as exc:
            log.info("look at a runner unanswered", extra={"runner": runner.id, "why": exc.code})
            self._cell.record_unanswered_look(runner, sent_at, self._clock.now())
        else:
            self._apply_hold_answer(runner, held)
        finally:
            runner.look_in_flight = False
        self.request_plan()

    def _apply_hold_answer(self, runner: RunnerState, held: HoldAnswer) -> None:
        if held.unreadable:
            extra = {"runner": runner.id, "rows": held.unreadable}
            log.warning("unreadable task rows of a runner skipped", extra=extra)
        self._cell.apply_hold_answer(runner, held, self._clock.now())
        if runner.has_unrecorded_ends:
            self._commit_requested.set()

    async def _wait_recorded(self, runner: RunnerState) -> None:
        """Wait until the effects of a runner's ended runs are stored.

        The wait is limited, since the lease of the runner is not renewed meanwhile.
        """
        with self._clock.move_on_after(RECORDING_WAIT_SECONDS):
            while runner.has_unrecorded_ends:
                await self._ends_recorded.wait()

    # Recording

    async def _commit_loop(self) -> None:
        while True:
            await self._commit_requested.wait()
            self._commit_requested = anyio.Event()
            changes = self._cell.take_changes()
            if changes.progress or changes.ends:
                await self._record(changes)

    async def _record(self, changes: Changes) -> None:
        records = [
            KeyedRecord(job + PROGRESS_SUFFIX, encode(progress))
            for job, progress in changes.progress.items()
        ]
        try:
            if records:
                await self._writer.append(records, APPEND_TIMEOUT_SECONDS)
        except AppendFenced:
            self._end_fenced_term("store")
            return
        except (LogUnavailable, AppendUndecided) as exc:
            log.warning("job progress not stored", extra={"jobs": len(records), "why": exc.code})
            self._cell.restore_changes(changes)
            self._commit_requested.set()
            return
        self._cell.mark_recorded(changes)
        self._ends_recorded.set()
        self._ends_recorded = anyio.Event()

    async def _heartbeat_loop(self) -> None:
        async for _ in self._clock.ticks(HEARTBEAT_INTERVAL_SECONDS):
            self._standbys.send(OwnerHeartbeat(self._term.epoch, self._term.recently_renewed))

    async def _retention_loop(self) -> None:
        if self._retention is None:
            return
        async for now in self._clock.ticks(RETENTION_INTERVAL_SECONDS):
            keys = self._retention.expired(now)
            if not keys or not self._term.valid:
                continue
            try:
                await self._writer.append(
                    [KeyedRecord(key, b"") for key in keys], APPEND_TIMEOUT_SECONDS
                )
                log.info("ended jobs dropped", extra={"records": len(keys)})
            except (LogUnavailable, AppendUndecided, AppendFenced) as exc:
                log.info("ended jobs not dropped", extra={"why": exc.code})
