"""Tests that answers of servers take no more than a bounded memory."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress

import anyio
import pytest

from ragworttiller.platform import answer_limits
from ragworttiller.platform.answer_limits import (
    ALL_ANSWERS,
    MAX_ANSWER_BYTES,
    AnswerTooLong,
    IncompleteAnswers,
)
from ragworttiller.platform.channel import ChannelSet
from ragworttiller.platform.exchange import AnswerParser, ExchangeBroken

START = b"HTTP/1.1 200 OK\r\n"
CHUNKED = START + b"transfer-encoding: chunked\r\n\r\n"
SENT_BYTES = 64 * 1024 * 1024


def endless(start: bytes, piece: bytes) -> Iterator[bytes]:
    """Yield a start, and then a piece again and again."""
    yield start
    for _ in range(SENT_BYTES // len(piece)):
        yield piece


class TestOneAnswer:
    @pytest.mark.parametrize(
        ("start", "piece"),
        [
            (START, b"a: b\r\n" * 1000),
            (START + b"x: ", b"x" * 10_000),
            (START + b"\r\n", b"x" * 100_000),
            (START + b"content-length: 999999999\r\n\r\n", b"x" * 100_000),
            (CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
            (CHUNKED + b"0\r\n", b"a: b\r\n" * 1000),
        ],
    )
    def test_an_answer_without_end_is_broken_off(self, start: bytes, piece: bytes):
        """Guards against a server whose one answer fills the memory of the process."""

        async def main():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)

            async def serve(stream):
                async with stream:
                    await stream.receive()
                    with suppress(anyio.BrokenResourceError):
                        for data in endless(start, piece):
                            await stream.send(data)
                            sent.append(len(data))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                with pytest.raises(ExchangeBroken):
                    await ChannelSet(f"127.0.0.1:{port}", 30.0).request("GET", "/")
                tasks.cancel_scope.cancel()
            assert sum(sent) < SENT_BYTES / 2
            assert ALL_ANSWERS.held == held_before

        sent: list[int] = []
        held_before = ALL_ANSWERS.held
        anyio.run(main)

    def test_the_longest_answer_of_the_store_is_read(self):
        shared = IncompleteAnswers()
        parser = AnswerParser("GET", shared)
        body = b"x" * 2 * 1024 * 1024
        data = START + b"content-length: %d\r\n\r\n" % len(body) + body
        for start in range(0, len(data), 65_536):
            parser.feed(data[start : start + 65_536])
        assert parser.answer().body == body
        assert shared.held == len(data)
        parser.release()
        assert shared.held == 0

    def test_trailers_are_no_headers(self):
        parser = AnswerParser("GET")
        parser.feed(CHUNKED + b"1\r\nx\r\n0\r\na: b\r\n\r\n")
        assert parser.complete
        assert parser.answer().headers == [("transfer-encoding", "chunked")]
        parser.release()


class TestAllAnswers:
    def test_incomplete_answers_share_a_limit(self):
        """Guards against many servers that each send a long answer and never end it."""
        shared = IncompleteAnswers(1_000_000)
        parsers = [AnswerParser("GET", shared) for _ in range(20)]
        for parser in parsers[:10]:
            parser.feed(START + b"\r\n" + b"x" * 90_000)
        with pytest.raises(AnswerTooLong):
            parsers[10].feed(START + b"\r\n" + b"x" * 110_000)
        assert shared.held <= 1_000_000
        parsers[0].release()
        parsers[11].feed(START + b"\r\n" + b"x" * 80_000)
        for parser in parsers:
            parser.release()
        assert shared.held == 0

    def test_the_longest_answer_gives_way_to_a_short_one(self):
        """Guards against a server whose long answers break off those of all others."""
        shared = IncompleteAnswers(1_000_000)
        long_ones = [AnswerParser("GET", shared) for _ in range(3)]
        for number, parser in enumerate(long_ones):
            parser.feed(START + b"\r\n" + b"x" * (300_000 + number))
        short = AnswerParser("GET", shared)
        short.feed(START + b"content-length: 120000\r\n\r\n" + b"y" * 120_000)
        assert short.complete
        assert shared.held <= 1_000_000
        with pytest.raises(AnswerTooLong):
            long_ones[2].feed(b"x")
        long_ones[0].feed(b"x")
        for parser in (*long_ones, short):
            parser.release()
        assert shared.held == 0

    def test_the_limits_fit_each_other(self):
        assert MAX_ANSWER_BYTES * 4 <= answer_limits.MAX_INCOMPLETE_BYTES
