"""Tests of the HTTP adapters against the stand-ins."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager

import anyio
import anyio.abc
import msgspec
import pytest
from starlette.applications import Starlette

from ragworttiller.exceptions import (
    AppendUndecided,
    LogUnavailable,
    PlatformUnavailable,
    RunnerBroken,
    RunnerRefused,
    WorkerRefused,
    WorkerUnreachable,
)
from ragworttiller.platform.channel import ChannelSet
from ragworttiller.resources import Resources
from ragworttiller.services.http import (
    HttpDirectory,
    HttpLog,
    HttpRunnerDialer,
    HttpWorkerFleet,
)
from ragworttiller.services.runner import Exchange
from ragworttiller.services.worker import TaskSpec
from ragworttiller.timers import SystemTimers
from standins.addresses import free_address
from standins.directory import DirectoryServer
from standins.log import LogServer
from standins.runner import LimitedProtocol, Runner
from standins.serving import listen, port_of, serve
from standins.worker import WorkerRow, WorkerServer

SPEC = TaskSpec("job/0", 1, Resources(1000, 1024, 0), 30.0, 10.0, {})
GET = Exchange("GET", "/check", [("x-request-id", "r1")], b"")
POST = Exchange("POST", "/grade", [("idempotency-key", "k1")], b"body")


@asynccontextmanager
async def served(app, protocol="httptools"):
    sock = listen()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve, app, sock, protocol)
        yield f"127.0.0.1:{port_of(sock)}"
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def platform():
    async with anyio.create_task_group() as tasks:
        timers = SystemTimers()
        routes = LogServer(timers, tasks).routes + DirectoryServer(timers, 0.0).routes
        async with served(Starlette(routes=routes)) as address:
            yield address
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def runner(**faults):
    standin = Runner("m-0", SystemTimers(), 1, [])
    standin.faults.update(faults)
    async with served(standin.app, LimitedProtocol) as address:
        yield standin, address


async def post(address, target, value):
    await ChannelSet(address, 2.0).request("POST", target, msgspec.json.encode(value))


class TestServing:
    def test_sockets_have_an_explicit_protocol(self):
        """Otherwise asyncio leaves Nagle's algorithm on and each answer waits for an ACK."""
        with listen() as sock:
            assert sock.proto == socket.IPPROTO_TCP


class TestHttpLog:
    def test_append_and_read(self):
        async def scenario():
            async with platform() as address:
                platform_log = HttpLog(f"http://{address}", "a")
                assert await platform_log.append("s", [b"x", b"y"]) == 1
                assert await platform_log.read("s", 2) == (2, [b"y"], 1, 3)
                assert (await platform_log.read("s", 3, 0.05)).entries == []
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(platform_log.append, "s", [b"z"])
                    assert (await platform_log.read("s", 3, 5.0)).entries == [b"z"]

        anyio.run(scenario)

    @pytest.mark.parametrize(
        ("faults", "error", "appended"),
        [
            ({"down": True}, LogUnavailable, 0),
            ({"lose_answers": 1}, AppendUndecided, 1),
            ({"append_delay": 0.5}, AppendUndecided, 1),
            ({"hold_back": 0.2}, AppendUndecided, 1),
            ({"lose_answers": 1, "duplicate": 1}, AppendUndecided, 2),
        ],
    )
    def test_faults_map_to_typed_errors(self, faults, error, appended):
        async def scenario():
            async with platform() as address:
                platform_log = HttpLog(f"http://{address}", "a", timeout=0.3)
                await post(address, "/faults", faults)
                with pytest.raises(error):
                    await platform_log.append("s", [b"x"])
                await anyio.sleep(0.4)
                await post(address, "/faults", {})
                assert len((await platform_log.read("s", 1)).entries) == appended

        anyio.run(scenario)

    def test_refused_connection_raises_log_unavailable(self):
        async def scenario():
            platform_log = HttpLog(f"http://{free_address()}", "a")
            with pytest.raises(LogUnavailable):
                await platform_log.append("s", [b"x"])

        anyio.run(scenario)


class TestHttpDirectory:
    def test_list_and_outage(self):
        async def scenario():
            async with platform() as address:
                channels = ChannelSet(address, 2.0)
                row = {
                    "worker": "w1",
                    "address": "h:1/workers/w1",
                    "capacity": {"cpu": 16000, "memory": 65536, "accelerators": 1},
                    "failure_domain": "fd1",
                    "rack": "r1",
                    "labels": [],
                    "state": "live",
                }
                await channels.request("PUT", "/directory/workers/w1", msgspec.json.encode(row))
                directory = HttpDirectory(f"http://{address}")
                listing = await directory.list()
                assert listing.workers[0].capacity == Resources(16000, 65536, 1)
                received = directory.traffic.bytes_in
                assert await directory.list() == listing
                assert directory.traffic.bytes_in - received < received / 2
                await channels.request("DELETE", "/directory/workers/w1")
                assert (await directory.list()).workers == []
                await post(address, "/directory", {"down": 1})
                with pytest.raises(PlatformUnavailable):
                    await directory.list()

        anyio.run(scenario)


class TestHttpWorkerFleet:
    def test_commands_and_faults(self):
        async def scenario():
            rows = [
                WorkerRow(worker="w1", capacity=Resources(1500, 4096, 0)),
                WorkerRow(worker="w2", capacity=Resources(4000, 4096, 0)),
            ]
            server = WorkerServer(rows, SystemTimers(), 0.0)
            async with served(Starlette(routes=server.routes)) as address:
                fleet = HttpWorkerFleet()
                first = fleet.worker("w1", f"{address}/workers/w1")
                second = fleet.worker("w2", f"{address}/workers/w2")
                assert await first.start([SPEC]) == ["ok"]
                assert await first.start([SPEC]) == ["ok"]
                reports = await first.renew(10.0)
                assert [(r.task, r.state, r.usage) for r in reports] == [
                    ("job/0", "running", SPEC.limit)
                ]
                assert server._cell.violations == []
                await second.start([SPEC._replace(attempt=2)])
                await first.start([SPEC._replace(task="job/1")])
                problems = [violation.problem for violation in server._cell.violations]
                assert problems[0] == "already runs on w1"
                assert problems[1].endswith("available")
                await first.throttle("job/1", 1, 500)
                await first.stop([("job/0", 1)], checkpoint=True)
                states = {r.task: r.state for r in await first.renew(10.0)}
                assert states == {"job/0": "checkpointed", "job/1": "running"}
                await first.forget([("job/0", 1)])
                assert len(await first.renew(0.0)) == 1
                assert (await first.renew(0.0))[0].state == "lapsed"
                await post(address, "/workers/w1/faults", {"down": True})
                with pytest.raises(WorkerRefused):
                    await first.start([SPEC])
                await post(address, "/workers/w1/faults", {"lose_answers": 1})
                with pytest.raises(WorkerUnreachable):
                    await first.start([SPEC._replace(task="job/9")])
                await post(address, "/workers/w1/faults", {"fail_all": True})
                await first.start([SPEC._replace(task="job/10")])
                await anyio.sleep(0.02)
                states = {r.task: r.state for r in await first.renew(10.0)}
                assert states["job/9"] == "running"
                assert states["job/10"] == "failed"

        anyio.run(scenario)


class TestHttpRunnerDialer:
    def test_answer_belongs_to_its_request(self):
        async def scenario():
            async with runner() as (standin, address):
                connection = HttpRunnerDialer().connection("m-0", address)
                await connection.open()
                for _ in range(2):
                    answer = await connection.exchange(POST)
                    assert answer.status == 200
                    assert msgspec.json.decode(answer.body)["key"] == "k1"
                await connection.close()

        anyio.run(scenario)

    def test_refused_before_the_first_byte_and_broken_after_it(self):
        async def scenario():
            dialer = HttpRunnerDialer()
            with pytest.raises(RunnerRefused):
                await dialer.connection("m-0", free_address()).open()
            async with runner(break_answers=1) as (standin, address):
                connection = dialer.connection("m-0", address)
                await connection.open()
                with pytest.raises(RunnerBroken):
                    await connection.exchange(POST)
                with pytest.raises(RunnerRefused):
                    await connection.exchange(POST)
                assert len(standin._journal) == 1

        anyio.run(scenario)

    def test_connection_closed_by_the_runner_is_noticed_before_sending(self):
        async def scenario():
            async def answer_once(stream):
                async with stream:
                    await stream.receive()
                    await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, answer_once)
                connection = HttpRunnerDialer().connection("m-0", f"127.0.0.1:{port}")
                await connection.open()
                await connection.exchange(GET)
                await anyio.sleep(0.05)
                with pytest.raises(RunnerRefused):
                    await connection.exchange(POST)
                tasks.cancel_scope.cancel()
            await listener.aclose()

        anyio.run(scenario)

    def test_cancelled_exchange_closes_the_connection(self):
        async def scenario():
            async with runner(paused=True) as (standin, address):
                connection = HttpRunnerDialer().connection("m-0", address)
                await connection.open()
                with anyio.move_on_after(0.1):
                    await connection.exchange(GET)
                assert not connection.usable
                with pytest.raises(RunnerRefused):
                    await connection.exchange(POST)
                standin.faults.clear()

        anyio.run(scenario)

    def test_connections_beyond_the_limit_are_closed(self):
        async def scenario():
            async with runner() as (_, address):
                dialer = HttpRunnerDialer()
                connections = [dialer.connection("m-0", address) for _ in range(65)]
                for connection in connections:
                    await connection.open()
                await anyio.sleep(0.05)
                assert [c.usable for c in connections].count(False) == 1
                for connection in connections:
                    await connection.close()

        anyio.run(scenario)
