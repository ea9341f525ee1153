"""Tests of the waiting tasks of a stage, without I/O."""

from __future__ import annotations

import random
import tracemalloc

import pytest

from ragworttiller.resources import NO_RESOURCES
from ragworttiller.scheduling.state.jobs import StageId, StepSpec
from ragworttiller.scheduling.state.runs import Stage
from ragworttiller.scheduling.state.runs.waiting_tasks import WaitingTasks

MAX_TASKS = 100_000
MAX_STAGE_BYTES = 20_000


def change(tasks: WaitingTasks, rows: list[int], rng: random.Random) -> None:
    """Make the same random change to waiting tasks and to a plain list of them."""
    left = sorted(set(range(20)) - set(rows))
    match rng.randrange(8):
        case 0 | 1 | 2 if rows:
            index = rng.choice([rows[-1], rng.choice(rows)])
            tasks.remove(index)
            rows.remove(index)
        case 3 | 4 if left:
            index = rng.choice(left)
            tasks.append(index)
            rows.append(index)
        case 5:
            gone = set(rng.sample(range(20), 3))
            tasks.discard_all(gone)
            rows[:] = [index for index in rows if index not in gone]
        case 6 if rng.random() < 0.2:
            tasks.sort(lambda index: index % 3)
            rows.sort(key=lambda index: index % 3, reverse=True)


class TestWaitingTasks:
    """Guards against a task that is lost, started twice or out of turn."""

    @pytest.mark.parametrize("seed", range(200))
    def test_they_are_those_of_a_plain_list(self, seed: int):
        rng = random.Random(seed)
        tasks, rows = WaitingTasks(20), list(range(19, -1, -1))
        for _ in range(100):
            change(tasks, rows, rng)
            assert (list(tasks), len(tasks), bool(tasks)) == (rows, len(rows), bool(rows))
            assert list(reversed(tasks)) == list(tasks.in_start_order()) == rows[::-1]
            assert [index for index in range(-1, 21) if index in tasks] == sorted(rows)
            assert tasks == rows

    def test_a_task_that_does_not_wait_cannot_be_removed(self):
        tasks = WaitingTasks(3)
        tasks.remove(1)
        for index in (1, 3):
            with pytest.raises(ValueError):
                tasks.remove(index)


class TestLargeStage:
    """Guards against an owner that a few stages of many tasks fill, since none of these runs."""

    def test_tasks_that_wait_take_no_memory_each(self):
        tracemalloc.start()
        stage = Stage(StageId("", 0, 0), StepSpec(MAX_TASKS, NO_RESOURCES))
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert len(stage.waiting) == MAX_TASKS
        assert size < MAX_STAGE_BYTES

    def test_the_task_that_waits_for_the_longest(self):
        stage = Stage(StageId("", 0, 0), StepSpec(3, NO_RESOURCES))
        stage.ready_since = 5.0
        run = stage.start(0, "a", 1, 6.0)
        stage.requeue(run, 8.0)
        assert (stage.longest_waiting(), stage.longest_wait(9.0)) == (2, 4.0)
        for index in (1, 2):
            stage.start(index, "a", 1, 8.0)
        assert (stage.longest_waiting(), stage.longest_wait(9.0)) == (0, 1.0)
