"""Costs of the owner of one cell shard: memory, snapshot and processor time by size."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Iterator
from typing import Any

import anyio

from bench.table import Row, verdict
from ragworttiller.process.cell_fold import CellFold
from ragworttiller.records import RECORD_CODEC, JobSubmitted, TaskStarted, WorkerDeclared
from ragworttiller.resources import Resources
from ragworttiller.timers import SystemTimers
from tests.cell_rig import BATCH, Rig

TASKS_PER_JOB = 10
TASKS_PER_WORKER = 24
WORKER_SIZE = Resources(64_000, 131_072, 0)
TASK_NEED = Resources(500, 512, 0)
FOLD_SIZES = (1_000, 5_000, 20_000)
STEADY_SECONDS = 10.0
MAX_CORE_SHARE = 0.017
OWNER_SIZES = ((12, 500), (48, 2_000), (100, 4_000))


def shard_records(tasks: int) -> list[Any]:
    """Return the records of a shard with a number of running tasks."""
    records: list[Any] = []
    for n in range(-(-tasks // TASKS_PER_WORKER)):
        name = f"worker-{n:04d}"
        records.append(
            WorkerDeclared(f"a:{n}", name, "10.0.0.1:80", WORKER_SIZE, "fd", "rack", [], "up")
        )
    for n in range(tasks):
        job = f"j003-{n // TASKS_PER_JOB:032x}"
        if n % TASKS_PER_JOB == 0:
            records.append(
                JobSubmitted(
                    f"b:{n}",
                    job,
                    f"ws{n % 200}",
                    "nightly",
                    9,
                    "batch",
                    TASKS_PER_JOB,
                    TASK_NEED,
                    3,
                    None,
                    60.0,
                    True,
                    {},
                    1.0,
                )
            )
        task, worker = f"{job}/{n % TASKS_PER_JOB}", f"worker-{n // TASKS_PER_WORKER:04d}"
        records.append(TaskStarted(f"c:{n}", task, 1, worker, TASK_NEED, "entry-1@1712.3", 2.0))
    return records


def measure_fold(tasks: int) -> list[Row]:
    """Return memory, snapshot size and times of the fold for a number of running tasks."""
    data = [RECORD_CODEC.encode_one(record) for record in shard_records(tasks)]
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    fold = CellFold(3)
    for offset, entry in enumerate(data, 1):
        fold.apply(offset, RECORD_CODEC.decode_one(entry))
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    began = time.process_time()
    snapshot = fold.dump()
    dumped = time.process_time()
    CellFold(3).load(snapshot)
    loaded = time.process_time()
    began_fold = time.process_time()
    second_fold = CellFold(3)
    for offset, entry in enumerate(data, 1):
        second_fold.apply(offset, RECORD_CODEC.decode_one(entry))
    folded = time.process_time()
    per_record = (folded - began_fold) * 1e6 / len(data)
    return [
        Row("cell", f"resident bytes a running task, {tasks}", "", f"{used / tasks:.0f}", "", ""),
        Row("cell", f"snapshot bytes a task, {tasks}", "", f"{len(snapshot) / tasks:.0f}", "", ""),
        Row(
            "cell",
            f"dump and load, {tasks} tasks",
            "",
            _format_times(began, dumped, loaded),
            "",
            "",
        ),
        Row("cell", f"fold of a record, {tasks} tasks", "", f"{per_record:.0f} us", "", ""),
    ]


def _format_times(began: float, dumped: float, loaded: float) -> str:
    return f"{(dumped - began) * 1e3:.0f} and {(loaded - dumped) * 1e3:.0f} ms"


async def measure_owner(workers: int, tasks: int) -> list[Row]:
    """Return the processor time of an owner, including that of its stand-in services."""
    rig = Rig(workers={f"w{n}": WORKER_SIZE for n in range(workers)}, timers=SystemTimers())
    async with rig.running():
        body = {
            "tasks": TASKS_PER_JOB,
            "cpu": TASK_NEED.cpu,
            "memory": TASK_NEED.memory,
            "run_time": 300.0,
        }
        rig.registry.put("ws", "template", "t", {**BATCH, **body})
        began = time.process_time()
        for n in range(tasks // TASKS_PER_JOB):
            rig.tasks.start_soon(rig.jobs.submit, "ws", "t", {}, f"k{n}")
        await rig.until(lambda: len(rig.starts) == tasks)
        started = time.process_time()
        appends = rig.log.appends
        await rig.advance(STEADY_SECONDS)
        steady = time.process_time()
        await rig.call(rig.jobs.cancel_matching("ws", {}))
        await rig.until(lambda: not rig.fleet.cell.running)
        cancelled = time.process_time()
    size = f"{workers} workers, {tasks} tasks"
    start, cancel = (started - began) * 1e6 / tasks, (cancelled - steady) * 1e6 / tasks
    share = (steady - started) / STEADY_SECONDS
    met = verdict(share <= MAX_CORE_SHARE, "reports of running tasks cost too much")
    return [
        Row("cell", f"a start, {size}", "", f"{start:.0f} us", "", ""),
        Row("cell", f"appends for all starts, {size}", f"{tasks}", f"{appends}", "", ""),
        Row("cell", f"while running, {size}", "", f"{share:.2%} of a core", "1.7%", met),
        Row("cell", f"a cancelled task, {size}", "", f"{cancel:.0f} us", "", ""),
    ]


def rows() -> Iterator[Row]:
    """Yield the rows of all sizes."""
    for tasks in FOLD_SIZES:
        yield from measure_fold(tasks)
    for workers, tasks in OWNER_SIZES:
        yield from anyio.run(measure_owner, workers, tasks)
