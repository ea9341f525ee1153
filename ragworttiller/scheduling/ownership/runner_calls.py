"""Orders to runners and their answers: holds, looks, starts, paces and stops."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

import anyio

from ragworttiller.exceptions import AppendFenced, OrderRefused, OrderUndecided, RunnerGone
from ragworttiller.platform.runner_answers import HoldAnswer
from ragworttiller.platform.runners import (
    NOT_SENT_REASONS,
    UNUSED_ADDRESS_REASON,
    RunnerClient,
    Start,
)
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.decisions.stage_planner import (
    PLACEMENT_SECONDS,
    START_DEADLINE_SECONDS,
)
from ragworttiller.scheduling.ownership.recorder import Recorder
from ragworttiller.scheduling.ownership.start_call import call_start
from ragworttiller.scheduling.ownership.term import Term
from ragworttiller.scheduling.state.orders import PaceOrder, StartOrder, StopOrder, run_fields
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, RunState
from ragworttiller.scheduling.state.work_items import runner_item

log = logging.getLogger(__name__)

HOLD_WAIT_SECONDS = 0.8
HOLD_RETRY_SECONDS = 0.1
# A look returns at once, so a missing answer was lost rather than late.
LOOK_TIMEOUT_SECONDS = 0.25
# Steps of the event loop on the way of a call: sending it, and reading its answer.
LAGS_A_CALL = 2
# All timeouts have room for this much.
TOLERATED_LAG_SECONDS = 0.2
MAX_SLACK_SECONDS = 1.0


class RunnerCalls:
    """Sends the orders of a cell to its runners, and applies what they answer.

    Parameters
    ----------
    cell : Cell
        State of the cell.
    term : Term
        Term of the owner; orders are sent only while it is valid.
    clock : Clock
        Source of time.
    recorder : Recorder
        Stores the effects of ended runs.
    connect : Callable
        Returns the client of a runner, given its identifier and address.
    on_change : Callable
        Called when the state of the cell has changed.
    lag : Callable
        Returns how late the event loop runs, in seconds.
    """

    def __init__(
        self,
        cell: Cell,
        term: Term,
        clock: Clock,
        recorder: Recorder,
        connect: Callable[[str, str], RunnerClient],
        on_change: Callable[[], None],
        lag: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._lag = lag
        self._cell = cell
        self._term = term
        self._clock = clock
        self._recorder = recorder
        self._connect = connect
        self._on_change = on_change
        self._clients: dict[str, RunnerClient] = {}

    def connect_new(self) -> list[RunnerState]:
        """Return the runners that are new since the last call; each needs a `hold_loop`.

        A runner that is put aside is connected later.
        """
        new = [runner for name, runner in self._cell.runners.items() if name not in self._clients]
        if not new:
            return new
        new = self._cell.pool.without_aside(new, self._clock.now())
        return [runner for runner in new if self._connects(runner)]

    def _connects(self, runner: RunnerState) -> bool:
        """Create the client of a runner and return whether that was possible."""
        try:
            client = self._connect(runner.id, runner.entry.address)
            client.set_slack(self._slack)
        except Exception as exc:
            now = self._clock.now()
            self._cell.errors.put_aside(runner_item(runner), exc, now, "connection")
            return False
        self._clients[runner.id] = client
        return True

    def _slack(self) -> float:
        """Return the seconds by which a busy owner waits longer: it reads answers that late."""
        return min(max(LAGS_A_CALL * self._lag() - TOLERATED_LAG_SECONDS, 0.0), MAX_SLACK_SECONDS)

    async def hold_loop(self, runner: RunnerState) -> None:
        """Send hold orders to a runner until its boot is removed."""
        client = self._clients[runner.id]
        try:
            while self._cell.runners.get(runner.id) is runner:
                await self._hold(runner, client)
                if runner.has_unrecorded_ends:
                    await self._recorder.wait_recorded(runner)
        except Exception:
            # Without holds its runs must be able to count as ended, by their leases.
            self._cell.pool.record_no_answer(runner, self._clock.now())
            raise
        finally:
            with anyio.CancelScope(shield=True):
                await client.close()
            self._clients.pop(runner.id, None)

    async def _hold(self, runner: RunnerState, client: RunnerClient) -> None:
        """Renew the lease of a runner, and apply its answer: running tasks and ended runs."""
        cell, now = self._cell, self._clock.now()
        if not self._term.valid or runner.ended_at is not None:
            await self._clock.sleep(HOLD_RETRY_SECONDS)
            return
        deadline = runner.grant_lease(now, self._term.longest_lease(cell.lease))
        wait = HOLD_WAIT_SECONDS if deadline is not None and not runner.has_unrecorded_ends else 0.0
        try:
            held = await client.hold(self._term.epoch, runner.last_end_recorded, deadline, wait)
        except AppendFenced:
            self._term.end_fenced(runner.id)
        except RunnerGone:
            cell.pool.record_ended_boot(runner, self._clock.now())
        except (OrderRefused, OrderUndecided) as exc:
            refused = exc.fields.get("reason") == UNUSED_ADDRESS_REASON
            cell.record_no_answer(runner, now + wait, self._clock.now(), refused)
            await self._clock.sleep(HOLD_RETRY_SECONDS)
        else:
            self._apply_hold_answer(runner, held)
            if runner.renewal_withheld:
                await self._clock.sleep(HOLD_RETRY_SECONDS)
        self._on_change()

    async def look(self, runner: RunnerState) -> None:
        """Ask a runner for its ended runs beside the long poll, which may be lost."""
        client, sent_at = self._clients.get(runner.id), self._clock.now()
        try:
            if client is None or not self._term.valid:
                return
            held = await client.hold(
                self._term.epoch, runner.last_end_recorded, None, 0.0, LOOK_TIMEOUT_SECONDS
            )
        except AppendFenced:
            self._term.end_fenced(runner.id)
        except RunnerGone:
            self._cell.pool.record_ended_boot(runner, self._clock.now())
        except (OrderRefused, OrderUndecided) as exc:
            log.info("look at a runner unanswered", extra={"runner": runner.id, "why": exc.code})
            self._cell.record_unanswered_look(runner, sent_at, self._clock.now())
        else:
            self._apply_hold_answer(runner, held)
        finally:
            runner.look_in_flight = False
        self._on_change()

    def _apply_hold_answer(self, runner: RunnerState, held: HoldAnswer) -> None:
        if held.unreadable:
            extra = {"runner": runner.id, "rows": held.unreadable}
            log.warning("unreadable task rows of a runner skipped", extra=extra)
        self._cell.apply_hold_answer(runner, held, self._clock.now())
        if runner.has_unrecorded_ends:
            self._recorder.request()

    async def start(self, order: StartOrder) -> None:
        """Order the start of a run."""
        run, cell = order.run, self._cell
        client = self._clients.get(run.runner)
        runner = cell.runners.get(run.runner)
        if client is None or runner is None:
            return
        extra = run_fields(run)
        if order.trial and not await self._store_trial(run):
            log.info("start order refused", extra={**extra, "why": "trial not stored"})
            cell.mark_start_refused(run, "trial not stored", self._clock.now())
            return
        deadline, ticket = order.deadline, order.ticket
        if run.spec.daemon:
            if not await self._store_placement(run):
                return
            deadline = run.start_deadline
            # Another one may have been granted while the placement was stored.
            ticket = cell.newest_ticket(run, self._clock.now()) or ticket
        start = Start(run.task, run.number, order.spec, deadline, run.checkpoint, ticket)
        try:
            if not self._term.valid:
                cell.mark_start_refused(run, "term", self._clock.now())
                return
            await call_start(client, start, self._term.epoch, lambda: self._start_still_needed(run))
        except OrderRefused as exc:
            reason = exc.fields["reason"]
            log.info("start order refused", extra={**extra, "why": reason})
            cell.mark_start_refused(run, reason, self._clock.now())
            if reason in NOT_SENT_REASONS:
                refused = reason == UNUSED_ADDRESS_REASON
                cell.record_no_answer(runner, run.started_at, self._clock.now(), refused)
        except OrderUndecided:
            log.info("start order undecided", extra=extra)
        except AppendFenced:
            self._term.end_fenced(run.runner)
            return
        except RunnerGone:
            cell.pool.record_ended_boot(runner, self._clock.now())
        else:
            log.info("task started", extra={**extra, "epoch": self._term.epoch})
            cell.mark_started(run, self._clock.now())
            return
        self._on_change()

    async def _store_trial(self, run: Run) -> bool:
        """Store that a task is tried, so that its crash outlives this owner; return whether it is.

        While the store is away, only suspected tasks wait for its return.
        """
        self._cell.announce_start(run)
        stored = await self._recorder.store_now()
        run.started_at = self._clock.now()
        return stored and not self._cell.has_deferred_change(run.task.stage.job)

    async def _store_placement(self, run: Run) -> bool:
        """Store where a lasting task is to start, and return whether its start may be ordered.

        A successor then waits for this runner only. While the store is away, lasting tasks that
        run go on, and those that wait do so for its return. The start gets its deadline once the
        placement is stored, since a slow store may take for longer than a start.
        """
        cell, key = self._cell, run.key
        if not cell.placement_stored(run):
            cell.announce_start(run)
            stored_meanwhile = partial(cell.placement_stored, run)
            await self._recorder.store_now(PLACEMENT_SECONDS, stored_meanwhile)
        runner, now = cell.runners.get(run.runner), self._clock.now()
        if runner is None or runner.runs.get(key) is not run:
            # Its runner was lost, or its start has expired: the task waits again.
            return False
        stored = cell.placement_stored(run)
        # A claim may have told meanwhile that no more starts are ordered there.
        if not stored or not runner.enrolled:
            why = "runner withdrawn" if stored else "placement not stored"
            log.info("start order refused", extra={**run_fields(run), "why": why})
            cell.mark_start_refused(run, why, now)
            self._on_change()
            return False
        run.started_at = now
        run.start_deadline = runner.grant_start(now, START_DEADLINE_SECONDS)
        return True

    def _start_still_needed(self, run: Run) -> bool:
        """Return whether an unanswered start should be retried."""
        runner = self._cell.runners.get(run.runner)
        if runner is None or run.key not in runner.runs or not self._term.valid:
            return False
        late = runner.clock_at(self._clock.now()) > run.start_deadline
        return run.state is RunState.STARTING and not late and self._cell.awaits_start(run)

    async def pace(self, order: PaceOrder) -> None:
        """Order the pace of a run."""
        run, cell = order.run, self._cell
        client, runner = self._clients.get(run.runner), cell.runners.get(run.runner)
        if client is None or runner is None or not self._term.valid:
            run.pace.mark_refused()
            return
        extra = {**run_fields(run), "percent": order.percent, "over": order.over}
        answered = False
        try:
            await client.pace(run.task, run.number, order.percent, self._term.epoch)
            answered = True
            run.pace.confirm(order.percent)
            log.info("pace order accepted", extra=extra)
        except OrderRefused as exc:
            answered = True
            run.pace.mark_refused()
            log.info("pace order refused", extra={**extra, "why": exc.fields["reason"]})
        except OrderUndecided as exc:
            log.info("pace order unanswered", extra={**extra, "why": exc.code})
        except AppendFenced:
            self._term.end_fenced(run.runner)
        except RunnerGone:
            cell.pool.record_ended_boot(runner, self._clock.now())
        finally:
            if not answered:
                run.pace.mark_unanswered(self._clock.now())

    async def stop(self, order: StopOrder) -> None:
        """Order the stop of a run."""
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
            self._term.end_fenced(run.runner)
        except RunnerGone:
            cell.pool.record_ended_boot(runner, self._clock.now())
