"""Configuration in force."""

from __future__ import annotations

import logging

from typing_extensions import override

from ragworttiller.exceptions import QueueUnknown, Unreadable
from ragworttiller.platform.configuration import Configuration, Queue, decode_configuration
from ragworttiller.platform.store import CONFIG_KEY, Record
from ragworttiller.scheduling.feed import Fold

log = logging.getLogger(__name__)


class ConfigFold(Fold):
    """Newest configuration that this process has seen; it never goes back to an older one."""

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._value = b""
        self._by_host: dict[str, list[Queue]] = {}

    @property
    def current(self) -> Configuration | None:
        """Configuration in force, None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Version in force, -1 before the first."""
        return self._current.version if self._current else -1

    @property
    def value(self) -> bytes:
        """Configuration in force as the operator wrote it."""
        return self._value

    @override
    def apply(self, record: Record) -> None:
        if record.key != CONFIG_KEY or not record.value:
            return
        try:
            self.adopt(record.value)
        except Unreadable as exc:
            log.warning("configuration skipped", extra={"offset": record.offset, "why": str(exc)})

    def adopt(self, value: bytes) -> None:
        """Put a configuration in force unless it is older than the current one.

        Raises
        ------
        Unreadable
            The bytes are no configuration.
        """
        configuration = decode_configuration(value)
        if self._current is not None and configuration.version <= self._current.version:
            return
        self._current, self._value = configuration, value
        by_host: dict[str, list[Queue]] = {}
        for queue in sorted(configuration.queues, key=lambda q: -len(q.prefix)):
            by_host.setdefault(queue.host, []).append(queue)
        self._by_host = by_host
        extra = {"version": configuration.version, "queues": len(configuration.queues)}
        log.info("configuration in force", extra=extra)

    def find(self, host: str, path: str) -> Queue:
        """Return the queue of a request: the longest prefix of the path on its host.

        Raises
        ------
        QueueUnknown
            There is none.
        """
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        raise QueueUnknown(host=host, path=path)

    def current_queue(self, queue: Queue) -> Queue:
        """Return a queue as it is now, or as it was if it was dropped."""
        for candidate in self._by_host.get(queue.host, ()):
            if candidate.prefix == queue.prefix:
                return candidate
        return queue
