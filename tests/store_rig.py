"""A store, its client, and readers and writers of a partition, on virtual time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from ragworttiller.platform.store import Partition, Producer, Record, Store
from ragworttiller.scheduling.records.feed import Feed, Fold
from ragworttiller.scheduling.records.group_commit import GroupCommit
from standins.platform.service import Link
from standins.platform.store import StoreService
from standins.virtual_time import LoopTimers, run_virtual

PARTITION = Partition("keyed.things")


class RecordingFold(Fold):
    """Newest values of the keys, and the offsets of the applied records."""

    def __init__(self):
        self.values: dict[str, bytes] = {}
        self.applied: list[int] = []

    def apply(self, record: Record):
        """Apply a record."""
        self.applied.append(record.offset)
        if record.value:
            self.values[record.key] = record.value
        else:
            self.values.pop(record.key, None)


class StoreRig:
    """A store, a link to it and a client."""

    def __init__(self, page: int = 500):
        self.timers = LoopTimers()
        self.service = StoreService(self.timers, page)
        self.link = Link(self.service, self.timers)
        self.store = Store("", 1.0, self.link)
        self.recording = RecordingFold()

    def feed(self, **options) -> Feed:
        """Return a reader of the partition."""
        return Feed(self.store, PARTITION, self.recording, self.timers, **options)

    def writer(self, epoch: int = 1, **options) -> GroupCommit:
        """Return a writer to the partition."""
        return GroupCommit(self.store, PARTITION, Producer("p", epoch), self.timers, **options)

    def values(self) -> dict[str, bytes]:
        """Return the newest value of each key in the store."""
        return {k: v for k, (_, v) in self.service.partition(PARTITION.topic).newest().items()}


def virtual(test: Callable[[], Awaitable[None]]):
    """Run an async test on virtual time."""

    def run(*args):
        run_virtual(test, *args)

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


async def while_writing(writer: GroupCommit, body: Callable[[], Awaitable[None]]) -> None:
    """Run a test body while a writer runs."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(writer.run)
        await body()
        tasks.cancel_scope.cancel()
