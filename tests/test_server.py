"""Tests of the HTTP server of an instance."""

from __future__ import annotations

import socket

import anyio
import httpcore
from starlette.applications import Starlette

from ragworttiller.config.defaults import TlsSettings
from ragworttiller.connection.server import HttpServer


class TestHttpServer:
    def test_socket_has_an_explicit_protocol(self):
        """Otherwise asyncio leaves Nagle's algorithm on and each answer waits for an ACK."""
        server = HttpServer("127.0.0.1:0", Starlette(), 1.0, TlsSettings(None, None, None))
        with server._socket as sock:
            assert sock.proto == socket.IPPROTO_TCP

    def test_a_request_may_use_a_part_of_a_second_after_the_stop(self):
        """Guards against a 500 for a request that the server should have waited for."""

        async def app(scope, receive, send):
            arrived.set()
            await anyio.sleep(0.3)
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": b"done"})

        async def ask(port: int):
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request("GET", f"http://127.0.0.1:{port}/")
                answers.append((response.status, response.content))

        async def main():
            server = HttpServer("127.0.0.1:0", app, 0.9)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.run)
                tasks.start_soon(ask, server.port)
                await arrived.wait()
                server.stop()
                await server.stopped()

        arrived, answers = anyio.Event(), []
        anyio.run(main)
        assert answers == [(200, b"done")]
