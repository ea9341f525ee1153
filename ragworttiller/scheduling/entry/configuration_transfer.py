"""Takes long configurations from other entries, piece by piece."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

import anyio
from typing_extensions import override

from ragworttiller.exceptions import RagworttillerError, Unreadable
from ragworttiller.process.peers import Peers
from ragworttiller.scheduling.clock import Clock
from ragworttiller.scheduling.entry.configuration_pieces import (
    PIECE_BYTES,
    ConfigurationNotice,
    ConfigurationPiece,
    ConfigurationPieceQuery,
    PieceBuffer,
    PieceEncoder,
)
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.records.record_reader import OtherSource

log = logging.getLogger(__name__)

# A piece of incompressible bytes takes a fifth of a second at 5 Mbit/s.
PIECE_TIMEOUT_SECONDS = 1.0
# The first answer is short, or one piece.
OFFER_TIMEOUT_SECONDS = 0.4
MIN_OFFER_TIMEOUT_SECONDS = 0.1
ASK_INTERVAL_SECONDS = 0.15
MAX_ASK_INTERVAL_SECONDS = 1.2
MIN_ASK_INTERVAL_SECONDS = 0.01
AVOID_FAILED_SECONDS = 3.0
MAX_ASKED = 4
# An entry that starts is told of no version, and many others may start with it.
MAX_ASKED_AT_START = 16
# Enough for each entry to hear of a version from some of those that have read it.
MAX_NOTIFIED = 16
# Entries that hear of a version at one moment ask different ones, once these have told of it too.
MAX_JITTER_SECONDS = 0.1


class _Offer(NamedTuple):
    """First piece of the configuration that an entry has."""

    source: str
    piece: ConfigurationPiece


class ConfigurationTransfer(OtherSource):
    """Transfer of long configurations between entries.

    Load pattern: a configuration of a thousand routes takes a slow link seconds, for which all
    other traffic of the entry shares that link. Compressed it takes a tenth. Only one transfer is
    made at a time, and a failed one goes on with the pieces that are missing, from any entry that
    has the same version.

    Parameters
    ----------
    config : QueueFold
        Configuration of this entry.
    peers : Peers
        Connections to the other entries.
    names : Callable
        Returns the names of all entries, none before they have been read.
    clock : Clock
        Source of time.

    Attributes
    ----------
    position : Callable
        Returns the offset of the next record that this entry reads from the store.
    received : int
        Configurations taken from other entries.
    """

    def __init__(
        self, config: QueueFold, peers: Peers, names: Callable[[], set[str]], clock: Clock
    ) -> None:
        self._config = config
        self._peers = peers
        self._names = names
        self._clock = clock
        self.position: Callable[[], int] = lambda: 0
        self.received = 0
        self._encoder = PieceEncoder(config)
        self._buffer = PieceBuffer(-1, 0)
        self._noticed: dict[str, int] = {}
        self._notice = anyio.Event()
        self._requested: set[str] = set()
        self._request = anyio.Event()
        self._announced = -1
        self._failed_at: dict[str, float] = {}
        self._lock = anyio.Lock()
        peers.handle(ConfigurationPieceQuery, self._serve)
        peers.handle(ConfigurationNotice, self._take_notice)

    async def run(self) -> None:
        """Take the configurations that were asked for by `request`, until cancelled."""
        while True:
            await self._request.wait()
            self._request = anyio.Event()
            sources, self._requested = sorted(self._requested), set()
            await self.take_later(sources)

    def request(self, source: str) -> None:
        """Request a transfer from an entry that has a later version; it is made by `run`."""
        self._requested.add(source)
        self._request.set()

    def announce(self) -> None:
        """Tell some entries of a long configuration that this one has read from the store."""
        version = self._config.version
        if version == self._announced or len(self._config.value) <= PIECE_BYTES:
            return
        self._announced = version
        others = self._others()
        for name in random.sample(others, min(len(others), MAX_NOTIFIED)):
            self._peers.post(name, ConfigurationNotice(version))

    async def take_later(self, sources: Sequence[str]) -> None:
        """Take the latest configuration that some entries have, if it is later than this one's."""
        version = self._config.version
        async with self._lock:
            # Callers that waited for a transfer of another one use its result.
            if self._config.version == version:
                await self._take_latest(sources)

    @override
    async def newest_position(self, position: int, seconds: float) -> int | None:
        end, interval = self._clock.now() + seconds, ASK_INTERVAL_SECONDS
        while not self._is_alone:
            self._notice, failed = anyio.Event(), self._failed_lately()
            async with self._lock:
                wait = max(end - self._clock.now(), MIN_OFFER_TIMEOUT_SECONDS)
                later = await self._take_latest(self._candidates(), wait)
            if later > position:
                return later
            left = end - self._clock.now()
            if left <= 0 and self._told() <= failed:
                break
            with self._clock.move_on_after(max(min(left, interval), MIN_ASK_INTERVAL_SECONDS)):
                await self._notice.wait()
                await self._clock.sleep(random.uniform(0.0, MAX_JITTER_SECONDS))
            interval = min(2 * interval, MAX_ASK_INTERVAL_SECONDS)
        return None

    async def _take_latest(
        self, sources: Sequence[str], wait: float = OFFER_TIMEOUT_SECONDS
    ) -> int:
        """Take the latest configuration that some entries offer within ``wait`` seconds.

        Returns
        -------
        int
            Offset in the store before which no record has a later version than this entry, as far
            as these entries know.
        """
        offers = await self._ask_all(sources, min(wait, OFFER_TIMEOUT_SECONDS))
        latest = max((offer.piece.version for offer in offers), default=-1)
        if latest > self._config.version:
            await self._take([offer for offer in offers if offer.piece.version == latest])
        known = [o.piece.position for o in offers if o.piece.version <= self._config.version]
        return max(known, default=0)

    async def _ask_all(self, sources: Sequence[str], wait: float) -> list[_Offer]:
        """Return what some entries offer, without waiting for others once one has more to offer."""
        offers: list[_Offer] = []

        async def ask(source: str) -> None:
            piece = await self._ask(source, 0, wait)
            if piece is None:
                return
            offers.append(_Offer(source, piece))
            if piece.version > self._config.version:
                tasks.cancel_scope.cancel()
            else:
                # It may have started again since it told of a later one.
                self._noticed.pop(source, None)

        async with anyio.create_task_group() as tasks:
            for source in sources:
                tasks.start_soon(ask, source)
        return offers

    async def _ask(
        self, source: str, index: int, timeout: float = PIECE_TIMEOUT_SECONDS
    ) -> ConfigurationPiece | None:
        """Return a piece of the configuration of an entry, None if it does not answer."""
        query = ConfigurationPieceQuery(self._config.version, index)
        try:
            piece: ConfigurationPiece = await self._peers.call(source, query, timeout)
        except RagworttillerError as exc:
            extra = {"entry": source, "index": index, "why": exc.code}
            log.info("configuration piece not received", extra=extra)
            self._failed_at[source] = self._clock.now()
            return None
        return piece

    async def _take(self, offers: Sequence[_Offer]) -> None:
        """Take the configuration that all of some offers have."""
        began, first = self._clock.now(), offers[0].piece
        if not self._buffer.takes(first):
            self._buffer = PieceBuffer(first.version, first.pieces)
        for source, piece in offers:
            if await self._receive(source, piece):
                break
        else:
            return
        value, received = self._buffer.value, self._buffer.received
        self._buffer = PieceBuffer(-1, 0)
        try:
            self._config.adopt(value)
        except Unreadable as exc:
            self._skip(source, exc)
            return
        self.received += 1
        extra = {"entry": source, "version": first.version, "bytes": len(value)}
        extra |= {"pieces": first.pieces, "received": received}
        extra["took"] = round(self._clock.now() - began, 3)
        log.info("configuration taken from another entry", extra=extra)

    async def _receive(self, source: str, first: ConfigurationPiece) -> bool:
        """Receive the missing pieces from an entry, and return whether none is missing."""
        try:
            self._buffer.add(0, first)
            while (missing := self._buffer.next_missing) is not None:
                answer = await self._ask(source, missing)
                # This entry may have read the version from the store meanwhile.
                if self._config.version >= first.version:
                    return False
                if answer is None or answer.version != first.version:
                    return False
                self._buffer.add(missing, answer)
        except Unreadable as exc:
            self._skip(source, exc)
            return False
        return True

    def _skip(self, source: str, error: Unreadable) -> None:
        """Ask an entry no more for a while, since what it has sent cannot be read."""
        extra = {"entry": source, "why": str(error)}
        log.warning("unreadable configuration of another entry skipped", extra=extra)
        self._failed_at[source] = self._clock.now()

    @property
    def _is_alone(self) -> bool:
        """Whether there are no other entries; before the first are known, there may be some."""
        return self._names() == {self._peers.instance}

    def _others(self) -> list[str]:
        return [name for name in self._names() if name != self._peers.instance]

    def _candidates(self) -> list[str]:
        """Return the entries to ask: those that have told of a later version, or any."""
        others, failed = set(self._others()), self._failed_lately()
        told = self._told()
        chosen = sorted(told - failed or others - failed or others)
        limit = MAX_ASKED if self._config.current else MAX_ASKED_AT_START
        return random.sample(chosen, min(len(chosen), limit))

    def _told(self) -> set[str]:
        """Return the entries that have told of a later version."""
        version = self._config.version
        return {name for name in self._others() if self._noticed.get(name, -1) > version}

    def _failed_lately(self) -> set[str]:
        """Return the entries that have lately not answered."""
        end = self._clock.now() - AVOID_FAILED_SECONDS
        self._failed_at = {name: at for name, at in self._failed_at.items() if at > end}
        return set(self._failed_at)

    async def _serve(self, sender: str, query: ConfigurationPieceQuery) -> ConfigurationPiece:
        version, position = self._config.version, self.position()
        if version <= query.version:
            return ConfigurationPiece(version, position)
        data = self._encoder.piece(query.piece)
        return ConfigurationPiece(version, position, self._encoder.count, data)

    async def _take_notice(self, sender: str, notice: ConfigurationNotice) -> None:
        self._noticed = {name: v for name, v in self._noticed.items() if name in self._names()}
        self._noticed[sender] = notice.version
        if notice.version > self._config.version:
            self._notice.set()
