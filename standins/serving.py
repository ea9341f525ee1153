"""HTTP server shared by the stand-ins."""

from __future__ import annotations

import json
import logging
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import msgspec
import uvicorn
from starlette.responses import Response
from starlette.types import Receive, Scope, Send
from typing_extensions import override

HOST = "127.0.0.1"
BACKLOG = 512
KEEP_ALIVE_SECONDS = 15


class DroppedAnswer(Response):
    """Answer that is cut off after its headers; the server then closes the connection."""

    @override
    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = [(b"content-length", b"1")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})


class StandinServer(uvicorn.Server):
    """Server without signal handlers, so that several can run in one process."""

    @contextmanager
    @override
    def capture_signals(self) -> Iterator[None]:
        yield


def listen(port: int = 0) -> socket.socket:
    """Return a listening socket on loopback.

    The protocol is explicit, since asyncio sets ``TCP_NODELAY`` only on sockets that name TCP.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, port))
    sock.listen(BACKLOG)
    return sock


def port_of(sock: socket.socket) -> int:
    """Return the port of a bound socket."""
    return int(sock.getsockname()[1])


async def serve(app: Any, sock: socket.socket, protocol: Any = "httptools") -> None:
    """Serve an application on a listening socket until cancelled."""
    logging.getLogger("uvicorn").setLevel(logging.CRITICAL)
    config = uvicorn.Config(
        app,
        loop="asyncio",
        http=protocol,
        lifespan="off",
        access_log=False,
        log_config=None,
        timeout_keep_alive=KEEP_ALIVE_SECONDS,
    )
    await StandinServer(config).serve(sockets=[sock])


def announce(**ports: Any) -> None:
    """Print the ports of this process as one JSON line, for the parent process."""
    print(json.dumps(ports), flush=True)


def msgpack_answer(value: Any) -> Response:
    """Return an answer in MessagePack."""
    return Response(msgspec.msgpack.encode(value), media_type="application/msgpack")


def json_answer(value: Any) -> Response:
    """Return an answer in JSON."""
    return Response(msgspec.json.encode(value), media_type="application/json")
