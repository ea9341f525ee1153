"""Stand-in for the platform's log, with the directory in the same process.

Run as ``python -m standins.log``; it prints one JSON line with its port.
"""

from __future__ import annotations

import argparse
import random
from collections import Counter, defaultdict
from typing import TypedDict

import anyio
import anyio.abc
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ragworttiller.timers import SystemTimers, TimerService
from standins.directory import DirectoryServer
from standins.serving import (
    DroppedAnswer,
    announce,
    json_answer,
    listen,
    msgpack_answer,
    port_of,
    serve,
)
from standins.streams import StoredStream


class LogFaults(TypedDict, total=False):
    """Faults of the log; an absent key means no fault.

    ``lose_answers`` is the number of next appends that take effect but whose answer is lost,
    ``lose_share`` the share of all appends to which this happens, drawn from ``seed``.
    ``duplicate`` is the number of next appends that take effect twice. ``hold_back`` is the delay
    until a held-back append takes effect, without an answer; it applies to the next
    ``hold_back_count`` appends, or to every append without a count. Delays are in seconds.
    """

    down: bool
    append_delay: float
    read_delay: float
    lose_answers: int
    lose_share: float
    seed: int
    duplicate: int
    hold_back: float
    hold_back_count: int


class LogServer:
    """Serves streams over HTTP.

    Parameters
    ----------
    timers : TimerService
        Source of time.
    tasks : anyio.abc.TaskGroup
        Runs the appends that are held back.
    keep : int, optional
        Number of entries retained per stream.
    """

    def __init__(
        self, timers: TimerService, tasks: anyio.abc.TaskGroup, keep: int | None = None
    ) -> None:
        self._timers = timers
        self._tasks = tasks
        self._streams: dict[str, StoredStream] = defaultdict(lambda: StoredStream(keep))
        self._faults = LogFaults()
        self._rng = random.Random(0)
        self._stats: dict[str, Counter[str]] = defaultdict(Counter)

    @property
    def routes(self) -> list[Route]:
        """Routes of the log."""
        return [
            Route("/streams/{name}", self._append, methods=["POST"]),
            Route("/streams/{name}", self._read, methods=["GET"]),
            Route("/faults", self._set_faults, methods=["POST"]),
            Route("/stats", self._show_stats, methods=["GET"]),
        ]

    async def _append(self, request: Request) -> Response:
        body = await request.body()
        self._count_traffic(request, appends=1, bytes_in=len(body))
        if self._faults.get("down"):
            return Response(status_code=503)
        await self._delay(self._faults.get("append_delay", 0.0))
        records = msgspec.msgpack.decode(body, type=list[bytes])
        name = request.path_params["name"]
        if self._is_held_back():
            self._tasks.start_soon(self._append_late, name, records, self._faults["hold_back"])
            return DroppedAnswer()
        first = self._streams[name].append(records)
        self._count_traffic(request, records=len(records))
        if self._consume_fault("duplicate"):
            self._streams[name].append(records)
        if self._consume_fault("lose_answers") or self._rng.random() < self._faults.get(
            "lose_share", 0.0
        ):
            return DroppedAnswer()
        return msgpack_answer({"first": first})

    async def _read(self, request: Request) -> Response:
        self._count_traffic(request, reads=1)
        if self._faults.get("down"):
            return Response(status_code=503)
        await self._delay(self._faults.get("read_delay", 0.0))
        offset = int(request.query_params.get("offset", "1"))
        wait = float(request.query_params.get("wait", "0"))
        stream = self._streams[request.path_params["name"]]
        if wait > 0:
            with self._timers.move_on_after(wait):
                await stream.wait_for_offset(offset)
        if self._faults.get("down"):
            return Response(status_code=503)
        answer = msgpack_answer(stream.slice(offset))
        self._count_traffic(request, bytes_out=len(answer.body))
        return answer

    async def _set_faults(self, request: Request) -> Response:
        self._faults = msgspec.json.decode(await request.body(), type=LogFaults)
        self._rng = random.Random(self._faults.get("seed", 0))
        return json_answer(self._faults)

    async def _show_stats(self, request: Request) -> Response:
        return json_answer(self._stats)

    async def _delay(self, seconds: float) -> None:
        if seconds > 0:
            await self._timers.sleep(seconds)

    async def _append_late(self, name: str, records: list[bytes], seconds: float) -> None:
        await self._timers.sleep(seconds)
        self._streams[name].append(records)

    def _is_held_back(self) -> bool:
        if not self._faults.get("hold_back"):
            return False
        return "hold_back_count" not in self._faults or self._consume_fault("hold_back_count")

    def _consume_fault(self, fault: str) -> bool:
        remaining = self._faults.get(fault, 0)
        if not isinstance(remaining, int) or remaining <= 0:
            return False
        self._faults[fault] = remaining - 1  # type: ignore[literal-required]
        return True

    def _count_traffic(self, request: Request, **amounts: int) -> None:
        self._stats["all"].update(amounts)
        instance = request.headers.get("x-instance")
        if instance:
            self._stats[instance].update(amounts)


async def main() -> None:
    """Serve log and directory until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--keep", type=int)
    parser.add_argument("--lag", type=float, default=0.0)
    options = parser.parse_args()
    timers = SystemTimers()
    sock = listen(options.port)
    async with anyio.create_task_group() as tasks:
        log_server = LogServer(timers, tasks, options.keep)
        directory = DirectoryServer(timers, options.lag)
        app = Starlette(routes=log_server.routes + directory.routes)
        announce(log=port_of(sock))
        await serve(app, sock)


if __name__ == "__main__":
    anyio.run(main)
