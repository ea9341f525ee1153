"""Counts the bytes of a request as it is received, without I/O."""

from __future__ import annotations

from ragworttiller.connection.limits import RequestLimits

# Empty lines before a request, beside the longest head.
EMPTY_LINES_BYTES = 64
# Framing of a chunk that does not count against the limit of the trailers.
CHUNK_FRAMING_BYTES = 16
# Most bytes of a chunked body that are parsed at once: other requests may follow in them.
PARSED_BYTES = 4096
# Memory of a header field, and of a request, beside their bytes.
FIELD_BYTES = 160
REQUEST_BYTES = 8192
HEAD_END = b"\r\n\r\n"
CHUNKED_BODY_END = b"0\r\n\r\n"


class RequestMeter:
    """Length and memory of the request that a connection receives.

    The parser of the connection is given one piece of the bytes after the other, and its callbacks
    report what it finds in each.

    Parameters
    ----------
    limits : RequestLimits
        Limits on the request.

    Attributes
    ----------
    limits : RequestLimits
        Limits on the request; they may be replaced between two requests.
    in_head : bool
        Whether the head, or what precedes it, is being received.
    body_bytes : int
        Bytes of its body.
    """

    def __init__(self, limits: RequestLimits) -> None:
        self.limits = limits
        self.in_head = True
        self.body_bytes = 0
        self._content_length: int | None = None
        self._memory = 0
        # Bytes since the last request or head ended, without those of bodies.
        self._framing = 0
        # What the parser has reported of the present piece.
        self._uncounted = 0
        self._chunks = 0
        self._part_ended = False
        self._body_before = 0

    @property
    def head_too_large(self) -> bool:
        """Whether the head, the framing of a chunk or the trailers exceed their limit."""
        return self._framing >= self._max_framing

    @property
    def body_too_large(self) -> bool:
        """Whether the body exceeds its limit, or will."""
        return max(self.body_bytes, self._content_length or 0) > self.limits.max_body

    @property
    def _max_framing(self) -> int:
        return self.limits.max_head + EMPTY_LINES_BYTES

    def next_length(self, data: bytes, position: int) -> int:
        """Return how many bytes from a position on make up the next piece.

        It ends no later than the request does, as far as that can be told.
        """
        left = len(data) - position
        if not self.in_head and self._content_length is not None:
            return min(left, self._content_length - self.body_bytes)
        mark = HEAD_END if self.in_head else CHUNKED_BODY_END
        most = self._max_framing - self._framing if self.in_head else PARSED_BYTES
        end = data.find(mark, position)
        return min(left if end < 0 else end + len(mark) - position, most)

    def begin_piece(self) -> None:
        """Begin a piece."""
        self._chunks = 0
        self._part_ended = False
        self._body_before = self.body_bytes

    def end_piece(self, length: int) -> None:
        """End a piece of some bytes."""
        if self._part_ended:
            self._framing = 0
            return
        framing = length - (self.body_bytes - self._body_before)
        self._framing = max(self._framing + framing - CHUNK_FRAMING_BYTES * self._chunks, 0)

    def begin_request(self) -> None:
        """Count a request."""
        self._add_memory(REQUEST_BYTES)

    def add_target(self, length: int) -> None:
        """Count bytes of the target."""
        self._add_memory(length)

    def add_field(self, name: bytes, value: bytes) -> None:
        """Count a header field, whose name is in lower case."""
        self._add_memory(len(name) + len(value) + FIELD_BYTES)
        if name == b"content-length":
            self._content_length = int(value)

    def end_head(self) -> None:
        """End the head."""
        self.in_head = False
        self._part_ended = True

    def begin_chunk(self) -> None:
        """Count a chunk of the body."""
        self._chunks += 1

    def add_body(self, length: int) -> None:
        """Count bytes of the body."""
        self.body_bytes += length
        self._add_memory(length)

    def end_request(self) -> int:
        """End the request, and return its memory in bytes."""
        memory, self._memory = self._memory, 0
        self.in_head = self._part_ended = True
        self._content_length = None
        self.body_bytes = 0
        return memory

    def take_uncounted(self) -> int:
        """Return the bytes of memory that were added since the last call."""
        uncounted, self._uncounted = self._uncounted, 0
        return uncounted

    def _add_memory(self, count: int) -> None:
        self._memory += count
        self._uncounted += count
