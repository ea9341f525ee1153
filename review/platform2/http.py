"""Small HTTP/1.1 server and client on loopback, with the standard library only."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import NamedTuple


class Reply(NamedTuple):
    """Status and body of an answer."""

    status: int
    body: bytes

    def json(self):
        return json.loads(self.body or b"{}")


def json_reply(status: int, body: dict | None = None) -> Reply:
    return Reply(status, json.dumps(body or {}).encode())


# A handler returns None if no answer is to be sent and the connection is to be closed.
Handler = Callable[[str, str, dict, bytes], Awaitable[Reply | None]]


class Server:
    """HTTP server of one stand-in."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def abort(self) -> None:
        """Close the listener and reset all connections, as a killed process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, colon, value = line.partition(":")
                    if colon:
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                reply = await self._handler(method, target, headers, body)
                if reply is None:
                    return
                text = f"HTTP/1.1 {reply.status} X\r\ncontent-type: application/json\r\n"
                text += f"content-length: {len(reply.body)}\r\n\r\n"
                writer.write(text.encode() + reply.body)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, ValueError):
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


async def call(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    host: str = "",
    timeout: float = 5.0,
) -> Reply | None:
    """Send one request on a new connection; return None without a complete answer."""
    try:
        return await asyncio.wait_for(_call(address, method, target, body, host, timeout), timeout)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return None


async def _call(
    address: str, method: str, target: str, body: bytes, host: str, timeout: float
) -> Reply:
    name, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(name, int(port))
    try:
        head = f"{method} {target} HTTP/1.1\r\nHost: {host or address}\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        head += f"Ragworttiller-Deadline-Ms: {int(timeout * 1000)}\r\nConnection: close\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status, length = int(lines[0].split(" ")[1]), 0
        for line in lines[1:]:
            field, _, value = line.partition(":")
            if field.strip().lower() == "content-length":
                length = int(value)
        return Reply(status, await reader.readexactly(length))
    finally:
        writer.close()
