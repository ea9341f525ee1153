"""Bounds on the answers that servers send, one by one and all together."""

from __future__ import annotations

# The store sends up to 1 MiB of records, a third more in base64.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_ANSWER_HEAD_BYTES = 64 * 1024
# Incomplete answers on all connections of the process.
MAX_INCOMPLETE_BYTES = 32 * 1024 * 1024


class AnswerTooLong(Exception):
    """An answer exceeds a limit.

    It is internal to this package: a channel ends the exchange.
    """


class IncompleteAnswers:
    """Bytes of the answers that a process is receiving.

    Parameters
    ----------
    max_bytes : int
        Most bytes of all together.
    """

    def __init__(self, max_bytes: int = MAX_INCOMPLETE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._held = 0

    @property
    def held(self) -> int:
        """Bytes of all incomplete answers."""
        return self._held

    def add(self, count: int) -> None:
        """Count bytes.

        Raises
        ------
        AnswerTooLong
            There is no room for them; they are not counted.
        """
        if self._held + count > self._max_bytes:
            raise AnswerTooLong("too many bytes of incomplete answers")
        self._held += count

    def remove(self, count: int) -> None:
        """Count bytes as no longer held."""
        self._held -= count


# All connections of a process share its memory.
ALL_ANSWERS = IncompleteAnswers()
