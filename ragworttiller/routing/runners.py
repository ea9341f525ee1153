"""Table of the runners of one upstream."""

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
SUSPENDED_STATES = (RunnerState.SUSPENDED, RunnerState.PROBING)
FAILURE_RATE_LIMIT = 0.5
MAX_FAILURE_RATE_LIMIT = 0.95
FAILURE_RATE_RATIO = 3.0
MAX_SPARE_LOAD = 0.9


class RunnerTable:
    """Runners of one upstream, from the platform's directory, with their observed health.

    At most half of the runners are suspended for slow, failing or missing answers: if more are
    affected, the fault lies with the upstream or the network rather than with single runners.
    Suspensions after refused connections are not limited.

    Parameters
    ----------
    upstream : str
        Name of the upstream, for log lines.
    rng : random.Random
        Random numbers for jitter.
    """

    def __init__(self, upstream: str, rng: random.Random) -> None:
        self._upstream = upstream
        self._rng = rng
        self._runners: dict[str, Runner] = {}
        self._entries = 1

    @property
    def runners(self) -> dict[str, Runner]:
        """Runners by name."""
        return self._runners

    @property
    def in_progress(self) -> int:
        """Number of requests of this entry in flight at all runners."""
        return sum(runner.in_flight for runner in self._runners.values())

    @property
    def has_spare_slots(self) -> bool:
        """Whether this entry uses clearly less than its share of all slots."""
        slots = sum(r.slots / self._entries + r.borrowed for r in self._runners.values())
        return self.in_progress < MAX_SPARE_LOAD * slots

    @property
    def any_serving(self) -> bool:
        """Whether any runner is serving."""
        return any(r.state is RunnerState.SERVING for r in self._runners.values())

    @property
    def suspended(self) -> list[str]:
        """Names of the runners that are suspended or being probed."""
        return [r.name for r in self._runners.values() if r.state in SUSPENDED_STATES]

    def __len__(self) -> int:
        return len(self._runners)

    def update(
        self, listed: Iterable[ListedRunner], settings: UpstreamSettings, entries: int
    ) -> None:
        """Apply a listing; runners that leave or are missing get no new requests.

        Parameters
        ----------
        listed : iterable of ListedRunner
            Runners of this upstream.
        settings : UpstreamSettings
            Current settings of the upstream.
        entries : int
            Number of entries that share the slots and connections of a runner.
        """
        self._entries = max(1, entries)
        present = {row.runner: row for row in listed if row.state == LIVE}
        for name, runner in list(self._runners.items()):
            row = present.get(name)
            if row is None or row.address != runner.address:
                self._remove(runner)
        for name, row in present.items():
            runner = self._runners.get(name) or self._add(row, settings)
            runner.slots = row.slots
            runner.connections = max(1, row.connections // (entries + 1))
            runner.share = max(1, -(-row.slots // self._entries))

    def adjust_borrowed(self) -> None:
        """Adjust the slots borrowed from other entries at each runner."""
        for runner in self._runners.values():
            runner.adjust_borrowed()

    def set_limits(self, policy: RoutingPolicy) -> None:
        """Recompute how many requests each runner may have in flight."""
        for runner in self._runners.values():
            runner.max_in_flight = min(policy.max_in_flight(runner), runner.connections)

    def eligible(self, now: float, probe: bool) -> list[Runner]:
        """Return the runners that may get a request now.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        probe : bool
            Whether to include suspended runners whose probe is due.
        """
        return [
            runner
            for runner in self._runners.values()
            if (probe or runner.state is RunnerState.SERVING) and runner.has_capacity(now)
        ]

    def check_runners(self, now: float) -> None:
        """Suspend runners that stall or answer much more slowly than the others."""
        latencies = [r.latency for r in self._runners.values() if r.samples >= MIN_SAMPLES]
        reference = median(latencies) if latencies else 0.0
        for runner in self._runners.values():
            runner.reference_latency = reference
            if runner.probe_stalled(now):
                runner.suspend(now, runner.suspension_reason)
            elif runner.state is RunnerState.SERVING:
                self._check_runner(runner, now)

    def check_failure_rate(self, runner: Runner, now: float) -> None:
        """Suspend a runner whose failure rate is close to 1 or much higher than the median."""
        if runner.state is not RunnerState.SERVING or runner.failure_rate < FAILURE_RATE_LIMIT:
            return
        median_rate = median(r.failure_rate for r in self._runners.values())
        if runner.failure_rate >= min(MAX_FAILURE_RATE_LIMIT, FAILURE_RATE_RATIO * median_rate):
            self._suspend(runner, now, "failing")

    def probe_delay(self, now: float) -> float:
        """Return the seconds until the next probe of a suspended runner is due, 0 for none."""
        due = [r.probe_at - now for r in self._runners.values() if r.state in SUSPENDED_STATES]
        return max(0.0, min(due, default=0.0))

    def _check_runner(self, runner: Runner, now: float) -> None:
        if runner.stalled(now):
            self._suspend(runner, now, "stalled")
        elif runner.is_slow():
            self._suspend(runner, now, "slow")

    def _suspend(self, runner: Runner, now: float, reason: str) -> None:
        if len(self.suspended) + 1 > len(self._runners) // 2:
            return
        log.warning("upstream %s: runner %s suspended: %s", self._upstream, runner.name, reason)
        runner.suspend(now, reason)

    def _add(self, row: ListedRunner, settings: UpstreamSettings) -> Runner:
        runner = Runner(row.runner, row.address, row.slots, 1, settings.stall_seconds, self._rng)
        self._runners[row.runner] = runner
        return runner

    def _remove(self, runner: Runner) -> None:
        runner.state = RunnerState.LEAVING
        del self._runners[runner.name]
