"""Attempts of one request: a single attempt, retries and hedging."""

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
from ragworttiller.routing.budget import retry_delay
from ragworttiller.routing.runner import Runner
from ragworttiller.routing.upstream import MIN_SERVER_ERROR_STATUS, UpstreamRouter
from ragworttiller.services.runner import Answer
from ragworttiller.timers import TimerService

MAX_REFUSALS = 3
HEDGE_DELAY_FACTOR = 3.0
ATTEMPT_TIMEOUT_FACTOR = 8.0
MAX_HEDGED_MEAN_SECONDS = 0.25
HEDGE_BUDGET_PART = 0.5

Result = Answer | RagworttillerError


def is_final(result: Result) -> bool:
    """Return whether a result is an answer other than a server error."""
    return isinstance(result, Answer) and result.status < MIN_SERVER_ERROR_STATUS


def answer_or_raise(result: Result) -> Answer:
    """Return the result if it is an answer, raise it if it is an error."""
    if isinstance(result, Answer):
        return result
    raise result


async def send_once(
    request: UpstreamRequest, router: UpstreamRouter, timers: TimerService
) -> Answer:
    """Send a request so that at most one attempt reaches a runner.

    Another runner is tried only after a refused connection, since then no byte was written.
    """
    deadline = timers.now() + request.budget
    router.counters.requests += 1
    tried: list[str] = []
    while True:
        runner = await router.acquire_runner(request, deadline, False, tried, "first attempt")
        try:
            return await router.send_attempt(request, runner, deadline - timers.now())
        except RunnerRefused:
            tried.append(runner.name)
            if len(tried) > MAX_REFUSALS:
                raise


class IdempotentRequest:
    """Request that may be sent more than once, with retries and hedging.

    Parameters
    ----------
    request : UpstreamRequest
        The request.
    router : UpstreamRouter
        Router of its upstream.
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
        """Return the first answer that is not a server error, or the last result.

        A retry that ends in `NoRunner` or `Overloaded` does not replace the result before it.

        Raises
        ------
        NoRunner, Overloaded, RunnerRefused, RunnerBroken, DeadlineExceeded
            The last failure.
        """
        self._router.counters.requests += 1
        self._router.budget.count_request()
        result = await self._attempt("first attempt")
        retries = 0
        while not is_final(result) and self._may_retry(result):
            if not isinstance(result, RunnerRefused):
                retries += 1
                self._router.counters.retries += 1
                await self._timers.sleep(retry_delay(retries, self._rng))
            retry_result = await self._attempt("retry")
            if not isinstance(retry_result, NoRunner | Overloaded):
                result = retry_result
            elif not is_final(result):
                break
        return answer_or_raise(result)

    def _may_retry(self, result: Result) -> bool:
        if isinstance(result, NoRunner | Overloaded):
            return False
        if not self._router.admission.can_answer_within(self._deadline - self._timers.now()):
            return False
        if isinstance(result, RunnerRefused):
            self._refusals += 1
            return self._refusals <= MAX_REFUSALS
        return self._router.budget.consume()

    async def _attempt(self, reason: str) -> Result:
        try:
            runner = await self._router.acquire_runner(
                self._request, self._deadline, True, self._tried, reason
            )
        except (NoRunner, Overloaded) as exc:
            return exc
        if self._router.settings.hedging:
            return await self._send_hedged(runner)
        return await self._send_to(runner, self._attempt_timeout())

    def _attempt_timeout(self) -> float:
        """Return the timeout of an attempt in seconds: all time left unless a retry may follow."""
        admission = self._router.admission
        remaining = self._deadline - self._timers.now()
        timeout = ATTEMPT_TIMEOUT_FACTOR * admission.mean_seconds
        may_retry = self._router.budget.available() and admission.can_answer_within(
            remaining - timeout
        )
        if admission.has_enough_samples and may_retry:
            return timeout
        return remaining

    async def _send_to(self, runner: Runner, seconds: float) -> Result:
        self._tried.append(runner.name)
        try:
            return await self._router.send_attempt(self._request, runner, seconds)
        except (RunnerRefused, RunnerBroken, DeadlineExceeded, Overloaded) as exc:
            return exc

    async def _send_hedged(self, runner: Runner) -> Result:
        timeout = self._attempt_timeout()
        running = [self._start(runner)]
        timed_out = False
        try:
            with self._timers.move_on_after(timeout):
                await self._wait_for_final_answer(running)
            timed_out = not any(attempt.delivery.done for attempt in running)
        finally:
            for attempt in running:
                self._router.finish_attempt(attempt, timed_out)
        best = max(running, key=lambda attempt: (_has_final_answer(attempt), attempt.delivery.done))
        try:
            return self._router.answer_of(best, timeout)
        except RagworttillerError as exc:
            return exc

    async def _wait_for_final_answer(self, running: list[Attempt]) -> None:
        """Wait for a final answer or the end of all attempts, hedging a slow first attempt."""
        first = running[0].delivery
        with self._timers.move_on_after(HEDGE_DELAY_FACTOR * self._router.admission.mean_seconds):
            await first.wait()
        second = None if first.done else self._acquire_hedge_runner()
        if second is not None:
            running.append(self._start(second))
        while not any(map(_has_final_answer, running)):
            pending = [attempt for attempt in running if not attempt.delivery.done]
            if not pending:
                return
            event = anyio.Event()
            for attempt in pending:
                attempt.delivery.watch(event)
            await event.wait()

    def _start(self, runner: Runner) -> Attempt:
        self._tried.append(runner.name)
        return self._router.start_attempt(self._request, runner)

    def _acquire_hedge_runner(self) -> Runner | None:
        admission, budget = self._router.admission, self._router.budget
        quick = admission.has_enough_samples and admission.mean_seconds <= MAX_HEDGED_MEAN_SECONDS
        if not (
            quick and self._router.table.has_spare_slots and budget.available(HEDGE_BUDGET_PART)
        ):
            return None
        runner = self._router.try_acquire_runner(self._request, False, self._tried, "hedge")
        if runner is not None:
            budget.consume()
            self._router.counters.hedges += 1
        return runner


def _has_final_answer(attempt: Attempt) -> bool:
    answer = attempt.delivery.answer
    return answer is not None and is_final(answer)
