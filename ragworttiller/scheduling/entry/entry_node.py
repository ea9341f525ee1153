"""Components of an entry on the platform and their wiring."""

from __future__ import annotations

import functools
import logging
import random
import socket
from collections.abc import Callable
from functools import partial

import anyio

from ragworttiller.config.entry import EntrySettings
from ragworttiller.connection.server import HttpServer
from ragworttiller.metrics import Metrics
from ragworttiller.platform.advisor import Advisor
from ragworttiller.platform.store import CONFIG_TOPIC, Partition, Producer, Store
from ragworttiller.process.nng_peers import NngPeers
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.decisions.admission import (
    AcceptAll,
    PressureAdmission,
    RefusalReason,
)
from ragworttiller.scheduling.decisions.cell_policies import choose_policies
from ragworttiller.scheduling.entry.acceptance import Acceptance
from ragworttiller.scheduling.entry.admission_gate import AdmissionGate
from ragworttiller.scheduling.entry.callers import LocalCallers
from ragworttiller.scheduling.entry.configuration_watch import ConfigurationWatch
from ragworttiller.scheduling.entry.entries import Announcer, EntryFold, PeerAdvice, PeerReconnector
from ragworttiller.scheduling.entry.entry_api import CallerApp, ReadyApp
from ragworttiller.scheduling.entry.key_check import KeyCheck
from ragworttiller.scheduling.entry.operators import Operators
from ragworttiller.scheduling.entry.peer_messages import PEER_CODEC
from ragworttiller.scheduling.entry.relaying_callers import RelayingCallers
from ragworttiller.scheduling.entry.start_gate import StartGate
from ragworttiller.scheduling.ownership.cell_host import CellHost
from ragworttiller.scheduling.ownership.earlier_owner import (
    EarlierOwnerPeer,
    OwnerQuery,
    OwnerReplaced,
    OwnerStatus,
    TermEnded,
)
from ragworttiller.scheduling.ownership.owner_watch import OwnerHeartbeat
from ragworttiller.scheduling.ownership.standbys import PeerStandbys
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.formats import ENTRIES, JOBS, EntryRecord
from ragworttiller.scheduling.records.group_commit import GroupCommit
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.submission_windows import SubmissionWindows
from ragworttiller.scheduling.state.workspace_view import largest_and_rest, used_cpu, waiting_jobs

log = logging.getLogger(__name__)

# The load balancer sends new connections until up to two readiness checks have failed.
DRAIN_SECONDS = 2.6
CLOSE_TIMEOUT_SECONDS = 1.5
WITHDRAW_TIMEOUT_SECONDS = 0.5
MAX_CLAIMS_AGE_SECONDS = 1.8
ENTRIES_POLL_SECONDS = 5.0
MAX_INCARNATION = 2**53


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
        self._store = Store(settings.platform.store_address)
        self._peers = NngPeers(
            self._name, self._incarnation, instance.peer_address, clock, PEER_CODEC
        )
        self._config = QueueFold()
        self._entries = EntryFold(self._peers)
        reconnector = PeerReconnector(self._peers, clock)
        advisor = Advisor(settings.platform.advisor_address or "")
        self._standbys = PeerStandbys(self._peers, self._entries)
        self._host = CellHost(
            self._store,
            self._config,
            PeerAdvice(
                self._peers, self._entries, advisor, reconnector, clock, lambda: self._host.lag
            ),
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
        self._operators = Operators(self._peers, self._entries, self._host, clock)
        self._peers.handle(OwnerHeartbeat, self._handle_heartbeat)
        self._peers.handle(OwnerReplaced, self._handle_owner_replaced)
        self._peers.handle(OwnerQuery, self._handle_owner_query)
        self._config_feed = Feed(self._store, Partition(CONFIG_TOPIC), self._config, clock)
        self._entries_feed = Feed(
            self._store, ENTRIES, self._entries, clock, poll_seconds=ENTRIES_POLL_SECONDS
        )
        producer = Producer(f"{self._name}-{self._incarnation}", 1)
        self._writer = GroupCommit(self._store, JOBS, producer, clock, exclusive=True)
        self._watch = ConfigurationWatch(
            self._config,
            self._config_feed,
            self._peers,
            lambda: self._entries.names,
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
        record = EntryRecord(instance.peer_address, self._incarnation, instance.speed)
        self._announcer = Announcer(self._store, clock, self._name, record)
        relaying = RelayingCallers(
            LocalCallers(self._acceptance),
            self._peers,
            self._config,
            reconnector,
            lambda: self._host.claims_feed.age,
            self._owner_name,
            lambda: self._entries.names,
            clock,
            self._writer,
        )
        self._metrics = Metrics()
        self._register_metrics()
        self._gate = StartGate(
            relaying,
            lambda: self._acceptance.ready,
            lambda: self._host.jobs_feed.load_seconds_left,
            clock,
            loading_seconds,
        )
        self._callers = CallerApp(
            self._gate, lambda: self._acceptance.max_body, self._metrics, clock
        )
        self._stopping = anyio.Event()

    async def run(self) -> None:
        """Serve until `stop`, then finish requests in progress."""
        instance = self._settings.instance
        callers = self._server("callers_address", instance.callers_address, self._callers)
        ready_app = ReadyApp(
            self._unready_reasons, self._metrics.exposition, self._operators.answer
        )
        balancer = self._server("readiness_address", instance.readiness_address, ready_app)
        log.info(
            "entry started",
            extra={"incarnation": self._incarnation, "settings": instance._asdict()},
        )
        async with anyio.create_task_group() as tasks:
            for server in (callers, balancer):
                tasks.start_soon(server.run)
            for feed in (self._config_feed, self._entries_feed):
                tasks.start_soon(feed.run)
            for feed in (self._host.claims_feed, self._host.jobs_feed):
                tasks.start_soon(feed.run)
            tasks.start_soon(self._gate.run)
            tasks.start_soon(self._peers.run)
            tasks.start_soon(self._watch.run)
            tasks.start_soon(self._writer.run)
            tasks.start_soon(self._announcer.run)
            tasks.start_soon(self._announcer.announce)
            tasks.start_soon(self._host.run)
            await self._stopping.wait()
            await self._hand_over(callers)
            callers.stop()
            await callers.stopped()
            tasks.cancel_scope.cancel()
        log.info("entry stopped", extra={"incarnation": self._incarnation})

    def _server(self, setting: str, address: str, app: CallerApp | ReadyApp) -> HttpServer:
        listener = self._listeners.get(setting)
        return HttpServer(address, app, CLOSE_TIMEOUT_SECONDS, listener=listener)

    def _register_metrics(self) -> None:
        traffic, host = self._store.traffic, self._host
        self._metrics.counter(
            "store_calls", "Calls to the platform's store.", lambda: float(traffic.calls)
        )
        refused = self._admission.refused
        for reason in RefusalReason:
            self._metrics.counter(
                f"jobs_refused_{reason}",
                "Jobs refused because the cell was full.",
                lambda reason=reason: float(refused[reason]),  # type: ignore[misc]
            )
        watch = self._watch
        for name, help_text, reading in (
            ("copies_started", "Copies of stragglers.", lambda: float(host.copies.started)),
            ("copies_won", "Copies that ended first.", lambda: float(host.copies.won)),
            ("copies_wasted", "Copies that did not.", lambda: float(host.copies.wasted)),
            (
                "copies_wasted_core_seconds",
                "Processor time that wasted copies reserved.",
                lambda: host.copies.wasted_core_seconds,
            ),
        ):
            self._metrics.counter(name, help_text, reading)
        for name, help_text, reading in (
            (
                "configuration_age_seconds",
                "Time since the configuration was known to be the newest one, -1 before the first.",
                lambda: watch.age if watch.age < float("inf") else -1.0,
            ),
            ("owner_planning_share", "Share of time in passes.", lambda: host.pace.planning),
            ("owner_longest_pass_seconds", "Longest pass.", lambda: host.pace.longest),
            ("owner_lag_seconds", "Longest delay of a timer.", lambda: host.pace.lag),
            (
                "owner_waiting_jobs",
                "Open jobs with a stage that waits.",
                lambda: float(sum(host.pace.waiting.values())),
            ),
        ):
            self._metrics.gauge(name, help_text, reading)
        for name, help_text, of_cell in (
            ("workspace_cpu", "Processor time in use, in thousandths of a core.", used_cpu),
            ("workspace_waiting_jobs", "Open jobs with waiting tasks.", waiting_jobs),
        ):
            reading_by_workspace = partial(self._by_workspace, of_cell)
            self._metrics.gauge_by_label(name, help_text, "workspace", reading_by_workspace)
        self._metrics.gauge_by_label(
            "owner_kind_time_ratio",
            "Duration of tasks on a kind of runner relative to the mean.",
            "kind",
            lambda: host.kind_ratios,
        )
        self._metrics.gauge_by_label(
            "owner_kind_samples",
            "Tasks from which the speed of a kind was learnt.",
            "kind",
            lambda: host.kind_samples,
        )
        for name, help_text in (
            ("paces", "Pace orders sent by this owner."),
            ("stops", "Filling tasks that this owner stopped for a serving one."),
            ("placements", "Placements that believed pairs changed."),
        ):
            self._metrics.gauge(
                f"interference_{name}", help_text, functools.partial(host.interference_count, name)
            )
        self._metrics.gauge(
            "interference_pairs",
            "Pairs of images of which something is known.",
            lambda: host.interference_count("pairs"),
        )

    def _by_workspace(self, values: Callable[[Cell], dict[str, float]]) -> dict[str, float]:
        """Return values of the cell's workspaces, none at an entry that does not own the cell."""
        owner = self._host.owner
        return largest_and_rest(values(owner.cell)) if owner is not None else {}

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stopping.set()

    async def _hand_over(self, callers: HttpServer) -> None:
        """Release the ownership and serve until the load balancer sends no more requests."""
        callers.drain()
        self._host.stop(next(iter(self._standbys.names()), ""))
        with self._clock.move_on_after(WITHDRAW_TIMEOUT_SECONDS):
            await self._announcer.withdraw()
        await self._clock.sleep(min(DRAIN_SECONDS, self._settings.bounds.shutdown_grace_s / 2))

    def _unready_reasons(self) -> list[str]:
        checks = {
            "stopping": not self._stopping.is_set(),
            "configuration not read": self._watch.ready,
            "jobs not read": self._host.jobs_feed.ready,
            "store not reached": self._host.claims_feed.age < MAX_CLAIMS_AGE_SECONDS,
        }
        return [reason for reason, passed in checks.items() if not passed]

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
