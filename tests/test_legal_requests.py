"""Tests that a request inside the limits is served in calm, at the edge of every limit too."""

from __future__ import annotations

import anyio
import pytest

from ragworttiller.connection.bounded_protocol import RECEIVE_SECONDS
from ragworttiller.connection.limits import connection_limits
from ragworttiller.connection.server_guard import ServerConnections
from ragworttiller.timers import ManualTimers
from tests.server_rig import LIMITS, ServerRig, with_server

MAX_HEAD = LIMITS.max_head
MAX_BODY = LIMITS.max_body
BODY = bytes(range(256)) * (MAX_BODY // 256)


def head(start: bytes, filler: bytes, length: int = MAX_HEAD) -> bytes:
    """Return a head of some length, filled up with a field or with many."""
    end = b"\r\n\r\n"
    room = length - len(start) - len(end)
    fields = filler * (room // len(filler))
    return start + fields + b"x: " + b"y" * (room - len(fields) - len(b"x: ")) + end


def chunks(body: bytes, size: int, extension: bytes = b"") -> bytes:
    """Return a body in chunks of some size, without the last one."""
    pieces = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(b"%x%s\r\n%s\r\n" % (len(piece), extension, piece) for piece in pieces)


class TestHead:
    @pytest.mark.parametrize("filler", [b"x: " + b"y" * 10_000 + b"\r\n", b"a:\r\n"])
    @pytest.mark.parametrize("piece", [1, 1000, MAX_HEAD])
    def test_the_longest_head_is_served(self, filler: bytes, piece: int):
        async def body(rig: ServerRig):
            connection = await rig.connect()
            data = head(b"GET / HTTP/1.1\r\nhost: h\r\n", filler)
            assert len(data) == MAX_HEAD
            for start in range(0, len(data), piece):
                await connection.send(data[start : start + piece])
            assert (await connection.answer()).status == 200

        with_server(body, LIMITS._replace(head_timeout=20.0))

    def test_the_longest_target_is_served(self):
        async def body(rig: ServerRig):
            connection = await rig.connect()
            end = b" HTTP/1.1\r\n\r\n"
            data = b"GET /" + b"a" * (MAX_HEAD - len(end) - 5) + end
            await connection.send(data)
            assert (await connection.answer()).status == 200

        with_server(body)

    def test_empty_lines_before_each_request_are_skipped(self):
        async def body(rig: ServerRig):
            connection = await rig.connect()
            for _ in range(3):
                await connection.send(b"\r\n\r\n" + head(b"GET / HTTP/1.1\r\n", b"a: b\r\n"))
                assert (await connection.answer()).status == 200

        with_server(body)


class TestBody:
    @pytest.mark.parametrize("piece", [1000, MAX_BODY])
    def test_the_longest_body_is_served_behind_the_longest_head(self, piece: int):
        async def body(rig: ServerRig):
            connection = await rig.connect()
            start = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n" % MAX_BODY
            await connection.send(head(start, b"a:\r\n"))
            for position in range(0, MAX_BODY, piece):
                await connection.send(BODY[position : position + piece])
            assert (await connection.answer()).status == 200
            assert rig.bodies == [BODY]

        with_server(body, LIMITS._replace(body_timeout=20.0))

    @pytest.mark.parametrize("size", [1, 7, 4096, MAX_BODY])
    @pytest.mark.parametrize("trailers", [b"", b"a: b\r\nchecksum: 12\r\n"])
    def test_the_longest_body_is_served_in_chunks(self, size: int, trailers: bytes):
        async def body(rig: ServerRig):
            connection = await rig.connect()
            data = chunks(BODY, size, b";a=b") + b"0\r\n" + trailers + b"\r\n"
            await connection.send(b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n" + data)
            assert (await connection.answer()).body == b"%d" % MAX_BODY
            assert rig.bodies == [BODY]

        with_server(body, LIMITS._replace(body_timeout=20.0))

    def test_trailers_are_not_taken_for_header_fields(self):
        async def body(rig: ServerRig):
            connection = await rig.connect()
            start = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n"
            await connection.send(start + b"host: other\r\nwait: 0\r\n\r\n")
            assert (await connection.answer()).body == b"1"
            assert rig.headers == [[(b"transfer-encoding", b"chunked")]]
            await connection.send(b"GET / HTTP/1.1\r\n\r\n")
            assert (await connection.answer()).body == b"0"

        with_server(body)

    def test_a_caller_that_waits_for_leave_to_send_its_body_gets_it(self):
        async def body(rig: ServerRig):
            connection = await rig.connect()
            start = b"POST / HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n"
            await connection.send(start)
            assert (await connection.answer()).status == 100
            await connection.send(b"body")
            assert (await connection.answer()).body == b"4"

        with_server(body)

    def test_the_application_learns_how_long_the_request_took_to_arrive(self):
        """Guards against an answer after the deadline of a caller whose body came slowly."""

        async def body(rig: ServerRig):
            connection = await rig.connect()
            await connection.send(b"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\na")
            await anyio.sleep(0.3)
            await connection.send(b"b")
            await connection.answer()
            assert 0.3 <= rig.states[0][RECEIVE_SECONDS] < LIMITS.body_timeout

        with_server(body)


class TestRequestsAhead:
    @pytest.mark.parametrize("framing", ["length", "chunked", "none"])
    def test_requests_behind_one_are_answered_in_order(self, framing: str):
        async def body(rig: ServerRig):
            connection = await rig.connect()
            requests = {
                "length": lambda n: b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n%s"
                % (n, b"x" * n),
                "chunked": lambda n: b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
                + chunks(b"x" * n, 5)
                + b"0\r\n\r\n",
                "none": lambda n: b"GET / HTTP/1.1\r\n\r\n",
            }
            lengths = range(1, 300)
            await connection.send(b"".join(map(requests[framing], lengths)))
            for length in lengths:
                expected = 0 if framing == "none" else length
                assert (await connection.answer()).body == b"%d" % expected
            assert len(rig.bodies) == len(lengths)

        with_server(body)

    def test_a_body_behind_an_unanswered_request_is_read_afterwards(self):
        async def body(rig: ServerRig):
            connection = await rig.connect()
            await connection.send(b"GET /wait HTTP/1.1\r\n\r\n")
            async with anyio.create_task_group() as tasks:
                data = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n%s" % (MAX_BODY, BODY)
                tasks.start_soon(connection.send, data)
                await anyio.sleep(0.2)
                assert rig.bodies == [b""]
                rig.gate.set()
                assert (await connection.answer()).body == b"0"
                assert (await connection.answer()).body == b"%d" % MAX_BODY

        with_server(body)

    def test_a_body_whose_head_came_with_an_earlier_request_has_its_own_time(self):
        """Guards against the time of a head for a body, which may take longer."""

        async def body(rig: ServerRig):
            connection = await rig.connect()
            first = b"POST /wait HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
            end_of_first = b"1\r\nx\r\n0\r\na: b\r\n\r\n"
            second = b"POST / HTTP/1.1\r\ncontent-length: 4\r\n\r\nab"
            await connection.send(first)
            await connection.send(end_of_first + second)
            await anyio.sleep(0.1)
            rig.gate.set()
            assert (await connection.answer()).body == b"1"
            await connection.send(b"c")
            await anyio.sleep(LIMITS.head_timeout + 1.0)
            await connection.send(b"d")
            assert (await connection.answer()).body == b"4"

        with_server(body, LIMITS._replace(body_timeout=20.0))


class TestSizes:
    @pytest.mark.parametrize("memory_mb", [160, 200, 300, 552])
    def test_the_smallest_machines_have_room_for_the_largest_request(self, memory_mb: int):
        limits = connection_limits(memory_mb, 1638)
        assert limits.connections >= 600
        assert ServerConnections(limits, ManualTimers()).max_body >= MAX_BODY
