"""Snapshots of the configuration, written before the log drops its records."""

from __future__ import annotations

from typing_extensions import override

from ragworttiller.process.membership import Membership
from ragworttiller.process.snapshots import (
    CHECK_PERIOD_SECONDS,
    DEFAULT_RETENTION,
    Retention,
    SnapshotWriter,
)
from ragworttiller.process.stream import Stream
from ragworttiller.records import CONFIG_STREAM, PurgeTombstones
from ragworttiller.timers import TimerService
from ragworttiller.version.config_fold import ConfigFold

TOMBSTONE_AGE_SECONDS = 24 * 3600.0


class ConfigRetention(SnapshotWriter):
    """Writes snapshots of the configuration while this instance is their owner.

    Every instance reads the stream and so knows when the last snapshot was written, unless it
    started later; in that case it writes one soon after becoming the owner.

    Parameters
    ----------
    stream : Stream
        Config stream.
    fold : ConfigFold
        Fold of the stream.
    membership : Membership
        Live instances; the owner of the config stream writes the snapshots.
    timers : TimerService
        Source of time.
    retention : Retention
        Retention limits of the log.
    tombstone_seconds : float
        Age at which tombstones are purged. It must exceed the clock difference between any two
        instances and the time by which an append may be delayed.
    """

    def __init__(
        self,
        stream: Stream,
        fold: ConfigFold,
        membership: Membership,
        timers: TimerService,
        retention: Retention = DEFAULT_RETENTION,
        tombstone_seconds: float = TOMBSTONE_AGE_SECONDS,
    ) -> None:
        super().__init__(stream, timers, retention)
        self._config = fold
        self._membership = membership
        self._tombstone_seconds = tombstone_seconds
        self._last_snapshot_as_of = 1

    @override
    async def run(self) -> None:
        await self._stream.wait_ready()
        self._assume_snapshot_age()
        self._last_snapshot_as_of = self._stream.snapshot_as_of
        async for now in self._timers.ticks(CHECK_PERIOD_SECONDS):
            self._record_new_snapshot(now)
            if self._is_owner() and self.due():
                self._purge()
                self.post()

    def _is_owner(self) -> bool:
        return self._membership.owner(CONFIG_STREAM) == self._membership.instance

    def _record_new_snapshot(self, now: float) -> None:
        """Record the time of a new snapshot, whichever instance wrote it."""
        if self._stream.snapshot_as_of != self._last_snapshot_as_of:
            self._last_snapshot_as_of = self._stream.snapshot_as_of
            self._posted_at = now

    def _purge(self) -> None:
        before = self._timers.wall() - self._tombstone_seconds
        if self._config.tombstones_before(before):
            self._stream.post(PurgeTombstones(self._stream.record_id(), before))
