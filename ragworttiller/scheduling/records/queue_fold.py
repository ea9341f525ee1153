"""Current configuration of the cell."""

from __future__ import annotations

import logging

from typing_extensions import override

from ragworttiller.exceptions import ApiKeyUnknown, QueueUnknown, Unreadable
from ragworttiller.platform.configuration import Configuration, Queue, decode_configuration
from ragworttiller.platform.store import CONFIG_KEY, Record
from ragworttiller.scheduling.records.feed import Fold
from ragworttiller.scheduling.state.workspaces import NO_WORKSPACE, Workspace

log = logging.getLogger(__name__)

# Bounds the memory if names of workspaces are never used again.
MAX_REMOVED_WORKSPACES = 1000


class QueueFold(Fold):
    """Newest configuration that this process has read; older versions are ignored.

    Attributes
    ----------
    workspaces : dict of str to Workspace
        Workspaces of the current configuration by name.
    known_workspaces : dict of str to Workspace
        The last record of each workspace, also of those removed since: their accepted jobs still
        run, under their last cap and weight.
    """

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._value = b""
        self._by_host: dict[str, list[Queue]] = {}
        self._by_key: dict[str, str] = {}
        self.workspaces: dict[str, Workspace] = {}
        self.known_workspaces: dict[str, Workspace] = {}

    @property
    def current(self) -> Configuration | None:
        """Current configuration, None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the current configuration, -1 before the first."""
        return self._current.version if self._current else -1

    @property
    def value(self) -> bytes:
        """Current configuration as written by the operator."""
        return self._value

    @override
    def apply(self, record: Record) -> None:
        if record.key != CONFIG_KEY or not record.value:
            return
        try:
            self.adopt(record.value)
        except Unreadable as exc:
            log.warning(
                "unreadable configuration skipped", extra={"offset": record.offset, "why": str(exc)}
            )

    def adopt(self, value: bytes) -> None:
        """Replace the current configuration unless the new one has no higher version.

        Raises
        ------
        Unreadable
            The bytes are not a valid configuration.
        """
        self.put_in_force(decode_configuration(value), value)

    def put_in_force(self, configuration: Configuration, value: bytes = b"") -> None:
        """Replace the current configuration unless the new one has no higher version.

        Parameters
        ----------
        configuration : Configuration
            The new configuration.
        value : bytes
            The configuration as written by the operator, which is handed to other entries.
        """
        if self._current is not None and configuration.version <= self._current.version:
            return
        self._current, self._value = configuration, value
        by_host: dict[str, list[Queue]] = {}
        for queue in sorted(configuration.queues, key=lambda q: -len(q.prefix)):
            by_host.setdefault(queue.host, []).append(queue)
        self._by_host = by_host
        self._index_workspaces(configuration)
        extra = {
            "version": configuration.version,
            "queues": len(configuration.queues),
            "bytes": len(value),
        }
        log.info("new configuration in force", extra=extra)

    def _index_workspaces(self, configuration: Configuration) -> None:
        rows = configuration.workspaces or ()
        self.workspaces = {workspace.name: workspace for workspace in rows}
        for name, workspace in self.workspaces.items():
            # Moved to the end, so that those removed first are evicted first.
            self.known_workspaces.pop(name, None)
            self.known_workspaces[name] = workspace
        while len(self.known_workspaces) > len(self.workspaces) + MAX_REMOVED_WORKSPACES:
            del self.known_workspaces[next(iter(self.known_workspaces))]
        self._by_key = {key: row.name for row in rows for key in row.keys}

    def add_removed(self, workspace: Workspace) -> None:
        """Add a workspace that was removed before this process read its first configuration."""
        if workspace.name not in self.known_workspaces:
            self.known_workspaces[workspace.name] = workspace

    def decides_by_key(self, queue: Queue, key: str) -> bool:
        """Return whether the key decides on a call: the queue needs one, or one is given."""
        current = self._current
        if current is None or current.workspaces is None:
            return False
        return bool(key) or not queue.anonymous

    def workspace_of(self, queue: Queue, key: str) -> str:
        """Return the name of the workspace that calls a queue with an API key, empty for none.

        Raises
        ------
        ApiKeyUnknown
            The queue needs a key, or a key is given, and no workspace has it.
        """
        if not self.decides_by_key(queue, key):
            return NO_WORKSPACE
        workspace = self._by_key.get(key)
        if workspace is None:
            raise ApiKeyUnknown(queue=queue.name)
        return workspace

    def find(self, host: str, path: str) -> Queue:
        """Return the queue of a request: the one on its host with the longest matching prefix.

        Raises
        ------
        QueueUnknown
            No queue matches.
        """
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        raise QueueUnknown(host=host, path=path)

    def current_queue(self, queue: Queue) -> Queue:
        """Return a queue as currently configured, or unchanged if it was removed."""
        for candidate in self._by_host.get(queue.host, ()):
            if candidate.prefix == queue.prefix:
                return candidate
        return queue
