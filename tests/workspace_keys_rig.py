"""Several entries that check API keys, with a store and connections between them."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc

from ragworttiller.exceptions import (
    PeerUnreachable,
    RagworttillerError,
)
from ragworttiller.platform.store import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    Partition,
    Producer,
    Store,
)
from ragworttiller.scheduling.entry.acceptance import Acceptance
from ragworttiller.scheduling.entry.callers import CallerReply, CallerRequest, LocalCallers
from ragworttiller.scheduling.entry.configuration_pieces import ConfigurationNotice
from ragworttiller.scheduling.entry.configuration_transfer import ConfigurationTransfer
from ragworttiller.scheduling.entry.configuration_watch import ConfigurationWatch
from ragworttiller.scheduling.entry.key_check import KeyCheck
from ragworttiller.scheduling.entry.peer_messages import (
    PEER_CODEC,
)
from ragworttiller.scheduling.entry.relaying_callers import RelayingCallers
from ragworttiller.scheduling.membership.reconnector import PeerReconnector
from ragworttiller.scheduling.records.feed import Feed
from ragworttiller.scheduling.records.formats import JOBS
from ragworttiller.scheduling.records.group_commit import GroupCommit
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.records.record_reader import LongRecordReader
from standins.platform.bandwidth import Bandwidth
from standins.platform.store import StoreService
from standins.virtual_time import LoopTimers, run_virtual
from tests.entry_rig import BODY, EntryRig
from tests.scheduling_rig import JOB, QUEUE

OPEN_PREFIX = "/open/"
UNLIMITED_BYTES_PER_SECOND = 1e9
REVOKE_SECONDS = 5.0
CONFIG_APPLY_SECONDS = 3.0
# A read that is in progress when the store begins to refuse still returns what changes meanwhile.
READ_SECONDS = 1.6
RED_KEY = "key-of-red-2f9c"
BLUE_KEY = "key-of-blue-81d0"
RED = {"name": "red", "api_keys": [RED_KEY]}
BLUE = {"name": "blue", "api_keys": [BLUE_KEY]}
CALLS = [("POST", JOB), ("GET", JOB), ("DELETE", JOB), ("GET", "")]


def keyed(version: int, *workspaces: Any) -> bytes:
    """Return a configuration with a queue that needs a key, and one that does not."""
    route = {"name": "q", "host": QUEUE.host, "path_prefix": QUEUE.prefix, "service": "desk"}
    anonymous = {**route, "name": "o", "path_prefix": OPEN_PREFIX, "allow_anonymous": True}
    fields = {"version": version, "routes": [route, anonymous], "tenants": list(workspaces)}
    return json.dumps(fields).encode()


class Network:
    """Connections between the entries of a test; an entry in ``silent`` gets and answers none.

    The links of entries, by name, are of unlimited bandwidth unless they are set.
    """

    def __init__(self, timers: LoopTimers, tasks: anyio.abc.TaskGroup):
        self.timers = timers
        self.tasks = tasks
        self.handlers: dict[str, dict[type, Callable[..., Awaitable[Any]]]] = {}
        self.silent: set[str] = set()
        self.asked: list[tuple[str, type]] = []
        self.posted: list[tuple[str, type]] = []
        self.links: dict[str, Bandwidth] = {}


class NetworkPeers:
    """Connections of one entry. Messages pass through the codec, as between processes."""

    def __init__(self, network: Network, instance: str):
        self.instance = instance
        self._network = network
        network.handlers[instance] = {}

    def handle(self, message_type: type, handler: Callable[..., Awaitable[Any]]):
        self._network.handlers[self.instance][message_type] = handler

    def reconnect(self, name: str):
        """Do nothing: there are no connections."""

    def post(self, name: str, message: object):
        """Send a one-way message, of which only the notice of a configuration has an effect."""
        self._network.posted.append((name, type(message)))
        if isinstance(message, ConfigurationNotice) and name in self._network.handlers:
            self._network.tasks.start_soon(self._deliver, name, message)

    async def _deliver(self, name: str, message: ConfigurationNotice):
        network = self._network
        await network.timers.sleep(0.001)
        if not network.silent & {name, self.instance}:
            await network.handlers[name][ConfigurationNotice](self.instance, message)

    async def call(self, name: str, message: Any, timeout: float) -> Any:
        network = self._network
        network.asked.append((name, type(message)))
        if network.silent & {name, self.instance} or name not in network.handlers:
            await network.timers.sleep(timeout)
            raise PeerUnreachable(instance=name)
        await network.timers.sleep(0.001)
        received = PEER_CODEC.decode_one(PEER_CODEC.encode_one(message))
        reply = await network.handlers[name][type(message)](self.instance, received)
        data = PEER_CODEC.encode_one(reply)
        if network.links:
            await self._transfer(name, data, timeout)
        return PEER_CODEC.decode_one(data)

    async def _transfer(self, sender: str, data: bytes, timeout: float):
        """Carry a reply over the links of both entries; one that comes too late is carried too."""
        links, arrived = self._network.links, anyio.Event()

        async def carry():
            for name in (sender, self.instance):
                await links[name].carry(len(data))
            arrived.set()

        self._network.tasks.start_soon(carry)
        with self._network.timers.move_on_after(timeout):
            await arrived.wait()
            return
        raise PeerUnreachable(instance=sender)


class KeyedEntry(EntryRig):
    """An entry that reads its configuration from the store, with connections to others."""

    def __init__(
        self,
        cell: KeyedCell,
        name: str,
        max_age: float = REVOKE_SECONDS,
        has_workspaces: bool = True,
        bandwidth: Bandwidth | None = None,
    ):
        super().__init__(cell.service, cell.timers, bandwidth=bandwidth)
        self.name = name
        client = Store("", 1.0, self.link)
        self.config = QueueFold()
        self.writer = GroupCommit(client, JOBS, Producer(name, 1), self.timers, exclusive=True)
        self.peers = NetworkPeers(cell.network, name)
        transfer = ConfigurationTransfer(self.config, self.peers, lambda: cell.names, self.timers)
        rate = bandwidth.bytes_per_second if bandwidth else UNLIMITED_BYTES_PER_SECOND
        self.config_feed = Feed(
            client,
            Partition(CONFIG_TOPIC),
            self.config,
            self.timers,
            on_change=transfer.announce,
            reader=LongRecordReader(client, Partition(CONFIG_TOPIC), rate, transfer),
        )
        transfer.position = lambda: self.config_feed.position
        self.transfer = transfer
        self.watch = ConfigurationWatch(
            self.config,
            self.config_feed,
            self.peers,
            transfer,
            lambda: cell.names,
            lambda: "",
            self.timers,
            has_workspaces,
        )
        self.acceptance = Acceptance(
            self.config,
            self.jobs,
            self.feed,
            self.claims,
            self.writer,
            self.timers,
            name,
            KeyCheck(self.config, self.watch, max_age, name),
        )
        self.callers = LocalCallers(self.acceptance)
        self.relaying = RelayingCallers(
            self.callers,
            self.peers,
            self.config,
            transfer,
            PeerReconnector(self.peers, self.timers),
            lambda: self.feed.age,
            lambda: "",
            lambda: cell.names,
            self.timers,
            self.writer,
        )
        self._scope: anyio.CancelScope | None = None

    async def run(self):
        """Run the entry until it is frozen."""
        with anyio.CancelScope() as self._scope:
            async with anyio.create_task_group() as tasks:
                parts = (self.config_feed, self.feed, self.writer, self.watch, self.transfer)
                for part in parts:
                    tasks.start_soon(part.run)

    def freeze(self):
        """Stop all work of the entry, which then neither reads nor asks."""
        self._scope.cancel()

    async def ask(
        self, key: str = "", method: str = "GET", path: str = "", prefix: str = QUEUE.prefix
    ) -> CallerReply:
        """Return the answer to a request of a caller; by default the count of a queue."""
        request = CallerRequest(method, QUEUE.host, prefix + path, BODY, 2.0, key=key)
        return await self.callers.answer(request)

    async def status(self, *args: Any, **kwargs: Any) -> int:
        """Return the HTTP status of the answer to a request of a caller."""
        try:
            return (await self.ask(*args, **kwargs)).status
        except RagworttillerError as exc:
            return exc.status


class KeyedCell:
    """A store and several entries."""

    def __init__(self, tasks: anyio.abc.TaskGroup):
        self.timers = LoopTimers()
        self.service = StoreService(self.timers)
        self.network = Network(self.timers, tasks)
        self.names: set[str] = set()
        self._tasks = tasks

    def configure(self, version: int, *workspaces: Any):
        """Write a configuration with some workspaces."""
        self.service.put(CONFIG_TOPIC, CONFIG_KEY, keyed(version, *workspaces))

    def add(self, name: str, **kwargs: Any) -> KeyedEntry:
        """Add an entry that does not run yet."""
        self.names.add(name)
        return KeyedEntry(self, name, **kwargs)

    def run(self, entry: KeyedEntry):
        """Run an entry, again if it was frozen."""
        self._tasks.start_soon(entry.run)

    async def start(self, *names: str, **kwargs: Any) -> list[KeyedEntry]:
        """Add entries and run them until they have read the store."""
        entries = [self.add(name, **kwargs) for name in names]
        for entry in entries:
            self.run(entry)
        await self.timers.sleep(0.1)
        return entries


def with_cell(body: Callable[[KeyedCell], Awaitable[None]]):
    """Run a test body with a cell whose first configuration has two workspaces."""

    async def main():
        async with anyio.create_task_group() as tasks:
            cell = KeyedCell(tasks)
            cell.configure(1, RED, BLUE)
            await body(cell)
            tasks.cancel_scope.cancel()

    run_virtual(main)
