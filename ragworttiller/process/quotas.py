"""Quotas of workspaces over many owners, without a message for each placement.

Every owner spreads what the jobs of its shard use, and which workspaces have jobs there at all.
Between two spreads an owner starts at most its part of what a quota has left, which is divided
among the shards that have jobs of the workspace, and among all shards while an owner has had such
jobs for too short a time to have heard of the others. A quota is exceeded by at most one task or
one such part for each shard that got its first jobs since the last spread.
"""

from __future__ import annotations

from collections.abc import Callable, Container
from typing import NamedTuple

from ragworttiller.exceptions import NotFound, QuotaExceeded
from ragworttiller.messages import ShardRoom
from ragworttiller.process.cell_state import Items
from ragworttiller.resources import NOTHING, Resources

QUOTA_KIND = "quota"
QUOTA_NAME = "quota"
KEPT_SECONDS = 60.0
ACQUAINTANCE_SECONDS = 1.5


class _Heard(NamedTuple):
    """Latest spread of a shard; ``at`` is monotonic."""

    room: ShardRoom
    at: float


class ShardRooms:
    """Latest spreads of all shards, kept for one process.

    Parameters
    ----------
    now : Callable
        Returns monotonic seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self._heard: dict[int, _Heard] = {}

    def update(self, room: ShardRoom) -> None:
        """Take a spread."""
        self._heard[room.shard] = _Heard(room, self.now())

    def free(self, shard: int) -> Resources:
        """Return the last known free room of a shard."""
        heard = self._heard.get(shard)
        if heard is None:
            return NOTHING
        return Resources(heard.room.free_cpu, heard.room.free_memory, heard.room.free_accelerators)

    def shards(self) -> list[int]:
        """Return the shards that were heard of lately, in order."""
        oldest = self.now() - KEPT_SECONDS
        return sorted(shard for shard, heard in self._heard.items() if heard.at >= oldest)

    def use(self, workspace: str, beside: int | None = None) -> Resources:
        """Return what a workspace uses over all shards, but for one."""
        total = NOTHING
        for shard, heard in self._heard.items():
            if shard != beside:
                total = total.plus(Resources(*heard.room.use.get(workspace, NOTHING)))
        return total

    def users(self, workspace: str, beside: int) -> int:
        """Return the number of shards that have jobs of a workspace, but for one."""
        return sum(
            workspace in heard.room.use for shard, heard in self._heard.items() if shard != beside
        )


class Quotas:
    """Checks placements of one shard against the quotas of their workspaces.

    Parameters
    ----------
    items : Items
        Configuration in force; an item of kind ``quota`` limits ``cpu``, ``memory`` and
        ``accelerators``.
    shard : int
        The shard.
    shards : int
        Number of shards.
    rooms : ShardRooms
        Use by other shards.
    """

    def __init__(self, items: Items, shard: int, shards: int, rooms: ShardRooms) -> None:
        self._items = items
        self._shard = shard
        self._shards = shards
        self._rooms = rooms
        self._taken: dict[str, Resources] = {}
        self._limits: dict[str, dict[str, int]] = {}
        self._since: dict[str, float] = {}

    def limits(self, workspace: str) -> dict[str, int]:
        """Return the limits of a workspace by resource; what is absent is not limited."""
        limits = self._limits.get(workspace)
        if limits is None:
            limits = self._limits[workspace] = self._read_limits(workspace)
        return limits

    def _read_limits(self, workspace: str) -> dict[str, int]:
        try:
            body = self._items.get(workspace, QUOTA_KIND, QUOTA_NAME).body
        except NotFound:
            return {}
        return {field: body[field] for field in Resources._fields if body.get(field) is not None}

    def check_need(self, workspace: str, need: Resources, tasks: int) -> None:
        """Refuse work that can never be within the quota.

        Raises
        ------
        QuotaExceeded
            ``tasks`` tasks at once exceed a limit by themselves.
        """
        for field, limit in self.limits(workspace).items():
            if getattr(need, field) * tasks > limit:
                raise QuotaExceeded(workspace=workspace, resource=field, limit=limit)

    def blocking_quota(
        self, workspace: str, need: Resources, own_use: Callable[[str], Resources]
    ) -> str:
        """Return the resource whose quota does not admit ``need`` now, or an empty string.

        Parameters
        ----------
        workspace : str
            The workspace.
        need : Resources
            What is about to start.
        own_use : Callable
            Returns what a workspace's jobs of this shard use and have planned.
        """
        limits = self.limits(workspace)
        if not limits:
            return ""
        own = own_use(workspace)
        others = self._rooms.use(workspace, beside=self._shard)
        sharers = self._sharing_shards(workspace)
        taken = self._taken.get(workspace, NOTHING)
        for field, limit in limits.items():
            wanted = getattr(need, field)
            if not wanted:
                continue
            left = limit - getattr(others, field) - getattr(own, field)
            before = getattr(taken, field)
            part = max((left + before) // sharers, wanted)
            if wanted > left or before + wanted > part:
                return f"quota of {field}: {limit}"
        return ""

    def _sharing_shards(self, workspace: str) -> int:
        """Return among how many shards the rest of a quota is divided."""
        now = self._rooms.now()
        since = self._since.setdefault(workspace, now)
        if now - since < ACQUAINTANCE_SECONDS:
            return self._shards
        return 1 + self._rooms.users(workspace, beside=self._shard)

    def keep_only(self, workspaces: Container[str]) -> None:
        """Forget since when workspaces have jobs here, but for those named."""
        self._since = {name: at for name, at in self._since.items() if name in workspaces}

    def start_period(self) -> None:
        """Begin the time until the next spread, with the limits that are in force now."""
        self._taken.clear()
        self._limits.clear()

    def record_start(self, workspace: str, need: Resources) -> None:
        """Take note of a start."""
        if self.limits(workspace):
            self._taken[workspace] = self._taken.get(workspace, NOTHING).plus(need)
