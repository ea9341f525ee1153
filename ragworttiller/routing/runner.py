"""State of one runner as seen by this entry: load, health and circuit breaker."""

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
SLOW_LATENCY_RATIO = 4.0
STALL_LATENCY_FACTOR = 8.0
INITIAL_STALL_SECONDS = 5.0
MIN_SAMPLES = 5


class RunnerState(StrEnum):
    """Whether a runner may get requests."""

    SERVING = "serving"
    SUSPENDED = "suspended"
    PROBING = "probing"
    LEAVING = "leaving"


class Runner:
    """Runner with its health and the requests of this entry in flight there.

    Parameters
    ----------
    name : str
        Runner name.
    address : str
        ``host:port``.
    slots : int
        Number of requests that the runner processes concurrently.
    connections : int
        Maximum number of connections of this entry.
    stall_seconds : float
        Minimum time without an answer, with requests in flight, that counts as a stall.
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
        self.max_in_flight = connections
        self.share = 1
        self.borrowed = 0
        self.in_flight = 0
        self.remote_in_flight = 0.0
        self.suspended_elsewhere = False
        self.latency = 0.0
        self.reference_latency = 0.0
        self.failure_rate = 0.0
        self.samples = 0
        self.reason = ""
        self.state = RunnerState.SERVING
        self.stall_seconds = stall_seconds
        self._rng = rng
        self._limit_reached = False
        self._refusals = 0
        self._backoff = 0.0
        self._good_probes = 0
        self._probe_at = 0.0
        self._progress_at = 0.0
        self._resumed_at: float | None = None

    @property
    def probe_at(self) -> float:
        """Monotonic time at which a suspended runner may be probed."""
        return self._probe_at

    def has_capacity(self, now: float) -> bool:
        """Return whether the runner may get one more request, or a probe, now."""
        if self.state is RunnerState.SERVING:
            return self.in_flight < self._current_limit(now)
        return self.state is RunnerState.SUSPENDED and now >= self._probe_at

    def stalled(self, now: float) -> bool:
        """Return whether the runner has sent no answer for too long with requests in flight."""
        if not self.in_flight:
            return False
        limit = INITIAL_STALL_SECONDS
        if self.samples:
            limit = STALL_LATENCY_FACTOR * self.latency
        return now - self._progress_at > max(self.stall_seconds, limit)

    def is_slow(self) -> bool:
        """Return whether answers take much longer than those of the other runners."""
        return self.samples >= MIN_SAMPLES and self._exceeds_slow_ratio(self.latency)

    def begin(self, now: float) -> None:
        """Count a request sent to the runner; for a suspended runner, the request is a probe."""
        if not self.in_flight:
            self._progress_at = now
        self.in_flight += 1
        self._limit_reached = self._limit_reached or self.in_flight >= self.max_in_flight
        if self.state is RunnerState.SUSPENDED:
            self.state = RunnerState.PROBING
            self._progress_at = now

    def adjust_borrowed(self) -> None:
        """Adjust the number of slots borrowed from other entries, by at most one more per call.

        Load reports are out of date when they arrive: with larger steps, all entries would borrow
        the same slots at once.
        """
        spare = max(0, int(self.slots - self.remote_in_flight - self.share))
        self.borrowed = min(self.borrowed + self._limit_reached, spare)
        self._limit_reached = self.in_flight >= self.max_in_flight

    def record_answer(self, now: float, seconds: float, failed: bool) -> None:
        """Record a complete answer; ``failed`` means that it is a server error."""
        self.in_flight -= 1
        self._progress_at = now
        self._refusals = 0
        self._update_failure_rate(failed)
        if not failed:
            self._update_latency(seconds)
        if self.state is not RunnerState.PROBING:
            return
        if failed or self._exceeds_slow_ratio(seconds):
            self.suspend(now, self.reason)
        else:
            self._record_good_probe(now)

    def record_refusal(self, now: float) -> None:
        """Record a refused connection."""
        self.in_flight -= 1
        self._refusals += 1
        often = self._refusals >= REFUSALS_TO_SUSPEND and self.state is RunnerState.SERVING
        if often or self.state is RunnerState.PROBING:
            self.suspend(now, "refused")

    def record_failure(self, now: float) -> None:
        """Record an exchange that broke off or timed out."""
        self.in_flight -= 1
        self._update_failure_rate(True)
        if self.state is RunnerState.PROBING:
            self.suspend(now, "broken")

    def record_abandonment(self, now: float, seconds: float) -> None:
        """Record an exchange that this entry abandoned after ``seconds``."""
        self.in_flight -= 1
        if seconds > self.latency:
            self._update_latency(seconds)
        if self.state is RunnerState.PROBING:
            self.suspend(now, self.reason)

    def suspend(self, now: float, reason: str) -> None:
        """Send no requests to the runner until a probe, after an exponential backoff."""
        if self.state is RunnerState.LEAVING:
            return
        self._backoff = min(MAX_BACKOFF_SECONDS, self._backoff * 2 or FIRST_BACKOFF_SECONDS)
        jitter = self._rng.uniform(1 - BACKOFF_JITTER, 1 + BACKOFF_JITTER)
        self._probe_at = now + self._backoff * jitter
        self._good_probes = 0
        self.state = RunnerState.SUSPENDED
        self.reason = reason

    def probe_stalled(self, now: float) -> bool:
        """Return whether the probe in flight has had no answer for too long."""
        return self.state is RunnerState.PROBING and self.stalled(now)

    def _current_limit(self, now: float) -> int:
        if self.in_flight and self.stalled(now):
            return 0
        limit = 1 if self.suspended_elsewhere else self.max_in_flight
        if self._resumed_at is None:
            return limit
        ramp = (now - self._resumed_at) / SLOW_START_SECONDS
        if ramp >= 1:
            self._resumed_at = None
            self._backoff = 0.0
        return min(limit, 1 + int(ramp * self.slots))

    def _record_good_probe(self, now: float) -> None:
        """Allow the next probe at once, or resume after enough successful probes in a row."""
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
        self.latency = self.reference_latency
        self._resumed_at = now

    def _exceeds_slow_ratio(self, seconds: float) -> bool:
        return self.reference_latency > 0 and seconds > SLOW_LATENCY_RATIO * self.reference_latency

    def _update_failure_rate(self, failed: bool) -> None:
        self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate)

    def _update_latency(self, seconds: float) -> None:
        self.samples += 1
        weight = max(LATENCY_WEIGHT, 1 / self.samples)
        self.latency += weight * (seconds - self.latency)
