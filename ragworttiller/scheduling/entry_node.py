"""All parts of an entry on the platform and how they are wired."""

from __future__ import annotations

import logging
import random

import anyio

from ragworttiller.config.entry import EntrySettings
from ragworttiller.connection.server import HttpServer
from ragworttiller.exceptions import RagworttillerError
from ragworttiller.platform.advisor import Advisor
from ragworttiller.platform.store import CONFIG_TOPIC, RUNNERS_TOPIC, Partition, Producer, Store
from ragworttiller.process.nng_peers import NngPeers
from ragworttiller.scheduling.acceptance import Acceptance
from ragworttiller.scheduling.cell import LEASE_SECONDS, Cell
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.config_fold import ConfigFold
from ragworttiller.scheduling.entries import AdviceDesk, Announcer, EntryFold
from ragworttiller.scheduling.entry_api import CallerApp, ReadyApp
from ragworttiller.scheduling.entry_metrics import EntryMetrics
from ragworttiller.scheduling.feed import Feed
from ragworttiller.scheduling.group_commit import GroupCommit
from ragworttiller.scheduling.job_fold import JobFold
from ragworttiller.scheduling.owner import Owner
from ragworttiller.scheduling.ownership import (
    SILENCE_SECONDS,
    TERM_SECONDS,
    OwnerFold,
    Ownership,
    Term,
)
from ragworttiller.scheduling.peer_messages import PEER_CODEC
from ragworttiller.scheduling.records import ENTRIES, JOBS, OWNER, Claim, EntryRecord
from ragworttiller.scheduling.runner_fold import RunnerFold
from ragworttiller.scheduling.takeover import Takeover

log = logging.getLogger(__name__)

JOBS_PACE_SECONDS = 0.15
OWNER_JOBS_PACE_SECONDS = 0.03
RUNNERS_PACE_SECONDS = 0.4
CLAIM_RETRY_SECONDS = 0.3
# Connections are still given to an entry for up to two checks of its readiness.
LEAVE_SECONDS = 2.6
CLOSE_SECONDS = 1.5
UNREAD_SECONDS = 12.0
MAX_INCARNATION = 2**53


class EntryNode:
    """One entry instance.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    clock : Clock
        Source of time.
    """

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        instance = settings.instance
        self._name = instance.name
        self._incarnation = random.SystemRandom().randrange(1, MAX_INCARNATION)
        self._store = Store(settings.platform.store_address)
        self._peers = NngPeers(
            self._name, self._incarnation, instance.peer_address, clock, PEER_CODEC
        )
        self._desk = AdviceDesk(self._peers, Advisor(settings.platform.advisor_address or ""))
        self._config = ConfigFold()
        self._jobs = JobFold()
        self._owner_fold = OwnerFold()
        self._entries = EntryFold(self._peers)
        self._config_feed = self._feed(Partition(CONFIG_TOPIC), self._config)
        self._entries_feed = self._feed(ENTRIES, self._entries)
        self._jobs_feed = Feed(
            self._store, JOBS, self._jobs, clock, JOBS_PACE_SECONDS, self._jobs_changed
        )
        self._owner_feed = Feed(
            self._store,
            OWNER,
            self._owner_fold,
            clock,
            changed=self._claim_changed,
            poll=SILENCE_SECONDS,
            silent=self._silence,
        )
        self._ownership = Ownership(
            self._store, self._owner_feed, self._owner_fold, clock, self._name, self._incarnation
        )
        producer = Producer(f"{self._name}-{self._incarnation}", 1)
        writer = GroupCommit(self._store, JOBS, producer, clock, exclusive=True)
        self._writer = writer
        self._acceptance = Acceptance(
            self._config, self._jobs, self._jobs_feed, self._owner_fold, writer, clock, self._name
        )
        record = EntryRecord(instance.peer_address, self._incarnation)
        self._announcer = Announcer(self._store, clock, self._name, record)
        self._callers = CallerApp(self._acceptance, clock)
        self._metrics = EntryMetrics(self._callers, self._store)
        self._owner: Owner | None = None
        self._stopping = anyio.Event()

    async def run(self) -> None:
        """Serve until `stop`, then finish what is in progress."""
        instance = self._settings.instance
        callers = HttpServer(instance.callers_address, self._callers, CLOSE_SECONDS)
        ready_app = ReadyApp(self._not_ready, self._metrics.page)
        balancer = HttpServer(instance.readiness_address, ready_app, CLOSE_SECONDS)
        log.info(
            "started", extra={"incarnation": self._incarnation, "settings": instance._asdict()}
        )
        async with anyio.create_task_group() as tasks:
            for server in (callers, balancer):
                tasks.start_soon(server.run)
            for feed in (self._config_feed, self._entries_feed, self._owner_feed, self._jobs_feed):
                tasks.start_soon(feed.run)
            tasks.start_soon(self._peers.run)
            tasks.start_soon(self._writer.run)
            tasks.start_soon(self._announcer.run)
            tasks.start_soon(self._announcer.announce)
            tasks.start_soon(self._own_loop)
            await self._stopping.wait()
            await self._leave(callers)
            callers.stop()
            await callers.stopped()
            tasks.cancel_scope.cancel()
        log.info("stopped", extra={"incarnation": self._incarnation})

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stopping.set()

    async def _leave(self, callers: HttpServer) -> None:
        """Hand the ownership over and serve until the balancer sends nothing more."""
        callers.drain()
        if self._owner is not None:
            others = sorted(self._entries.names - {self._name})
            self._ownership.release(random.choice(others) if others else "")
        await self._announcer.leave()
        await self._clock.sleep(min(LEAVE_SECONDS, self._settings.bounds.shutdown_grace_s / 2))

    def _not_ready(self) -> list[str]:
        checks = {
            "stopping": not self._stopping.is_set(),
            "configuration not read": self._config.current is not None,
            "jobs not read": self._jobs_feed.ready,
            "store not reached": self._jobs_feed.age < UNREAD_SECONDS,
        }
        return [reason for reason, passed in checks.items() if not passed]

    async def _own_loop(self) -> None:
        while True:
            before = await self._ownership.wait_vacant()
            if self._stopping.is_set():
                return
            try:
                claimed = await self._ownership.claim(before)
                if claimed is not None:
                    await self._own(*claimed, before)
            except RagworttillerError as exc:
                log.warning("claim failed", extra={"why": exc.code})
                await self._clock.sleep(CLAIM_RETRY_SECONDS)

    async def _own(self, term: Term, jobs_end: int, before: Claim | None) -> None:
        """Own the cell until the term ends."""
        await self._jobs_feed.catch_up()
        lease = min(LEASE_SECONDS, self._settings.bounds.longest_lease_ms / 1000)
        now = self._clock.now()
        takeover = Takeover(before, jobs_end, now, TERM_SECONDS, lease)
        runners = RunnerFold()
        cell = Cell(term.epoch, self._jobs, self._config, runners, takeover, lease)
        feed = Feed(
            self._store,
            Partition(RUNNERS_TOPIC),
            runners,
            self._clock,
            RUNNERS_PACE_SECONDS,
            self._runners_changed,
        )
        self._owner = Owner(
            cell,
            term,
            self._store,
            self._jobs_feed,
            feed,
            self._entries,
            self._desk,
            self._clock,
            self._name,
            self._incarnation,
        )
        self._jobs_feed.pace = OWNER_JOBS_PACE_SECONDS
        try:
            await self._owner.run(self._ownership)
        finally:
            self._owner = None
            self._jobs_feed.pace = JOBS_PACE_SECONDS

    def _feed(self, partition: Partition, fold: ConfigFold | EntryFold) -> Feed:
        return Feed(self._store, partition, fold, self._clock)

    def _jobs_changed(self) -> None:
        if self._owner is not None:
            self._owner.wake()
        else:
            self._jobs.touched.clear()

    def _runners_changed(self) -> None:
        if self._owner is not None:
            self._owner.wake()

    def _claim_changed(self) -> None:
        claim = self._owner_fold.claim
        if self._owner is not None and claim is not None:
            self._owner.superseded_by(claim)
        self._ownership.news()

    def _silence(self) -> None:
        self._ownership.silence()
