"""Compressed pieces in which entries pass long configurations to each other."""

from __future__ import annotations

import zlib
from typing import NamedTuple

from ragworttiller.exceptions import Unreadable
from ragworttiller.scheduling.records.queue_fold import QueueFold

# Bytes of a configuration in one piece, before compression.
PIECE_BYTES = 128 * 1024
# A longer one is not part of other messages, of which there may be many at a time.
WHOLE_BYTES = 4 * 1024
COMPRESSION_LEVEL = 1
# Longer than any answer of the store that is received.
MAX_PIECES = 128
WHAT = "piece of a configuration"


def short_value(config: QueueFold) -> bytes:
    """Return the current configuration as written by the operator, empty if it is long."""
    return config.value if len(config.value) <= WHOLE_BYTES else b""


class ConfigurationPieceQuery(NamedTuple):
    """Asks an entry for a piece of its configuration if that is later than ``version``."""

    version: int
    piece: int


class ConfigurationPiece(NamedTuple):
    """One of several ``pieces`` of the configuration of an entry, compressed.

    There is none if the ``version`` of the entry is not later than the asker's. ``position`` is the
    offset in the store before which no record has a later version.
    """

    version: int
    position: int
    pieces: int = 0
    data: bytes = b""

    def __repr__(self) -> str:
        """Return a text without the piece, whose API keys must not appear in logs."""
        return f"ConfigurationPiece(version={self.version}, pieces={self.pieces})"


class ConfigurationNotice(NamedTuple):
    """Tells an entry that the sender has a long configuration from the store."""

    version: int


class PieceEncoder:
    """Compresses the pieces of the current configuration, each once.

    Parameters
    ----------
    config : QueueFold
        Configuration of this entry.
    """

    def __init__(self, config: QueueFold) -> None:
        self._config = config
        self._version = -1
        self._pieces: dict[int, bytes] = {}

    @property
    def count(self) -> int:
        """Number of pieces of the current configuration."""
        return -(-len(self._config.value) // PIECE_BYTES)

    def piece(self, index: int) -> bytes:
        """Return a compressed piece, empty if there is none of this index."""
        if self._version != self._config.version:
            self._version = self._config.version
            self._pieces.clear()
        if not 0 <= index < self.count:
            return b""
        if index not in self._pieces:
            start = index * PIECE_BYTES
            content = self._config.value[start : start + PIECE_BYTES]
            self._pieces[index] = zlib.compress(content, COMPRESSION_LEVEL)
        return self._pieces[index]


class PieceBuffer:
    """Pieces of one version that have arrived, from any entry that has it.

    Parameters
    ----------
    version : int
        Version of the configuration.
    count : int
        Number of its pieces.

    Attributes
    ----------
    received : int
        Bytes of the compressed pieces that have arrived.
    """

    def __init__(self, version: int, count: int) -> None:
        self.version = version
        self.received = 0
        self._count = count
        self._pieces: dict[int, bytes] = {}

    @property
    def next_missing(self) -> int | None:
        """Index of the first piece that is missing, None if there is none."""
        return next((i for i in range(self._count) if i not in self._pieces), None)

    @property
    def value(self) -> bytes:
        """Configuration as written by the operator, once no piece is missing."""
        return b"".join(self._pieces[index] for index in range(self._count))

    def takes(self, piece: ConfigurationPiece) -> bool:
        """Return whether a piece belongs to the same version, divided in the same way."""
        return (piece.version, piece.pieces) == (self.version, self._count)

    def add(self, index: int, piece: ConfigurationPiece) -> None:
        """Add a piece.

        Raises
        ------
        Unreadable
            It belongs to another version, or is not a compressed piece of the right length.
        """
        if self._count > MAX_PIECES:
            raise Unreadable(what=WHAT, problem=f"it is one of {self._count}")
        if not self.takes(piece):
            raise Unreadable(what=WHAT, problem="it belongs to another version")
        self.received += len(piece.data)
        content = _decompress(piece.data)
        is_last = index == self._count - 1
        if not content or len(content) != PIECE_BYTES and not is_last:
            raise Unreadable(what=WHAT, problem="it has the wrong length")
        self._pieces[index] = content


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, PIECE_BYTES)
    except zlib.error as exc:
        raise Unreadable(what=WHAT, problem=str(exc)) from exc
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise Unreadable(what=WHAT, problem="it is too long or cut off")
    return content
