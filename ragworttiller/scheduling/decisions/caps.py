"""Limits what each workspace starts to its cap on all runners together."""

from __future__ import annotations

import math
from collections.abc import Sequence

from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.scheduling.records.queue_fold import QueueFold
from ragworttiller.scheduling.state.jobs import StepSpec
from ragworttiller.scheduling.state.runs import Stage
from ragworttiller.scheduling.state.workspace_usage import WorkspaceUsage

# Room is reserved for a stage that was held for so long: a stream of small tasks of its workspace
# would otherwise hold a large task or a gang for ever.
RESERVE_DELAY_SECONDS = 2.0
# An accepted job must have something running within 3 s while less than half of the cap is used.
MAX_RESERVED_WAIT_SECONDS = 1.0
RESERVABLE_SHARE = 0.5


class Caps:
    """Tells how many tasks of a stage its workspace may start now.

    Use is counted as starts are added to runners, so the answers are exact within a planning pass.

    Parameters
    ----------
    usage : WorkspaceUsage
        What each workspace uses.
    config : QueueFold
        Current configuration, and the last records of removed workspaces.
    """

    def __init__(self, usage: WorkspaceUsage, config: QueueFold) -> None:
        self._usage = usage
        self._config = config
        self._reserved: dict[str, Stage] = {}
        self._reserved_next: dict[str, Stage] = {}

    def begin(self) -> bool:
        """Start a new planning pass with the reservations of the last; return if there are caps."""
        self._reserved, self._reserved_next = self._reserved_next, {}
        return bool(self._config.known_workspaces)

    def cap(self, workspace: str) -> Resources:
        """Return the cap of a workspace, as last known; a resource of 0 has no limit."""
        row = self._config.known_workspaces.get(workspace)
        return row.cap if row is not None else NO_RESOURCES

    def allowed(self, stage: Stage, waited: float = 0.0) -> int:
        """Return how many waiting tasks of a stage may start now; of a gang, all or none.

        A workspace with nothing running may start one task that is larger than its cap.

        Parameters
        ----------
        stage : Stage
            The stage.
        waited : float
            Seconds for which it waits.
        """
        cap, spec = self.cap(stage.workspace), stage.spec
        if cap == NO_RESOURCES:
            return len(stage.waiting)
        used = self._usage.total(stage.workspace)
        wanted = spec.tasks if spec.gang else len(stage.waiting)
        count = copies_within(cap, used, spec.size, wanted)
        if spec.gang and count < wanted:
            count = 0
        if not count and (wanted == 1 or not spec.gang) and self._usage.idle(stage.workspace):
            count = min(wanted, 1)
        reserved = self._reserved.get(stage.workspace)
        # A lasting task has to run whenever the cap allows it.
        if count and reserved is not None and reserved is not stage and not spec.daemon:
            return self._beside_reservation(stage, cap, used, waited)
        return count

    def _beside_reservation(
        self, stage: Stage, cap: Resources, used: Resources, waited: float
    ) -> int:
        """Return how many tasks of a stage start although its workspace's room is reserved.

        One does, or a whole gang, if nothing of its stage runs, it has waited, and half of the cap
        stays unused.
        """
        if stage.active_runs or waited < MAX_RESERVED_WAIT_SECONDS:
            return 0
        half = Resources(*(math.ceil(RESERVABLE_SHARE * limit) for limit in cap))
        needed = stage.spec.tasks if stage.spec.gang else 1
        count = copies_within(half, used, stage.spec.size, needed)
        return count if count == needed else 0

    def allows_copy(self, stage: Stage) -> bool:
        """Return whether a second run of a task that runs already fits within the cap."""
        cap = self.cap(stage.workspace)
        if cap == NO_RESOURCES:
            return True
        return copies_within(cap, self._usage.total(stage.workspace), stage.spec.size, 1) == 1

    def allows_successor(self, stage: Stage) -> bool:
        """Return whether a task of a stage that runs now may start again once its run has ended."""
        cap, size = self.cap(stage.workspace), stage.spec.size
        if cap == NO_RESOURCES:
            return True
        used = self._usage.total(stage.workspace).minus(size)
        return used == NO_RESOURCES or copies_within(cap, used, size, 1) == 1

    def reserve(self, stage: Stage) -> None:
        """Keep the rest of the cap for a held stage, if it will fit beside the lasting tasks.

        The reservation holds in the next pass, for one stage of a workspace: a held stage may come
        after those that would take its room.
        """
        cap, lasting = self.cap(stage.workspace), self._usage.known(stage.workspace).lasting
        if stage.workspace in self._reserved_next:
            return
        if self._reserved.get(stage.workspace, stage) is not stage:
            # It may be held by that reservation alone.
            return
        needed = stage.spec.tasks if stage.spec.gang else 1
        fits = copies_within(cap, lasting, stage.spec.size, needed) == needed
        alone = needed == 1 and lasting == NO_RESOURCES
        if fits or alone:
            self._reserved_next[stage.workspace] = stage

    def widths(self, workspace: str, steps: Sequence[StepSpec]) -> tuple[int, ...] | None:
        """Return how many tasks of each step the cap allows at once, None if it allows all."""
        cap = self.cap(workspace)
        if cap == NO_RESOURCES:
            return None
        widths = [max(copies_within(cap, NO_RESOURCES, s.size, s.tasks), 1) for s in steps]
        if all(width >= step.tasks for width, step in zip(widths, steps, strict=True)):
            return None
        return tuple(widths)


def copies_within(cap: Resources, used: Resources, size: Resources, most: int) -> int:
    """Return how many tasks of a size may start within a cap, up to a limit.

    Above the cap in one resource, nothing starts, whether or not the task needs that resource.

    Parameters
    ----------
    cap : Resources
        Cap of a workspace; a resource of 0 has no limit.
    used : Resources
        What the workspace uses.
    size : Resources
        Size of a task.
    most : int
        Upper limit.
    """
    count = most
    # Indexed, since a pass asks this for each waiting stage.
    for kind in (0, 1, 2):
        limit = cap[kind]
        if limit:
            left = limit - used[kind]
            if left < 0:
                return 0
            if size[kind] and left < count * size[kind]:
                count = left // size[kind]
    return count


def exceeds_cap(cap: Resources, step: StepSpec) -> bool:
    """Return whether a step can never start within a cap: a gang that is larger than it.

    A single task that is larger may run while nothing else of its workspace does.
    """
    if not step.gang or step.tasks == 1:
        return False
    return copies_within(cap, NO_RESOURCES, step.size, step.tasks) < step.tasks
