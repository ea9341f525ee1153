"""How recently the configuration of an entry was known to be the newest one."""

from __future__ import annotations

from abc import ABC, abstractmethod

from typing_extensions import override

# An entry whose configuration was not confirmed for longer asks other entries.
ASK_AGE_SECONDS = 1.0
# Longer than a read of the store waits, so that the age stays below it while the store answers.
STALE_AGE_SECONDS = 2.0


class Confirmation(ABC):
    """Confirmation of the configuration that an entry has read."""

    @property
    @abstractmethod
    def ready(self) -> bool:
        """Whether an entry that has started may answer by the configuration that it has."""

    @property
    @abstractmethod
    def age(self) -> float:
        """Seconds since the configuration was known to be the newest one."""

    @abstractmethod
    async def confirm(self) -> None:
        """Try to confirm the configuration, or take a later one; it may fail."""


class AlwaysConfirmed(Confirmation):
    """Baseline that trusts any configuration, as in a deployment without workspaces."""

    @property
    @override
    def ready(self) -> bool:
        return True

    @property
    @override
    def age(self) -> float:
        return 0.0

    @override
    async def confirm(self) -> None:
        return
