"""Attempts that one request makes: a single one, retries, or a hedge."""

from __future__ import annotations

import random

import anyio

from ragworttiller.exceptions import (
    DeadlineExceeded,
    NoRunner,
    Overloaded,
    RagworttillerError,
    RunnerBroken,
    RunnerRefused,
)
from ragworttiller.request.sender import UpstreamRequest
from ragworttiller.routing.attempt import Attempt
from ragworttiller.routing.budget import pause
from ragworttiller.routing.runner import Runner
from ragworttiller.routing.upstream import SERVER_ERROR, UpstreamRouter
from ragworttiller.services.runner import Answer
from ragworttiller.timers import TimerService

MAX_REFUSALS = 3
HEDGE_SERVICES = 3.0
PATIENCE_SERVICES = 8.0
QUICK_SECONDS = 0.25
HEDGE_PART = 0.5

Result = Answer | RagworttillerError


def settled(result: Result) -> bool:
    """Return whether a result needs no retry."""
    return isinstance(result, Answer) and result.status < SERVER_ERROR


def unwrap(result: Result) -> Answer:
    """Return an answer or raise an error."""
    if isinstance(result, Answer):
        return result
    raise result


async def send_once(
    request: UpstreamRequest, router: UpstreamRouter, timers: TimerService
) -> Answer:
    """Send a request of which at most one attempt may reach a runner."""
    deadline = timers.now() + request.budget
    router.counters.requests += 1
    tried: list[str] = []
    while True:
        runner = await router.acquire_runner(request, deadline, False, tried, "first attempt")
        try:
            return await router.carry(request, runner, deadline - timers.now())
        except RunnerRefused:
            tried.append(runner.name)
            if len(tried) > MAX_REFUSALS:
                raise


class IdempotentRequest:
    """Request that may be sent more than once.

    Parameters
    ----------
    request : UpstreamRequest
        The request.
    router : UpstreamRouter
        Routing to its upstream.
    timers : TimerService
        Source of time.
    rng : random.Random
        Random numbers for jitter.
    """

    def __init__(
        self,
        request: UpstreamRequest,
        router: UpstreamRouter,
        timers: TimerService,
        rng: random.Random,
    ) -> None:
        self._request = request
        self._router = router
        self._timers = timers
        self._rng = rng
        self._deadline = timers.now() + request.budget
        self._tried: list[str] = []
        self._refusals = 0

    async def send(self) -> Answer:
        """Return the first answer that is no server error, or the last failure.

        Raises
        ------
        NoRunner, Overloaded, RunnerRefused, RunnerBroken, DeadlineExceeded
            The last failure.
        """
        self._router.counters.requests += 1
        self._router.budget.request()
        result = await self._attempt("first attempt")
        retries = 0
        while not settled(result) and self._may_retry(result):
            if not isinstance(result, RunnerRefused):
                retries += 1
                self._router.counters.retries += 1
                await self._timers.sleep(pause(retries, self._rng))
            again = await self._attempt("retry")
            if not isinstance(again, NoRunner | Overloaded):
                result = again
            elif not settled(result):
                break
        return unwrap(result)

    def _may_retry(self, result: Result) -> bool:
        if isinstance(result, NoRunner | Overloaded):
            return False
        if not self._router.admission.in_time(self._deadline - self._timers.now()):
            return False
        if isinstance(result, RunnerRefused):
            self._refusals += 1
            return self._refusals <= MAX_REFUSALS
        return self._router.budget.take()

    async def _attempt(self, reason: str) -> Result:
        try:
            runner = await self._router.acquire_runner(
                self._request, self._deadline, True, self._tried, reason
            )
        except (NoRunner, Overloaded) as exc:
            return exc
        if self._router.settings.hedging:
            return await self._hedged(runner)
        return await self._carry(runner, self._patience())

    def _patience(self) -> float:
        """Return the seconds after which an attempt is given up for a retry elsewhere."""
        admission = self._router.admission
        left = self._deadline - self._timers.now()
        patience = PATIENCE_SERVICES * admission.service
        spare = self._router.budget.available() and admission.in_time(left - patience)
        if admission.known and spare:
            return patience
        return left

    async def _carry(self, runner: Runner, seconds: float) -> Result:
        self._tried.append(runner.name)
        try:
            return await self._router.carry(self._request, runner, seconds)
        except (RunnerRefused, RunnerBroken, DeadlineExceeded, Overloaded) as exc:
            return exc

    async def _hedged(self, runner: Runner) -> Result:
        patience = self._patience()
        running = [self._start(runner)]
        timed_out = False
        try:
            with self._timers.move_on_after(patience):
                await self._first_settled(running)
            timed_out = not any(attempt.delivery.done for attempt in running)
        finally:
            for attempt in running:
                self._router.conclude(attempt, timed_out)
        best = max(running, key=lambda attempt: (_settled(attempt), attempt.delivery.done))
        try:
            return self._router.answer_of(best, patience)
        except RagworttillerError as exc:
            return exc

    async def _first_settled(self, running: list[Attempt]) -> None:
        """Wait until an attempt settles or all have failed, adding a second one after a while."""
        first = running[0].delivery
        with self._timers.move_on_after(HEDGE_SERVICES * self._router.admission.service):
            await first.wait()
        second = None if first.done else self._second_runner()
        if second is not None:
            running.append(self._start(second))
        while not any(map(_settled, running)):
            pending = [attempt for attempt in running if not attempt.delivery.done]
            if not pending:
                return
            event = anyio.Event()
            for attempt in pending:
                attempt.delivery.watch(event)
            await event.wait()

    def _start(self, runner: Runner) -> Attempt:
        self._tried.append(runner.name)
        return self._router.start(self._request, runner)

    def _second_runner(self) -> Runner | None:
        admission, budget = self._router.admission, self._router.budget
        quick = admission.known and admission.service <= QUICK_SECONDS
        if not (quick and self._router.table.spare and budget.available(HEDGE_PART)):
            return None
        runner = self._router.try_acquire_runner(self._request, False, self._tried, "hedge")
        if runner is not None:
            budget.take()
            self._router.counters.hedges += 1
        return runner


def _settled(attempt: Attempt) -> bool:
    answer = attempt.delivery.answer
    return answer is not None and settled(answer)
