"""Renews the leases of a shard's workers and processes their reports on tasks."""

from __future__ import annotations

import logging
from contextlib import suppress
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from ragworttiller.exceptions import WorkerRefused, WorkerUnreachable
from ragworttiller.process.cell_state import Attempt, CellState
from ragworttiller.process.lease_book import LAPSE_MARGIN_SECONDS
from ragworttiller.process.room_view import RoomView
from ragworttiller.process.task_endings import TaskEndings
from ragworttiller.resources import NO_RESOURCES
from ragworttiller.services.worker import TaskReport, Worker

log = logging.getLogger(__name__)

MIN_LEASE_SECONDS = 15.0
MIN_RENEWAL_PERIOD_SECONDS = 2.0
MAX_RENEWAL_PERIOD_SECONDS = 120.0
IDLE_VISIT_PERIOD_SECONDS = 8.0
STOP_VISIT_PERIOD_SECONDS = 0.25
MIN_VISIT_DELAY_SECONDS = 0.25
MAX_UNANSWERED_VISITS = 3
CALL_TIMEOUT_SECONDS = 2.5
MAX_BEGIN_SECONDS = 3.0
REPORT_BYTES = 70
REPORT_BYTES_PER_SECOND = 2000
REFRESH_TIMEOUT_SECONDS = 2.0
WATCH_UPDATE_PERIOD_SECONDS = 1.0
UNLICENSED = "unlicensed"


class LeaseTiming(NamedTuple):
    """Renewal period and lease duration in seconds."""

    period: float
    lease: float


def lease_timing(tasks: int) -> LeaseTiming:
    """Return timing that keeps reports of ``tasks`` tasks within `REPORT_BYTES_PER_SECOND`."""
    period = tasks * REPORT_BYTES / REPORT_BYTES_PER_SECOND
    period = min(MAX_RENEWAL_PERIOD_SECONDS, max(MIN_RENEWAL_PERIOD_SECONDS, period))
    return LeaseTiming(period, max(MIN_LEASE_SECONDS, 3 * period + LAPSE_MARGIN_SECONDS))


class _WatchedWorker:
    """Worker whose leases this owner renews."""

    def __init__(self, name: str, address: str, now: float) -> None:
        self.name = name
        self.address = address
        self.scope = anyio.CancelScope()
        self.changed = anyio.Event()
        self.due = False
        self.visited_at = now
        self.unanswered = 0
        self.unknown_states: set[str] = set()
        self.missing_since: dict[Attempt, float] = {}


class WorkerKeeper:
    """Renews the leases of every worker of the shard, in one task per worker.

    A visit sends the stop requests for a worker, renews its leases and processes its reports.
    Leases are renewed also while the log is down. An unanswered renewal may have taken effect, so
    after `MAX_UNANSWERED_VISITS` visits without an answer a worker is not visited until its leases
    have lapsed.

    Parameters
    ----------
    state : CellState
        State of the owner.
    rooms : RoomView
        Free room, from which workers that do not answer are excluded.
    endings : TaskEndings
        Processes reports on licensed tasks.
    """

    def __init__(self, state: CellState, rooms: RoomView, endings: TaskEndings) -> None:
        self._state = state
        self._rooms = rooms
        self._endings = endings
        self._watches: dict[str, _WatchedWorker] = {}
        self._timing = lease_timing(0)
        state.lease = self._timing.lease
        state.on_stop = self.visit_now
        state.on_start = self.reschedule

    async def run(self) -> None:
        """Visit the shard's workers until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._update_watches(tasks)
                await self._state.context.timers.sleep(WATCH_UPDATE_PERIOD_SECONDS)

    def visit_now(self, worker: str) -> None:
        """Visit a worker now."""
        watch = self._watches.get(worker)
        if watch is not None:
            watch.due = True
            watch.changed.set()

    def reschedule(self, worker: str) -> None:
        """Recompute when to visit a worker, after a start."""
        watch = self._watches.get(worker)
        if watch is not None:
            watch.changed.set()

    def _update_watches(self, tasks: TaskGroup) -> None:
        addresses = self._addresses()
        rows = self._state.fold.bookings.workers.values()
        self._timing = lease_timing(sum(len(row.tasks) + len(row.holds) for row in rows))
        self._state.lease = self._timing.lease
        for name, watch in list(self._watches.items()):
            if addresses.get(name) != watch.address:
                watch.scope.cancel()
                del self._watches[name]
                self._rooms.set_reporting(name, False)
                self._state.leases.forget_lapsed(name, self._state.now())
        for name, address in addresses.items():
            if name not in self._watches:
                now = self._state.now()
                watch = self._watches[name] = _WatchedWorker(name, address, now)
                # An earlier owner may have renewed the leases until now.
                self._state.leases.record_grant(name, self._timing.lease, now)
                tasks.start_soon(self._visit_loop, watch)

    def _addresses(self) -> dict[str, str]:
        """Return the addresses of listed workers, and of declared ones unless gone and idle."""
        addresses = {name: listed.address for name, listed in self._state.listed_workers().items()}
        for name, row in self._state.fold.bookings.workers.items():
            if row.declared.state != "gone" or not row.idle:
                addresses.setdefault(name, row.declared.address)
        return addresses

    async def _visit_loop(self, watch: _WatchedWorker) -> None:
        client = self._state.context.fleet.worker(watch.name, watch.address)
        with watch.scope:
            while True:
                watch.visited_at = self._state.now()
                watch.due = False
                await self._visit(watch, client)
                await self._wait_until_due(watch)

    async def _wait_until_due(self, watch: _WatchedWorker) -> None:
        """Wait until the next visit to a worker is due; events may reschedule it."""
        while not watch.due:
            remaining = watch.visited_at + self._delay(watch) - self._state.now()
            if remaining <= 0:
                return
            watch.changed = anyio.Event()
            with self._state.context.timers.move_on_after(remaining):
                await watch.changed.wait()

    async def _visit(self, watch: _WatchedWorker, client: Worker) -> None:
        if watch.unanswered >= MAX_UNANSWERED_VISITS:
            if self._must_wait(watch):
                return
            # A further visit may renew leases, so what has lapsed is ended before it.
            await self._handle_failed_visit(watch)
            watch.unanswered = 0
        asked_at = self._state.now()
        try:
            await self._send_stops(watch, client)
            reports = await self._renew(watch, client)
        except WorkerRefused:
            await self._handle_failed_visit(watch)
            return
        except WorkerUnreachable:
            watch.unanswered += 1
            await self._handle_failed_visit(watch)
            return
        watch.unanswered = 0
        if not self._state.context.stream.ready:
            return
        self._rooms.set_reporting(watch.name, True)
        with suppress(WorkerRefused, WorkerUnreachable):
            await self._process_reports(watch, client, reports, asked_at)

    async def _renew(self, watch: _WatchedWorker, client: Worker) -> list[TaskReport]:
        lease, may_be_granted = self._timing.lease, True
        try:
            with self._state.context.timers.move_on_after(CALL_TIMEOUT_SECONDS):
                return await client.renew(lease)
            raise WorkerUnreachable(worker=watch.name)
        except WorkerRefused:
            may_be_granted = False
            raise
        finally:
            if may_be_granted:
                self._state.leases.record_grant(watch.name, lease, self._state.now())

    async def _send_stops(self, watch: _WatchedWorker, client: Worker) -> None:
        stop_requests = self._state.stops.get(watch.name, {})
        for checkpoint in (False, True):
            keys = [
                key for key, request in stop_requests.items() if request.checkpoint == checkpoint
            ]
            if keys:
                with self._state.context.timers.move_on_after(CALL_TIMEOUT_SECONDS):
                    await client.stop(keys, checkpoint)

    async def _handle_failed_visit(self, watch: _WatchedWorker) -> None:
        """Exclude a worker whose visit failed, and end its tasks if its leases have lapsed."""
        self._rooms.set_reporting(watch.name, False)
        row = self._state.fold.bookings.workers.get(watch.name)
        if row is None or row.idle or not self._state.context.stream.ready:
            return
        if self._must_wait(watch):
            return
        if await self._endings.may_be_renewed():
            log.info("worker %s is silent, but another owner may renew its leases", watch.name)
        elif not self._must_wait(watch):
            self._endings.end_lapsed_tasks(watch.name)

    def _must_wait(self, watch: _WatchedWorker) -> bool:
        """Return whether nothing on a worker can be ended by lapsed leases yet.

        An owner that renewed before the lapse has recorded its begin `MAX_BEGIN_SECONDS` later.
        """
        return not self._state.leases.lapsed(watch.name, self._state.now() - MAX_BEGIN_SECONDS)

    def _lapse_seconds(self) -> float:
        return self._timing.lease + LAPSE_MARGIN_SECONDS

    def _delay(self, watch: _WatchedWorker) -> float:
        """Return the seconds until the next visit: soon when a stop or an end is expected."""
        if self._state.stops.get(watch.name):
            return STOP_VISIT_PERIOD_SECONDS
        row = self._state.fold.bookings.workers.get(watch.name)
        if row is not None and row.idle and not watch.unanswered:
            return IDLE_VISIT_PERIOD_SECONDS
        period = self._timing.period
        if watch.unanswered:
            return period
        soonest = MIN_VISIT_DELAY_SECONDS if period == MIN_RENEWAL_PERIOD_SECONDS else period / 2
        return min(period, max(soonest, self._endings.seconds_to_next_end(watch.name)))

    async def _process_reports(
        self, watch: _WatchedWorker, client: Worker, reports: list[TaskReport], asked_at: float
    ) -> None:
        endings = self._endings
        self._log_unknown_states(watch, reports)
        unknown = [report for report in reports if not endings.is_known(watch.name, report)]
        if unknown and await self._state.context.stream.refresh(REFRESH_TIMEOUT_SECONDS):
            unknown = []
        unlicensed: list[TaskReport] = []
        for report in reports:
            if endings.is_licensed(watch.name, report):
                endings.handle_report(watch.name, report)
            elif report not in unknown:
                unlicensed.append(report)
        self._stop_unlicensed(watch, unlicensed)
        self._drop_confirmed_stops(watch, reports)
        self._end_missing_attempts(watch, {(r.task, r.attempt) for r in reports}, asked_at)
        ended = [(r.task, r.attempt) for r in unlicensed if r.ended]
        if ended:
            await client.forget(ended)

    def _log_unknown_states(self, watch: _WatchedWorker, reports: list[TaskReport]) -> None:
        states = {report.state for report in reports if not report.known}
        for state in states - watch.unknown_states:
            log.warning("worker %s: tasks in unknown state %r count as running", watch.name, state)
        watch.unknown_states |= states

    def _stop_unlicensed(self, watch: _WatchedWorker, unlicensed: list[TaskReport]) -> None:
        use = NO_RESOURCES
        for report in unlicensed:
            if not report.ended:
                log.warning("worker %s runs task %s without a license", watch.name, report.task)
                use = use.plus(report.usage)
                key = (report.task, report.attempt)
                self._state.request_stop(watch.name, key, UNLICENSED, False)
        self._rooms.set_unlicensed(watch.name, use)

    def _drop_confirmed_stops(self, watch: _WatchedWorker, reports: list[TaskReport]) -> None:
        """Drop the stops that the worker has carried out."""
        stop_requests = self._state.stops.get(watch.name, {})
        ended = {(report.task, report.attempt): report.ended for report in reports}
        for key, request in list(stop_requests.items()):
            if ended.get(key, request.reason == UNLICENSED):
                del stop_requests[key]

    def _end_missing_attempts(
        self, watch: _WatchedWorker, seen: set[Attempt], asked_at: float
    ) -> None:
        """End licensed tasks that the worker has not listed for longer than a lease."""
        missing: dict[Attempt, float] = {}
        for key in self._endings.missing_attempts(watch.name, seen, asked_at):
            since = missing[key] = watch.missing_since.get(key, asked_at)
            if self._state.now() - since > self._lapse_seconds():
                self._endings.end_missing_attempt(watch.name, key, asked_at)
        watch.missing_since = missing
