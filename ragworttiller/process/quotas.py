"""Quotas of workspaces across shard owners, without a message for each placement.

Every owner broadcasts what the jobs of its shard use, by workspace, also for workspaces whose jobs
use nothing yet. In each period, which is about as long as that of the broadcasts, an owner starts
at most its share of what a quota has left. The shares are equal among the shards that have jobs of
the workspace. An owner whose first jobs of the workspace arrived less than `DISCOVERY_SECONDS` ago
may not know the other shards yet and divides by the number of all shards. A quota is exceeded by at
most one task or one share for each shard that got its first jobs since the last broadcast.
"""

from __future__ import annotations

from collections.abc import Callable, Container
from typing import NamedTuple

from ragworttiller.exceptions import NotFound, QuotaExceeded
from ragworttiller.messages import ShardRoom
from ragworttiller.process.cell_state import Items
from ragworttiller.resources import NO_RESOURCES, Resources

QUOTA_KIND = "quota"
QUOTA_NAME = "quota"
ROOM_TTL_SECONDS = 60.0
DISCOVERY_SECONDS = 1.5


class _ReceivedRoom(NamedTuple):
    """Latest broadcast of a shard; ``at`` is the monotonic time of arrival."""

    room: ShardRoom
    at: float


class ShardRooms:
    """Latest broadcasts of all shards, kept by this process.

    Parameters
    ----------
    now : Callable
        Returns monotonic seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self._received: dict[int, _ReceivedRoom] = {}

    def update(self, room: ShardRoom) -> None:
        """Replace the latest broadcast of a shard."""
        self._received[room.shard] = _ReceivedRoom(room, self.now())

    def free_room(self, shard: int) -> Resources:
        """Return the last known free room of a shard."""
        received = self._received.get(shard)
        if received is None:
            return NO_RESOURCES
        return Resources(
            received.room.free_cpu, received.room.free_memory, received.room.free_accelerators
        )

    def known_shards(self) -> list[int]:
        """Return the shards with a broadcast in the last `ROOM_TTL_SECONDS`, in order."""
        oldest = self.now() - ROOM_TTL_SECONDS
        return sorted(shard for shard, received in self._received.items() if received.at >= oldest)

    def use(self, workspace: str, excluded_shard: int | None = None) -> Resources:
        """Return what a workspace uses in all shards except one."""
        total = NO_RESOURCES
        for shard, received in self._received.items():
            if shard != excluded_shard:
                total = total.plus(Resources(*received.room.use.get(workspace, NO_RESOURCES)))
        return total

    def count_shards_with_jobs(self, workspace: str, excluded_shard: int) -> int:
        """Return the number of shards with jobs of a workspace, not counting one of them."""
        return sum(
            workspace in received.room.use
            for shard, received in self._received.items()
            if shard != excluded_shard
        )


class Quotas:
    """Checks placements of one shard against the quotas of the workspaces.

    Parameters
    ----------
    items : Items
        Current configuration; an item of kind ``quota`` limits ``cpu``, ``memory`` and
        ``accelerators``.
    shard : int
        Number of the shard.
    shards : int
        Number of shards.
    rooms : ShardRooms
        Latest broadcasts of the other shards.
    """

    def __init__(self, items: Items, shard: int, shards: int, rooms: ShardRooms) -> None:
        self._items = items
        self._shard = shard
        self._shards = shards
        self._rooms = rooms
        self._started_use: dict[str, Resources] = {}
        self._limits: dict[str, dict[str, int]] = {}
        self._jobs_since: dict[str, float] = {}

    def limits(self, workspace: str) -> dict[str, int]:
        """Return the limits of a workspace by resource; absent resources are not limited."""
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
        """Refuse work that can never fit into the quota.

        Raises
        ------
        QuotaExceeded
            ``tasks`` tasks at once exceed a limit on their own.
        """
        for field, limit in self.limits(workspace).items():
            if getattr(need, field) * tasks > limit:
                raise QuotaExceeded(workspace=workspace, resource=field, limit=limit)

    def blocking_quota(
        self, workspace: str, need: Resources, own_use: Callable[[str], Resources]
    ) -> str:
        """Return the quota that does not admit ``need`` now, with its limit, or an empty string.

        Parameters
        ----------
        workspace : str
            The workspace.
        need : Resources
            Resources of the tasks about to start.
        own_use : Callable
            Returns what a workspace's jobs of this shard use, planned tasks included.
        """
        limits = self.limits(workspace)
        if not limits:
            return ""
        own = own_use(workspace)
        others = self._rooms.use(workspace, excluded_shard=self._shard)
        shard_count = self._sharing_shard_count(workspace)
        started_use = self._started_use.get(workspace, NO_RESOURCES)
        for field, limit in limits.items():
            requested = getattr(need, field)
            if not requested:
                continue
            remainder = limit - getattr(others, field) - getattr(own, field)
            started = getattr(started_use, field)
            share = max((remainder + started) // shard_count, requested)
            if requested > remainder or started + requested > share:
                return f"quota of {field}: {limit}"
        return ""

    def _sharing_shard_count(self, workspace: str) -> int:
        """Return the number of shards among which the remainder of a quota is divided."""
        now = self._rooms.now()
        since = self._jobs_since.setdefault(workspace, now)
        if now - since < DISCOVERY_SECONDS:
            return self._shards
        return 1 + self._rooms.count_shards_with_jobs(workspace, excluded_shard=self._shard)

    def retain_workspaces(self, workspaces: Container[str]) -> None:
        """Discard since when workspaces have jobs here, except for the given workspaces."""
        self._jobs_since = {name: at for name, at in self._jobs_since.items() if name in workspaces}

    def start_period(self) -> None:
        """Begin a period with no starts counted; limits are read again when needed."""
        self._started_use.clear()
        self._limits.clear()

    def record_start(self, workspace: str, need: Resources) -> None:
        """Count a start against the share of the workspace in this period."""
        if self.limits(workspace):
            self._started_use[workspace] = self._started_use.get(workspace, NO_RESOURCES).plus(need)
