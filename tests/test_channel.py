"""Tests of one HTTP connection: when it is closed, and when it is used again."""

from __future__ import annotations

import anyio
import httpcore
import pytest

from ragworttiller.platform.channel import Channel, ChannelSet, Traffic
from ragworttiller.platform.exchange import ExchangeBroken, NotSent

ANSWER = b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\r\n"


def with_channel(body, delay: float = 0.0):
    async def scenario():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)

        async def serve(stream):
            async with stream:
                await anyio.sleep(delay)
                await stream.send(ANSWER)
                await anyio.sleep(1.0)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            await body(Channel("127.0.0.1", port, 1.0, Traffic()))
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


class TestChannel:
    def test_a_refused_request_leaves_no_open_connection(self, monkeypatch):
        async def body(channel: Channel):
            await channel.open()
            monkeypatch.setattr(Channel, "usable", True)
            with pytest.raises(NotSent, match="invalid character"):
                await channel.request("GET", "/", [("x", "a\r\ny: b")], b"")
            assert channel._stream is None

        with_channel(body)

    def test_a_connection_is_not_used_again_after_a_request_was_written_in_part(self, monkeypatch):
        async def body(channel: Channel):
            await channel.open()
            monkeypatch.setattr(Channel, "usable", True)

            async def write(data: bytes, timeout: float | None = None) -> None:
                raise httpcore.WriteError

            monkeypatch.setattr(channel._stream, "write", write)
            answer = await channel.request("POST", "/", [], b"body")
            assert answer.status == 413
            assert channel._stream is None

        with_channel(body)

    def test_a_refused_connection_is_told_from_one_that_times_out(self, monkeypatch):
        async def body(channel: Channel):
            failures = [httpcore.ConnectError(), TimeoutError()]

            async def connect(self, *args, **kwargs):
                raise failures.pop(0)

            monkeypatch.setattr(httpcore.AnyIOBackend, "connect_tcp", connect)
            for refused in (True, False):
                with pytest.raises(NotSent) as caught:
                    await channel.open()
                assert caught.value.refused is refused

        with_channel(body)

    def test_a_busy_process_waits_longer_for_an_answer(self):
        async def body(channel: Channel):
            channels = ChannelSet(f"{channel._host}:{channel._port}", 0.1)
            channels.slack = lambda: 0.5
            assert (await channels.request("GET", "/", timeout=0.1)).status == 413
            channels.slack = lambda: 0.0
            with pytest.raises(ExchangeBroken):
                await channels.request("GET", "/", timeout=0.1)

        with_channel(body, delay=0.3)
