"""Soak of an HTTP server: callers and clients that do not behave, until a graceful stop.

Run by hand with ``python -m tests.connection_soak FIRST LAST`` for a range of seeds.
"""

from __future__ import annotations

import logging
import random
import sys
from collections.abc import Iterator
from contextlib import suppress

import anyio

from ragworttiller.connection.limits import ConnectionLimits, RequestLimits
from ragworttiller.connection.request_policy import FixedPolicy
from ragworttiller.connection.server import HttpServer
from ragworttiller.connection.server_guard import ServerConnections
from ragworttiller.timers import SystemTimers
from tests.server_rig import RawAnswer, RawConnection

LIMITS = RequestLimits(max_body=60_000, head_timeout=0.3, idle_timeout=0.5, body_timeout=0.6)
MAX_BYTES = 3_000_000
MAX_CONNECTIONS = 24
CALLERS = 6
UNRULY_CLIENTS = 30
SOAK_SECONDS = 3.0
DRAIN_SECONDS = 1.5
REFUSALS = (400, 408, 413, 414, 431, 503)
CALLER_PREFIX = "caller-"
LOST = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class ConnectionSoak:
    """One run.

    Parameters
    ----------
    seed : int
        Seed of everything that is random.

    Attributes
    ----------
    problems : list of str
        Broken promises.
    served : int
        Requests of callers that were answered with success.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._connections = ServerConnections(
            ConnectionLimits(MAX_CONNECTIONS, MAX_BYTES), SystemTimers()
        )
        policy = FixedPolicy(LIMITS)
        self._server = HttpServer(
            "127.0.0.1:0", self._app, DRAIN_SECONDS, connections=self._connections, policy=policy
        )
        self._handed_on: set[str] = set()
        self._finished: set[str] = set()
        self._requests = 0
        self._stopping = False
        self.problems: list[str] = []
        self.served = 0

    async def run(self) -> None:
        """Play the run and check its promises."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._server.run)
            tasks.start_soon(self._watch)
            async with anyio.create_task_group() as clients:
                for _ in range(CALLERS):
                    clients.start_soon(self._caller)
                for _ in range(UNRULY_CLIENTS):
                    clients.start_soon(self._unruly)
                await anyio.sleep(SOAK_SECONDS)
                self._server.drain()
                await anyio.sleep(self._random.uniform(0.0, 0.3))
                self._stopping = True
                self._server.stop()
                await self._server.stopped()
                await anyio.sleep(0.2)
                clients.cancel_scope.cancel()
            tasks.cancel_scope.cancel()
        if self._connections.held or self._connections.open:
            held, count = self._connections.held, self._connections.open
            self.problems.append(f"{held} bytes and {count} connections are left")

    async def _app(self, scope, receive, send):
        message = await receive()
        name = scope["path"].strip("/")
        if name in self._handed_on and name.startswith(CALLER_PREFIX):
            self.problems.append(f"{name} was handed on twice")
        self._handed_on.add(name)
        await anyio.sleep(self._random.choice([0.0, 0.0, 0.01, 0.1]))
        body = f"{name} {len(message['body'])}".encode()
        body += b"." * self._random.choice([0, 0, 100, 50_000])
        headers = [(b"content-length", b"%d" % len(body))]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": body})
        self._finished.add(name)

    async def _watch(self) -> None:
        while True:
            await anyio.sleep(0.01)
            if self._connections.held > MAX_BYTES or self._connections.held < 0:
                self.problems.append(f"{self._connections.held} bytes are held")
            # One more is being refused.
            if self._connections.open > MAX_CONNECTIONS + 1:
                self.problems.append(f"{self._connections.open} connections are open")

    async def _caller(self) -> None:
        """Send whole requests, and use each connection for as long as it is open."""
        while True:
            with suppress(*LOST):
                connection = await self._connect()
                async with connection.stream:
                    while True:
                        await self._exchange(connection)
            if self._stopping:
                return
            await anyio.sleep(0.01)

    async def _connect(self) -> RawConnection:
        return RawConnection(await anyio.connect_tcp("127.0.0.1", self._server.port))

    async def _exchange(self, connection: RawConnection) -> None:
        """Send one to three requests at once, and check the answers."""
        rng = self._random
        sent = [self._request() for _ in range(rng.choice([1, 1, 1, 2, 3]))]
        data = b"".join(request for _, _, request in sent)
        for piece in self._pieces(data):
            await connection.send(piece)
            await anyio.sleep(rng.choice([0.0, 0.0, 0.0, 0.005]))
        for name, length, _ in sent:
            self._check(name, length, await connection.answer())

    def _request(self) -> tuple[str, int, bytes]:
        """Return the name of a request, the length of its body, and its bytes."""
        rng = self._random
        self._requests += 1
        name = f"{CALLER_PREFIX}{self._requests}"
        length = rng.choice([0, 1, 300, 5_000, LIMITS.max_body])
        body = rng.randbytes(length)
        if rng.random() < 0.5:
            head = f"POST /{name} HTTP/1.1\r\ncontent-length: {length}\r\n\r\n"
            return name, length, head.encode() + body
        head = f"POST /{name} HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        size = rng.choice([100, 4096, 50_000])
        chunks = [body[start : start + size] for start in range(0, length, size)]
        framed = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
        trailer = rng.choice([b"", b"a: b\r\n"])
        return name, length, head.encode() + framed + b"0\r\n" + trailer + b"\r\n"

    def _pieces(self, data: bytes) -> Iterator[bytes]:
        position = 0
        while position < len(data):
            count = self._random.choice([len(data), 1, 50, 10_000])
            yield data[position : position + count]
            position += count

    def _check(self, name: str, length: int, answer: RawAnswer) -> None:
        if answer.status == 200:
            self.served += 1
            if not answer.body.startswith(f"{name} {length}".encode()):
                self.problems.append(f"{name} got another answer: {answer.body[:40]!r}")
        elif answer.status not in REFUSALS:
            self.problems.append(f"{name} got {answer.status}")
        elif name in self._handed_on:
            self.problems.append(f"{name} was refused with {answer.status}, and was handed on")

    async def _unruly(self) -> None:
        """Send what never ends, or leave in the middle."""
        rng = self._random
        starts = [
            b"",
            b"GET / HTTP/1.1\r\nx: ",
            b"GET / HTTP/1.1\r\n",
            b"POST /u HTTP/1.1\r\ncontent-length: 60000\r\n\r\n",
            b"POST /u HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n",
            b"POST /u HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
        ]
        pieces = [
            b"x",
            b"\r\n",
            b"x" * 59_000,
            b"a: b\r\n" * 500,
            b"100\r\n" + b"y" * 256 + b"\r\n",
        ]
        while not self._stopping:
            with suppress(*LOST):
                connection = await self._connect()
                async with connection.stream:
                    await connection.send(rng.choice(starts))
                    piece = rng.choice(pieces)
                    for _ in range(rng.randrange(20)):
                        await connection.send(piece)
                        await anyio.sleep(rng.choice([0.0, 0.01, 0.1]))
                    await anyio.sleep(rng.uniform(0.0, 1.0))
            await anyio.sleep(0.02)


def play(seed: int) -> ConnectionSoak:
    """Play one run and return it."""
    soak = ConnectionSoak(seed)
    anyio.run(soak.run)
    return soak


def main() -> int:
    """Play a range of seeds, and return how many have problems."""
    logging.disable(logging.WARNING)
    first, last = int(sys.argv[1]), int(sys.argv[2])
    failed = 0
    for seed in range(first, last + 1):
        soak = play(seed)
        failed += bool(soak.problems)
        print(f"seed {seed}: {soak.served} served, {soak.problems[:5] or 'no problem'}", flush=True)
    return failed


if __name__ == "__main__":
    sys.exit(main())
