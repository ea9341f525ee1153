"""Messages between instances in one process on virtual time, with faults that tests set."""

from __future__ import annotations

import anyio
import pynng
from typing_extensions import override

from ragworttiller.codec import Codec
from ragworttiller.process.nng_peers import NngPeers
from ragworttiller.process.outbox import Outbox
from ragworttiller.timers import TimerService

DELAY_SECONDS = 0.002


class VirtualNetwork:
    """Network of instances that listen on addresses.

    Parameters
    ----------
    timers : TimerService
        Source of time.

    Attributes
    ----------
    listeners : dict of str to VirtualPeers
        Instances that listen, by address.
    silent : set of str
        Addresses that neither send nor receive, without any connection being reset.
    """

    def __init__(self, timers: TimerService) -> None:
        self.timers = timers
        self.listeners: dict[str, VirtualPeers] = {}
        self.silent: set[str] = set()

    def connects(self, source: str, target: str) -> bool:
        """Return whether a new connection between two addresses can be opened."""
        return target in self.listeners and not self.silent & {source, target}


class VirtualConnection:
    """Connection of one outbox, in place of a socket; it reconnects by itself once it was reset.

    Parameters
    ----------
    network : VirtualNetwork
        Network.
    source, target : str
        Addresses of both ends.
    """

    def __init__(self, network: VirtualNetwork, source: str, target: str) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._peer: VirtualPeers | None = None

    @property
    def pipes(self) -> list[VirtualPeers]:
        """The instance at the other end, empty while there is no connection."""
        if self._peer is not None and self._is_reset(self._peer):
            self._peer = None
        if self._peer is None and self._network.connects(self._source, self._target):
            self._peer = self._network.listeners[self._target]
        return [] if self._peer is None else [self._peer]

    def _is_reset(self, peer: VirtualPeers) -> bool:
        """Return whether the process at the other end has ended, and this end has heard of it."""
        ended = self._network.listeners.get(self._target) is not peer
        return ended and not self._network.silent & {self._source, self._target}

    def send(self, data: bytes, block: bool) -> None:
        """Send a batch, which is lost if one end is silent."""
        if not self.pipes:
            raise pynng.TryAgain("not connected", 0)
        if not self._network.silent & {self._source, self._target}:
            self.pipes[0].deliver(data)


class VirtualPeers(NngPeers):
    """Peers whose batches pass through a `VirtualNetwork`.

    Parameters
    ----------
    network : VirtualNetwork
        Network.
    instance, incarnation, address, codec
        As for `NngPeers`.
    """

    def __init__(
        self,
        network: VirtualNetwork,
        instance: str,
        incarnation: int,
        address: str,
        codec: Codec,
    ) -> None:
        super().__init__(instance, incarnation, address, network.timers, codec)
        self._network = network

    @override
    async def run(self) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                self._network.listeners[self._address] = self
                tasks.start_soon(self._check_connections)
                for outbox in list(self._outboxes.values()):
                    tasks.start_soon(self._send_loop, outbox)
                await anyio.sleep_forever()
        finally:
            self._tasks = None
            if self._network.listeners.get(self._address) is self:
                del self._network.listeners[self._address]
            self._calls.fail_all()

    @override
    async def _send_loop(self, outbox: Outbox) -> None:
        if self._outboxes.get(outbox.name) is not outbox:
            return
        connection = VirtualConnection(self._network, self._address, outbox.address)
        self._sockets[outbox.name] = connection  # type: ignore[assignment]
        with outbox.scope:
            await self._sender.run(connection, outbox)  # type: ignore[arg-type]

    def deliver(self, data: bytes) -> None:
        """Receive a batch after the delay of the network, unless this instance has ended."""
        if self._tasks is not None:
            self._tasks.start_soon(self._receive_later, data)

    async def _receive_later(self, data: bytes) -> None:
        await self._timers.sleep(DELAY_SECONDS)
        if self._address not in self._network.silent:
            self._receive_batch(data)
