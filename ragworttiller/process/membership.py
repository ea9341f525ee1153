"""Interface to the set of live instances of the cell."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from typing_extensions import override

from ragworttiller.hashing import balanced_owners, owner_of
from ragworttiller.messages import MemberRow


class Membership(ABC):
    """Live instances as known to this instance; other instances may differ for a while."""

    def __init__(self) -> None:
        self._families: dict[str, tuple[str, ...]] = {}

    @property
    @abstractmethod
    def instance(self) -> str:
        """Name of this instance."""

    @property
    @abstractmethod
    def incarnation(self) -> int:
        """Number that identifies this start of the instance and exceeds those of earlier starts."""

    @property
    @abstractmethod
    def members(self) -> dict[str, MemberRow]:
        """Live instances by name, this one included unless it is leaving."""

    @property
    def holder(self) -> str:
        """``instance@incarnation`` of this process."""
        return f"{self.instance}@{self.incarnation}"

    @abstractmethod
    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after every change of the live set."""

    def set_config_offset(self, offset: int) -> None:  # noqa: B027
        """Announce the next config offset that this instance will fold."""

    def owner(self, shard: str) -> str | None:
        """Return the instance that should own a shard, or None if no instance is live."""
        family = self._families.get(shard)
        if family is None:
            return owner_of(shard, self.members)
        return balanced_owners(family, tuple(sorted(self.members))).get(shard)

    def balance(self, shards: Sequence[str]) -> None:
        """Divide a family of shards evenly among instances; all must pass the same shards."""
        family = tuple(shards)
        self._families.update(dict.fromkeys(family, family))


class FixedMembership(Membership):
    """Membership that changes only by `set_members`, for tests and single processes.

    Parameters
    ----------
    instance : str
        Name of this instance.
    members : list of str
        Names of the first members.
    incarnation : int
        Number that identifies this start of the instance.
    """

    def __init__(self, instance: str, members: list[str], incarnation: int = 1) -> None:
        super().__init__()
        self._instance = instance
        self._incarnation = incarnation
        self._callbacks: list[Callable[[], None]] = []
        self._members: dict[str, MemberRow] = {}
        self.set_members(members)

    @property
    @override
    def instance(self) -> str:
        return self._instance

    @property
    @override
    def incarnation(self) -> int:
        return self._incarnation

    @property
    @override
    def members(self) -> dict[str, MemberRow]:
        return self._members

    @override
    def subscribe(self, callback: Callable[[], None]) -> None:
        self._callbacks.append(callback)

    def set_members(self, members: list[str]) -> None:
        """Replace the live set and notify subscribers."""
        self._members = {name: MemberRow(name, 1, 0, "live", "", "", "", 0) for name in members}
        for callback in self._callbacks:
            callback()
