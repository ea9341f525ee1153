"""Tests that one workspace does not starve others, and that owed jobs come first."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ragworttiller.config.entry import EntryBounds, EntryPolicies
from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.cell_policies import choose_policies
from ragworttiller.scheduling.decisions.fair_order import dominant_share
from ragworttiller.scheduling.state.owned_cell import Cell
from ragworttiller.scheduling.state.workspaces import Workspace
from tests.scheduling_rig import QUEUE, CellRig, job_id, step

PATIENT = QUEUE._replace(slack_factor=50.0)


def workspace(name: str, weight: float = 100.0) -> Workspace:
    return Workspace(name, frozenset(), weight)


def rig_with(*workspaces: Workspace, runners: int = 2) -> CellRig:
    rig = CellRig(runners)
    rig.configure(*workspaces)
    return rig


def started(rig: CellRig) -> Counter[str]:
    """Return how many tasks of each workspace the next pass starts."""
    return Counter(order.run.workspace for order in rig.start_all())


class TestDominantShare:
    def test_it_is_that_of_the_scarcest_resource(self):
        assert dominant_share(Resources(100, 500, 0), Resources(1000, 1000, 0)) == 0.5

    def test_a_cell_without_runners(self):
        assert dominant_share(Resources(100), Resources()) == 0.0


class TestOwedJobs:
    def submit(self, rig: CellRig, walls: list[float], name: str = "a") -> list[bool]:
        """Submit a job at each time and return which of them are beyond the weight."""
        for number, wall in enumerate(walls):
            rig.now = wall
            rig.submit(step(1), job=job_id(number), workspace=name)
        return [rig.cell.owed.is_beyond(job_id(number)) for number in range(len(walls))]

    def test_jobs_beyond_the_weight_in_a_second(self):
        rig = rig_with(workspace("a", 2.0))
        beyond = self.submit(rig, [100.0, 100.1, 100.2, 100.9, 101.05, 101.15])
        assert beyond == [False, False, True, True, False, False]

    def test_a_weight_below_one_owes_a_job_in_its_inverse(self):
        rig = rig_with(workspace("a", 0.5))
        assert self.submit(rig, [100.0, 101.5, 102.1]) == [False, True, False]

    def test_workspaces_are_judged_apart(self):
        rig = rig_with(workspace("a", 1.0), workspace("b", 1.0))
        rig.submit(step(1), job=job_id(1), workspace="a")
        rig.submit(step(1), job=job_id(2), workspace="b")
        assert not rig.cell.owed.is_beyond(job_id(2))

    def test_anonymous_jobs_are_owed(self):
        rig = rig_with(workspace("a", 1.0))
        assert self.submit(rig, [100.0, 100.0, 100.0], "") == [False] * 3

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.lists(st.floats(0.0, 1.0), min_size=1, max_size=40),
        st.sampled_from([0.25, 0.8, 1.0, 2.5, 7.0]),
    )
    def test_no_window_has_more_owed_jobs_than_the_weight(self, gaps: list[float], weight: float):
        rig = rig_with(workspace("a", weight), runners=0)
        walls = [100.0 + sum(gaps[: n + 1]) for n in range(len(gaps))]
        beyond = self.submit(rig, walls)
        owed = [wall for wall, late in zip(walls, beyond, strict=True) if not late]
        assert owed
        seconds = max(1.0, 1 / weight)
        for first in owed:
            assert sum(first <= wall < first + seconds for wall in owed) <= max(weight, 1)

    def test_a_successor_judges_alike_whatever_the_order_of_identifiers(self):
        walls = [100.0, 100.1, 100.2, 100.9, 101.05, 101.15]
        rig = rig_with(workspace("a", 2.0))
        for number, wall in enumerate(walls):
            rig.now = wall
            rig.submit(step(1), job=job_id(99 - number), workspace="a")
        successor = CellRig(0)
        successor.configure(workspace("a", 2.0))
        successor.jobs.jobs.update(rig.jobs.jobs)
        successor.jobs.touched.update(rig.jobs.jobs)
        successor.cell.refresh(rig.now, rig.now)
        for job in rig.jobs.jobs:
            assert successor.cell.owed.is_beyond(job) == rig.cell.owed.is_beyond(job)


class TestWeightedShares:
    def test_owed_jobs_come_before_jobs_beyond_the_weight(self):
        rig = rig_with(workspace("a", 1.0), runners=1)
        for number in range(3):
            rig.submit(step(4), job=job_id(number), workspace="a")
        rig.now += 0.3
        rig.configure(workspace("a", 1.0), workspace("b", 1.0))
        rig.submit(step(4), job=job_id(3), workspace="b", queue=PATIENT)
        first = {order.run.task.stage.job for order in rig.start_all()}
        assert first == {job_id(0)}
        rig.now += 1.0
        rig.hold("w1", *[(r.task, r.number, "done") for r in rig.cell.runners["w1"].runs.values()])
        assert {order.run.task.stage.job for order in rig.start_all()} == {job_id(3)}

    def test_priority_comes_before_shares(self):
        rig = rig_with(workspace("a"), workspace("b"), runners=1)
        rig.submit(step(2), job=job_id(1), workspace="a")
        rig.start_all()
        rig.submit(step(2), job=job_id(2), workspace="b", queue=QUEUE._replace(priority=1))
        rig.submit(step(2), job=job_id(3), workspace="a")
        assert started(rig) == {"a": 2}

    def test_a_workspace_above_its_share_comes_after_one_below(self):
        rig = rig_with(workspace("a"), workspace("b"), runners=1)
        rig.submit(step(3), job=job_id(1), workspace="a")
        rig.start_all()
        rig.submit(step(1), job=job_id(2), workspace="a")
        rig.submit(step(1), job=job_id(3), workspace="b", queue=PATIENT)
        assert started(rig) == {"b": 1}

    def test_below_the_share_slack_decides(self):
        rig = rig_with(workspace("a"), workspace("b"))
        rig.submit(step(1), job=job_id(1), workspace="a")
        rig.start_all()
        rig.submit(step(7), job=job_id(2), workspace="b", queue=PATIENT)
        rig.submit(step(1), job=job_id(3), workspace="a")
        assert started(rig) == {"a": 1, "b": 6}

    def test_long_running_work_counts(self):
        rig = rig_with(workspace("a"), workspace("b"), runners=1)
        rig.submit(step(3, service=True, estimate_ms=0), job=job_id(1), workspace="a")
        assert started(rig) == {"a": 3}
        rig.submit(step(1), job=job_id(2), workspace="a")
        rig.submit(step(1), job=job_id(3), workspace="b", queue=PATIENT)
        assert started(rig) == {"b": 1}

    def test_the_weight_scales_the_share(self):
        rig = rig_with(workspace("a", 300.0), workspace("b", 100.0))
        rig.submit(step(4), job=job_id(1), workspace="a")
        rig.submit(step(3), job=job_id(2), workspace="b")
        rig.start_all()
        rig.submit(step(1), job=job_id(3), workspace="b")
        rig.submit(step(1), job=job_id(4), workspace="a", queue=PATIENT)
        assert started(rig) == {"a": 1}

    def test_places_move_within_a_pass(self):
        rig = rig_with(workspace("a"), workspace("b"), runners=4)
        for number in range(16):
            rig.submit(step(1), job=job_id(number), workspace="a")
        for number in range(16, 32):
            rig.submit(step(1), job=job_id(number), workspace="b", queue=PATIENT)
        counts = started(rig)
        assert counts["a"] + counts["b"] == 16
        assert counts["b"] >= 7

    @pytest.mark.parametrize("shares", ["weighted", "none"])
    def test_a_workspace_that_sends_seven_times_its_usual_starves_no_small_one(self, shares):
        small = [f"s{n}" for n in range(6)]
        rig = CellRig(0)
        rig.cell = Cell(
            1,
            rig.jobs,
            rig.config,
            rig.listed,
            rig.cell.takeover,
            policies=choose_policies(EntryPolicies(shares=shares), EntryBounds()),
        )
        rig.configure(workspace("big", 2.0), *(workspace(name, 2.0) for name in small))
        for number in range(1, 4):
            rig.add_runner(f"w{number}")
        waits: dict[str, list[float]] = {"big": [], "small": []}
        submitted: dict[str, tuple[str, float]] = {}
        number = 0
        for tick in range(60):
            rig.now += 0.25
            names = ["big"] * 4 + [small[tick % 6]] * (tick % 2 == 0)
            for name in names:
                number += 1
                submitted[job_id(number)] = (name, rig.now)
                rig.submit(step(2), job=job_id(number), workspace=name, queue=PATIENT)
            for runner in rig.cell.runners.values():
                runs = [r for r in runner.runs.values() if rig.now - r.started_at >= 0.99]
                rig.hold(runner.id, *[(r.task, r.number, "done") for r in runs])
            for order in rig.start_all():
                row = submitted.pop(order.run.task.stage.job, None)
                if row is not None:
                    kind = row[0] if row[0] == "big" else "small"
                    waits[kind].append(rig.now - row[1])
        never = [row for row in submitted.values() if row[0] != "big" and rig.now - row[1] > 1.0]
        if shares == "none":
            assert never or max(waits["small"]) > 3.0
        else:
            assert not never
            assert max(waits["small"]) <= 1.0
            assert len(waits["big"]) > 30


class TestWithoutWorkspaces:
    """Deployments without workspaces are ordered as before."""

    def orders(self, *workspaces: Workspace) -> list[str]:
        rig = CellRig(1)
        if workspaces:
            rig.configure(*workspaces)
        for number in range(12):
            queue = QUEUE._replace(priority=number % 3, slack_factor=1.5 + number % 4)
            rig.submit(step(1 + number % 2), job=job_id(number), queue=queue)
        return [str(order.run.task) for order in rig.start_all()]

    def test_the_order_is_that_of_slack(self):
        rig = CellRig(1)
        for number in range(12):
            queue = QUEUE._replace(priority=number % 3, slack_factor=1.5 + number % 4)
            rig.submit(step(1 + number % 2), job=job_id(number), queue=queue)
        rows = [
            (rig.cell.jobs[job_id(n)], stage)
            for n in range(12)
            for stage in rig.cell.jobs[job_id(n)].stages.values()
        ]
        expected = sorted(
            rows,
            key=lambda row: (
                row[0].queue.priority,
                row[0].order_inputs(row[1], rig.now, rig.now).objective,
            ),
        )
        tasks = [f"{stage.id}.{i}" for _, stage in expected for i in range(stage.spec.tasks)]
        assert [str(order.run.task) for order in rig.start_all()] == tasks[:4]

    def test_anonymous_jobs_alone_keep_their_order_beside_configured_workspaces(self):
        assert self.orders() == self.orders(workspace("a"), workspace("b"))

    def test_a_configuration_without_the_workspace_of_a_job(self):
        rig = rig_with(workspace("a"))
        rig.submit(step(2), job=job_id(1), workspace="gone")
        rig.submit(step(2), job=job_id(2), workspace="a")
        assert started(rig) == {"gone": 2, "a": 2}

    def test_a_removed_workspace_keeps_its_weight(self):
        rig = rig_with(workspace("a", 1.0))
        rig.configure()
        for number in range(2):
            rig.submit(step(1), job=job_id(number), workspace="a")
        assert rig.cell.owed.is_beyond(job_id(1))
