"""One runner as this entry sees it: its load, its health and when it may get requests."""

from __future__ import annotations

import random
from enum import StrEnum

LATENCY_WEIGHT = 0.1
FAILURE_WEIGHT = 0.2
REFUSALS_TO_SUSPEND = 2
FIRST_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 10.0
BACKOFF_JITTER = 0.25
PROBES_TO_RESUME = 3
SLOW_START_SECONDS = 5.0
SLOW_RATIO = 4.0
STALL_LATENCIES = 8.0
UNKNOWN_STALL_SECONDS = 5.0
MIN_SAMPLES = 5


class RunnerState(StrEnum):
    """Whether a runner gets requests."""

    SERVING = "serving"
    SUSPENDED = "suspended"
    PROBING = "probing"
    LEAVING = "leaving"


class Runner:
    """Runner with the requests that this entry has in progress there.

    Parameters
    ----------
    name : str
        Runner name.
    address : str
        ``host:port``.
    slots : int
        Requests that the runner works on at once.
    connections : int
        Connections that this entry may hold.
    stall_seconds : float
        Least silence with requests in progress that counts as a stall.
    rng : random.Random
        Random numbers for jitter.
    """

    def __init__(
        self,
        name: str,
        address: str,
        slots: int,
        connections: int,
        stall_seconds: float,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.address = address
        self.slots = slots
        self.connections = connections
        self.depth = connections
        self.share = 1
        self.loan = 0
        self.local = 0
        self.carried = 0.0
        self.suspected = False
        self.latency = 0.0
        self.reference = 0.0
        self.failure_rate = 0.0
        self.samples = 0
        self.reason = ""
        self.state = RunnerState.SERVING
        self.stall_seconds = stall_seconds
        self._rng = rng
        self._full = False
        self._refusals = 0
        self._backoff = 0.0
        self._good_probes = 0
        self._probe_at = 0.0
        self._progress_at = 0.0
        self._ramp_from: float | None = None

    @property
    def probe_at(self) -> float:
        """When a suspended runner may be probed."""
        return self._probe_at

    def room(self, now: float) -> bool:
        """Return whether the runner may get one more request of any kind now."""
        if self.state is RunnerState.SERVING:
            return self.local < self._limit(now)
        return self.state is RunnerState.SUSPENDED and now >= self._probe_at

    def stalled(self, now: float) -> bool:
        """Return whether the runner has been silent for too long with requests in progress."""
        if not self.local:
            return False
        limit = UNKNOWN_STALL_SECONDS
        if self.samples:
            limit = STALL_LATENCIES * self.latency
        return now - self._progress_at > max(self.stall_seconds, limit)

    def slow(self) -> bool:
        """Return whether answers take far longer than those of the other runners."""
        return self.samples >= MIN_SAMPLES and self._is_slow(self.latency)

    def begin(self, now: float) -> None:
        """Count a request that goes to the runner; a suspended runner is probed by it."""
        if not self.local:
            self._progress_at = now
        self.local += 1
        self._full = self._full or self.local >= self.depth
        if self.state is RunnerState.SUSPENDED:
            self.state = RunnerState.PROBING
            self._progress_at = now

    def lend(self) -> None:
        """Adjust the slots borrowed from other entries, one more at most each time.

        Reports of their loads are old when they come: without the small steps all entries would
        borrow the same slots at once.
        """
        spare = max(0, int(self.slots - self.carried - self.share))
        self.loan = min(self.loan + self._full, spare)
        self._full = self.local >= self.depth

    def record_answer(self, now: float, seconds: float, failed: bool) -> None:
        """Take note of a whole answer; ``failed`` tells that it reports an error of the runner."""
        self.local -= 1
        self._progress_at = now
        self._refusals = 0
        self._note_failure(failed)
        if not failed:
            self._note_latency(seconds)
        if self.state is not RunnerState.PROBING:
            return
        if failed or self._is_slow(seconds):
            self.suspend(now, self.reason)
        else:
            self._pass_probe(now)

    def refused(self, now: float) -> None:
        """Take note of a connection that was refused."""
        self.local -= 1
        self._refusals += 1
        often = self._refusals >= REFUSALS_TO_SUSPEND and self.state is RunnerState.SERVING
        if often or self.state is RunnerState.PROBING:
            self.suspend(now, "refused")

    def broken(self, now: float) -> None:
        """Take note of an exchange that broke or got no answer in time."""
        self.local -= 1
        self._note_failure(True)
        if self.state is RunnerState.PROBING:
            self.suspend(now, "broken")

    def abandoned(self, now: float, seconds: float) -> None:
        """Take note of an exchange that was given up after ``seconds`` for reasons of our own."""
        self.local -= 1
        if seconds > self.latency:
            self._note_latency(seconds)
        if self.state is RunnerState.PROBING:
            self.suspend(now, self.reason)

    def suspend(self, now: float, reason: str) -> None:
        """Give the runner no requests until a probe, each time later."""
        if self.state is RunnerState.LEAVING:
            return
        self._backoff = min(MAX_BACKOFF_SECONDS, self._backoff * 2 or FIRST_BACKOFF_SECONDS)
        jitter = self._rng.uniform(1 - BACKOFF_JITTER, 1 + BACKOFF_JITTER)
        self._probe_at = now + self._backoff * jitter
        self._good_probes = 0
        self.state = RunnerState.SUSPENDED
        self.reason = reason

    def probe_lost(self, now: float) -> bool:
        """Return whether the probe in progress has got no answer for too long."""
        return self.state is RunnerState.PROBING and self.stalled(now)

    def _limit(self, now: float) -> int:
        if self.local and self.stalled(now):
            return 0
        limit = 1 if self.suspected else self.depth
        if self._ramp_from is None:
            return limit
        ramp = (now - self._ramp_from) / SLOW_START_SECONDS
        if ramp >= 1:
            self._ramp_from = None
            self._backoff = 0.0
        return min(limit, 1 + int(ramp * self.slots))

    def _pass_probe(self, now: float) -> None:
        """Probe again at once, or resume after enough good probes in a row."""
        self._good_probes += 1
        if self._good_probes >= PROBES_TO_RESUME:
            self._resume(now)
        else:
            self.state = RunnerState.SUSPENDED
            self._probe_at = now

    def _resume(self, now: float) -> None:
        self.state = RunnerState.SERVING
        self.reason = ""
        self.failure_rate = 0.0
        self.samples = 0
        self.latency = self.reference
        self._ramp_from = now

    def _is_slow(self, seconds: float) -> bool:
        return self.reference > 0 and seconds > SLOW_RATIO * self.reference

    def _note_failure(self, failed: bool) -> None:
        self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate)

    def _note_latency(self, seconds: float) -> None:
        self.samples += 1
        weight = max(LATENCY_WEIGHT, 1 / self.samples)
        self.latency += weight * (seconds - self.latency)
