"""Cell of real processes with callers, driven from synchronous test steps."""

from __future__ import annotations

import itertools
import time
from contextlib import AsyncExitStack

import anyio

from standins.checker import CallerAnswer, ReportedOutcome, RunHistory, check
from tools.callers import Balancer, CallerRequest, Load
from tools.operator import Operator
from tools.plan import CellPlan, planned_workers
from tools.processes import Cell

CHECKS_PER_SECOND = 40.0
RECORDS_PER_SECOND = 10.0
SETTLE_SECONDS = 0.5
LONG_REQUESTS = 2
LONG_WORK_MS = 1700.0
NOTICE_SECONDS = "1.0"
SEED = 7


class LiveCell:
    """Entries, stand-ins and callers of one scenario."""

    def __init__(self, entries: int, seconds: float) -> None:
        plan = CellPlan(
            entries=entries,
            workers=planned_workers(6),
            runners={"marking": 3, "booking": 3},
            directory_lag=0.5,
            seed=SEED,
            options={"limits": {"notice_seconds": NOTICE_SECONDS}},
        )
        self.cell = Cell(plan)
        self._seconds = seconds
        self._stack = AsyncExitStack()
        self._load_ended = anyio.Event()
        self._long_keys = itertools.count()
        self._in_progress = 0
        self.balancer: Balancer
        self.operator: Operator
        self.started = 0.0

    async def __aenter__(self) -> LiveCell:
        await self._stack.__aenter__()
        await self._stack.enter_async_context(self.cell)
        tasks = await self._stack.enter_async_context(anyio.create_task_group())
        addresses = {name: entry.http_address for name, entry in self.cell.entries.items()}
        self.balancer = Balancer(addresses)
        self.operator = Operator(self.cell, self.balancer)
        tasks.start_soon(self.balancer.run)
        while len(self.balancer.ready) < len(addresses):
            await anyio.sleep(0.05)
        self.started = time.monotonic()
        tasks.start_soon(self._run_load)
        self._tasks = tasks
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._tasks.cancel_scope.cancel()
        await self._stack.__aexit__(None, None, None)

    async def sleep_until(self, seconds: float) -> None:
        """Wait until the callers have run for ``seconds``."""
        await anyio.sleep(max(0.0, self.started + seconds - time.monotonic()))

    async def send_long_requests(self) -> None:
        """Start long requests, so that some are in progress at every entry."""
        count = LONG_REQUESTS * len(self.cell.entries)
        for _ in range(count):
            key = f"long-{next(self._long_keys)}"
            request = CallerRequest(
                "legoff", "marking", "POST", "grades", key, key.encode(), LONG_WORK_MS, 5.0
            )
            self._in_progress += 1
            self._tasks.start_soon(self._send_long_request, request)
        await anyio.sleep(SETTLE_SECONDS)

    async def history(self) -> RunHistory:
        """Wait until the callers have ended and return all records."""
        await self._load_ended.wait()
        while self._in_progress:
            await anyio.sleep(0.05)
        await anyio.sleep(SETTLE_SECONDS)
        history = await self.cell.history()
        return history._replace(
            answers=self.balancer.answers,
            accepted=self.operator.accepted,
            observed=self.operator.observed,
        )

    async def breaches(self) -> list[str]:
        """Return the breaches found by the checker, one line each."""
        history = await self.history()
        return [" | ".join(breach) for breach in check(history)]

    def final_answers(self, path: str) -> list[CallerAnswer]:
        """Return the final answers to requests whose path begins with ``path``."""
        return [
            outcome.answer
            for outcome in self.balancer.outcomes
            if outcome.request.path.startswith(path)
        ]

    def seconds_to_first_record(self, moment: float) -> float:
        """Return the seconds from a moment to the first answer to a record sent after it."""
        ends = [
            answer.answered - moment
            for answer in self.balancer.answers
            if answer.key and answer.reported is ReportedOutcome.ANSWER and answer.sent >= moment
        ]
        return min(ends, default=float("inf"))

    async def _send_long_request(self, request: CallerRequest) -> None:
        await self.balancer.send(request)
        self._in_progress -= 1

    async def _run_load(self) -> None:
        load = Load(self.balancer, SEED)
        await load.run(self._seconds, CHECKS_PER_SECOND, RECORDS_PER_SECOND)
        self._load_ended.set()
