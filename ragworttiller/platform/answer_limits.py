"""Bounds on the answers that servers send, one by one and all together."""

from __future__ import annotations

from abc import ABC, abstractmethod

# The store sends up to 1 MiB of records, a third more in base64.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_ANSWER_HEAD_BYTES = 64 * 1024
# Incomplete answers on all connections of the process.
MAX_INCOMPLETE_BYTES = 32 * 1024 * 1024


class AnswerTooLong(Exception):
    """An answer exceeds a limit.

    It is internal to this package: a channel ends the exchange.
    """


class IncompleteAnswer(ABC):
    """An answer that is being received."""

    @abstractmethod
    def break_off(self) -> None:
        """Forget what was received; what comes later is refused."""


class IncompleteAnswers:
    """Bytes of the answers that a process is receiving.

    Parameters
    ----------
    max_bytes : int
        Most bytes of all together; beyond it the longest answer is broken off.
    """

    def __init__(self, max_bytes: int = MAX_INCOMPLETE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._lengths: dict[IncompleteAnswer, int] = {}
        self._held = 0

    @property
    def held(self) -> int:
        """Bytes of all incomplete answers."""
        return self._held

    def add(self, answer: IncompleteAnswer, count: int) -> None:
        """Count bytes of an answer.

        Raises
        ------
        AnswerTooLong
            It is the longest, and there is no room for it; it is no longer counted.
        """
        self._lengths[answer] = self._lengths.get(answer, 0) + count
        self._held += count
        while self._held > self._max_bytes:
            longest = max(self._lengths, key=lambda item: self._lengths[item])
            self.remove(longest)
            if longest is answer:
                raise AnswerTooLong("too many bytes of incomplete answers")
            longest.break_off()

    def remove(self, answer: IncompleteAnswer) -> None:
        """Count an answer as no longer held."""
        self._held -= self._lengths.pop(answer, 0)


# All connections of a process share its memory.
ALL_ANSWERS = IncompleteAnswers()
