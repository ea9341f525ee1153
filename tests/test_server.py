"""Tests of the HTTP server of an instance."""

from __future__ import annotations

import socket

from starlette.applications import Starlette

from ragworttiller.config.defaults import TlsSettings
from ragworttiller.connection.server import HttpServer


class TestHttpServer:
    def test_socket_has_an_explicit_protocol(self):
        """Otherwise asyncio leaves Nagle's algorithm on and each answer waits for an ACK."""
        server = HttpServer("127.0.0.1:0", Starlette(), 1.0, TlsSettings(None, None, None))
        with server._socket as sock:
            assert sock.proto == socket.IPPROTO_TCP
