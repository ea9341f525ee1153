"""Free resources of runners while several tasks are placed in one planning pass."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from ragworttiller.resources import NO_RESOURCES, Resources
from ragworttiller.scheduling.decisions.headroom import UpstreamRoom
from ragworttiller.scheduling.decisions.runner_rules import suitable
from ragworttiller.scheduling.state.jobs import StepSpec
from ragworttiller.scheduling.state.runner_state import RunnerState

NOTHING_FITS = Resources(-1, -1, -1)


class FreeResources:
    """Runners on which tasks may start, and what is free on them.

    Load pattern: a burst leaves hundreds of stages waiting in a full cell, and each pass looks at
    all of them. Stages of one kind share the answer that no runner has room, since what is free
    never grows within a pass.

    Room that is reserved for a stage is kept from the stages after it, except for those of lasting
    tasks that are overdue: each of these has to run whenever there is room for it.

    Parameters
    ----------
    runners : iterable of RunnerState
        Runners on which tasks may be placed.
    """

    def __init__(self, runners: Iterable[RunnerState]) -> None:
        self._runners = {runner.id: runner for runner in runners}
        self._free = {name: runner.free for name, runner in self._runners.items()}
        self._by_upstream: dict[str, list[RunnerState]] = {}
        self._cpu_at_start: dict[str, int] = {}
        for runner in sorted(self._runners.values(), key=lambda r: -r.free.cpu):
            self._by_upstream.setdefault(runner.entry.upstream, []).append(runner)
            self._cpu_at_start[runner.id] = runner.free.cpu
        self._rooms = {name: _room(name, rows) for name, rows in self._by_upstream.items()}
        self._labels: dict[str, Counter[str]] = {}
        self._without_room: set[tuple[str, Resources, str, str | None, bool]] = set()
        self._reserved: dict[str, Resources] = {}

    def of_upstream(self, upstream: str) -> Sequence[RunnerState]:
        """Return the runners of an upstream, those with the most free CPU first."""
        return self._by_upstream.get(upstream, ())

    def labelled(self, upstream: str, label: str) -> int:
        """Return the number of an upstream's runners that have a label, of all for no label."""
        runners = self.of_upstream(upstream)
        if not label:
            return len(runners)
        if upstream not in self._labels:
            self._labels[upstream] = Counter(name for r in runners for name in r.entry.labels)
        return self._labels[upstream][label]

    def with_room(self, upstream: str, spec: StepSpec, overdue: bool = False) -> list[RunnerState]:
        """Return the runners that meet the rules of a step and have room for one of its tasks.

        Those with the most free CPU at the start of the pass come first. Lasting tasks that are
        ``overdue`` have reserved room as well.
        """
        size = spec.reservation
        kind = (upstream, size, spec.label, spec.image if spec.fills else None, overdue)
        if kind in self._without_room:
            return []
        rows: list[RunnerState] = []
        for runner in self.of_upstream(upstream):
            # Free CPU never exceeds its value at the start of the pass, so no later one has room.
            if self._cpu_at_start[runner.id] < size.cpu:
                break
            # No call for stages that are not overdue, since a pass asks this most often.
            room = self.for_stage(runner.id, overdue) if overdue else self._free[runner.id]
            if size.fits(room):
                rows.append(runner)
        rows = suitable(rows, upstream, spec, overdue)
        if not rows:
            self._without_room.add(kind)
        return rows

    def those_with_room(
        self, names: Iterable[str], upstream: str, spec: StepSpec, overdue: bool = False
    ) -> list[RunnerState]:
        """Return which of the named runners meet the rules of a step and have room for a task."""
        size, rows = spec.reservation, []
        for name in names:
            runner = self._runners.get(name)
            if runner is None:
                continue
            room = self.for_stage(name, overdue) if overdue else self._free[name]
            if size.fits(room):
                rows.append(runner)
        return suitable(rows, upstream, spec, overdue)

    def runner(self, name: str) -> RunnerState | None:
        """Return a runner on which tasks may start, None if it is not one of them."""
        return self._runners.get(name)

    def upstream_room(self, upstream: str) -> UpstreamRoom:
        """Return the free processor time and the capacity of an upstream's runners."""
        return self._rooms.get(upstream, UpstreamRoom(upstream, 0, 0))

    def of_runner(self, runner: str) -> Resources:
        """Return the resources of a runner that are free and not reserved."""
        return self._free[runner]

    def for_stage(self, runner: str, overdue: bool) -> Resources:
        """Return the resources of a runner that tasks of a stage may take."""
        if overdue and runner in self._reserved:
            return self._free[runner].plus(self._reserved[runner])
        return self._free[runner]

    def reserve(self, runner: str, size: Resources) -> None:
        """Reserve resources of a runner, which only overdue lasting tasks may take in this pass."""
        self._reserved[runner] = self._reserved.get(runner, NO_RESOURCES).plus(size)
        self.subtract(runner, size)

    def close(self, runner: str) -> None:
        """Place no more tasks on a runner in this pass."""
        self._reserved.pop(runner, None)
        self.subtract(runner, self._free[runner].minus(NOTHING_FITS))

    def subtract(self, runner: str, size: Resources) -> None:
        """Subtract resources from those free on a runner."""
        self._free[runner] = self._free[runner].minus(size)
        room = self._rooms[self._runners[runner].entry.upstream]
        self._rooms[room.upstream] = room._replace(free=room.free - size.cpu)


def _room(upstream: str, runners: Sequence[RunnerState]) -> UpstreamRoom:
    """Return the room on an upstream's runners at the start of a pass."""
    free = capacity = 0
    for runner in runners:
        free += runner.free.cpu
        capacity += runner.entry.capacity.cpu
    return UpstreamRoom(upstream, free, capacity)
