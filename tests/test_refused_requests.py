"""Tests of what a server refuses: with which answer, and what becomes of the connection."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator

import anyio
import pytest

from ragworttiller.connection.limits import ConnectionLimits
from tests.server_rig import LIMITS, RawAnswer, RawConnection, ServerRig, with_server

MAX_HEAD = LIMITS.max_head
MAX_BODY = LIMITS.max_body
CHUNKED = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"


def with_length(length: int, path: bytes = b"/", fields: bytes = b"") -> bytes:
    """Return the head of a request with a body of some length."""
    return b"POST %s HTTP/1.1\r\n%scontent-length: %d\r\n\r\n" % (path, fields, length)


def check_refused(answer: RawAnswer, status: int, code: str) -> None:
    """Check that an answer says that the request was not accepted, and that the connection ends."""
    assert (answer.status, json.loads(answer.body)["code"]) == (status, code)
    assert json.loads(answer.body)["ran"] == "not_run"
    assert answer.headers[b"connection"] == b"close"


def endless(start: bytes, piece: bytes) -> Iterator[bytes]:
    """Yield a start, and 2 MB in pieces."""
    yield start
    for _ in range(2 * 1024 * 1024 // len(piece)):
        yield piece


async def send_all(connection: RawConnection, pieces: Iterator[bytes]) -> None:
    """Send pieces until the server ends the connection."""
    try:
        for piece in pieces:
            await connection.send(piece)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


class TestTooLong:
    @pytest.mark.parametrize(
        ("start", "piece", "status", "code"),
        [
            (b"GET / HTTP/1.1\r\nx: ", b"x" * 4096, 431, "head_too_large"),
            (b"GET / HTTP/1.1\r\n", b"a: b\r\n" * 500, 431, "head_too_large"),
            (b"GET /", b"x" * 4096, 414, "target_too_long"),
            (b"", b"\r\n" * 2048, 431, "head_too_large"),
            (CHUNKED + b"1\r\nx\r\n0\r\n", b"a: b\r\n" * 500, 431, "head_too_large"),
            (CHUNKED + b"1;", b"x" * 4096, 431, "head_too_large"),
            (CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n", 413, "body_too_large"),
            (with_length(MAX_BODY + 1), b"x" * 4096, 413, "body_too_large"),
            (b"nonsense\r\n", b"x" * 4096, 400, "malformed_request"),
        ],
    )
    def test_the_refusal_reaches_a_client_that_sends_on(
        self, start: bytes, piece: bytes, status: int, code: str
    ):
        """Guards against a reset that takes the refusal with it."""

        async def body(rig: ServerRig):
            connection = await rig.connect()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_all, connection, endless(start, piece))
                check_refused(await connection.answer(), status, code)
                assert await connection.ends()
                tasks.cancel_scope.cancel()
            assert rig.bodies == []
            assert sum(rig.counts.values()) == 1

        with_server(body)

    def test_one_byte_more_than_the_limit_is_refused(self):
        async def body(rig: ServerRig):
            connection = await rig.connect()
            data = CHUNKED + b"%x\r\n%s\r\n0\r\n\r\n" % (MAX_BODY + 1, b"x" * (MAX_BODY + 1))
            await connection.send(data)
            check_refused(await connection.answer(), 413, "body_too_large")

        with_server(body)

    def test_a_body_that_nobody_asked_for_is_bounded_too(self):
        async def body(rig: ServerRig):
            connection = await rig.connect()
            await connection.send(b"GET / HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % (MAX_BODY + 1))
            check_refused(await connection.answer(), 413, "body_too_large")

        with_server(body)


class TestTooSlow:
    @pytest.mark.parametrize("sent", [b"G", b"\r\n", b"GET / HTTP/1.1\r\nx: y\r\n"])
    def test_a_head_that_does_not_end(self, sent: bytes):
        async def body(rig: ServerRig):
            connection = await rig.connect()
            await connection.send(sent)
            check_refused(await connection.answer(), 408, "request_timeout")
            assert rig.counts == {"head_timeout": 1}

        with_server(body)

    @pytest.mark.parametrize("fields", [b"", b"wait: 0.3\r\n"])
    def test_a_body_that_does_not_end(self, fields: bytes):
        async def body(rig: ServerRig):
            connection = await rig.connect()
            await connection.send(with_length(10, fields=fields) + b"x" * 9)
            check_refused(await connection.answer(), 408, "request_timeout")
            assert rig.counts == {"body_timeout": 1}
            assert rig.connections.held == 0

        with_server(body)

    def test_a_connection_without_a_request_is_closed(self):
        async def body(rig: ServerRig):
            connections = [await rig.connect() for _ in range(3)]
            await connections[1].send(b"GET / HTTP/1.1\r\n\r\n")
            await connections[1].answer()
            for connection in connections:
                assert await connection.ends()
            assert rig.counts == {"idle_timeout": 3}

        with_server(body)

    def test_a_client_that_reads_no_answers_is_disconnected(self):
        async def body(rig: ServerRig):
            connection = await rig.connect()
            await connection.send(b"GET /long HTTP/1.1\r\n\r\n" * 50)
            while not rig.counts:
                await anyio.sleep(0.05)
            assert rig.counts == {"answer_not_read": 1}
            assert len(rig.bodies) < 10

        with_server(body)

    def test_a_closing_connection_ends_though_its_client_stays(self):
        async def body(rig: ServerRig):
            connection = await rig.connect()
            await connection.send(b"nonsense\r\n")
            with anyio.fail_after(10):
                while rig.connections.open:
                    await anyio.sleep(0.05)
            with pytest.raises(anyio.BrokenResourceError):
                while True:
                    await connection.send(b"x")
                    await anyio.sleep(0.05)

        with_server(body)


class TestHandedOn:
    @pytest.mark.parametrize(
        "behind", [b"nonsense\r\n", with_length(MAX_BODY + 1), b"x: " + b"y" * 100_000]
    )
    def test_a_request_keeps_its_answer_whatever_follows(self, behind: bytes):
        async def body(rig: ServerRig):
            connection = await rig.connect()
            await connection.send(b"GET /wait HTTP/1.1\r\n\r\n")
            await connection.send(behind)
            await anyio.sleep(0.2)
            rig.gate.set()
            assert (await connection.answer()).status == 200
            assert (await connection.answer()).status in (400, 413)

        with_server(body)

    def test_a_request_for_another_protocol_is_answered_and_ends_the_connection(self):
        async def body(rig: ServerRig):
            connection = await rig.connect()
            request = b"GET / HTTP/1.1\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n"
            await connection.send(request + b"x" * 1000)
            assert (await connection.answer()).status == 200
            assert await connection.ends()

        with_server(body)


class TestTooMany:
    def test_an_idle_connection_makes_room_for_a_new_one(self):
        async def body(rig: ServerRig):
            idle = [await rig.connect() for _ in range(8)]
            for connection in idle[1:]:
                await connection.send(b"GET / HTTP/1.1\r\n\r\n")
                await connection.answer()
            late = await rig.connect()
            await late.send(b"GET / HTTP/1.1\r\n\r\n")
            assert (await late.answer()).status == 200
            assert await idle[0].ends()
            assert rig.counts == {"too_many_connections": 1}

        with_server(body)

    def test_a_new_connection_is_refused_while_all_others_have_requests(self):
        async def body(rig: ServerRig):
            busy = [await rig.connect() for _ in range(8)]
            for connection in busy:
                await connection.send(b"GET /wait HTTP/1.1\r\n\r\n")
            while len(rig.bodies) < 8:
                await anyio.sleep(0.01)
            answer = await (await rig.connect()).answer()
            check_refused(answer, 503, "too_many_requests")
            assert answer.headers[b"retry-after"] == b"1"
            rig.gate.set()
            for connection in busy:
                assert (await connection.answer()).status == 200

        with_server(body)

    def test_large_requests_leave_room_for_small_ones(self):
        async def body(rig: ServerRig):
            large = [await rig.connect() for _ in range(40)]
            for connection in large:
                await connection.send(with_length(MAX_BODY, b"/wait") + b"x" * MAX_BODY)
            refused = 0
            while len(rig.bodies) + refused < 40:
                refused = rig.counts.get("too_many_in_progress", 0)
                await anyio.sleep(0.02)
            assert refused > 0
            for _ in range(20):
                small = await rig.connect()
                await small.send(with_length(3) + b"abc")
                assert (await small.answer()).status == 200
            rig.gate.set()
            statuses = [(await connection.answer()).status for connection in large]
            assert statuses.count(503) == refused
            assert set(statuses) == {200, 503}

        with_server(body, connections=ConnectionLimits(100, 8 * 1024 * 1024))

    def test_a_request_counts_until_it_is_done_though_its_client_has_left(self):
        """Guards against clients that send large requests and leave at once."""

        async def body(rig: ServerRig):
            for _ in range(40):
                connection = await rig.connect()
                await connection.send(with_length(MAX_BODY, b"/wait") + b"x" * MAX_BODY)
                await anyio.sleep(0.02)
                await connection.stream.aclose()
            assert len(rig.bodies) * MAX_BODY <= 4 * 1024 * 1024
            assert rig.connections.held >= len(rig.bodies) * MAX_BODY
            rig.gate.set()
            while rig.connections.held:
                await anyio.sleep(0.02)

        with_server(body)

    def test_bodies_that_stop_short_give_way_to_a_whole_one(self):
        async def body(rig: ServerRig):
            stalled = [await rig.connect() for _ in range(40)]
            for connection in stalled:
                await connection.send(with_length(MAX_BODY) + b"x" * (MAX_BODY - 1))
            late = await rig.connect()
            await late.send(with_length(MAX_BODY) + b"x" * MAX_BODY)
            assert (await late.answer()).status == 200
            assert rig.connections.held <= 8 * 1024 * 1024
            assert rig.counts["too_many_bytes"] >= 8

        with_server(body, connections=ConnectionLimits(100, 8 * 1024 * 1024))


class TestResetConnections:
    def test_a_connection_that_was_reset_does_not_end_the_server(self, monkeypatch):
        """Guards against an error of one connection that ends the process with all others."""

        async def body(rig: ServerRig):
            stalled = await rig.connect()
            await stalled.send(b"GET / HTTP/1.1\r\n")
            monkeypatch.setattr(asyncio.selector_events._SelectorSocketTransport, "write_eof", fail)
            assert (await stalled.answer()).status == 408
            assert await stalled.ends()
            connection = await rig.connect()
            await connection.send(b"GET / HTTP/1.1\r\n\r\n")
            assert (await connection.answer()).status == 200

        def fail(transport):
            raise OSError(107, "Transport endpoint is not connected")

        with_server(body)


class TestReports:
    def test_a_crowd_costs_one_line_a_second_for_each_reason(self, caplog):
        async def body(rig: ServerRig):
            for _ in range(60):
                connection = await rig.connect()
                await connection.send(b"nonsense\r\n")
                await connection.answer()
            await anyio.sleep(1.6)

        with_server(body)
        lines = [record for record in caplog.records if record.getMessage() == "connections ended"]
        assert 1 <= len(lines) <= 4
        assert sum(line.count for line in lines) == 60
        assert {line.reason for line in lines} == {"malformed"}
        assert not [record for record in caplog.records if "Invalid HTTP" in record.getMessage()]
