"""Order of the waiting stages by the shares of their workspaces, within a priority."""

from __future__ import annotations

import heapq
import itertools
import math
from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from typing_extensions import override

from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.scheduling.decisions.queue_order import OrderInputs, QueueOrder
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.owed_jobs import OwedJobs
from ragworttiller.scheduling.state.runs import Stage
from ragworttiller.scheduling.state.workspace_usage import WorkspaceUsage

# Weight of a workspace without a record, and of anonymous calls together.
DEFAULT_WEIGHT = 1.0
# A workspace of weight 0 comes after all others that run something.
MIN_WEIGHT = 1e-6

ReadyStage = tuple[JobWork, Stage, OrderInputs]


class Cluster(NamedTuple):
    """What shares are measured against.

    ``capacity`` is that of all listed runners, ``weights`` the sum over the workspaces that run or
    wait for something.
    """

    capacity: Resources
    weights: float


class ShareOrder(ABC):
    """Yields the ready stages of a planning pass in the order in which they are placed."""

    @abstractmethod
    def arrange(
        self, ready: Iterable[ReadyStage], order: QueueOrder, capacity: Resources, now: float
    ) -> Iterator[ReadyStage]:
        """Yield the ready stages; tasks may start between two of them.

        Parameters
        ----------
        ready : iterable of ReadyStage
            Stages with waiting tasks that may start.
        order : QueueOrder
            Order of the stages of one workspace.
        capacity : Resources
            Capacity of all listed runners.
        now : float
            Time in seconds.
        """

    def over_share(self, workspace: str) -> bool:
        """Return whether a workspace was above its share when it was last looked at."""
        return False


class NoShares(ShareOrder):
    """Ignore workspaces; the baseline, and the order of a configuration without workspaces."""

    @override
    def arrange(
        self, ready: Iterable[ReadyStage], order: QueueOrder, capacity: Resources, now: float
    ) -> Iterator[ReadyStage]:
        rows = [(order.key(row[2], now), row) for row in ready]
        rows.sort(key=lambda row: row[0])
        return iter([row for _, row in rows])


class WeightedShares(ShareOrder):
    """Within a priority, owed jobs first, then workspaces below their share, then slack.

    Load pattern: one workspace submits many times its usual, and its stages would take each room
    that becomes free before those of small workspaces, which wait in the same queue. The share of
    a workspace is its dominant share of the capacity relative to its part of the weights of all
    workspaces that run or wait for something. Above 1 it counts in powers of two, so that slack
    still decides between workspaces that are about equal.

    Shares grow as tasks start in a pass. A stage whose workspace has moved to a later place is put
    back into the heap when its turn comes.

    Parameters
    ----------
    usage : WorkspaceUsage
        What each workspace uses.
    owed : OwedJobs
        Tells which jobs are beyond the weight of their workspace.
    config : QueueFold
        Current configuration, and the last records of removed workspaces.
    """

    def __init__(self, usage: WorkspaceUsage, owed: OwedJobs, config: QueueFold) -> None:
        self._usage = usage
        self._owed = owed
        self._config = config
        self._cluster = Cluster(NO_RESOURCES, DEFAULT_WEIGHT)
        self._levels: dict[str, tuple[Resources, int]] = {}

    @override
    def arrange(
        self, ready: Iterable[ReadyStage], order: QueueOrder, capacity: Resources, now: float
    ) -> Iterator[ReadyStage]:
        rows = list(ready)
        if not self._config.known_workspaces:
            return NoShares().arrange(rows, order, capacity, now)
        names = {stage.workspace for _, stage, _ in rows}.union(self._usage.workspaces)
        weights = sum(self.weight(name) for name in names)
        self._cluster = Cluster(capacity, max(weights, MIN_WEIGHT))
        self._levels = {}
        return self._drain(rows, order, now)

    def _drain(self, rows: list[ReadyStage], order: QueueOrder, now: float) -> Iterator[ReadyStage]:
        """Yield stages from a heap, in which places only become later within a pass."""
        leading, number = order.leading, itertools.count()
        heap = []
        for row in rows:
            key = order.key(row[2], now)
            beyond = self._owed.is_beyond(row[0].id)
            level = self._level(row[1].workspace)
            place = (*key[:leading], beyond, level, *key[leading:])
            heap.append((place, next(number), level, row))
        heapq.heapify(heap)
        while heap:
            place, _, level, row = heap[0]
            current = self._level(row[1].workspace)
            if current > level:
                at = leading + 1
                place = (*place[:at], current, *place[at + 1 :])
                heapq.heapreplace(heap, (place, next(number), current, row))
                continue
            heapq.heappop(heap)
            yield row

    def weight(self, workspace: str) -> float:
        """Return the weight of a workspace, as last known."""
        row = self._config.known_workspaces.get(workspace)
        return max(row.weight, MIN_WEIGHT) if row is not None else DEFAULT_WEIGHT

    @override
    def over_share(self, workspace: str) -> bool:
        return self._level(workspace) > 0

    def _level(self, workspace: str) -> int:
        """Return 0 for a workspace below its share, otherwise how often it doubles it, plus 1."""
        used = self._usage.known(workspace).total
        level = self._levels.get(workspace)
        if level is not None and level[0] is used:
            return level[1]
        share = dominant_share(used, self._cluster.capacity)
        ratio = share * self._cluster.weights / self.weight(workspace)
        number = 0 if ratio <= 1 else math.frexp(ratio)[1]
        self._levels[workspace] = used, number
        return number


def dominant_share(used: Resources, capacity: Resources) -> float:
    """Return the largest share of a resource of the capacity, from 0 to 1."""
    shares = (one / total for one, total in zip(used, capacity, strict=True) if total > 0)
    return max(shares, default=0.0)
