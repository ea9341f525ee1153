"""Tests of the fold of a cell shard."""

from __future__ import annotations

import itertools
import random
import tracemalloc
from typing import Any

import pytest

from ragworttiller.process.cell_fold import CellFold
from ragworttiller.records import (
    HoldDecided,
    HoldPlaced,
    HoldReleased,
    JobEnded,
    JobSubmitted,
    TaskEnded,
    TaskResized,
    TaskStarted,
    WorkerDeclared,
)
from ragworttiller.resources import NOTHING, Resources

SIZE = Resources(4000, 8192, 2)
NEED = Resources(1000, 1024, 0)
BYTES_PER_TASK = 1024
_ids = itertools.count()


def worker(name: str = "w0", state: str = "up", capacity: Resources = SIZE) -> WorkerDeclared:
    return WorkerDeclared(f"i{next(_ids)}", name, "", capacity, "fd", "rack", [], state)


def job(name: str = "j000-1", tasks: int = 4, idempotent: bool = True, kind: str = "batch"):
    return JobSubmitted(
        f"i{next(_ids)}", name, "ws", "t", 1, kind, tasks, NEED, 0, None, 1.0, idempotent, {}, 5.0
    )


def start(task: str, attempt: int = 1, on: str = "w0", need: Resources = NEED) -> TaskStarted:
    return TaskStarted(f"i{next(_ids)}", task, attempt, on, need, "a@1.1", 6.0)


def end(task: str, attempt: int = 1, reason: str = "done") -> TaskEnded:
    return TaskEnded(f"i{next(_ids)}", task, attempt, reason, 7.0)


def hold(decision: str, task: str, on: str = "w0", need: Resources = NEED) -> HoldPlaced:
    return HoldPlaced(f"i{next(_ids)}", decision, 3, task, 1, on, need, "b@1.1", 6.0)


def decide(decision: str, placements: list[Any], commit: bool = True) -> HoldDecided:
    return HoldDecided(f"i{next(_ids)}", decision, "j000-1", commit, placements, NEED, "a@1.1", 6.0)


class Stream:
    """Applies records at consecutive offsets."""

    def __init__(self) -> None:
        self.fold = CellFold(0)
        self.offset = 0

    def apply_all(self, *records: Any) -> bool:
        """Apply records and return whether the last one is valid."""
        valid = False
        for record in records:
            self.offset += 1
            valid = self.fold.apply(self.offset, record).valid
        return valid

    @property
    def room(self) -> Resources:
        return self.fold.bookings.workers["w0"].available


@pytest.fixture
def stream() -> Stream:
    stream = Stream()
    stream.apply_all(worker(), job())
    return stream


class TestStarts:
    def test_start_books_its_need_until_its_end(self, stream):
        assert stream.apply_all(start("j000-1/0"))
        assert stream.room == SIZE.minus(NEED)
        assert stream.fold.use["ws"] == NEED
        assert stream.apply_all(end("j000-1/0"))
        assert stream.room == SIZE
        assert stream.fold.use == {}

    def test_second_start_of_a_running_task_is_void(self, stream):
        stream.apply_all(start("j000-1/0"))
        assert not stream.apply_all(start("j000-1/0"))
        assert not stream.apply_all(start("j000-1/0", attempt=2))

    def test_attempts_count_up(self, stream):
        assert not stream.apply_all(start("j000-1/0", attempt=2))
        stream.apply_all(start("j000-1/0"), end("j000-1/0", reason="lost"))
        assert not stream.apply_all(start("j000-1/0", attempt=1))
        assert stream.apply_all(start("j000-1/0", attempt=2))

    @pytest.mark.parametrize(
        "need", [Resources(4001, 1, 0), Resources(1, 8193, 0), Resources(1, 1, 3)]
    )
    def test_each_resource_must_fit(self, stream, need):
        assert not stream.apply_all(start("j000-1/0", need=need))
        assert stream.room == SIZE

    @pytest.mark.parametrize("state", ["leaving", "gone"])
    def test_only_workers_that_are_up_take_tasks(self, stream, state):
        stream.apply_all(worker(state=state))
        assert not stream.apply_all(start("j000-1/0"))
        assert not stream.apply_all(start("j000-1/0", on="unknown"))

    def test_ended_job_starts_nothing(self, stream):
        stream.apply_all(start("j000-1/0"), JobEnded("x", "j000-1", "cancelled", "", 8.0))
        assert not stream.apply_all(start("j000-1/1"))
        assert stream.apply_all(end("j000-1/0", reason="cancelled"))
        assert stream.fold.ended["j000-1"].state == "cancelled"
        assert stream.fold.jobs == {}

    def test_failed_task_that_is_not_idempotent_is_not_started_again(self, stream):
        stream.apply_all(job("j000-2", idempotent=False))
        stream.apply_all(start("j000-2/0"), end("j000-2/0", reason="failed"))
        assert not stream.apply_all(start("j000-2/0", attempt=2))
        stream.apply_all(start("j000-2/1"), end("j000-2/1", reason="lost"))
        assert stream.apply_all(start("j000-2/1", attempt=2))

    def test_repeated_declaration_is_void(self, stream):
        first, second = worker("w1"), worker("w1", capacity=NEED)
        stream.apply_all(first, second)
        assert not stream.apply_all(first)
        assert stream.fold.bookings.workers["w1"].declared.capacity == NEED

    def test_growth_must_fit(self, stream):
        stream.apply_all(start("j000-1/0"))
        assert not stream.apply_all(TaskResized("r1", "j000-1/0", 1, Resources(4001, 1024, 0)))
        assert stream.apply_all(TaskResized("r2", "j000-1/0", 1, Resources(4000, 1024, 0)))
        assert stream.room.cpu == 0


class TestHolds:
    def test_hold_books_until_it_is_released(self, stream):
        assert stream.apply_all(hold("d", "j003-9/0"))
        assert stream.room == SIZE.minus(NEED)
        assert not stream.apply_all(hold("d", "j003-9/0"))
        stream.apply_all(HoldReleased("x", "d", "j003-9/0"))
        assert stream.room == SIZE

    @pytest.mark.parametrize("task", [None, "j003-9/0"])
    def test_hold_that_lands_after_its_release_is_void(self, stream, task):
        stream.apply_all(HoldReleased("x", "d", task))
        assert not stream.apply_all(hold("d", "j003-9/0"))
        assert stream.room == SIZE

    def test_first_decision_wins(self, stream):
        placements = [("j000-1/0", 1, 0, "w0")]
        assert stream.apply_all(decide("d", [], commit=False))
        assert not stream.apply_all(decide("d", placements))
        assert stream.fold.running("j000-1/0") is None
        assert stream.apply_all(decide("e", placements))
        assert not stream.apply_all(decide("e", [], commit=False))
        assert stream.fold.running("j000-1/0") is not None

    def test_commit_licenses_all_or_nothing(self, stream):
        all_four = [(f"j000-1/{n}", 1, 0, "w0") for n in range(4)]
        stream.apply_all(start("j000-1/3"))
        assert not stream.apply_all(decide("d", all_four))
        assert list(stream.fold.jobs["j000-1"].running) == [3]
        assert stream.apply_all(decide("e", all_four[:3]))
        assert stream.room.cpu == 0

    def test_commit_must_fit_as_a_whole(self, stream):
        stream.apply_all(job("j000-3", tasks=5))
        placements = [(f"j000-3/{n}", 1, 0, "w0") for n in range(5)]
        record = decide("d", placements)._replace(job="j000-3")
        assert not stream.apply_all(record)
        assert stream.room == SIZE

    def test_room_of_other_shards_is_not_booked_here(self, stream):
        stream.apply_all(decide("d", [("j000-1/0", 1, 7, "w0")]))
        assert stream.fold.running("j000-1/0").shard == 7
        assert stream.room == SIZE


def random_record(rng: random.Random, jobs: list[str]) -> Any:
    """Return a random record; most are plausible, some are void."""
    name = rng.choice(jobs)
    task = f"{name}/{rng.randrange(4)}"
    attempt, on = rng.randint(1, 3), rng.choice(["w0", "w1", "w2"])
    need = Resources(rng.choice([500, 1000, 3000]), rng.choice([512, 4096]), rng.randint(0, 1))
    reason = rng.choice(["done", "failed", "lost", "preempted", "never_started"])
    decision = rng.choice("defg")
    makers = [
        lambda: worker(on, rng.choice(["up", "up", "leaving", "gone"])),
        lambda: job(name, idempotent=rng.random() < 0.5),
        lambda: start(task, attempt, on, need),
        lambda: start(task, attempt, on, need),
        lambda: start(task, attempt, on, need),
        lambda: end(task, attempt, reason),
        lambda: TaskResized(f"i{next(_ids)}", task, attempt, need),
        lambda: JobEnded(f"i{next(_ids)}", name, "cancelled", "", 9.0),
        lambda: hold(decision, f"j003-9/{rng.randrange(3)}", on, need),
        lambda: HoldReleased(
            f"i{next(_ids)}", decision, rng.choice([None, f"j003-9/{rng.randrange(3)}"])
        ),
        lambda: decide(
            decision, [(task, attempt, rng.randint(0, 1), on)], rng.random() < 0.8
        )._replace(job=name),
    ]
    return rng.choices(makers, [2, 3, 9, 9, 9, 9, 4, 1, 5, 3, 6])[0]()


def state_of(fold: CellFold) -> Any:
    """Return all state that a fold's verdicts depend on."""
    rows = {
        name: (row.state, row.states, row.attempts, row.running, row.submitted)
        for name, row in fold.jobs.items()
    }
    workers = {
        name: (row.declared, row.booked, row.tasks, row.holds, row.recent_ids)
        for name, row in fold.bookings.workers.items()
    }
    return rows, workers, fold.bookings.holds, fold.ended, fold.decided, fold.use


class TestSnapshot:
    @pytest.mark.parametrize("seed", range(20))
    def test_fold_from_a_snapshot_equals_the_fold_from_the_start(self, seed):
        rng = random.Random(seed)
        names = [f"j000-{n}" for n in range(6)]
        full, restored = CellFold(0), CellFold(0)
        snapshot_at = rng.randrange(50, 350)
        for offset in range(1, 400):
            record = random_record(rng, names)
            verdict = full.apply(offset, record)
            if offset == snapshot_at:
                restored.load(full.dump())
            elif offset > snapshot_at:
                assert restored.apply(offset, record) == verdict
        assert state_of(restored) == state_of(full)
        assert restored.dump() == full.dump()

    @pytest.mark.parametrize("seed", range(20))
    def test_no_worker_is_ever_overbooked(self, seed):
        rng = random.Random(seed)
        fold = CellFold(0)
        names = [f"j000-{n}" for n in range(6)]
        for offset in range(1, 400):
            fold.apply(offset, random_record(rng, names))
            for row in fold.bookings.workers.values():
                booked = NOTHING
                for held in row.holds:
                    booked = booked.plus(fold.bookings.holds[held].need)
                for task in row.tasks:
                    booked = booked.plus(fold.running(task).need)
                assert booked == row.booked
                assert booked.fits(SIZE)


class TestMemory:
    @pytest.mark.parametrize("tasks", [1000, 5000])
    def test_running_task_costs_little(self, tasks):
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        stream = Stream()
        for n in range(tasks // 50):
            stream.apply_all(worker(f"w{n}", capacity=Resources(10**6, 10**6, 0)))
            stream.apply_all(job(f"j000-{n:032d}", tasks=50))
            for index in range(50):
                stream.apply_all(start(f"j000-{n:032d}/{index}", on=f"w{n}"))
        used = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        assert sum(len(row.running) for row in stream.fold.jobs.values()) == tasks
        assert used / tasks < BYTES_PER_TASK
