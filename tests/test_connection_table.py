"""Property-based tests of who is ended when connections or bytes of requests run out."""

from __future__ import annotations

import asyncio
from typing import Any

import uvicorn
from hypothesis import given, settings
from hypothesis import strategies as st
from uvicorn.server import ServerState

from ragworttiller.connection.bounded_protocol import BoundedProtocol
from ragworttiller.connection.connection_table import (
    Connection,
    ConnectionState,
    ConnectionTable,
    EvictionOrder,
    HeaviestFirst,
    NewestFirst,
    Phase,
)
from ragworttiller.connection.ended_connections import EndReason
from ragworttiller.connection.limits import ConnectionLimits, RequestLimits
from ragworttiller.connection.request_meter import REQUEST_BYTES
from ragworttiller.connection.request_policy import FixedPolicy
from ragworttiller.connection.server_guard import ServerConnections
from ragworttiller.timers import ManualTimers

MAX_BYTES = 1_000_000
MAX_CONNECTIONS = 20
SMALL = 4_000
CROWD_BODY = 100_000
FOREVER = float("inf")


class FakeConnection(Connection):
    """Connection that does what the table asks for, in a table only."""

    def __init__(self, table: ConnectionTable) -> None:
        self.table = table
        self.state: ConnectionState
        self.ended = False
        self.is_new = True

    def make_room(self, reason: EndReason) -> None:
        self.ended = True
        if self.state.phase is Phase.IN_PROGRESS:
            self.table.forget(self.state, self.state.received)
        elif self.state.phase in (Phase.IDLE, Phase.CLOSING) and not self.is_new:
            self.table.remove(self.state)
        else:
            # It is refused, and read for some more time.
            self.table.close(self.state, 0.0, FOREVER)

    def abort(self) -> None:
        self.expire()

    def expire(self) -> None:
        self.ended = True
        self.table.remove(self.state)


class TableRig:
    """A table, and clients that connect, send, complete and get answers."""

    def __init__(self, order: EvictionOrder | None = None) -> None:
        self.table = ConnectionTable(MAX_BYTES, order)
        self.listener = self.table.listen(MAX_CONNECTIONS)
        self.now = 0.0
        self.connections: list[FakeConnection] = []
        self.in_progress: dict[FakeConnection, int] = {}

    def connect(self) -> FakeConnection:
        connection = FakeConnection(self.table)
        state = ConnectionState(connection, self.listener, self.now, FOREVER)
        connection.state = state
        for ended in self.table.add(state, self.now):
            ended.connection.make_room(EndReason.TOO_MANY_CONNECTIONS)
        connection.is_new = False
        self.connections.append(connection)
        return connection

    def receive(self, connection: FakeConnection, count: int) -> None:
        if connection.ended:
            return
        if connection.state.phase is Phase.IDLE:
            connection.state.enter(Phase.BODY, self.now)
        for ended in self.table.receive(connection.state, count, self.now):
            ended.connection.make_room(EndReason.TOO_MANY_BYTES)

    def complete(self, connection: FakeConnection) -> bool:
        """Return whether the request of a connection was handed on."""
        count = connection.state.received
        if connection.ended or connection in self.in_progress:
            return False
        if not self.table.hand_on(connection.state, count, self.now):
            self.table.remove(connection.state)
            connection.ended = True
            return False
        self.in_progress[connection] = count
        return True

    def answer(self, connection: FakeConnection) -> None:
        if connection in self.in_progress:
            self.table.finish(self.in_progress.pop(connection))
            connection.state.enter(Phase.IDLE, self.now)

    def leave(self, connection: FakeConnection) -> None:
        connection.ended = True
        self.table.remove(connection.state)

    def check(self) -> None:
        open_states = [c.state for c in self.connections if c.state in self.listener.states]
        received = sum(state.received for state in open_states)
        assert self.table.held == received + sum(self.in_progress.values())
        assert 0 <= self.table.held <= MAX_BYTES
        assert self.table.in_progress == sum(self.in_progress.values()) <= MAX_BYTES / 2
        # One more may be being refused.
        assert len(self.listener.states) <= MAX_CONNECTIONS + 1
        for connection in self.in_progress:
            gone = connection.state not in self.listener.states
            assert not gone or connection.ended


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["connect", "receive", "receive", "complete", "answer", "leave", "wait"]),
        st.integers(0, 40),
        st.one_of(st.integers(1, SMALL), st.integers(1, 300_000)),
    ),
    max_size=120,
)


class TestAnySequence:
    @given(STEPS)
    @settings(max_examples=150, deadline=None)
    def test_neither_bytes_nor_connections_exceed_their_limits(self, steps):
        rig = TableRig()
        for name, number, count in steps:
            if name == "connect" or not rig.connections:
                rig.connect()
            elif name == "wait":
                rig.now += count / 10_000
            else:
                connection = rig.connections[number % len(rig.connections)]
                arguments = [count] if name == "receive" else []
                getattr(rig, name)(connection, *arguments)
            rig.check()

    @given(STEPS)
    @settings(max_examples=150, deadline=None)
    def test_a_small_whole_request_gets_in_whatever_others_hold(self, steps):
        rig = TableRig()
        for name, number, count in steps:
            if name in ("connect", "wait", "receive") or not rig.connections:
                rig.now += 0.01
                rig.receive(rig.connect(), count)
            elif name == "leave":
                rig.leave(rig.connections[number % len(rig.connections)])
        rig.now += 0.01
        late = rig.connect()
        rig.receive(late, SMALL)
        assert rig.complete(late)

    def test_refused_connections_make_no_room_beyond_the_limit(self):
        """Guards against a limit that rises by one with each connection that is refused."""
        rig = TableRig()
        for _ in range(5 * MAX_CONNECTIONS):
            connection = rig.connect()
            rig.receive(connection, 10)
            rig.complete(connection)
            rig.check()
        assert len(rig.in_progress) <= MAX_CONNECTIONS

    @given(st.lists(st.integers(1, 20_000), max_size=MAX_CONNECTIONS))
    def test_nobody_is_ended_in_calm(self, lengths):
        rig = TableRig()
        connections = [rig.connect() for _ in lengths]
        for connection, length in zip(connections, lengths, strict=True):
            rig.receive(connection, length)
        handed_on = [rig.complete(connection) for connection in connections]
        assert all(handed_on)
        for connection in connections:
            rig.answer(connection)
        assert rig.table.held == 0


class TestEvictionOrder:
    def callers_served(self, order: EvictionOrder) -> int:
        """Return how many of ten callers are served beside a crowd that takes all it can get."""
        rig = TableRig(order)
        served = 0
        for _ in range(10):
            while rig.table.held + CROWD_BODY <= MAX_BYTES:
                rig.receive(rig.connect(), CROWD_BODY)
            rig.now += 1.0
            caller = rig.connect()
            rig.receive(caller, SMALL)
            if rig.complete(caller):
                served += 1
                rig.answer(caller)
                rig.leave(caller)
        return served

    def test_a_crowd_that_holds_all_bytes_keeps_no_caller_out(self):
        assert self.callers_served(HeaviestFirst()) == 10

    def test_under_the_baseline_it_does(self):
        assert self.callers_served(NewestFirst()) == 0

    def test_a_byte_now_and_then_is_no_progress(self):
        rig = TableRig()
        crowd = [rig.connect() for _ in range(9)]
        for connection in crowd:
            rig.receive(connection, CROWD_BODY)
        for _ in range(50):
            rig.now += 0.1
            for connection in crowd:
                rig.receive(connection, 1)
        assert all(connection.state.progressed_at == 0.0 for connection in crowd)


class FakeTransport(asyncio.Transport):
    """Transport of a connection whose client reads all answers."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.is_reading_now = True
        self.closed = False

    def write(self, data: Any) -> None:
        self.written += bytes(data)

    def write_eof(self) -> None:
        pass

    def can_write_eof(self) -> bool:
        return True

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True

    def pause_reading(self) -> None:
        self.is_reading_now = False

    def resume_reading(self) -> None:
        self.is_reading_now = True

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default


class Clients:
    """Connections of the server's own class, fed with bytes, whose application never answers."""

    def __init__(self, max_bytes: int) -> None:
        self.timers = ManualTimers()
        limits = ConnectionLimits(MAX_CONNECTIONS, max_bytes)
        self.connections = ServerConnections(limits, self.timers)
        self.guard = self.connections.guard(FixedPolicy(RequestLimits()))
        self.config = uvicorn.Config(self._app, ws="none", log_config=None, interface="asgi3")
        self.config.load()
        self.state = ServerState()
        self.protocols: list[BoundedProtocol] = []
        self.handed_on = 0

    async def _app(self, scope, receive, send) -> None:
        self.handed_on += 1
        await asyncio.Event().wait()

    def connect(self) -> BoundedProtocol:
        protocol = BoundedProtocol(
            self.guard, config=self.config, server_state=self.state, app_state={}
        )
        protocol.connection_made(FakeTransport())
        self.protocols.append(protocol)
        return protocol

    def bytes_held(self) -> int:
        """Return the bytes of bodies and header fields on all connections."""
        total = 0
        for protocol in self.protocols:
            cycles = {protocol.cycle, *(cycle for cycle, _ in protocol.pipeline)} - {None}
            total += sum(len(cycle.body) for cycle in cycles) + len(protocol._sent_ahead)
            total += sum(len(name) + len(value) for name, value in protocol.headers or [])
        return total


FRAGMENTS = st.sampled_from(
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"POST / HTTP/1.1\r\ncontent-length: 200000\r\n\r\n",
        b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n",
        b"1000\r\n" + b"x" * 4096 + b"\r\n",
        b"0\r\n",
        b"a: b\r\n" * 200,
        b"\r\n",
        b"x" * 60_000,
        b"expect: 100-continue\r\n",
        b"connection: upgrade\r\nupgrade: y\r\n",
    ]
)
SENT = st.lists(
    st.tuples(st.integers(0, MAX_CONNECTIONS), st.one_of(FRAGMENTS, st.binary(max_size=30))),
    max_size=80,
)


class TestAnyBytes:
    @given(SENT)
    @settings(max_examples=100, deadline=None)
    def test_what_connections_hold_never_exceeds_the_limit(self, sent):
        async def main():
            max_bytes = 500_000
            clients = Clients(max_bytes)
            for number, data in sent:
                while len(clients.protocols) <= number:
                    clients.connect()
                protocol = clients.protocols[number]
                if protocol.transport.is_reading_now and not protocol.transport.closed:
                    protocol.data_received(data)
                await asyncio.sleep(0)
                assert 0 <= clients.connections.held <= max_bytes
                assert clients.bytes_held() <= clients.connections.held
            for protocol in clients.protocols:
                protocol.connection_lost(None)
            for task in clients.state.tasks:
                task.cancel()
            await asyncio.sleep(0)
            assert clients.connections.held == 0

        asyncio.run(main())

    def test_a_request_that_is_never_answered_counts_at_least_its_length(self):
        async def main():
            clients = Clients(8_000_000)
            protocol = clients.connect()
            body = b"x" * 10_000
            head = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % len(body)
            protocol.data_received(head + body)
            assert clients.connections.held >= REQUEST_BYTES + len(body)
            await asyncio.sleep(0)
            assert clients.handed_on == 1

        asyncio.run(main())
