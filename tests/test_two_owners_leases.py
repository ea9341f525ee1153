"""Tests of the leases of tasks while two instances own their shard at once."""

from __future__ import annotations

from typing import Any

import pytest

from ragworttiller.exceptions import WorkerRefused
from ragworttiller.process.cell_fold import CellFold
from ragworttiller.records import OwnerBegan
from tests.cell_rig import Rig, scenario
from tests.gates import GatedFleet, GatedWorker
from tests.test_cell_safety import owners
from tests.test_lease_ends import LONG


class Cuts:
    """Workers out of reach, each for one instance only."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.cut: set[tuple[GatedFleet, str]] = set()
        connect = GatedFleet.worker
        monkeypatch.setattr(
            GatedFleet, "worker", lambda fleet, *args: CutWorker(self, fleet, connect(fleet, *args))
        )

    def add(self, rig: Rig, instance: str, worker: str) -> None:
        self.cut.add((rig.instances[instance].fleet, worker))


class CutWorker:
    """Worker that one instance cannot connect to while it is cut."""

    def __init__(self, cuts: Cuts, fleet: GatedFleet, worker: GatedWorker) -> None:
        self._cuts = cuts
        self._fleet = fleet
        self._worker = worker

    def __getattr__(self, name: str) -> Any:
        async def call(*arguments: Any) -> Any:
            worker = self._worker._target._name
            if (self._fleet, worker) in self._cuts.cut:
                raise WorkerRefused(worker=worker, reason="cut")
            return await getattr(self._worker, name)(*arguments)

        return call


async def run_cut(
    monkeypatch: pytest.MonkeyPatch, cut_earlier: bool, cut_later: bool, after: float = 0.0
) -> Rig:
    """Let a second owner begin beside the first; cut a busy worker from one or both.

    The second owner is cut ``after`` seconds from its begin.
    """
    cuts = Cuts(monkeypatch)
    async with Rig(workers=2, members=("a", "b")).running() as rig:
        first, second = owners(rig)
        rig.submit_soon("job", **LONG)
        await rig.until(lambda: rig.starts)
        await rig.advance(3.0)
        worker = rig.starts[0].worker
        if cut_earlier:
            cuts.add(rig, first, worker)
        if cut_later and not after:
            cuts.add(rig, second, worker)
        rig.instances[second].membership.set_members([second])
        await rig.advance(after)
        if cut_later:
            cuts.add(rig, second, worker)
        await rig.advance(60.0)
        return rig


class TestRenewalsOfAnotherOwner:
    @scenario
    async def test_a_task_is_not_ended_by_an_earlier_owner_while_the_later_one_renews_it(
        self, monkeypatch
    ):
        rig = await run_cut(monkeypatch, cut_earlier=True, cut_later=False)
        assert rig.violations == []
        assert len(rig.starts) == 1

    @pytest.mark.parametrize("after", [0.0, 5.0])
    @scenario
    async def test_a_task_is_not_ended_by_a_later_owner_while_the_earlier_one_renews_it(
        self, monkeypatch, after
    ):
        rig = await run_cut(monkeypatch, cut_earlier=False, cut_later=True, after=after)
        assert rig.violations == []
        assert len(rig.starts) == 1

    @scenario
    async def test_a_task_that_two_owners_lost_runs_elsewhere_once_one_is_left(self, monkeypatch):
        cuts = Cuts(monkeypatch)
        async with Rig(workers=2, members=("a", "b")).running() as rig:
            first, second = owners(rig)
            rig.submit_soon("job", **LONG)
            await rig.until(lambda: rig.starts)
            for instance in (first, second):
                cuts.add(rig, instance, rig.starts[0].worker)
            rig.instances[second].membership.set_members([second])
            await rig.advance(60.0)
            assert len(rig.starts) == 1
            rig.set_members(["a", "b"])
            await rig.advance(60.0)
            assert len(rig.starts) == 2
            assert rig.violations == []


class TestBegin:
    @scenario
    async def test_each_owner_records_its_begin_once(self):
        async with Rig(workers=2, members=("a", "b")).running() as rig:
            first, second = owners(rig)
            rig.kill(first)
            await rig.advance(5.0)
            assert [record.holder[0] for record in rig.records(OwnerBegan)] == [first, second]

    def test_the_owners_are_kept_in_snapshots(self):
        fold = CellFold(0)
        for number in range(12):
            fold.apply(number + 1, OwnerBegan(f"r{number}", f"a@{number}"))
        copy = CellFold(0)
        copy.load(fold.dump())
        assert list(copy.owners) == [f"a@{number}" for number in range(4, 12)]
