"""Stand-in runners of upstreams, many in one process, each on its own port.

Run as ``python -m standins.runner --runners marking-0,marking-1``; it prints one JSON line with the
port of each runner and of the admin interface.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import random
from typing import Any, Literal, NamedTuple, TypedDict

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from typing_extensions import override
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ragworttiller.timers import SystemTimers, TimerService
from standins.serving import DroppedAnswer, announce, json_answer, listen, port_of, serve

SLOTS = 8
MAX_CONNECTIONS = 64
MEAN_SERVICE_SECONDS = 0.005
FAILING_SERVICE_SECONDS = 0.002
PAUSE_POLL_SECONDS = 0.02
METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


class RunnerFaults(TypedDict, total=False):
    """Faults of a runner; an absent key means no fault.

    ``slow`` multiplies the service time. ``fail_fast`` answers each request with status 500 after
    `FAILING_SERVICE_SECONDS`. A ``paused`` runner accepts requests and starts none.
    ``break_answers`` and ``break_records`` are numbers of next answers that are cut off: to any
    request, and to requests other than GET.
    """

    slow: float
    fail_fast: bool
    paused: bool
    break_answers: int
    break_records: int


class ServedRequest(NamedTuple):
    """Request that a runner started; ``end`` is 0 while it is in progress."""

    runner: str
    request_id: str
    key: str
    method: str
    path: str
    digest: str
    start: float
    end: float
    status: int


class LimitedProtocol(HttpToolsProtocol):
    """HTTP protocol that closes connections beyond the limit of one runner."""

    @override
    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        if len(self.connections) > MAX_CONNECTIONS:
            transport.abort()


class Runner:
    """One runner with its slots.

    Parameters
    ----------
    name : str
        Runner name.
    timers : TimerService
        Source of time.
    seed : int
        Seed of the variation of service times.
    journal : list of ServedRequest
        Requests served, shared with the other runners of the process.
    """

    def __init__(
        self, name: str, timers: TimerService, seed: int, journal: list[ServedRequest]
    ) -> None:
        self._name = name
        self._timers = timers
        self._rng = random.Random(f"{seed}/{name}")
        self._journal = journal
        self._slots = anyio.Semaphore(SLOTS)
        self.faults = RunnerFaults()

    @property
    def app(self) -> Starlette:
        """Application of this runner's port."""
        return Starlette(routes=[Route("/{path:path}", self._serve, methods=METHODS)])

    async def _serve(self, request: Request) -> Response:
        body = await request.body()
        while self.faults.get("paused"):
            await self._timers.sleep(PAUSE_POLL_SECONDS)
        async with self._slots:
            return await self._execute(request, body)

    async def _execute(self, request: Request, body: bytes) -> Response:
        digest = hashlib.sha256(body).hexdigest()[:16]
        failing = self.faults.get("fail_fast", False)
        served = ServedRequest(
            self._name,
            request.headers.get("x-request-id", ""),
            request.headers.get("idempotency-key", ""),
            request.method,
            request.url.path,
            digest,
            self._timers.now(),
            0.0,
            500 if failing else 200,
        )
        index = len(self._journal)
        self._journal.append(served)
        await self._timers.sleep(
            FAILING_SERVICE_SECONDS if failing else self._service_time(request)
        )
        self._journal[index] = served._replace(end=self._timers.now())
        if failing:
            return Response(status_code=500)
        if self._consume_fault("break_answers") or (
            request.method != "GET" and self._consume_fault("break_records")
        ):
            return DroppedAnswer()
        return json_answer(
            {
                "runner": self._name,
                "request_id": served.request_id,
                "key": served.key,
                "digest": digest,
            }
        )

    def _consume_fault(self, fault: Literal["break_answers", "break_records"]) -> bool:
        remaining = self.faults.get(fault, 0)
        self.faults[fault] = max(0, remaining - 1)
        return remaining > 0

    def _service_time(self, request: Request) -> float:
        requested_ms = request.headers.get("x-work-ms")
        mean_seconds = float(requested_ms) / 1000 if requested_ms else MEAN_SERVICE_SECONDS
        return mean_seconds * self._rng.uniform(0.8, 1.2) * self.faults.get("slow", 1.0)


class RunnerAdmin:
    """Journal and faults of all runners of the process."""

    def __init__(self, runners: dict[str, Runner], journal: list[ServedRequest]) -> None:
        self._runners = runners
        self._journal = journal

    @property
    def app(self) -> Starlette:
        """Application of the admin port."""
        return Starlette(
            routes=[
                Route("/journal", self._show_journal, methods=["GET"]),
                Route("/runners/{name}/faults", self._set_faults, methods=["POST"]),
            ]
        )

    async def _show_journal(self, request: Request) -> Response:
        return json_answer({"served": self._journal})

    async def _set_faults(self, request: Request) -> Response:
        faults = msgspec.json.decode(await request.body(), type=RunnerFaults)
        self._runners[request.path_params["name"]].faults = faults
        return json_answer(faults)


async def main() -> None:
    """Serve the named runners until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--runners", required=True)
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args()
    journal: list[ServedRequest] = []
    timers = SystemTimers()
    runners = {
        name: Runner(name, timers, options.seed, journal) for name in options.runners.split(",")
    }
    sockets = {name: listen() for name in runners}
    admin_socket = listen()
    ports: dict[str, Any] = {name: port_of(sock) for name, sock in sockets.items()}
    announce(admin=port_of(admin_socket), runners=ports)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve, RunnerAdmin(runners, journal).app, admin_socket)
        for name, runner in runners.items():
            tasks.start_soon(serve, runner.app, sockets[name], LimitedProtocol)


if __name__ == "__main__":
    anyio.run(main)
