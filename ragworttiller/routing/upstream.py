"""Routing of requests to the runners of one upstream."""

from __future__ import annotations

from collections.abc import Container

from ragworttiller.connection.connection_pool import Delivery
from ragworttiller.decisions import Decision
from ragworttiller.exceptions import (
    DeadlineExceeded,
    NoRunner,
    Overloaded,
    RunnerRefused,
)
from ragworttiller.request.sender import UpstreamRequest
from ragworttiller.routing.admission import Admission
from ragworttiller.routing.attempt import Attempt, RoutingContext
from ragworttiller.routing.budget import RetryBudget
from ragworttiller.routing.counters import RoutingCounters
from ragworttiller.routing.policy import RoutingChoice
from ragworttiller.routing.registry import ROUTING_POLICIES
from ragworttiller.routing.runner import SLOW_LATENCY_RATIO, Runner, RunnerState
from ragworttiller.routing.runners import RunnerTable
from ragworttiller.routing.settings import UpstreamSettings
from ragworttiller.routing.waiting import Waiter, WaitQueue
from ragworttiller.services.directory import ListedRunner
from ragworttiller.services.runner import Answer

MIN_SERVER_ERROR_STATUS = 500
NO_RUNNER_RETRY_SECONDS = 1.0


class UpstreamRouter:
    """Chooses runners of one upstream and sends single attempts to them.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    settings : UpstreamSettings
        Initial settings.
    context : RoutingContext
        Services that all routers share.
    """

    def __init__(self, upstream: str, settings: UpstreamSettings, context: RoutingContext) -> None:
        self._upstream = upstream
        self._settings = settings
        self._context = context
        self._timers = context.timers
        self._table = RunnerTable(upstream, context.rng)
        self._policy = ROUTING_POLICIES[settings.policy](context.rng)
        self._admission = Admission(upstream, settings.queue_limit, context.rng)
        self._budget = RetryBudget(context.timers)
        self._queue = WaitQueue()
        self._counters = RoutingCounters()

    @property
    def settings(self) -> UpstreamSettings:
        """Current settings."""
        return self._settings

    @property
    def table(self) -> RunnerTable:
        """Runners of the upstream."""
        return self._table

    @property
    def admission(self) -> Admission:
        """Admission control of the upstream."""
        return self._admission

    @property
    def budget(self) -> RetryBudget:
        """Budget of retries and hedges."""
        return self._budget

    @property
    def counters(self) -> RoutingCounters:
        """Counters of routed requests."""
        return self._counters

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a runner."""
        return len(self._queue)

    def configure(self, settings: UpstreamSettings) -> None:
        """Apply new settings."""
        if settings == self._settings:
            return
        if settings.policy != self._settings.policy:
            self._policy = ROUTING_POLICIES[settings.policy](self._context.rng)
        self._settings = settings
        self._admission.queue_limit = settings.queue_limit
        for runner in self._table.runners.values():
            runner.stall_seconds = settings.stall_seconds
        self.update_limits()

    def update(self, listed: list[ListedRunner], entries: int) -> None:
        """Apply a listing of the upstream's runners, whose slots ``entries`` entries share."""
        self._table.update(listed, self._settings, entries)
        self.update_limits()

    def update_limits(self) -> None:
        """Recompute the in-flight limits of runners, and dispatch waiting requests."""
        self._table.set_limits(self._policy)
        self.dispatch_waiting()

    def check_runners(self) -> None:
        """Suspend runners that stall or are slow, and dispatch waiting requests."""
        self._table.check_runners(self._timers.now())
        self.dispatch_waiting()

    async def acquire_runner(
        self,
        request: UpstreamRequest,
        deadline: float,
        probe: bool,
        tried: Container[str],
        reason: str,
    ) -> Runner:
        """Choose the runner of an attempt, waiting for capacity, and count the attempt there.

        ``probe`` allows a suspended runner whose probe is due. Runners in ``tried`` are chosen only
        after a wait, and only if no other has capacity. Every outcome is recorded as one decision.

        Raises
        ------
        NoRunner
            No runner is serving.
        Overloaded
            The attempt cannot be answered by ``deadline``, or the queue is full.
        """
        asked = self._timers.now()
        choice = self.try_acquire_runner(request, probe, tried, reason)
        if choice is not None:
            return choice
        try:
            self._check_any_serving()
            self._admission.check(len(self._queue), self._table.in_progress, deadline - asked)
            chosen = await self._wait(Waiter(deadline, probe, tried))
        except (NoRunner, Overloaded) as exc:
            self._counters.refused += 1
            self._log_decision(request, None, exc.code, self._timers.now() - asked)
            raise
        self._log_decision(request, chosen, reason, self._timers.now() - asked)
        return chosen.runner

    def try_acquire_runner(
        self, request: UpstreamRequest, probe: bool, tried: Container[str], reason: str
    ) -> Runner | None:
        """Choose a runner not in ``tried``; return None if none has capacity or requests wait."""
        if self._queue:
            return None
        now = self._timers.now()
        runners = self._table.eligible(now, probe)
        if tried:
            runners = [runner for runner in runners if runner.name not in tried]
        if not runners:
            return None
        choice = self._choose(runners, now)
        self._log_decision(request, choice, reason, 0.0)
        return choice.runner

    async def send_attempt(
        self, request: UpstreamRequest, runner: Runner, seconds: float
    ) -> Answer:
        """Send one attempt to a runner that `acquire_runner` returned and return its answer.

        Raises
        ------
        RunnerRefused, Overloaded
            No byte was written.
        RunnerBroken, DeadlineExceeded
            The attempt may have run.
        """
        attempt = self.start_attempt(request, runner)
        timed_out = False
        try:
            with self._timers.move_on_after(seconds):
                await attempt.delivery.wait()
            timed_out = not attempt.delivery.done
        finally:
            self.finish_attempt(attempt, timed_out)
        return self.answer_of(attempt, seconds)

    def start_attempt(self, request: UpstreamRequest, runner: Runner) -> Attempt:
        """Start an attempt at an acquired runner; the caller must call `finish_attempt`."""
        self._counters.attempts += 1
        attempt = Attempt(runner, Delivery(request.exchange), self._timers.now())
        try:
            self._context.connection_pool(runner).start_exchange(attempt.delivery)
        except BaseException:
            runner.record_abandonment(attempt.started, 0.0)
            raise
        return attempt

    def finish_attempt(self, attempt: Attempt, timed_out: bool) -> None:
        """End an attempt, abandoning it if it is not done, and record its result."""
        delivery, runner = attempt.delivery, attempt.runner
        delivery.abandon()
        now = self._timers.now()
        if isinstance(delivery.error, RunnerRefused):
            runner.record_refusal(now)
        elif delivery.error is not None:
            runner.record_failure(now)
            self._table.check_failure_rate(runner, now)
        elif delivery.answer is None and not timed_out:
            runner.record_abandonment(now, now - attempt.started)
        else:
            self._record_end(runner, delivery.answer, now - attempt.started)
        self.dispatch_waiting()

    def answer_of(self, attempt: Attempt, seconds: float) -> Answer:
        """Return the answer to an attempt with a timeout of ``seconds``, or raise its error."""
        delivery = attempt.delivery
        if delivery.error is not None:
            raise delivery.error
        if delivery.answer is not None:
            return delivery.answer
        if not delivery.sent:
            raise self._admission.refusal(self._admission.mean_seconds)
        raise DeadlineExceeded(seconds=round(seconds, 3))

    def dispatch_waiting(self) -> None:
        """Assign runners to waiting requests in order of arrival, while runners have capacity.

        Requests that can no longer be answered by their deadline are refused.
        """
        while (waiter := self._queue.first()) is not None:
            now = self._timers.now()
            if self._admission.can_answer_within(waiter.deadline - now):
                runners = self._table.eligible(now, waiter.probe)
                if not runners:
                    return
                others = [runner for runner in runners if runner.name not in waiter.tried]
                waiter.choice = self._choose(others or runners, now)
            self._queue.discard(waiter)
            waiter.wake()

    def _choose(self, runners: list[Runner], now: float) -> RoutingChoice:
        """Choose a runner, a suspended one to probe first, and count the request there."""
        for runner in runners:
            if runner.state is RunnerState.SUSPENDED:
                runner.record_start(now)
                return RoutingChoice(runner, [(runner.name, 0.0)])
        with self._context.decisions.measure_duration("route"):
            choice = self._policy.choose(runners)
        choice.runner.record_start(now)
        return choice

    def _check_any_serving(self) -> None:
        if not self._table.any_serving:
            delay = self._table.probe_delay(self._timers.now()) or NO_RUNNER_RETRY_SECONDS
            raise NoRunner(upstream=self._upstream, retry_after=round(delay, 3))

    async def _wait(self, waiter: Waiter) -> RoutingChoice:
        self._queue.push(waiter)
        self._counters.queued += 1
        self.dispatch_waiting()
        try:
            with self._timers.move_on_after(waiter.deadline - self._timers.now()):
                await waiter.wait()
        except BaseException:
            self._queue.discard(waiter)
            if waiter.choice is not None:
                waiter.choice.runner.record_abandonment(self._timers.now(), 0.0)
                self.dispatch_waiting()
            raise
        if waiter.choice is None:
            self._queue.discard(waiter)
            raise self._admission.refusal(self._admission.mean_seconds)
        return waiter.choice

    def _record_end(self, runner: Runner, answer: Answer | None, seconds: float) -> None:
        now = self._timers.now()
        if answer is not None:
            failed = answer.status >= MIN_SERVER_ERROR_STATUS
            runner.record_answer(now, seconds, failed)
            if not failed:
                self._admission.observe(seconds)
        elif seconds > SLOW_LATENCY_RATIO * self._admission.mean_seconds:
            runner.record_failure(now)
        else:
            runner.record_abandonment(now, seconds)
        self._table.check_failure_rate(runner, now)

    def _log_decision(
        self, request: UpstreamRequest, choice: RoutingChoice | None, reason: str, waited: float
    ) -> None:
        self._context.decisions.record(
            Decision(
                "route",
                request.subject,
                request.workspace,
                [] if choice is None else choice.candidates,
                None if choice is None else choice.runner.name,
                reason,
                request.license,
                round(waited, 6),
            )
        )
