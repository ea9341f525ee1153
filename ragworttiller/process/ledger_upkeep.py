"""Limits of a shard of idempotency keys, and the records that enforce them."""

from __future__ import annotations

from typing import NamedTuple

from ragworttiller.process.ledger_fold import LedgerFold
from ragworttiller.process.licensed_attempts import AttemptRunner
from ragworttiller.process.snapshots import DEFAULT_RETENTION, Retention
from ragworttiller.process.stream import Stream
from ragworttiller.records import ExpireKeys, GiveUp
from ragworttiller.timers import TimerService

MAX_BUDGET_SECONDS = 60.0


class LedgerLimits(NamedTuple):
    """Limits of one shard.

    ``window`` is the minimum time in seconds for which an answered key is kept; keys are kept for
    ``long_window`` seconds while there are fewer than ``long_window_max_keys``. At ``max_keys``
    keys, new ones are refused. ``retention`` is what the log keeps.
    """

    window: float = 600.0
    long_window: float = 3600.0
    long_window_max_keys: int = 5_000
    max_keys: int = 10_000
    retention: Retention = DEFAULT_RETENTION


DEFAULT_LIMITS = LedgerLimits()


class LedgerUpkeep:
    """Expires old keys and releases licenses that will never be used.

    Parameters
    ----------
    stream : Stream
        The shard's stream, whose fold is a `LedgerFold`.
    timers : TimerService
        Source of time.
    limits : LedgerLimits
        Key window and maximum number of keys.
    runner : AttemptRunner
        Provides the attempts of this owner that may have run.
    """

    def __init__(
        self, stream: Stream, timers: TimerService, limits: LedgerLimits, runner: AttemptRunner
    ) -> None:
        assert isinstance(stream.fold, LedgerFold)
        self._stream = stream
        self._fold: LedgerFold = stream.fold
        self._timers = timers
        self._limits = limits
        self._runner = runner

    def expire_keys(self) -> None:
        """Post a record that expires the keys older than the key window."""
        limits = self._limits
        long = self._fold.size < limits.long_window_max_keys
        age = max(limits.long_window if long else limits.window, MAX_BUDGET_SECONDS)
        before = self._fold.offset_before(self._timers.wall() - age)
        if before > self._fold.expired_before:
            self._stream.post(ExpireKeys(self._stream.record_id(), before))

    def release_orphaned_licenses(self, in_progress: set[str]) -> None:
        """Release this owner's licenses whose intent was appended after the attempt had ended.

        Parameters
        ----------
        in_progress : set of str
            Keys with an attempt in progress, which are skipped.
        """
        writer = self._stream.writer
        for key, held in self._fold.licenses.items():
            if held.holder != writer or held.attempt in self._runner.unresolved:
                continue
            if key not in in_progress:
                record_id = self._stream.record_id()
                self._stream.post(GiveUp(record_id, key, held.attempt, writer, held.at))
