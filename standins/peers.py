"""In-process stand-in for the messages between instances."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup
from typing_extensions import override

from ragworttiller.exceptions import PeerUnreachable, RagworttillerError
from ragworttiller.process.peers import Handler, Peers
from ragworttiller.timers import TimerService


class _Call:
    """Call in flight, with its reply once received."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.reply: Any = None
        self.error: RagworttillerError | None = None


class MemoryNetwork:
    """Network that connects several `MemoryPeers`; delivers messages only while `run` is active.

    Parameters
    ----------
    timers : TimerService
        Source of time.

    Attributes
    ----------
    delay : float
        Seconds that the delivery of each message and each reply takes.
    messages : int
        Messages and replies sent so far.
    """

    def __init__(self, timers: TimerService) -> None:
        self.timers = timers
        self.delay = 0.0
        self.messages = 0
        self._peers: dict[str, MemoryPeers] = {}
        self._cut: set[frozenset[str]] = set()
        self._held: dict[str, list[tuple[str, Any, _Call]]] = {}
        self._tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Deliver messages until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            await anyio.sleep_forever()

    def peers(self, instance: str) -> MemoryPeers:
        """Return new peers of an instance, which replace those of its earlier start."""
        self._peers[instance] = MemoryPeers(self, instance)
        return self._peers[instance]

    def remove(self, instance: str) -> None:
        """Remove an instance, as if its process had died."""
        self._peers.pop(instance, None)

    def cut(self, one: str, other: str) -> None:
        """Drop all messages between two instances."""
        self._cut.add(frozenset((one, other)))

    def heal(self) -> None:
        """Restore all connections that were cut."""
        self._cut.clear()

    def hold(self, instance: str) -> None:
        """Buffer the messages to an instance, as if its process were paused."""
        self._held.setdefault(instance, [])

    def release(self, instance: str) -> None:
        """Deliver the buffered messages to an instance, in order."""
        for sender, message, call in self._held.pop(instance, []):
            self.start_delivery(sender, instance, message, call)

    def start_delivery(self, sender: str, receiver: str, message: Any, call: _Call) -> None:
        """Start to deliver a message, or buffer it if the receiver is on hold."""
        if receiver in self._held:
            self._held[receiver].append((sender, message, call))
        elif self._tasks is not None:
            self._tasks.start_soon(self._deliver, sender, receiver, message, call)

    async def _deliver(self, sender: str, receiver: str, message: Any, call: _Call) -> None:
        if not await self._transmit(sender, receiver):
            return
        handler = self._peers[receiver].handlers.get(type(message))
        if handler is None:
            return
        try:
            call.reply = await handler(sender, message)
        except RagworttillerError as exc:
            call.error = exc
        if await self._transmit(receiver, sender):
            call.done.set()

    async def _transmit(self, sender: str, receiver: str) -> bool:
        self.messages += 1
        if self.delay > 0:
            await self.timers.sleep(self.delay)
        return receiver in self._peers and frozenset((sender, receiver)) not in self._cut


class MemoryPeers(Peers):
    """Peers of one instance on a `MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, instance: str) -> None:
        self._network = network
        self._instance = instance
        self.connection_lost_callbacks: list[Callable[[str], None]] = []
        self.handlers: dict[type, Handler] = {}

    @property
    @override
    def instance(self) -> str:
        return self._instance

    @override
    def handle(self, message_type: type, handler: Handler) -> None:
        self.handlers[message_type] = handler

    @override
    def on_connection_lost(self, callback: Callable[[str], None]) -> None:
        self.connection_lost_callbacks.append(callback)

    @override
    async def call(self, instance: str, message: Any, timeout: float) -> Any:
        call = _Call()
        self._network.start_delivery(self._instance, instance, message, call)
        with self._network.timers.move_on_after(timeout):
            await call.done.wait()
        if not call.done.is_set():
            raise PeerUnreachable(instance=instance)
        if call.error is not None:
            raise call.error
        return call.reply

    @override
    def post(self, instance: str, message: Any) -> None:
        self._network.start_delivery(self._instance, instance, message, _Call())
