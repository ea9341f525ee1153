"""Check of the API key of a call, by a configuration that may have to be confirmed first."""

from __future__ import annotations

from typing import NamedTuple

from ragworttiller.exceptions import ApiKeyUnknown, ConfigurationUnconfirmed
from ragworttiller.platform.configuration import Queue
from ragworttiller.scheduling.entry.confirmation import (
    ASK_AGE_SECONDS,
    STALE_AGE_SECONDS,
    Confirmation,
)
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.state.workspaces import NO_WORKSPACE

DEFAULT_MAX_AGE_SECONDS = 5.0
RETRY_AFTER_SECONDS = 1.0
# The clock of an instance may be that much slow against the one by which the bounds are measured.
MAX_CLOCK_ERROR = 0.02


class Caller(NamedTuple):
    """Queue that a call addresses, and the workspace that calls, empty for an anonymous call."""

    queue: Queue
    workspace: str


class KeyCheck:
    """Checks the API keys of calls.

    Parameters
    ----------
    config : QueueFold
        Current configuration.
    confirmation : Confirmation
        Tells how old the configuration may be, and confirms it.
    max_age : float
        Seconds after the last confirmation for which keys are still checked.
    name : str
        Name of this instance.
    """

    def __init__(
        self, config: QueueFold, confirmation: Confirmation, max_age: float, name: str
    ) -> None:
        self._config = config
        self._confirmation = confirmation
        self._max_age = max_age / (1 + MAX_CLOCK_ERROR)
        self._stale_age = min(STALE_AGE_SECONDS, self._max_age)
        self._name = name

    @property
    def ready(self) -> bool:
        """Whether an entry that has started may answer by the configuration that it has."""
        return self._confirmation.ready

    async def caller(self, host: str, path: str, key: str) -> Caller:
        """Return the queue of a call and the workspace that calls.

        Raises
        ------
        QueueUnknown
            No queue matches.
        ApiKeyUnknown
            The API key is not valid.
        ConfigurationUnconfirmed
            Whether the key is valid is not known.
        """
        queue = self._config.find(host, path)
        if not self._config.decides_by_key(queue, key):
            return Caller(queue, NO_WORKSPACE)
        if self._confirmation.age > self._stale_age:
            # The key may be withdrawn, also while this process was frozen.
            await self._confirm(self._max_age)
        try:
            return self._look_up(host, path, key)
        except ApiKeyUnknown:
            if self._confirmation.age <= min(ASK_AGE_SECONDS, self._stale_age):
                raise
        # The key may be newer than this configuration.
        await self._confirm(self._stale_age)
        return self._look_up(host, path, key)

    def _look_up(self, host: str, path: str, key: str) -> Caller:
        queue = self._config.find(host, path)
        return Caller(queue, self._config.workspace_of(queue, key))

    async def _confirm(self, max_age: float) -> None:
        await self._confirmation.confirm()
        if self._confirmation.age > max_age:
            raise ConfigurationUnconfirmed(instance=self._name, retry_after=RETRY_AFTER_SECONDS)
