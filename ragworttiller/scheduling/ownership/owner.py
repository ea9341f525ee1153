"""Owner of the cell: carries out the decisions of the cell while its term is valid."""

from __future__ import annotations

import logging
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import anyio.abc

from ragworttiller.exceptions import AppendFenced, LogUnavailable, RagworttillerError
from ragworttiller.platform.runners import RunnerClient
from ragworttiller.platform.store import Producer, Store
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.decisions.advice import Advice, AdviceCall
from ragworttiller.scheduling.decisions.pass_pace import ProportionalPause
from ragworttiller.scheduling.ownership.advisor_load_log import AdvisorLoad, AdvisorLoadLog
from ragworttiller.scheduling.ownership.pace_log import OwnerPace, PaceLog
from ragworttiller.scheduling.ownership.recorder import Recorder
from ragworttiller.scheduling.ownership.renewal_log import RenewalLog
from ragworttiller.scheduling.ownership.renewals import PRODUCER, Renewals
from ragworttiller.scheduling.ownership.runner_calls import RunnerCalls
from ragworttiller.scheduling.ownership.takeover_log import TakeoverLog
from ragworttiller.scheduling.ownership.term import LEASES_END_SECONDS, TERM_SECONDS, Term
from ragworttiller.scheduling.ownership.wait_log import WaitLog
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.formats import JOBS, Claim
from ragworttiller.scheduling.records.group_commit import GroupCommit
from ragworttiller.scheduling.records.retention import Retention
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.work_items import items_in

log = logging.getLogger(__name__)

MAX_PLAN_INTERVAL_SECONDS = 0.1
MAX_NAMES_LOGGED = 3


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
    takeover_log : TakeoverLog
        Logs the first stored claim and the first start.
    address : str
        Address at which this instance listens for its peers.
    connect : Callable
        Returns the client of a runner, given its identifier and address.
    retention : Retention, optional
        Selects the ended jobs to drop; without it none are dropped.
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
        takeover_log: TakeoverLog,
        address: str = "",
        connect: Callable[[str, str], RunnerClient] = RunnerClient,
        retention: Retention | None = None,
    ) -> None:
        self._cell = cell
        self._term = term
        self._jobs_feed = jobs
        self._runners_feed = runners
        self._advice = advice
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._takeover_log = takeover_log
        self._address = address
        self._writer = GroupCommit(
            store, JOBS, Producer(PRODUCER, term.epoch), clock, first_sequence=1
        )
        self._recorder = Recorder(cell, term, self._writer, clock, retention, store.limits)
        self._errors = cell.errors
        self._pace_log = PaceLog(cell, clock)
        self._advisor_load_log = AdvisorLoadLog(cell, clock)
        self._calls = RunnerCalls(
            cell, term, clock, self._recorder, connect, self.request_plan, lambda: self.lag
        )
        self._wait_log = WaitLog(cell, clock)
        self._renewal_log = RenewalLog(cell.pool)
        self._pass_pace = ProportionalPause()
        self._plan_requested = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def cell(self) -> Cell:
        """State of the cell, and its decisions."""
        return self._cell

    @property
    def pace(self) -> OwnerPace:
        """Pace of the last interval of the pace log."""
        return self._pace_log.pace

    @property
    def advisor_load(self) -> AdvisorLoad:
        """Load with calls to the advisor in the last interval of its log."""
        return self._advisor_load_log.load

    @property
    def lag(self) -> float:
        """How late the event loop has run lately, in seconds."""
        return self._pace_log.lag

    async def run(self, renewals: Renewals, stored: Claim) -> None:
        """Act as the owner until cancelled; orders are given only while the term is valid.

        Parameters
        ----------
        renewals : Renewals
            Renewals of the claim.
        stored : Claim
            Claim with which the ownership was claimed.
        """
        # The first claim names the runners to which the first planning pass may give orders.
        self._cell.refresh(self._clock.now(), self._clock.wall())
        if self._cell.may_order_after(stored):
            self._enroll_runners(stored)
        renewals.write(self.current_claim, self._enroll_runners)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._runners_feed.run)
            tasks.start_soon(self._writer.run)
            tasks.start_soon(self._plan_loop, renewals)
            tasks.start_soon(self._recorder.run)
            tasks.start_soon(self._wait_log.run)
            tasks.start_soon(self._pace_log.run)
            tasks.start_soon(self._advisor_load_log.run)

    def request_plan(self) -> None:
        """Request planning because some state has changed."""
        self._plan_requested.set()

    async def settle_records(self) -> bool:
        """Store no more progress, and return whether all that was stored has been read.

        Then a successor need not wait for appends of this owner. What is not stored it learns from
        the runners, which list ends until they are acknowledged.
        """
        await self._writer.close()
        try:
            await self._jobs_feed.catch_up()
        except LogUnavailable as exc:
            log.info("jobs not read before a release", extra={"why": exc.code})
            return False
        return True

    def current_claim(self) -> Claim:
        """Return the claim to write with the next renewal."""
        position, now = self._jobs_feed.position, self._clock.now()
        wall = self._clock.wall()
        claim = self._cell.claim(self._name, self._incarnation, position, now, self._address, wall)
        self._errors.attempt("renewal log", now, self._renewal_log.observe, now)
        return claim._replace(
            lag=round(self.lag, 1), term=TERM_SECONDS, leases_end=LEASES_END_SECONDS
        )

    def _enroll_runners(self, claim: Claim) -> None:
        now, takeover_log = self._clock.now(), self._takeover_log
        self._cell.pool.enroll(claim)
        self._errors.attempt("renewal log", now, self._renewal_log.observe, now)
        self._cell.pool.owned_at = self._term.renewed_at
        self._errors.attempt("takeover log", now, takeover_log.record_stored_claim, self._cell)
        self.request_plan()

    # Planning

    async def _plan_loop(self, renewals: Renewals) -> None:
        while True:
            with self._clock.move_on_after(MAX_PLAN_INTERVAL_SECONDS):
                await self._plan_requested.wait()
            self._plan_requested = anyio.Event()
            began = self._clock.now()
            self._apply_changes(renewals)
            if self._term.valid:
                self._issue_orders()
            seconds = self._clock.now() - began
            self._pace_log.record_pass(seconds)
            await self._clock.sleep(self._pass_pace.pause_after(seconds))

    def _apply_changes(self, renewals: Renewals) -> None:
        now, attempt = self._clock.now(), self._errors.attempt
        attempt("entries", now, lambda: self._cell.set_entries(self._advice.entries))
        self._cell.refresh(now, self._clock.wall())
        for runner in self._calls.connect_new():
            self._spawn(self._calls.hold_loop, runner)
        attempt("early renewals", now, self._renew_early, renewals, now)

    def _renew_early(self, renewals: Renewals, now: float) -> None:
        """Renew at once if a stored claim lets tasks start, or ends of runs count."""
        pool = self._cell.pool
        awaits = pool.awaits_enrollment or pool.awaits_withdrawal
        if awaits or pool.awaits_ownership(now):
            renewals.renew_now()

    def _issue_orders(self) -> None:
        plan = self._cell.plan(self._clock.now(), self._clock.wall())
        if self._cell.has_changed_jobs:
            self._recorder.request()
        if plan.starts:
            self._takeover_log.record_start()
        for start in plan.starts:
            self._spawn(self._calls.start, start)
        for stop in plan.stops:
            self._spawn(self._calls.stop, stop)
        for pace in plan.paces:
            self._spawn(self._calls.pace, pace)
        for call in plan.calls:
            self._spawn(self._advise, call)
        for runner in plan.looks:
            runner.look_in_flight, runner.last_look_at = True, self._clock.now()
            self._spawn(self._calls.look, runner)

    def _spawn(self, function: Callable[..., Coroutine[Any, Any, None]], *args: object) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(self._guard, function, *args)

    async def _guard(
        self, function: Callable[..., Coroutine[Any, Any, None]], *args: object
    ) -> None:
        """Make a call, of which no error may end the others."""
        try:
            await function(*args)
        except AppendFenced:
            self._term.end_fenced(function.__name__)
        except Exception as exc:
            name = f"call {function.__name__}"
            self._errors.contain_call(exc, self._clock.now(), name, items_in(args))

    async def _advise(self, call: AdviceCall) -> None:
        extra: dict[str, object] = {
            "stage": str(call.stage),
            "entry": call.entry,
            "named": len(call.runners),
            "first": call.runners[:MAX_NAMES_LOGGED],
        }
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
