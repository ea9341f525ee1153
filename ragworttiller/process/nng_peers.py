"""Messages between instances over pynng.

Each instance has one pull socket that all others push to, and one push socket for each other
instance. Messages queued for the same instance are sent in batches.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any

import anyio
import anyio.abc
import pynng
from typing_extensions import override

from ragworttiller.codec import Codec
from ragworttiller.exceptions import InvalidField, PeerUnreachable, RagworttillerError
from ragworttiller.messages import (
    ANY_INSTANCE,
    ENVELOPE_CODEC,
    PAYLOAD_CODEC,
    Envelope,
    ErrorReply,
    Introduction,
)
from ragworttiller.process.calls import ANY_INCARNATION, Call, CallTable
from ragworttiller.process.drop_report import DropReport
from ragworttiller.process.introductions import Introductions
from ragworttiller.process.message_handlers import MessageHandlers
from ragworttiller.process.outbox import Outbox, QueuedEnvelope
from ragworttiller.process.outbox_budget import MIN_OUTBOXES_BYTES, DropReason, OutboxBudget
from ragworttiller.process.outbox_sender import SEND_RETRY_DELAY_SECONDS, OutboxSender
from ragworttiller.process.peer_traffic import PeerTraffic, PeerTrafficCounter
from ragworttiller.process.peers import Handler, Peers
from ragworttiller.process.push_sockets import (
    SOCKET_BUFFER_BATCHES,
    dial,
    end_attempts,
    new_push_socket,
)
from ragworttiller.timers import TimerService

log = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 64 * 1024 * 1024
CONNECTION_CHECK_PERIOD_SECONDS = 0.1
# An instance without a connection for as long counts as unreachable; connecting takes less.
UNREACHABLE_AFTER_SECONDS = 0.5


class NngPeers(Peers):
    """Peers over pynng push and pull sockets.

    Parameters
    ----------
    instance : str
        Name of this instance.
    incarnation : int
        Number that identifies this start of the instance.
    address : str
        ``IP address:port`` that other instances connect to.
    timers : TimerService
        Source of time.
    codec : Codec
        Codec of the messages.
    queue_bytes : int
        Bound on the bytes that wait to be sent to all other instances.
    """

    def __init__(
        self,
        instance: str,
        incarnation: int,
        address: str,
        timers: TimerService,
        codec: Codec = PAYLOAD_CODEC,
        queue_bytes: int = MIN_OUTBOXES_BYTES,
    ) -> None:
        self._codec = codec
        self._instance = instance
        self._incarnation = incarnation
        self._address = address
        self._timers = timers
        self._handlers = MessageHandlers()
        self._outboxes: dict[str, Outbox] = {}
        self._budget = OutboxBudget(queue_bytes)
        self._drop_report = DropReport(self._budget)
        self._sockets: dict[str, pynng.Push0] = {}
        self._connection_lost_callbacks: list[Callable[[str], None]] = []
        self._calls = CallTable()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._introductions = Introductions()
        self._unreachable: dict[str, float] = {}
        self._traffic = PeerTrafficCounter()
        introduction = Envelope(
            instance,
            incarnation,
            ANY_INSTANCE,
            ANY_INCARNATION,
            0,
            False,
            codec.encode_one(Introduction(address)),
        )
        self._sender = OutboxSender(introduction, timers, self._traffic)
        self._bound = anyio.Event()

    @property
    @override
    def instance(self) -> str:
        return self._instance

    @property
    @override
    def unreachable(self) -> Mapping[str, float]:
        return self._unreachable

    @property
    def traffic(self) -> PeerTraffic:
        """Messages and bytes since the start of the process."""
        return self._traffic.total

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait to be sent to all other instances."""
        return self._budget.queued

    @property
    def dropped(self) -> Mapping[DropReason, int]:
        """Messages that were not sent since the start of the process, by reason."""
        return self._budget.dropped

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
                    tasks.start_soon(self._check_connections)
                    for outbox in self._outboxes.values():
                        tasks.start_soon(self._send_loop, outbox)
                    await self._receive_loop(socket)
            finally:
                self._tasks = None
                self._calls.fail_all()

    @override
    def set_peer(self, name: str, address: str, incarnation: int) -> None:
        if name == self._instance:
            return
        outbox = self._outboxes.get(name)
        if outbox is not None and outbox.address == address:
            outbox.incarnation = incarnation
            self._calls.fail_other_incarnations(name, incarnation)
            return
        self.drop_peer(name)
        outbox = self._outboxes[name] = Outbox(name, address, incarnation, self._budget)
        if self._tasks is not None:
            self._tasks.start_soon(self._send_loop, outbox)

    @override
    def drop_peer(self, name: str) -> None:
        outbox = self._outboxes.pop(name, None)
        if outbox is None:
            return
        outbox.scope.cancel()
        outbox.clear()
        self._sockets.pop(name, None)
        self._unreachable.pop(name, None)
        self._calls.fail(name)

    def reconnect(self, name: str) -> None:
        """Replace the connection to an instance, which may have stalled.

        Its calls end without a reply; replies and one-way messages that wait are sent on the next.
        """
        outbox = self._outboxes.get(name)
        if outbox is None:
            return
        waiting = outbox.take_one_way()
        self.drop_peer(name)
        self.set_peer(name, outbox.address, outbox.incarnation)
        for item in waiting:
            self._outboxes[name].push(item)

    @override
    def on_connection_lost(self, callback: Callable[[str], None]) -> None:
        self._connection_lost_callbacks.append(callback)

    @override
    def handle(self, message_type: type, handler: Handler) -> None:
        self._handlers.add(message_type, handler)

    @override
    async def call(self, instance: str, message: Any, timeout: float) -> Any:
        outbox = self._outboxes.get(instance)
        if outbox is None and instance != self._instance:
            raise PeerUnreachable(instance=instance)
        call = Call(instance, self._incarnation if outbox is None else outbox.incarnation)
        correlation = self._calls.open(call)
        self._enqueue(self._envelope(instance, message, correlation), call)
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
        self._enqueue(self._envelope(instance, message, 0), None)

    async def flush(self, timeout: float) -> None:
        """Wait up to ``timeout`` seconds until all queued messages are sent."""
        with self._timers.move_on_after(timeout):
            while not all(outbox.idle for outbox in self._outboxes.values()):
                await self._timers.sleep(SEND_RETRY_DELAY_SECONDS)
            await self._timers.sleep(SEND_RETRY_DELAY_SECONDS)

    async def _check_connections(self) -> None:
        """Detect lost connections, which show within a short time that a process has ended."""
        async for _ in self._timers.ticks(CONNECTION_CHECK_PERIOD_SECONDS):
            now = self._timers.now()
            self._drop_report.update(now)
            for name in self._introductions.take_unused(now):
                self.drop_peer(name)
            lost = self._read_connections(now)
            for name in (name for name in lost if not self._introductions.opened(name)):
                log.info("connection to instance %s lost", name)
                self._calls.fail(name)
                for callback in self._connection_lost_callbacks:
                    callback(name)

    def _read_connections(self, now: float) -> list[str]:
        """Read which instances are connected, and return those whose connection was just lost."""
        outboxes = {name: self._outboxes[name] for name in self._sockets}
        lost = [
            name
            for name, socket in self._sockets.items()
            if outboxes[name].update_connection(bool(socket.pipes), now)
        ]
        since = {name: outbox.disconnected_since for name, outbox in outboxes.items()}
        end = now - UNREACHABLE_AFTER_SECONDS
        self._unreachable = {n: at for n, at in since.items() if at is not None and at <= end}
        return lost

    def _envelope(self, receiver: str, message: Any, correlation: int) -> Envelope:
        outbox = self._outboxes.get(receiver)
        incarnation = ANY_INCARNATION if outbox is None else outbox.incarnation
        payload = self._codec.encode_one(message)
        return Envelope(
            self._instance, self._incarnation, receiver, incarnation, correlation, False, payload
        )

    def _enqueue(self, envelope: Envelope, call: Call | None) -> None:
        outbox = self._outboxes.get(envelope.receiver)
        if outbox is not None:
            outbox.push(QueuedEnvelope(envelope, call, self._timers.now()))
        elif envelope.receiver == self._instance:
            self._dispatch(envelope)

    async def _send_loop(self, outbox: Outbox) -> None:
        if self._outboxes.get(outbox.name) is not outbox:
            # Dropped or replaced before this task began; its socket would replace the current one.
            return
        socket = new_push_socket()
        self._sockets[outbox.name] = socket
        with socket:
            try:
                with outbox.scope:
                    dial(socket, outbox.name, outbox.address)
                    await self._sender.run(socket, outbox)
            finally:
                await end_attempts(socket, self._timers)

    async def _receive_loop(self, socket: pynng.Pull0) -> None:
        descriptor = socket.recv_fd
        while True:
            await anyio.wait_readable(descriptor)
            try:
                data = socket.recv(block=False)
            except pynng.TryAgain:
                continue
            self._receive_batch(data)

    def _receive_batch(self, data: bytes) -> None:
        try:
            envelopes = ENVELOPE_CODEC.decode(data)
        except InvalidField as exc:
            log.warning(
                "batch of %d bytes dropped because it could not be decoded: %s", len(data), exc
            )
            return
        self._traffic.count_received(len(envelopes), len(data))
        for envelope in envelopes:
            self._dispatch(envelope)

    def _dispatch(self, envelope: Envelope) -> None:
        incarnation_matches = envelope.receiver_incarnation in (ANY_INCARNATION, self._incarnation)
        name_matches = envelope.receiver in (ANY_INSTANCE, self._instance)
        if not name_matches or not incarnation_matches:
            return
        try:
            message = self._codec.decode_one(envelope.payload)
        except InvalidField as exc:
            log.warning(
                "message from %s dropped because it could not be decoded: %s", envelope.sender, exc
            )
            return
        if isinstance(message, Introduction):
            self._introductions.record(envelope.sender, envelope.sender_incarnation, message)
        elif envelope.reply:
            self._calls.deliver_reply(envelope, message)
        elif self._tasks is not None:
            self._tasks.start_soon(self._run_handler, envelope, message)

    async def _run_handler(self, envelope: Envelope, message: Any) -> None:
        reply = await self._handlers.answer(envelope.sender, message)
        if envelope.correlation and reply is not None:
            self._send_reply(envelope, reply)

    def _send_reply(self, envelope: Envelope, message: Any) -> None:
        try:
            payload = self._codec.encode_one(message)
        except Exception:
            log.exception("reply %s cannot be encoded", type(message).__name__)
            payload = self._codec.encode_one(ErrorReply(RagworttillerError().body()))
        reply = Envelope(
            self._instance,
            self._incarnation,
            envelope.sender,
            envelope.sender_incarnation,
            envelope.correlation,
            True,
            payload,
        )
        outbox = self._reply_outbox(envelope)
        if outbox is None:
            self._enqueue(reply, None)
        else:
            outbox.push(QueuedEnvelope(reply, None, self._timers.now()))

    def _reply_outbox(self, call: Envelope) -> Outbox | None:
        """Return the outbox to the address that a caller has stated, None if it is as known.

        It is opened if needed, and dropped some time after its last reply.
        """
        address = self._introductions.address_of(call.sender, call.sender_incarnation)
        known = self._outboxes.get(call.sender)
        if address is None or call.sender == self._instance:
            return None
        if known is not None and known.address == address:
            return None
        name = f"{call.sender}@{address}"
        if name not in self._outboxes:
            log.info(
                "connection opened for replies", extra={"instance": call.sender, "address": address}
            )
            self.set_peer(name, address, ANY_INCARNATION)
        self._introductions.use(name, self._timers.now())
        return self._outboxes[name]
