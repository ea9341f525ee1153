"""Routing of requests to all upstreams."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from typing_extensions import override

from ragworttiller.connection.runner_lanes import RunnerLanes
from ragworttiller.decisions import Decision, DecisionLog
from ragworttiller.exceptions import NoRunner, NotReady
from ragworttiller.messages import RunnerLoads
from ragworttiller.process.membership import Membership
from ragworttiller.process.peers import Peers
from ragworttiller.request.sender import Sender, UpstreamRequest
from ragworttiller.routing.attempt import RoutingContext
from ragworttiller.routing.attempts import IdempotentRequest, send_once
from ragworttiller.routing.counters import RoutingCounters
from ragworttiller.routing.loads import CarriedLoads
from ragworttiller.routing.runner import Runner
from ragworttiller.routing.settings import UpstreamSource
from ragworttiller.routing.upstream import NO_RUNNER_RETRY_SECONDS, UpstreamRouter
from ragworttiller.services.directory import ListedRunner, Listing
from ragworttiller.services.runner import Answer, RunnerDialer
from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

CHECK_PERIOD_SECONDS = 0.25
LOADS_PERIOD_SECONDS = 2.0
IDLE_REPORT_SECONDS = 10.0
SWEEP_PERIOD_SECONDS = 1.0


class Dispatcher(Sender):
    """Sends requests to the runners of all upstreams.

    Parameters
    ----------
    dialer : RunnerDialer
        Makes connections to runners.
    listing : callable
        Returns the latest reading of the platform's list, None before the first.
    peers : Peers
        Carries loads between entries.
    membership : Membership
        Live entries.
    registry : UpstreamSource
        Settings of upstreams.
    timers : TimerService
        Source of time.
    decisions : DecisionLog
        Gets one line for each decision.
    rng : random.Random
        Random numbers for choices and jitter.
    """

    def __init__(
        self,
        dialer: RunnerDialer,
        listing: Callable[[], Listing | None],
        peers: Peers,
        membership: Membership,
        registry: UpstreamSource,
        timers: TimerService,
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._dialer = dialer
        self._listing = listing
        self._peers = peers
        self._membership = membership
        self._registry = registry
        self._timers = timers
        self._decisions = decisions
        self._rng = rng
        self._context = RoutingContext(timers, decisions, rng, self._lanes_of)
        self._routers: dict[str, UpstreamRouter] = {}
        self._lanes: dict[tuple[str, str], RunnerLanes] = {}
        self._carried = CarriedLoads()
        self._seen: Listing | None = None
        self._listed: dict[str, list[ListedRunner]] = {}
        self._tasks: TaskGroup | None = None
        self._report_at = 0.0
        peers.handle(RunnerLoads, self._take_loads)
        membership.subscribe(self._follow_members)

    @property
    def counters(self) -> dict[str, RoutingCounters]:
        """Counters by upstream."""
        return {name: router.counters for name, router in self._routers.items()}

    @property
    def in_progress(self) -> int:
        """Requests in progress at runners or waiting for one."""
        return sum(r.table.in_progress + r.waiting for r in self._routers.values())

    @property
    def routers(self) -> dict[str, UpstreamRouter]:
        """Routing of each upstream that got a request."""
        return self._routers

    async def run(self) -> None:
        """Carry requests, watch runners and exchange loads with peers until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._check)
                tasks.start_soon(self._report)
                tasks.start_soon(self._sweep)
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
        self._follow_list()
        settings = self._registry.upstream(request.workspace, request.upstream)
        router = self._routers.get(request.upstream)
        if router is None:
            if request.upstream not in self._listed:
                raise self._no_runner(request)
            router = UpstreamRouter(request.upstream, settings, self._context)
            self._routers[request.upstream] = router
            self._update(request.upstream, router)
        router.configure(settings)
        return router

    def _not_running(self) -> NotReady:
        return NotReady(instance=self._membership.instance, reason="routing does not run")

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

    def _follow_list(self) -> None:
        listing = self._listing()
        if listing is None or listing is self._seen:
            return
        self._seen = listing
        self._listed = {}
        for row in listing.runners:
            self._listed.setdefault(row.upstream, []).append(row)
        self._follow_members()

    def _follow_members(self) -> None:
        for name, router in self._routers.items():
            self._update(name, router)

    def _update(self, upstream: str, router: UpstreamRouter) -> None:
        router.update(self._listed.get(upstream, []), len(self._membership.members))
        self._apply_loads(router)

    def _lanes_of(self, runner: Runner) -> RunnerLanes:
        key = (runner.name, runner.address)
        lanes = self._lanes.get(key)
        if lanes is None:
            if self._tasks is None:
                raise self._not_running()
            lanes = RunnerLanes(
                self._dialer, runner.name, runner.address, self._timers, self._tasks
            )
            self._lanes[key] = lanes
        return lanes

    async def _check(self) -> None:
        async for _ in self._timers.ticks(CHECK_PERIOD_SECONDS):
            self._follow_list()
            self._carried.expire(self._membership.members, self._timers.now())
            for router in self._routers.values():
                router.check()
                self._apply_loads(router)

    async def _report(self) -> None:
        async for now in self._timers.ticks(LOADS_PERIOD_SECONDS):
            for router in self._routers.values():
                router.table.lend()
                router.replan()
            loads = self._loads()
            if loads.loads or loads.suspended or now >= self._report_at:
                self._report_at = now + IDLE_REPORT_SECONDS
                self._post(loads)

    def _post(self, loads: RunnerLoads) -> None:
        for name in self._membership.members:
            if name != self._membership.instance:
                self._peers.post(name, loads)

    async def _sweep(self) -> None:
        async for _ in self._timers.ticks(SWEEP_PERIOD_SECONDS):
            for key, lanes in list(self._lanes.items()):
                lanes.sweep()
                if not lanes.open:
                    del self._lanes[key]

    async def _take_loads(self, sender: str, loads: RunnerLoads) -> None:
        self._carried.note(sender, loads, self._timers.now())
        for router in self._routers.values():
            self._apply_loads(router)

    def _apply_loads(self, router: UpstreamRouter) -> None:
        silent = max(0, len(self._membership.members) - 1 - self._carried.reporting)
        for name, runner in router.table.runners.items():
            runner.carried = self._carried.total(name) + silent * runner.share
            runner.suspected = name in self._carried.suspected
        router.replan()

    def _loads(self) -> RunnerLoads:
        loads: dict[str, int] = {}
        suspended: list[str] = []
        for router in self._routers.values():
            suspended.extend(router.table.suspended)
            for name, runner in router.table.runners.items():
                if runner.local:
                    loads[name] = runner.local
        return RunnerLoads(loads, suspended)
