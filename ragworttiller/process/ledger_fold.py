"""State of one shard of idempotency keys, computed from its stream only."""

from __future__ import annotations

import sys
from typing import Any, NamedTuple

import msgspec
from typing_extensions import override

from ragworttiller.process.fold import VALID, Fold, Verdict
from ragworttiller.records import ExpireKeys, GiveUp, Intent, Outcome

KEY_REUSED = Verdict(False, "key_reused")
KEY_TAKEN = Verdict(False, "key_taken")
ATTEMPT_BURNT = Verdict(False, "attempt_burnt")
TOO_LATE = Verdict(False, "too_late")
NOT_LICENSED = Verdict(False, "not_licensed")
NOT_HOLDER = Verdict(False, "not_holder")
REPEATED = Verdict(False, "repeated")
UNKNOWN_RECORD = Verdict(False, "unknown_record")


class License(NamedTuple):
    """Valid intent without an outcome; ``offset`` is that of the intent."""

    offset: int
    attempt: str
    at: float
    body_digest: bytes
    holder: str


class Settled(NamedTuple):
    """Key with a recorded answer; ``offset`` is that of the outcome."""

    offset: int
    attempt: str
    at: float
    body_digest: bytes
    status: int
    content_type: str
    body: bytes | None


class Burnt(NamedTuple):
    """Attempt that can never be licensed; ``offset`` is that of the record that burnt it."""

    offset: int
    at: float


class _State(NamedTuple):
    licenses: dict[str, License]
    settled: dict[str, Settled]
    burnt: dict[str, Burnt]
    expired_before: int
    horizon: float


class LedgerFold(Fold):
    """Licenses, outcomes and burnt attempts of one shard.

    A key holds at most one license or recorded answer, and only the first intent of an attempt
    counts. Once an attempt has expired at the end of the key window, attempts that are as old can
    neither be licensed nor be proven never to have been licensed.
    """

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_State)
        self.reset()

    @property
    def licenses(self) -> dict[str, License]:
        """Licenses in force by key, oldest first."""
        return self._licenses

    @property
    def settled(self) -> dict[str, Settled]:
        """Recorded answers by key, oldest first."""
        return self._settled

    @property
    def burnt(self) -> dict[str, Burnt]:
        """Burnt attempts, oldest first."""
        return self._burnt

    @property
    def size(self) -> int:
        """Number of keys and burnt attempts."""
        return len(self._licenses) + len(self._settled) + len(self._burnt)

    @property
    def body_bytes(self) -> int:
        """Bytes of all recorded bodies."""
        return self._body_bytes

    @property
    def expired_before(self) -> int:
        """Offset below which answered keys and burnt attempts have been dropped."""
        return self._expired_before

    def offset_before(self, at: float) -> int:
        """Return an offset below which all answers and burnt attempts are older than ``at``.

        Returns 0 if nothing can expire.
        """
        offsets = []
        cutoff: int | None = None
        expirable: list[dict[str, Any]] = [self._settled, self._burnt]
        for entries in expirable:
            for entry in entries.values():
                if entry.at >= at:
                    cutoff = entry.offset if cutoff is None else min(cutoff, entry.offset)
                    break
                offsets.append(entry.offset)
        old = [offset for offset in offsets if cutoff is None or offset < cutoff]
        return max(old) + 1 if old else 0

    @override
    def apply(self, offset: int, record: Any) -> Verdict:
        match record:
            case Intent():
                return self._apply_intent(offset, record)
            case Outcome():
                return self._apply_outcome(offset, record)
            case GiveUp():
                return self._apply_give_up(offset, record)
            case ExpireKeys():
                return self._apply_expiry(offset, record)
        return UNKNOWN_RECORD

    @override
    def dump(self) -> bytes:
        state = _State(
            self._licenses, self._settled, self._burnt, self._expired_before, self._horizon
        )
        return self._encoder.encode(state)

    @override
    def load(self, data: bytes) -> None:
        self._set_state(self._decoder.decode(data))

    @override
    def reset(self) -> None:
        self._set_state(_State({}, {}, {}, 0, float("-inf")))

    def _set_state(self, state: _State) -> None:
        self._licenses = state.licenses
        self._settled = state.settled
        self._burnt = state.burnt
        self._expired_before = state.expired_before
        self._horizon = state.horizon
        self._body_bytes = sum(len(entry.body or b"") for entry in self._settled.values())

    def _apply_intent(self, offset: int, intent: Intent) -> Verdict:
        if intent.attempt in self._burnt:
            return ATTEMPT_BURNT
        if intent.at <= self._horizon:
            return TOO_LATE
        entry = self._licenses.get(intent.key) or self._settled.get(intent.key)
        if entry is None:
            self._licenses[intent.key] = License(
                offset, intent.attempt, intent.at, intent.body_digest, sys.intern(intent.holder)
            )
            return VALID
        if entry.attempt == intent.attempt:
            return REPEATED
        self._burnt[intent.attempt] = Burnt(offset, intent.at)
        return KEY_TAKEN if entry.body_digest == intent.body_digest else KEY_REUSED

    def _apply_outcome(self, offset: int, outcome: Outcome) -> Verdict:
        held = self._licenses.get(outcome.key)
        if held is None or held.attempt != outcome.attempt:
            return NOT_LICENSED
        del self._licenses[outcome.key]
        self._body_bytes += len(outcome.body or b"")
        self._settled[outcome.key] = Settled(
            offset,
            held.attempt,
            held.at,
            held.body_digest,
            outcome.status,
            sys.intern(outcome.content_type),
            outcome.body,
        )
        return VALID

    def _apply_give_up(self, offset: int, give_up: GiveUp) -> Verdict:
        if give_up.attempt in self._burnt:
            return REPEATED
        settled = self._settled.get(give_up.key)
        if settled is not None and settled.attempt == give_up.attempt:
            return NOT_HOLDER
        held = self._licenses.get(give_up.key)
        if held is not None and held.attempt == give_up.attempt:
            if held.holder != give_up.by:
                return NOT_HOLDER
            del self._licenses[give_up.key]
        elif give_up.at <= self._horizon:
            return TOO_LATE
        self._burnt[give_up.attempt] = Burnt(offset, give_up.at)
        return VALID

    def _apply_expiry(self, offset: int, expiry: ExpireKeys) -> Verdict:
        before = min(expiry.before, offset)
        if before <= self._expired_before:
            return REPEATED
        self._expired_before = before
        for key, entry in _entries_below(self._settled, before):
            self._advance_horizon(entry.at)
            self._body_bytes -= len(entry.body or b"")
            del self._settled[key]
        for attempt, burnt in _entries_below(self._burnt, before):
            self._advance_horizon(burnt.at)
            del self._burnt[attempt]
        return VALID

    def _advance_horizon(self, at: float) -> None:
        self._horizon = max(self._horizon, at)


def _entries_below(entries: dict[str, Any], before: int) -> list[tuple[str, Any]]:
    """Return the entries below an offset; ``entries`` is in offset order."""
    older = []
    for name, entry in entries.items():
        if entry.offset >= before:
            break
        older.append((name, entry))
    return older
