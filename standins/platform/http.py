"""Serves stand-ins for the platform over HTTP on loopback."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from ragworttiller.connection.limits import ConnectionLimits, RequestLimits
from ragworttiller.connection.request_policy import FixedPolicy
from ragworttiller.connection.server import HttpServer
from ragworttiller.connection.server_guard import ServerConnections
from ragworttiller.timers import SystemTimers
from standins.platform.service import Service

Message = MutableMapping[str, Any]

# The store takes appends of up to 2 MiB, of many entries at once.
REQUEST_LIMITS = RequestLimits(max_body=4 * 1024 * 1024)
CONNECTION_LIMITS = ConnectionLimits(connections=2000, request_bytes=512 * 1024 * 1024)


class ServiceApp:
    """ASGI application that passes requests to a service.

    Parameters
    ----------
    service : Service
        Service to serve.
    """

    def __init__(self, service: Service) -> None:
        self._service = service

    async def __call__(
        self,
        scope: Message,
        receive: Callable[[], Awaitable[Message]],
        send: Callable[[Message], Awaitable[None]],
    ) -> None:
        """Answer one HTTP request."""
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        query = scope["query_string"].decode()
        target = scope["path"] + (f"?{query}" if query else "")
        answer = await self._service.answer(scope["method"], target, body, headers)
        response_headers = [(name.encode(), value.encode()) for name, value in answer.headers]
        response_headers.append((b"content-length", str(len(answer.body)).encode()))
        await send(
            {"type": "http.response.start", "status": answer.status, "headers": response_headers}
        )
        await send({"type": "http.response.body", "body": answer.body})


def serve(service: Service) -> HttpServer:
    """Return a server of a service on a free port of loopback; the caller runs it."""
    connections = ServerConnections(CONNECTION_LIMITS, SystemTimers())
    policy = FixedPolicy(REQUEST_LIMITS)
    return HttpServer(
        "127.0.0.1:0", ServiceApp(service), 0.2, connections=connections, policy=policy
    )
