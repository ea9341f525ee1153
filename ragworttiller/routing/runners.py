"""Runners of one upstream: who may get requests now."""

from __future__ import annotations

import logging
import random
from collections.abc import Iterable
from statistics import median

from ragworttiller.routing.policy import RoutingPolicy
from ragworttiller.routing.runner import MIN_SAMPLES, Runner, RunnerState
from ragworttiller.routing.settings import UpstreamSettings
from ragworttiller.services.directory import ListedRunner

log = logging.getLogger(__name__)

LIVE = "live"
ASIDE = (RunnerState.SUSPENDED, RunnerState.PROBING)
FAILURE_LIMIT = 0.5
MAX_FAILURE_LIMIT = 0.95
FAILURE_RATIO = 3.0
SPARE_LOAD = 0.9


class RunnerTable:
    """Runners of one upstream, from the platform's list and from what was observed.

    At most half of the runners are suspended for slow, failing or missing answers, since then the
    fault lies with the upstream or the network rather than with single runners. Refused
    connections count for themselves.

    Parameters
    ----------
    upstream : str
        Name in log lines.
    rng : random.Random
        Random numbers for jitter.
    """

    def __init__(self, upstream: str, rng: random.Random) -> None:
        self._upstream = upstream
        self._rng = rng
        self._runners: dict[str, Runner] = {}
        self._entries = 1

    def __len__(self) -> int:
        return len(self._runners)

    @property
    def runners(self) -> dict[str, Runner]:
        """Runners by name."""
        return self._runners

    @property
    def in_progress(self) -> int:
        """Requests of this entry in progress at all runners."""
        return sum(runner.local for runner in self._runners.values())

    @property
    def spare(self) -> bool:
        """Whether this entry uses well below its part of all slots."""
        slots = sum(r.slots / self._entries + r.loan for r in self._runners.values())
        return self.in_progress < SPARE_LOAD * slots

    @property
    def serving(self) -> bool:
        """Whether any runner is not suspended."""
        return any(r.state is RunnerState.SERVING for r in self._runners.values())

    @property
    def suspended(self) -> list[str]:
        """Names of the runners that get no requests until a probe."""
        return [r.name for r in self._runners.values() if r.state in ASIDE]

    def update(
        self, listed: Iterable[ListedRunner], settings: UpstreamSettings, entries: int
    ) -> None:
        """Follow the platform's list; runners that leave or vanish get nothing new at once.

        Parameters
        ----------
        listed : iterable of ListedRunner
            Runners of this upstream.
        settings : UpstreamSettings
            Settings in force.
        entries : int
            Number of entries that share the connections of a runner.
        """
        self._entries = max(1, entries)
        present = {row.runner: row for row in listed if row.state == LIVE}
        for name, runner in list(self._runners.items()):
            row = present.get(name)
            if row is None or row.address != runner.address:
                self._drop(runner)
        for name, row in present.items():
            runner = self._runners.get(name) or self._join(row, settings)
            runner.slots = row.slots
            runner.connections = max(1, row.connections // (entries + 1))
            runner.share = max(1, -(-row.slots // self._entries))

    def lend(self) -> None:
        """Adjust the slots that are borrowed from other entries."""
        for runner in self._runners.values():
            runner.lend()

    def plan(self, policy: RoutingPolicy) -> None:
        """Recompute how many requests each runner may have, after loads or runners changed."""
        for runner in self._runners.values():
            runner.depth = min(policy.depth(runner), runner.connections)

    def eligible(self, now: float, probe: bool) -> list[Runner]:
        """Return the runners that may get a request now.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        probe : bool
            Whether suspended runners whose probe is due count.
        """
        return [
            runner
            for runner in self._runners.values()
            if (probe or runner.state is RunnerState.SERVING) and runner.room(now)
        ]

    def check(self, now: float) -> None:
        """Suspend runners that stall or answer far more slowly than the others."""
        known = [r.latency for r in self._runners.values() if r.samples >= MIN_SAMPLES]
        reference = median(known) if known else 0.0
        for runner in self._runners.values():
            runner.reference = reference
            if runner.probe_lost(now):
                runner.suspend(now, runner.reason)
            elif runner.state is RunnerState.SERVING:
                self._check_one(runner, now)

    def note_failure(self, runner: Runner, now: float) -> None:
        """Suspend a runner that fails far more often than the others, after a failure of it."""
        if runner.state is not RunnerState.SERVING or runner.failure_rate < FAILURE_LIMIT:
            return
        common = median(r.failure_rate for r in self._runners.values())
        if runner.failure_rate >= min(MAX_FAILURE_LIMIT, FAILURE_RATIO * common):
            self._suspend(runner, now, "failing")

    def probe_delay(self, now: float) -> float:
        """Return the seconds until the next probe of a suspended runner is due."""
        due = [r.probe_at - now for r in self._runners.values() if r.state in ASIDE]
        return max(0.0, min(due, default=0.0))

    def _check_one(self, runner: Runner, now: float) -> None:
        if runner.stalled(now):
            self._suspend(runner, now, "stalled")
        elif runner.slow():
            self._suspend(runner, now, "slow")

    def _suspend(self, runner: Runner, now: float, reason: str) -> None:
        if len(self.suspended) + 1 > len(self._runners) // 2:
            return
        log.warning("%s: runner %s is suspended: %s", self._upstream, runner.name, reason)
        runner.suspend(now, reason)

    def _join(self, row: ListedRunner, settings: UpstreamSettings) -> Runner:
        runner = Runner(row.runner, row.address, row.slots, 1, settings.stall_seconds, self._rng)
        self._runners[row.runner] = runner
        return runner

    def _drop(self, runner: Runner) -> None:
        runner.state = RunnerState.LEAVING
        del self._runners[runner.name]
