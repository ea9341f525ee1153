"""Components of an entry on the platform and their wiring."""

from __future__ import annotations

import logging
import random
import socket

import anyio

from ragworttiller.config.entry import EntrySettings
from ragworttiller.connection.server import HttpServer
from ragworttiller.connection.server_guard import ServerConnections
from ragworttiller.exceptions import PartCancelled
from ragworttiller.metrics import Metrics
from ragworttiller.platform.advisor import Advisor
from ragworttiller.platform.advisor_meter import AdvisorMeter
from ragworttiller.platform.store import CONFIG_TOPIC, Partition, Producer, Store
from ragworttiller.platform.store_meter import StoreMeter
from ragworttiller.process.nng_peers import NngPeers
from ragworttiller.process.outbox_budget import outbox_bytes
from ragworttiller.process.peer_metrics import register_queue_metrics
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.decisions.admission import AcceptAll, PressureAdmission
from ragworttiller.scheduling.decisions.cell_policies import choose_policies
from ragworttiller.scheduling.entry.acceptance import Acceptance
from ragworttiller.scheduling.entry.admission_gate import AdmissionGate
from ragworttiller.scheduling.entry.advisor_metrics import register_advisor_metrics
from ragworttiller.scheduling.entry.caller_policy import CallerPolicy
from ragworttiller.scheduling.entry.callers import LocalCallers
from ragworttiller.scheduling.entry.configuration_transfer import ConfigurationTransfer
from ragworttiller.scheduling.entry.configuration_watch import ConfigurationWatch
from ragworttiller.scheduling.entry.dry_runs import DryRuns
from ragworttiller.scheduling.entry.entry_api import CallerApp, ReadyApp
from ragworttiller.scheduling.entry.entry_metrics import register_metrics
from ragworttiller.scheduling.entry.key_check import KeyCheck
from ragworttiller.scheduling.entry.operators import Operators
from ragworttiller.scheduling.entry.peer_messages import PEER_CODEC
from ragworttiller.scheduling.entry.readiness import Readiness
from ragworttiller.scheduling.entry.relaying_callers import RelayingCallers
from ragworttiller.scheduling.entry.slow_store_reports import SlowStoreReports
from ragworttiller.scheduling.entry.start_gate import StartGate
from ragworttiller.scheduling.entry.store_metrics import register_store_metrics
from ragworttiller.scheduling.membership.membership import Membership
from ragworttiller.scheduling.ownership.cell_host import CellHost
from ragworttiller.scheduling.ownership.earlier_owner import (
    EarlierOwnerPeer,
    OwnerQuery,
    OwnerReplaced,
    OwnerStatus,
    TermEnded,
)
from ragworttiller.scheduling.ownership.owner_gaps import OwnerGaps
from ragworttiller.scheduling.ownership.owner_watch import OwnerHeartbeat
from ragworttiller.scheduling.ownership.standbys import PeerStandbys
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.formats import JOBS, EntryRecord
from ragworttiller.scheduling.records.group_commit import GroupCommit
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.records.record_reader import LongRecordReader
from ragworttiller.scheduling.state.submission_windows import SubmissionWindows

log = logging.getLogger(__name__)

# The load balancer sends new connections until up to two readiness checks have failed.
DRAIN_SECONDS = 2.6
# Time that the last requests have at least, as far as the grace period allows.
CLOSE_TIMEOUT_SECONDS = 1.5
# Requests that are ended have this long to send their answers.
LAST_ANSWER_SECONDS = 0.4
# Part of the grace period that is left once the last requests were answered.
STOP_MARGIN_SECONDS = 0.5
# Part of a stop in which an owner stores that it has released the cell.
RELEASE_SECONDS = 1.0
HANDOVER_CHECK_SECONDS = 0.02
WITHDRAW_TIMEOUT_SECONDS = 0.5
MAX_CLAIMS_AGE_SECONDS = 1.8
MAX_INCARNATION = 2**53
# Connections of the load balancer and of operators.
READINESS_CONNECTIONS = 32


class EntryNode:
    """One entry instance.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    clock : Clock
        Source of time.
    listeners : dict, optional
        Sockets that listen already, by the name of the setting that holds their address.
    loading_seconds : float
        Seconds for which these sockets have listened.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock,
        listeners: dict[str, socket.socket] | None = None,
        loading_seconds: float = 0.0,
    ) -> None:
        self._listeners = listeners or {}
        self._settings = settings
        self._clock = clock
        instance = settings.instance
        self._name = instance.name
        self._incarnation = random.SystemRandom().randrange(1, MAX_INCARNATION)
        self._store_meter = StoreMeter(clock)
        self._advisor_meter = AdvisorMeter(clock)
        self._store = Store(
            settings.platform.store_address,
            meter=self._store_meter,
            limits=settings.store_limits,
        )
        self._peers = NngPeers(
            self._name,
            self._incarnation,
            instance.peer_address,
            clock,
            PEER_CODEC,
            outbox_bytes(settings.limits.memory_mb),
        )
        self._config = QueueFold()
        self._membership = Membership(
            self._store,
            self._peers,
            clock,
            EntryRecord(instance.peer_address, self._incarnation, instance.speed),
            Advisor(settings.platform.advisor_address or "", self._advisor_meter),
            lambda: self._host.figures.lag,
            lambda: self._host.gives_orders,
        )
        members, reconnector = self._membership.members, self._membership.reconnector
        self._standbys = PeerStandbys(self._peers, members)
        self._host = CellHost(
            self._store,
            self._config,
            self._membership.advice,
            clock,
            self._name,
            self._incarnation,
            settings.bounds.longest_lease_ms / 1000,
            status_seconds=settings.bounds.status_s,
            standbys=self._standbys,
            policies=lambda: choose_policies(settings.policies, settings.bounds),
            address=instance.peer_address,
            earlier_owner=EarlierOwnerPeer(self._peers),
            measures_pressure=settings.platform.refuses_under_pressure,
        )
        self._owner_gaps = OwnerGaps(self._host.claims, self._host.claims_feed, clock)
        self._host.on_claims_read = self._owner_gaps.record_claims_read
        windows = SubmissionWindows(self._config)
        self._host.jobs.on_accepted = windows.record
        refuses = settings.platform.refuses_under_pressure
        self._admission = AdmissionGate(
            PressureAdmission(random.random) if refuses else AcceptAll(),
            self._host.claims,
            lambda: self._host.seconds_since_renewal,
            windows,
            clock,
        )
        dry_runs = DryRuns(self._config, self._admission, clock)
        self._operators = Operators(self._peers, members, self._host, clock, dry_runs)
        self._peers.handle(OwnerHeartbeat, self._handle_heartbeat)
        self._peers.handle(OwnerReplaced, self._handle_owner_replaced)
        self._peers.handle(OwnerQuery, self._handle_owner_query)
        self._transfer = ConfigurationTransfer(
            self._config, self._peers, lambda: self._membership.known_names, clock
        )
        partition = Partition(CONFIG_TOPIC)
        self._config_feed = Feed(
            self._store,
            partition,
            self._config,
            clock,
            on_change=self._transfer.announce,
            reader=LongRecordReader(
                self._store, partition, settings.limits.link_bytes_per_second, self._transfer
            ),
        )
        self._transfer.position = lambda: self._config_feed.position
        producer = Producer(f"{self._name}-{self._incarnation}", 1)
        self._writer = GroupCommit(self._store, JOBS, producer, clock, exclusive=True)
        self._watch = ConfigurationWatch(
            self._config,
            self._config_feed,
            self._peers,
            self._transfer,
            lambda: members.names,
            self._owner_name,
            clock,
            settings.platform.has_workspaces,
        )
        max_age = settings.bounds.max_key_check_age
        self._acceptance = Acceptance(
            self._config,
            self._host.jobs,
            self._host.jobs_feed,
            self._host.claims,
            self._writer,
            clock,
            self._name,
            KeyCheck(self._config, self._watch, max_age, self._name),
            self._admission,
        )
        reports = SlowStoreReports(
            self._peers, lambda: members.reachable, self._owner_name, self._writer, clock
        )
        relaying = RelayingCallers(
            LocalCallers(self._acceptance),
            self._peers,
            self._config,
            self._transfer,
            reconnector,
            lambda: self._host.claims_feed.age,
            self._owner_name,
            lambda: members.reachable,
            clock,
            self._writer,
            reports.pace,
        )
        self._metrics = Metrics()
        register_metrics(
            self._metrics,
            self._store,
            self._admission,
            self._watch,
            self._host,
            self._owner_gaps,
            self._membership,
            self._transfer,
        )
        register_store_metrics(self._metrics, self._store_meter)
        register_queue_metrics(self._metrics, self._peers)
        register_advisor_metrics(self._metrics, self._advisor_meter)
        self._connections = ServerConnections(settings.limits.connections, clock)
        self._connections.register_metrics(self._metrics)
        self._policy = CallerPolicy(self._config, self._connections.max_body)
        self._gate = StartGate(
            relaying,
            lambda: self._acceptance.ready,
            lambda: self._host.jobs_feed.load_seconds_left,
            clock,
            loading_seconds,
        )
        self._callers = CallerApp(
            self._gate, lambda: self._acceptance.max_body, self._metrics, clock, self._name
        )
        self._stopping = anyio.Event()
        self._readiness = Readiness(
            {
                "stopping": lambda: not self._stopping.is_set(),
                "configuration not read": lambda: self._watch.ready,
                "jobs not read": lambda: self._host.jobs_feed.ready,
                "store not reached": lambda: self._host.claims_feed.age < MAX_CLAIMS_AGE_SECONDS,
            }
        )

    async def run(self) -> None:
        """Serve until `stop`, then finish requests in progress.

        Raises
        ------
        PartCancelled
            A part has ended the others, though `stop` was not called.
        """
        instance = self._settings.instance
        callers = self._server("callers_address", instance.callers_address, self._callers)
        ready_app = ReadyApp(
            self._readiness.reasons,
            self._metrics.exposition,
            self._operators,
            lambda: self._acceptance.max_body,
        )
        balancer = self._server(
            "readiness_address", instance.readiness_address, ready_app, READINESS_CONNECTIONS
        )
        log.info(
            "entry started",
            extra={"incarnation": self._incarnation, "settings": instance._asdict()},
        )
        async with anyio.create_task_group() as tasks:
            for server in (callers, balancer):
                tasks.start_soon(server.run)
            for feed in (self._config_feed, self._host.claims_feed, self._host.jobs_feed):
                tasks.start_soon(feed.run)
            tasks.start_soon(self._gate.run)
            tasks.start_soon(self._peers.run)
            tasks.start_soon(self._watch.run)
            tasks.start_soon(self._transfer.run)
            tasks.start_soon(self._writer.run)
            tasks.start_soon(self._membership.run)
            tasks.start_soon(self._host.run)
            tasks.start_soon(self._owner_gaps.run)
            await self._stopping.wait()
            stopped_at = self._clock.now()
            await self._hand_over(callers, stopped_at)
            await self._finish_requests(callers, stopped_at)
            tasks.cancel_scope.cancel()
        if not self._stopping.is_set():
            raise PartCancelled(instance=self._name)
        log.info("entry stopped", extra={"incarnation": self._incarnation})

    def _server(
        self,
        setting: str,
        address: str,
        app: CallerApp | ReadyApp,
        max_connections: int | None = None,
    ) -> HttpServer:
        return HttpServer(
            address,
            app,
            CLOSE_TIMEOUT_SECONDS,
            listener=self._listeners.get(setting),
            connections=self._connections,
            policy=self._policy,
            max_connections=max_connections,
        )

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stopping.set()

    async def _hand_over(self, callers: HttpServer, stopped_at: float) -> None:
        """Release the ownership and serve until the load balancer sends no more requests."""
        callers.drain()
        grace = self._settings.bounds.shutdown_grace_s
        reserved = WITHDRAW_TIMEOUT_SECONDS + CLOSE_TIMEOUT_SECONDS + STOP_MARGIN_SECONDS
        longest_hold = max(grace - reserved, grace / 2)
        self._host.stop(next(iter(self._standbys.names()), ""), longest_hold - RELEASE_SECONDS)
        while self._host.holds_cell and self._clock.now() < stopped_at + longest_hold:
            await self._clock.sleep(HANDOVER_CHECK_SECONDS)
        # An owner needs the other entries, which drop the connections of one that has withdrawn.
        with self._clock.move_on_after(WITHDRAW_TIMEOUT_SECONDS):
            await self._membership.withdraw()
        drain = min(DRAIN_SECONDS, grace / 2)
        await self._clock.sleep(max(stopped_at + drain - self._clock.now(), 0.0))

    async def _finish_requests(self, callers: HttpServer, stopped_at: float) -> None:
        """Let requests in progress end while the grace period allows, then answer the others."""
        end = stopped_at + self._settings.bounds.shutdown_grace_s - STOP_MARGIN_SECONDS
        seconds = max(end - self._clock.now(), LAST_ANSWER_SECONDS)
        callers.stop(seconds)
        with self._clock.move_on_after(seconds - LAST_ANSWER_SECONDS):
            await callers.stopped()
        self._callers.end_requests()
        await callers.stopped()

    async def _handle_heartbeat(self, sender: str, heartbeat: OwnerHeartbeat) -> None:
        self._host.record_heartbeat(heartbeat)

    async def _handle_owner_replaced(self, sender: str, message: OwnerReplaced) -> TermEnded:
        self._host.record_later_owner(message.epoch)
        return TermEnded(self._incarnation, self._settings.instance.peer_address)

    async def _handle_owner_query(self, sender: str, message: OwnerQuery) -> OwnerStatus:
        return OwnerStatus(self._host.acts_as_owner(message.epoch))

    def _owner_name(self) -> str:
        claim = self._host.claims.claim
        return claim.owner if claim else ""
