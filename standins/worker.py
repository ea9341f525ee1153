"""Stand-in workers, many in one process.

Run as ``python -m standins.worker --workers FILE``, FILE being a JSON list of workers; it prints
one JSON line with its port.
"""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import TypedDict

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ragworttiller.resources import Resources
from ragworttiller.services.worker import TaskSpec
from ragworttiller.timers import SystemTimers, TimerService
from standins.agent import CellRecord, WorkerAgent
from standins.serving import (
    DroppedAnswer,
    announce,
    json_answer,
    listen,
    msgpack_answer,
    port_of,
    serve,
)

REFUSED = "refused"


class WorkerRow(TypedDict):
    """Worker to serve; ``capacity`` is processors, memory and accelerators."""

    worker: str
    capacity: Resources


class WorkerFaults(TypedDict, total=False):
    """Faults of a worker; an absent key means no fault.

    ``lose_answers`` is the number of next calls whose answer is lost. ``slow`` is the delay of
    each call, in seconds.
    """

    fail_all: bool
    down: bool
    refuse: bool
    lose_answers: int
    slow: float


class WorkerServer:
    """Serves workers over HTTP under ``/workers/{name}/``."""

    def __init__(self, rows: list[WorkerRow], timers: TimerService, usage_lag: float) -> None:
        self._timers = timers
        self._cell = CellRecord()
        self._faults: dict[str, WorkerFaults] = {row["worker"]: WorkerFaults() for row in rows}
        self._agents = {
            row["worker"]: WorkerAgent(
                row["worker"], row["capacity"], timers, self._cell, usage_lag
            )
            for row in rows
        }

    @property
    def routes(self) -> list[Route]:
        """Routes of all workers and of the journal."""
        return [
            Route("/workers/{name}/faults", self._set_faults, methods=["POST"]),
            Route("/workers/{name}/{verb}", self._command, methods=["POST"]),
            Route("/journal", self._show_journal, methods=["GET"]),
        ]

    async def _command(self, request: Request) -> Response:
        name = request.path_params["name"]
        agent = self._agents.get(name)
        if agent is None:
            return Response(status_code=404)
        body = await request.body()
        faults = self._faults[name]
        if faults.get("down"):
            return Response(status_code=503)
        if faults.get("slow"):
            await self._timers.sleep(faults["slow"])
        agent.fail_all = faults.get("fail_all", False)
        answer = self._execute(agent, request.path_params["verb"], body, faults)
        if faults.get("lose_answers", 0) > 0:
            faults["lose_answers"] -= 1
            return DroppedAnswer()
        return answer

    def _execute(
        self, agent: WorkerAgent, verb: str, body: bytes, faults: WorkerFaults
    ) -> Response:
        decode = msgspec.msgpack.decode
        if verb == "start":
            specs = decode(body, type=list[TaskSpec])
            if faults.get("refuse"):
                return msgpack_answer([REFUSED] * len(specs))
            return msgpack_answer(agent.start(specs))
        if verb == "renew":
            return msgpack_answer(agent.renew(decode(body, type=float)))
        if verb == "stop":
            agent.stop(*decode(body, type=tuple[list[tuple[str, int]], bool]))
        elif verb == "throttle":
            agent.throttle(*decode(body, type=tuple[str, int, int]))
        elif verb == "forget":
            agent.forget(decode(body, type=list[tuple[str, int]]))
        else:
            return Response(status_code=404)
        return msgpack_answer(None)

    async def _set_faults(self, request: Request) -> Response:
        faults = msgspec.json.decode(await request.body(), type=WorkerFaults)
        self._faults[request.path_params["name"]] = faults
        return json_answer(faults)

    async def _show_journal(self, request: Request) -> Response:
        for agent in self._agents.values():
            agent.end_due_tasks()
        return json_answer({"events": self._cell.journal, "violations": self._cell.violations})


async def main() -> None:
    """Serve the workers of a file until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--workers", type=Path, required=True)
    parser.add_argument("--usage-lag", type=float, default=1.0)
    options = parser.parse_args()
    rows = msgspec.json.decode(options.workers.read_bytes(), type=list[WorkerRow])
    server = WorkerServer(rows, SystemTimers(), options.usage_lag)
    sock = listen(options.port)
    announce(workers=port_of(sock))
    await serve(Starlette(routes=server.routes), sock)


if __name__ == "__main__":
    anyio.run(main)
