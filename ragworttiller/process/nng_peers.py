"""Messages between instances over pynng.

Each instance has one pull socket that all others push into, and one push socket for each other
instance. Messages that wait for the same instance travel together.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio
import anyio.abc
import pynng
from typing_extensions import override

from ragworttiller.codec import Codec
from ragworttiller.exceptions import InvalidField, PeerUnreachable, RagworttillerError
from ragworttiller.messages import ENVELOPE_CODEC, PAYLOAD_CODEC, Envelope, ErrorReply
from ragworttiller.process.calls import ANY_INCARNATION, Call, CallTable
from ragworttiller.process.outbox import Outbox, Outgoing
from ragworttiller.process.peers import Handler, Peers
from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 64 * 1024 * 1024
SOCKET_BUFFER_BATCHES = 8
SEND_TIMEOUT_SECONDS = 2.0
CONNECTION_CHECK_SECONDS = 0.1
SEND_RETRY_SECONDS = 0.02
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000


class PeerTraffic(NamedTuple):
    """Messages and bytes since the start, envelopes included."""

    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class NngPeers(Peers):
    """Peers over pynng push and pull sockets.

    Parameters
    ----------
    instance : str
        Name of this instance.
    incarnation : int
        Number of this start of the instance.
    address : str
        ``IP number:port`` that other instances connect to.
    timers : TimerService
        Source of time.
    codec : Codec
        Codec of the messages.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        address: str,
        timers: TimerService,
        codec: Codec = PAYLOAD_CODEC,
    ) -> None:
        self._codec = codec
        self._instance = instance
        self._incarnation = incarnation
        self._address = address
        self._timers = timers
        self._handlers: dict[type, Handler] = {}
        self._peers: dict[str, Outbox] = {}
        self._sockets: dict[str, pynng.Push0] = {}
        self._watchers: list[Callable[[str], None]] = []
        self._calls = CallTable()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._traffic = PeerTraffic()
        self._bound = anyio.Event()

    @property
    @override
    def instance(self) -> str:
        return self._instance

    @property
    def traffic(self) -> PeerTraffic:
        """Messages and bytes since the start."""
        return self._traffic

    @property
    def open_calls(self) -> int:
        """Calls that wait for a reply."""
        return len(self._calls)

    async def wait_bound(self) -> None:
        """Wait until the instance listens on its address."""
        await self._bound.wait()

    async def run(self) -> None:
        """Listen and send until cancelled.

        Raises
        ------
        pynng.NNGException
            The address cannot be bound.
        """
        with pynng.Pull0(
            recv_buffer_size=SOCKET_BUFFER_BATCHES, recv_max_size=MAX_MESSAGE_BYTES
        ) as socket:
            socket.listen(f"tcp://{self._address}")
            try:
                async with anyio.create_task_group() as tasks:
                    self._tasks = tasks
                    self._bound.set()
                    tasks.start_soon(self._watch_loop)
                    for peer in self._peers.values():
                        tasks.start_soon(self._send_loop, peer)
                    await self._receive_loop(socket)
            finally:
                self._tasks = None
                self._calls.fail_all()

    @override
    def set_peer(self, name: str, address: str, incarnation: int) -> None:
        if name == self._instance:
            return
        peer = self._peers.get(name)
        if peer is not None and peer.address == address:
            peer.incarnation = incarnation
            self._calls.fail_others(name, incarnation)
            return
        self.drop_peer(name)
        peer = self._peers[name] = Outbox(name, address, incarnation)
        if self._tasks is not None:
            self._tasks.start_soon(self._send_loop, peer)

    @override
    def drop_peer(self, name: str) -> None:
        peer = self._peers.pop(name, None)
        if peer is None:
            return
        peer.scope.cancel()
        peer.clear()
        self._sockets.pop(name, None)
        self._calls.fail(name)

    def reconnect(self, name: str) -> None:
        """Replace the connection to an instance, which may have gone silent."""
        peer = self._peers.get(name)
        if peer is not None:
            self.drop_peer(name)
            self.set_peer(name, peer.address, peer.incarnation)

    @override
    def on_connection_lost(self, callback: Callable[[str], None]) -> None:
        self._watchers.append(callback)

    @override
    def handle(self, message_type: type, handler: Handler) -> None:
        self._handlers[message_type] = handler

    @override
    async def call(self, instance: str, message: Any, timeout: float) -> Any:
        peer = self._peers.get(instance)
        if peer is None and instance != self._instance:
            raise PeerUnreachable(instance=instance)
        call = Call(instance, self._incarnation if peer is None else peer.incarnation)
        correlation = self._calls.open(call)
        self._send(self._envelope(instance, message, correlation), call)
        try:
            with self._timers.move_on_after(timeout):
                await call.done.wait()
        finally:
            self._calls.close(correlation)
        if not call.done.is_set():
            raise PeerUnreachable(instance=instance)
        if call.error is not None:
            raise call.error
        return call.reply

    @override
    def post(self, instance: str, message: Any) -> None:
        self._send(self._envelope(instance, message, 0), None)

    async def flush(self, timeout: float) -> None:
        """Wait until nothing waits to be sent, at most ``timeout`` seconds."""
        with self._timers.move_on_after(timeout):
            while not all(peer.idle for peer in self._peers.values()):
                await self._timers.sleep(SEND_RETRY_SECONDS)
            await self._timers.sleep(SEND_RETRY_SECONDS)

    async def _watch_loop(self) -> None:
        """Find out soon that a process has ended: its connections close."""
        async for _ in self._timers.ticks(CONNECTION_CHECK_SECONDS):
            lost = [
                name
                for name, socket in self._sockets.items()
                if self._peers[name].check(bool(socket.pipes))
            ]
            for name in lost:
                log.info("the connection to %s is lost", name)
                self._calls.fail(name)
                for callback in self._watchers:
                    callback(name)

    def _envelope(self, receiver: str, message: Any, correlation: int) -> Envelope:
        peer = self._peers.get(receiver)
        incarnation = ANY_INCARNATION if peer is None else peer.incarnation
        payload = self._codec.encode_one(message)
        return Envelope(
            self._instance, self._incarnation, receiver, incarnation, correlation, False, payload
        )

    def _send(self, envelope: Envelope, call: Call | None) -> None:
        peer = self._peers.get(envelope.receiver)
        if peer is not None:
            peer.push(Outgoing(envelope, call, self._timers.now()))
        elif envelope.receiver == self._instance:
            self._receive(envelope)

    async def _send_loop(self, peer: Outbox) -> None:
        socket = pynng.Push0(
            send_buffer_size=SOCKET_BUFFER_BATCHES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self._sockets[peer.name] = socket
        with socket, peer.scope:
            socket.dial(f"tcp://{peer.address}", block=False)
            while True:
                await peer.queued.wait()
                # A peer that was dropped just now has nothing left to send.
                if items := peer.batch():
                    await self._send_batch(socket, items)

    async def _send_batch(self, socket: pynng.Push0, items: list[Outgoing]) -> None:
        data = ENVELOPE_CODEC.encode([item.envelope for item in items])
        while items[0].at + SEND_TIMEOUT_SECONDS > self._timers.now():
            try:
                socket.send(data, block=False)
            except pynng.TryAgain:
                await self._timers.sleep(SEND_RETRY_SECONDS)
                continue
            self._count(messages_out=len(items), bytes_out=len(data))
            return
        for item in items:
            if item.call is not None:
                item.call.fail()

    async def _receive_loop(self, socket: pynng.Pull0) -> None:
        descriptor = socket.recv_fd
        while True:
            await anyio.wait_readable(descriptor)
            try:
                data = socket.recv(block=False)
            except pynng.TryAgain:
                continue
            self._take(data)

    def _take(self, data: bytes) -> None:
        try:
            envelopes = ENVELOPE_CODEC.decode(data)
        except InvalidField as exc:
            log.warning("a message of %d bytes is dropped: %s", len(data), exc)
            return
        self._count(messages_in=len(envelopes), bytes_in=len(data))
        for envelope in envelopes:
            self._receive(envelope)

    def _receive(self, envelope: Envelope) -> None:
        addressed = envelope.receiver_incarnation in (ANY_INCARNATION, self._incarnation)
        if envelope.receiver != self._instance or not addressed:
            return
        try:
            message = self._codec.decode_one(envelope.payload)
        except InvalidField as exc:
            log.warning("a message from %s is dropped: %s", envelope.sender, exc)
            return
        if envelope.reply:
            self._calls.take_reply(envelope, message)
        elif self._tasks is not None:
            self._tasks.start_soon(self._serve, envelope, message)

    async def _serve(self, envelope: Envelope, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            log.warning("no handler for %s from %s", type(message).__name__, envelope.sender)
            return
        try:
            reply = await handler(envelope.sender, message)
        except RagworttillerError as exc:
            reply = ErrorReply(exc.body())
        except Exception:
            log.exception("the handler of %s failed", type(message).__name__)
            reply = ErrorReply(RagworttillerError().body())
        if envelope.correlation and reply is not None:
            self._reply(envelope, reply)

    def _reply(self, envelope: Envelope, message: Any) -> None:
        reply = Envelope(
            self._instance,
            self._incarnation,
            envelope.sender,
            envelope.sender_incarnation,
            envelope.correlation,
            True,
            self._codec.encode_one(message),
        )
        self._send(reply, None)

    def _count(self, **amounts: int) -> None:
        sums = {name: getattr(self._traffic, name) + add for name, add in amounts.items()}
        self._traffic = self._traffic._replace(**sums)
