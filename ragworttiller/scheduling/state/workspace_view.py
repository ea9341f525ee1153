"""Read-only view of the workspaces of a cell: use, cap, weight and waiting jobs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import TypedDict

from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.fair_order import dominant_share
from ragworttiller.scheduling.state.owned_cell import Cell

LARGEST_SHOWN = 10
REST = "(rest)"


class WorkspaceView(TypedDict):
    """A workspace; jobs without one count as that with the empty name.

    ``used`` is what its known runs use and ``unseen`` what it may run besides after a takeover,
    both as processor time in thousandths of a core, memory in MiB and accelerators, like ``cap``,
    where 0 is no limit. ``share`` is its dominant share of the capacity. ``waiting`` counts its
    open jobs with waiting tasks, ``beyond`` those of them beyond its weight.
    """

    workspace: str
    used: Resources
    unseen: Resources
    cap: Resources
    weight: float
    share: float
    waiting: int
    beyond: int


def workspaces(cell: Cell) -> list[WorkspaceView]:
    """Return the workspaces that are configured, run something or wait, by name.

    Parameters
    ----------
    cell : Cell
        Cell of the owner.
    """
    waiting, beyond = _waiting(cell)
    names = {*cell.known_workspaces, *cell.usage.workspaces, *waiting}
    rows: list[WorkspaceView] = []
    for name in sorted(names):
        used, row = cell.usage.known(name).total, cell.known_workspaces.get(name)
        rows.append(
            WorkspaceView(
                workspace=name,
                used=used,
                unseen=cell.usage.total(name).minus(used),
                cap=cell.caps.cap(name),
                weight=row.weight if row is not None else 0.0,
                share=round(dominant_share(used, cell.capacity), 4),
                waiting=waiting[name],
                beyond=beyond[name],
            )
        )
    return rows


def largest_and_rest(values: Mapping[str, float]) -> dict[str, float]:
    """Return the largest values by name, and the sum of the others as `REST`."""
    rows = sorted(values.items(), key=lambda row: (-row[1], row[0]))
    shown = dict(rows[:LARGEST_SHOWN])
    if len(rows) > LARGEST_SHOWN:
        shown[REST] = sum(value for _, value in rows[LARGEST_SHOWN:])
    return shown


def _waiting(cell: Cell) -> tuple[Counter[str], Counter[str]]:
    waiting: Counter[str] = Counter()
    beyond: Counter[str] = Counter()
    for work in cell.jobs.values():
        if work.has_waiting_tasks:
            waiting[work.workspace] += 1
            beyond[work.workspace] += cell.owed.is_beyond(work.id)
    return waiting, beyond


def used_cpu(cell: Cell) -> dict[str, float]:
    """Return the processor time that each workspace uses, in thousandths of a core."""
    return {name: float(cell.usage.known(name).total.cpu) for name in cell.usage.workspaces}


def waiting_jobs(cell: Cell) -> dict[str, float]:
    """Return the number of open jobs with waiting tasks, by workspace."""
    return {name: float(count) for name, count in _waiting(cell)[0].items()}
