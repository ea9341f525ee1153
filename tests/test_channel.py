"""Tests of one HTTP connection: when it is closed, and when it is used again."""

from __future__ import annotations

import anyio
import httpcore
import pytest

from ragworttiller.platform.channel import Channel, ChannelSet, Traffic
from ragworttiller.platform.exchange import ExchangeBroken, NotSent, UnwantedAnswer

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


LONG_BYTES = 160_000
PIECE_BYTES = 16_000
PIECE_SECONDS = 0.1
ROUND_SECONDS = 0.4


def with_slow_server(body, sent: int = LONG_BYTES):
    """Run a test body with a server that sends a long answer in pieces, and no more than ``sent``.

    It counts the bytes that it has sent of it.
    """

    async def scenario():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        counts = [0]

        async def serve(stream):
            async with stream:
                await stream.receive()
                await stream.send(
                    f"HTTP/1.1 200 OK\r\nContent-Length: {LONG_BYTES}\r\n\r\n".encode()
                )
                while counts[0] < sent:
                    await anyio.sleep(PIECE_SECONDS)
                    await stream.send(b"x" * PIECE_BYTES)
                    counts[0] += PIECE_BYTES
                await anyio.sleep(10.0)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            await body(f"127.0.0.1:{port}", counts)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


class TestLongAnswers:
    def test_a_long_answer_that_makes_progress_is_received_whole(self):
        """Guards against an answer that no attempt has the time for, and is asked for for ever."""

        async def body(address: str, counts: list[int]):
            channels = ChannelSet(address, ROUND_SECONDS, min_progress_bytes=PIECE_BYTES)
            answer = await channels.request("GET", "/")
            assert len(answer.body) == LONG_BYTES

        with_slow_server(body)

    def test_an_answer_that_makes_no_progress_is_given_up(self):
        async def body(address: str, counts: list[int]):
            channels = ChannelSet(address, ROUND_SECONDS, min_progress_bytes=PIECE_BYTES)
            began = anyio.current_time()
            with pytest.raises(ExchangeBroken):
                await channels.request("GET", "/")
            assert anyio.current_time() - began < 3 * PIECE_SECONDS + 2 * ROUND_SECONDS

        with_slow_server(body, sent=3 * PIECE_BYTES)

    def test_an_unwanted_answer_is_broken_off_at_its_head(self):
        async def body(address: str, counts: list[int]):
            channels = ChannelSet(address, ROUND_SECONDS, min_progress_bytes=PIECE_BYTES)
            with pytest.raises(UnwantedAnswer) as caught:
                await channels.request("GET", "/", max_answer_bytes=LONG_BYTES // 2)
            assert caught.value.length == LONG_BYTES
            assert counts == [0]

        with_slow_server(body)
