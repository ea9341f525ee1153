"""Routing of requests to all upstreams."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from typing_extensions import override

from ragworttiller.connection.connection_pool import RunnerConnectionPool
from ragworttiller.decisions import Decision, DecisionLog
from ragworttiller.exceptions import NoRunner, NotReady
from ragworttiller.messages import RunnerLoads
from ragworttiller.process.membership import Membership
from ragworttiller.process.peers import Peers
from ragworttiller.request.sender import Sender, UpstreamRequest
from ragworttiller.routing.attempt import RoutingContext
from ragworttiller.routing.attempts import IdempotentRequest, send_once
from ragworttiller.routing.counters import RoutingCounters
from ragworttiller.routing.loads import ReportedLoads
from ragworttiller.routing.runner import Runner
from ragworttiller.routing.settings import UpstreamSource
from ragworttiller.routing.upstream import NO_RUNNER_RETRY_SECONDS, UpstreamRouter
from ragworttiller.services.directory import ListedRunner, Listing
from ragworttiller.services.runner import Answer, RunnerDialer
from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

RUNNER_CHECK_PERIOD_SECONDS = 0.25
LOAD_REPORT_PERIOD_SECONDS = 2.0
IDLE_REPORT_PERIOD_SECONDS = 10.0
IDLE_CONNECTION_CHECK_PERIOD_SECONDS = 1.0


class Dispatcher(Sender):
    """Sends requests to the runners of all upstreams.

    Parameters
    ----------
    dialer : RunnerDialer
        Makes connections to runners.
    listing : callable
        Returns the latest listing of the platform's directory, None before the first.
    peers : Peers
        Exchanges loads with other entries.
    membership : Membership
        Live entries.
    upstreams : UpstreamSource
        Settings of upstreams.
    timers : TimerService
        Source of time.
    decisions : DecisionLog
        Records each decision.
    rng : random.Random
        Random numbers for choices and jitter.
    """

    def __init__(
        self,
        dialer: RunnerDialer,
        listing: Callable[[], Listing | None],
        peers: Peers,
        membership: Membership,
        upstreams: UpstreamSource,
        timers: TimerService,
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._dialer = dialer
        self._listing = listing
        self._peers = peers
        self._membership = membership
        self._upstreams = upstreams
        self._timers = timers
        self._decisions = decisions
        self._rng = rng
        self._context = RoutingContext(timers, decisions, rng, self._connection_pool)
        self._routers: dict[str, UpstreamRouter] = {}
        self._connection_pools: dict[tuple[str, str], RunnerConnectionPool] = {}
        self._reported_loads = ReportedLoads()
        self._applied_listing: Listing | None = None
        self._listed_runners: dict[str, list[ListedRunner]] = {}
        self._tasks: TaskGroup | None = None
        self._next_report_at = 0.0
        peers.handle(RunnerLoads, self._on_loads)
        membership.subscribe(self._update_routers)

    @property
    def upstream_counters(self) -> dict[str, RoutingCounters]:
        """Counters by upstream."""
        return {name: router.counters for name, router in self._routers.items()}

    @property
    def in_progress(self) -> int:
        """Number of requests in flight at runners or waiting for one."""
        return sum(r.table.in_progress + r.waiting for r in self._routers.values())

    @property
    def routers(self) -> dict[str, UpstreamRouter]:
        """Routers of the upstreams that got requests, by upstream."""
        return self._routers

    async def run(self) -> None:
        """Check runners, exchange loads with peers and close idle connections until cancelled.

        Requests can be sent only while it runs: the tasks of connections belong to its task group.
        """
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._check_runners)
                tasks.start_soon(self._report_loads)
                tasks.start_soon(self._close_idle_connections)
        finally:
            self._tasks = None

    @override
    async def send_once(self, request: UpstreamRequest) -> Answer:
        return await send_once(request, self._router(request), self._timers)

    @override
    async def send(self, request: UpstreamRequest) -> Answer:
        router = self._router(request)
        return await IdempotentRequest(request, router, self._timers, self._rng).send()

    def _router(self, request: UpstreamRequest) -> UpstreamRouter:
        if self._tasks is None:
            raise self._not_running()
        self._apply_listing()
        settings = self._upstreams.upstream(request.workspace, request.upstream)
        router = self._routers.get(request.upstream)
        if router is None:
            if request.upstream not in self._listed_runners:
                raise self._no_runner(request)
            router = UpstreamRouter(request.upstream, settings, self._context)
            self._routers[request.upstream] = router
            self._update_router(request.upstream, router)
        router.configure(settings)
        return router

    def _not_running(self) -> NotReady:
        return NotReady(instance=self._membership.instance, reason="the dispatcher is not running")

    def _no_runner(self, request: UpstreamRequest) -> NoRunner:
        self._decisions.record(
            Decision(
                "route",
                request.subject,
                request.workspace,
                [],
                None,
                NoRunner.code,
                request.license,
                0.0,
            )
        )
        return NoRunner(upstream=request.upstream, retry_after=NO_RUNNER_RETRY_SECONDS)

    def _apply_listing(self) -> None:
        listing = self._listing()
        if listing is None or listing is self._applied_listing:
            return
        self._applied_listing = listing
        self._listed_runners = {}
        for row in listing.runners:
            self._listed_runners.setdefault(row.upstream, []).append(row)
        self._update_routers()

    def _update_routers(self) -> None:
        for name, router in self._routers.items():
            self._update_router(name, router)

    def _update_router(self, upstream: str, router: UpstreamRouter) -> None:
        router.update(self._listed_runners.get(upstream, []), len(self._membership.members))
        self._apply_loads(router)

    def _connection_pool(self, runner: Runner) -> RunnerConnectionPool:
        key = (runner.name, runner.address)
        pool = self._connection_pools.get(key)
        if pool is None:
            if self._tasks is None:
                raise self._not_running()
            pool = RunnerConnectionPool(
                self._dialer, runner.name, runner.address, self._timers, self._tasks
            )
            self._connection_pools[key] = pool
        return pool

    async def _check_runners(self) -> None:
        async for _ in self._timers.ticks(RUNNER_CHECK_PERIOD_SECONDS):
            self._apply_listing()
            self._reported_loads.expire(self._membership.members, self._timers.now())
            for router in self._routers.values():
                router.check_runners()
                self._apply_loads(router)

    async def _report_loads(self) -> None:
        async for now in self._timers.ticks(LOAD_REPORT_PERIOD_SECONDS):
            for router in self._routers.values():
                router.table.adjust_borrowed()
                router.update_limits()
            loads = self._own_loads()
            if loads.loads or loads.suspended or now >= self._next_report_at:
                self._next_report_at = now + IDLE_REPORT_PERIOD_SECONDS
                self._broadcast(loads)

    def _broadcast(self, loads: RunnerLoads) -> None:
        for name in self._membership.members:
            if name != self._membership.instance:
                self._peers.post(name, loads)

    async def _close_idle_connections(self) -> None:
        async for _ in self._timers.ticks(IDLE_CONNECTION_CHECK_PERIOD_SECONDS):
            for key, pool in list(self._connection_pools.items()):
                pool.close_idle()
                if not pool.open:
                    del self._connection_pools[key]

    async def _on_loads(self, sender: str, loads: RunnerLoads) -> None:
        self._reported_loads.replace_report(sender, loads, self._timers.now())
        for router in self._routers.values():
            self._apply_loads(router)

    def _apply_loads(self, router: UpstreamRouter) -> None:
        """Apply reported loads; entries without a report are assumed to use their full share."""
        missing_reports = max(
            0, len(self._membership.members) - 1 - self._reported_loads.report_count
        )
        for name, runner in router.table.runners.items():
            runner.remote_in_flight = (
                self._reported_loads.total(name) + missing_reports * runner.share
            )
            runner.suspended_elsewhere = name in self._reported_loads.suspended_elsewhere
        router.update_limits()

    def _own_loads(self) -> RunnerLoads:
        loads: dict[str, int] = {}
        suspended: list[str] = []
        for router in self._routers.values():
            suspended.extend(router.table.suspended)
            for name, runner in router.table.runners.items():
                if runner.in_flight:
                    loads[name] = runner.in_flight
        return RunnerLoads(loads, suspended)
