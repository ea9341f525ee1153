"""Assembles the components of one entry instance."""

from __future__ import annotations

import logging
import random
from typing import TypedDict

import anyio
from anyio.abc import TaskGroup
from starlette.applications import Starlette

from ragworttiller.config.defaults import Settings
from ragworttiller.connection.caller_api import CallerApi
from ragworttiller.connection.drain_api import DrainApi
from ragworttiller.connection.operator_api import OperatorAccess, OperatorApi
from ragworttiller.connection.server import HttpServer
from ragworttiller.connection.server_guard import ServerConnections
from ragworttiller.connection.status_api import Readiness, StatusApi
from ragworttiller.decisions import Decision, DecisionLog
from ragworttiller.messages import MemberRow
from ragworttiller.metrics import Metrics, usage
from ragworttiller.process.append_budget import AppendBudget
from ragworttiller.process.cell import Cell
from ragworttiller.process.cell_fold import CellFold
from ragworttiller.process.fold import Fold
from ragworttiller.process.gossip import GossipMembership
from ragworttiller.process.jobs import Jobs
from ragworttiller.process.ledger import Ledger
from ragworttiller.process.ledger_fold import LedgerFold
from ragworttiller.process.listing import EMPTY_LISTING, ListingPoller
from ragworttiller.process.nng_peers import NngPeers
from ragworttiller.process.node_metrics import register_metrics
from ragworttiller.process.outbox_budget import outbox_bytes
from ragworttiller.process.quotas import ShardRooms
from ragworttiller.process.shards import ShardHost
from ragworttiller.process.stream import Stream
from ragworttiller.records import CONFIG_STREAM, cell_stream, ledger_stream
from ragworttiller.request.caller_policy import DaemonCallerPolicy
from ragworttiller.request.licensed import LicensedRequests
from ragworttiller.routing.dispatcher import Dispatcher
from ragworttiller.services.http import (
    HttpDirectory,
    HttpLog,
    HttpRunnerDialer,
    HttpWorkerFleet,
)
from ragworttiller.timers import TimerService
from ragworttiller.version.config_fold import ConfigFold
from ragworttiller.version.drains import DRAIN_KINDS, Drains, check_drain
from ragworttiller.version.items import check_policy, check_quota, check_upstream
from ragworttiller.version.registry import Check, Registry
from ragworttiller.version.template import check_template
from ragworttiller.version.upstreams import RegistryUpstreams

log = logging.getLogger(__name__)

DRAIN_CHECK_PERIOD_SECONDS = 0.5

ITEM_CHECKS: dict[str, Check] = {
    "template": check_template,
    "quota": check_quota,
    "policy": check_policy,
    "upstream": check_upstream,
    **dict.fromkeys(DRAIN_KINDS.values(), check_drain),
}


class Status(TypedDict):
    """State of one instance; ``processor`` is in seconds, ``memory`` in bytes."""

    instance: str
    incarnation: int
    failure_domain: str
    stopping: bool
    ledger_shards: list[int]
    cell_shards: list[int]
    config_offset: int
    members: int
    decisions: int
    processor: float
    memory: int


class Node:
    """One entry instance.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    timers : TimerService
        Source of time.
    """

    def __init__(self, settings: Settings, timers: TimerService) -> None:
        self._settings = settings
        self._timers = timers
        self._stopping = anyio.Event()
        self._metrics = Metrics()
        self._decisions = DecisionLog(on_duration=self._metrics.record_decision)
        instance = settings.instance
        incarnation = int(timers.wall() * 1000)
        rng = random.Random(f"{instance.name}@{incarnation}")
        platform = settings.platform
        self._log = HttpLog(platform.log_url, instance.name, platform.log_timeout)
        self._directory = HttpDirectory(platform.directory_url, platform.log_timeout)
        self._listing = ListingPoller(self._directory, timers, platform.list_period)
        self._fleet = HttpWorkerFleet(platform.log_timeout)
        self._peers = NngPeers(
            instance.name,
            incarnation,
            instance.peer_address,
            timers,
            queue_bytes=outbox_bytes(settings.limits.memory_mb),
        )
        self._membership = self._create_membership(incarnation, rng)
        self._budget = AppendBudget(timers, settings.limits.appends_per_second)
        self._config = self._create_stream(CONFIG_STREAM, ConfigFold())
        self._registry = Registry(self._config, self._peers, self._membership, timers, ITEM_CHECKS)
        self._drains = Drains(self._registry, self._listing.current)
        self._dispatcher = self._create_dispatcher(rng)
        shards = settings.shards
        self._rooms = ShardRooms(timers.now)
        self._ledgers = ShardHost(
            "ledger", shards.ledger, ledger_stream, self._membership, self._create_ledger, timers
        )
        self._cells = ShardHost(
            "cell", shards.cell, cell_stream, self._membership, self._create_cell, timers
        )
        self._licensed = LicensedRequests(
            self._peers, self._membership, self._ledgers, shards.ledger, timers
        )
        self._jobs = Jobs(
            self._peers,
            self._membership,
            self._cells,
            self._registry,
            shards.cell,
            timers,
            self._rooms,
        )
        self._connections = ServerConnections(settings.limits.connections, timers)
        self._connections.register_metrics(self._metrics)
        self._server = self._create_http_server()
        self._decisions.subscribe(self._record_wait)
        self._register_metrics()

    @property
    def _drained(self) -> bool:
        return self._membership.instance in self._drains.names("instances")

    async def run(self) -> None:
        """Serve until `stop` is called, then hand over shards and finish open requests."""
        async with anyio.create_task_group() as tasks:
            for run_component in (
                self._peers.run,
                self._listing.run,
                self._membership.run,
                self._config.run,
                self._registry.run,
                self._dispatcher.run,
                self._ledgers.run,
                self._cells.run,
            ):
                tasks.start_soon(run_component)
            tasks.start_soon(self._apply_drain)
            tasks.start_soon(self._server.run)
            log.info("instance started", extra={"http": self._settings.instance.http_address})
            await self._stopping.wait()
            await self._shut_down(tasks)

    def stop(self) -> None:
        """Begin a graceful stop."""
        self._stopping.set()

    async def _apply_drain(self) -> None:
        """Leave the membership while an operator drains this instance, and rejoin afterwards."""
        leave_announced = False
        async for _ in self._timers.ticks(DRAIN_CHECK_PERIOD_SECONDS):
            if self._drained == leave_announced or self._stopping.is_set():
                continue
            leave_announced = not leave_announced
            await (self._membership.leave() if leave_announced else self._membership.rejoin())

    async def _shut_down(self, tasks: TaskGroup) -> None:
        limits = self._settings.limits
        self._server.drain()
        with anyio.move_on_after(limits.drain_seconds):
            await self._membership.leave()
            await self._ledgers.leave()
            await self._cells.leave()
        await self._timers.sleep(limits.notice_seconds)
        self._server.stop()
        await self._server.stopped()
        await self._membership.announce_stop()
        tasks.cancel_scope.cancel()

    def _create_membership(self, incarnation: int, rng: random.Random) -> GossipMembership:
        instance, membership = self._settings.instance, self._settings.membership
        row = MemberRow(
            instance.name,
            incarnation,
            0,
            "live",
            instance.peer_address,
            instance.http_address,
            instance.failure_domain,
            0,
        )
        return GossipMembership(
            self._peers,
            self._listing.current,
            row,
            self._timers,
            membership.heartbeat_period,
            membership.fanout,
            membership.suspect_after,
            rng,
        )

    def _create_dispatcher(self, rng: random.Random) -> Dispatcher:
        return Dispatcher(
            HttpRunnerDialer(self._settings.platform.log_timeout),
            self._drains.listing,
            self._peers,
            self._membership,
            RegistryUpstreams(self._registry),
            self._timers,
            self._decisions,
            rng,
        )

    def _create_stream(self, name: str, fold: Fold) -> Stream:
        return Stream(name, self._log, fold, self._timers, self._budget, self._membership.holder)

    def _create_ledger(self, shard: int) -> Ledger:
        stream = self._create_stream(ledger_stream(shard), LedgerFold())
        return Ledger(stream, self._dispatcher, self._membership, self._timers, self._decisions)

    def _create_cell(self, shard: int) -> Cell:
        return Cell(
            shard,
            self._create_stream(cell_stream(shard), CellFold(shard)),
            self._fleet,
            self._peers,
            self._membership,
            self._registry,
            self._timers,
            self._decisions,
            lambda: self._drains.listing() or EMPTY_LISTING,
            shards=self._settings.shards.cell,
            rooms=self._rooms,
            seed=self._membership.incarnation + shard,
        )

    def _create_http_server(self) -> HttpServer:
        settings = self._settings
        callers = CallerApi(
            self._dispatcher,
            self._licensed,
            self._metrics,
            self._timers,
            settings.limits.max_body_bytes,
            settings.limits.request_timeout,
        )
        status = StatusApi(
            self._readiness,
            self._status,
            self._membership,
            self._drains.listing,
            self._decisions,
            self._metrics,
        )
        access = OperatorAccess(settings.operator.token)
        operators = OperatorApi(self._registry, self._jobs, access, settings.limits.max_body_bytes)
        drains = DrainApi(self._drains, access)
        return HttpServer(
            settings.instance.http_address,
            Starlette(
                routes=[
                    *status.routes(),
                    *callers.routes(),
                    *operators.routes(),
                    *drains.routes(),
                ]
            ),
            settings.limits.drain_seconds,
            settings.tls,
            connections=self._connections,
            policy=DaemonCallerPolicy(
                settings.limits.max_body_bytes, settings.limits.request_timeout
            ),
        )

    def _register_metrics(self) -> None:
        register_metrics(
            self._metrics,
            self._peers,
            self._membership,
            self._budget,
            self._decisions,
            {
                "log": lambda: self._log.traffic,
                "workers": lambda: self._fleet.traffic,
                "list": lambda: self._directory.traffic,
            },
        )

    def _record_wait(self, decision: Decision) -> None:
        if decision.chosen is not None:
            self._metrics.record_wait(decision.kind, decision.waited)

    def _readiness(self) -> Readiness:
        checks = {
            "stopping": not self._stopping.is_set(),
            "drained by an operator": not self._drained,
            "configuration not read": self._registry.ready,
            "platform list not read": self._listing.latest is not None,
        }
        reasons = [reason for reason, passed in checks.items() if not passed]
        return Readiness(ready=not reasons, current=self._registry.current, reasons=reasons)

    def _status(self) -> Status:
        used = usage()
        return Status(
            instance=self._membership.instance,
            incarnation=self._membership.incarnation,
            failure_domain=self._settings.instance.failure_domain,
            stopping=self._stopping.is_set(),
            ledger_shards=sorted(self._ledgers.owned),
            cell_shards=sorted(self._cells.owned),
            config_offset=self._config.next_offset,
            members=len(self._membership.members),
            decisions=self._decisions.count,
            processor=used.processor,
            memory=used.memory,
        )
