"""Cost per item for docs/CAPACITY.md, each from measurements at three sizes."""

from __future__ import annotations

import logging
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence
from io import StringIO
from typing import Any, NamedTuple

from pythonjsonlogger.json import JsonFormatter

from bench.decisions import placement_cost
from bench.packing_mix import build_cell
from bench.table import Row
from ragworttiller.decisions import Decision, DecisionLog
from ragworttiller.messages import ENVELOPE_CODEC, PAYLOAD_CODEC, Envelope, RunnerLoads
from ragworttiller.process.cell_fold import CellFold
from ragworttiller.process.ledger_fold import LedgerFold
from ragworttiller.records import (
    RECORD_CODEC,
    Intent,
    JobSubmitted,
    Outcome,
    Publish,
    TaskStarted,
    WorkerDeclared,
)
from ragworttiller.resources import Resources
from ragworttiller.version.config_fold import ConfigFold

WORKER_SIZE = Resources(64000, 131072, 4)
TASK_NEED = Resources(2000, 4096, 0)
HOLDER = "entry-0@17"
BODY_DIGEST = b"\0" * 16
OUTCOME_BODY = b'{"grade": 14, "copy": "0123456789"}'


class Slope(NamedTuple):
    """Increase per item between the smallest and the largest size, and the total of each size."""

    per_item: float
    totals: list[tuple[int, float]]


def slope(sizes: Sequence[int], measure: Callable[[int], float]) -> Slope:
    """Measure at several sizes, given in ascending order."""
    totals = [(size, measure(size)) for size in sizes]
    (smallest, low), (largest, high) = totals[0], totals[-1]
    return Slope((high - low) / (largest - smallest), totals)


def memory_bytes(build: Callable[[], Any]) -> float:
    """Return the bytes of memory that a built object takes."""
    tracemalloc.start()
    built = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return float(size)


def _template_body(number: int) -> bytes:
    return (
        b'{"kind": "batch", "idempotent": true, "tasks": 10, "cpu": 2000, "memory": 4096,'
        b' "run_time": 600.0, "urgency": 3, "rules": {"spread": "rack"},'
        b' "arguments": {"number": %d}}' % number
    )


def config_records(count: int) -> list[Publish]:
    """Return the records that publish ``count`` templates over 200 workspaces."""
    return [
        Publish(f"{HOLDER}:config:{i}", f"ws{i % 200}", "template", f"t{i}", 0, _template_body(i),
                "operator", 1e9)
        for i in range(count)
    ]  # fmt: skip


def ledger_records(count: int) -> list[Any]:
    """Return the records of a license and of an outcome for each of ``count`` keys."""
    result: list[Any] = []
    for i in range(count):
        key, attempt = f"lego/k{i:08d}", f"entry-0@17/{i}"
        result.append(
            Intent(f"{HOLDER}:l:{2 * i}", key, attempt, BODY_DIGEST, HOLDER, "marking", 1e9)
        )
        result.append(
            Outcome(f"{HOLDER}:l:{2 * i + 1}", key, attempt, 200, "application/json", OUTCOME_BODY)
        )
    return result


def worker_records(count: int) -> list[WorkerDeclared]:
    """Return the records that declare ``count`` workers."""
    return [
        WorkerDeclared(f"{HOLDER}:c:{i}", f"worker-{i:04d}", f"10.0.{i // 256}.{i % 256}:7000",
                       WORKER_SIZE, f"fd{i % 7}", f"rack-{i // 6}", ["ssd"], "up")
        for i in range(count)
    ]  # fmt: skip


def task_records(count: int) -> list[Any]:
    """Return the records of ``count`` started tasks, with their workers and jobs of ten tasks."""
    result: list[Any] = list(worker_records(max(1, count // 24)))
    workers = len(result)
    for job in range(-(-count // 10)):
        result.append(
            JobSubmitted(f"{HOLDER}:j:{job}", f"job-{job:06d}", f"ws{job % 200}", "t1", 1, "batch",
                         10, TASK_NEED, 3, None, 600.0, True, {}, 1e9)
        )  # fmt: skip
    for i in range(count):
        result.append(
            TaskStarted(f"{HOLDER}:s:{i}", f"job-{i // 10:06d}/{i % 10}", 1,
                        f"worker-{i % workers:04d}", TASK_NEED, HOLDER, 1e9)
        )  # fmt: skip
    return result


def apply_records(fold: Any, records: Sequence[Any]) -> Any:
    """Apply all records to a fold, decoded as if read from the log, and return the fold."""
    for offset, record in enumerate(records, 1):
        verdict = fold.apply(offset, RECORD_CODEC.decode_one(RECORD_CODEC.encode_one(record)))
        assert verdict.valid, verdict
    return fold


def log_seconds(count: int) -> float:
    """Return the processor seconds that writing ``count`` JSON decision lines takes."""
    stream = StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter())
    logger = logging.getLogger("ragworttiller.decisions")
    level_before = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    decisions = DecisionLog()
    decision = Decision("place", "job-000001/3", "ws1", [("worker-0001", -0.25)] * 4, "worker-0001",
                   "best_fit_all", 4711, 0.012)  # fmt: skip
    started = time.process_time()
    for _ in range(count):
        decisions.record(decision)
    taken = time.process_time() - started
    logger.removeHandler(handler)
    logger.setLevel(level_before)
    logger.propagate = True
    return taken


def load_report_bytes(runners: int) -> float:
    """Return the size in bytes of one load report on a number of runners."""
    loads = RunnerLoads({f"checks-{i:02d}": 3 for i in range(runners)}, [])
    payload = PAYLOAD_CODEC.encode_one(loads)
    return float(
        len(ENVELOPE_CODEC.encode_one(Envelope("entry-0", 17, "entry-1", 17, 0, False, payload)))
    )


def rows() -> list[Row]:
    """Return the rows of this group."""
    rng = random.Random(1)
    memory = {
        "worker in the room index": ((50, 300, 1300), lambda n: build_cell(n, n // 3, rng)),
        "worker in the cell fold": (
            (50, 300, 1300),
            lambda n: apply_records(CellFold(0), worker_records(n)),
        ),
        "running task in the cell fold, its share of job and worker included": (
            (1000, 4000, 16000),
            lambda n: apply_records(CellFold(0), task_records(n)),
        ),
        "key with its outcome in the ledger fold": (
            (1000, 4000, 16000),
            lambda n: apply_records(LedgerFold(), ledger_records(n)),
        ),
        "template in the config fold": (
            (200, 1000, 4000),
            lambda n: apply_records(ConfigFold(), config_records(n)),
        ),
    }
    result = [
        _row(
            f"bytes held, each {name}",
            slope(sizes, lambda n, b=build: memory_bytes(lambda: b(n))),
            1,
        )
        for name, (sizes, build) in memory.items()
    ]
    result.append(
        _row(
            "us of processor time, each JSON decision line",
            slope((1000, 5000, 20000), log_seconds),
            1e6,
        )
    )
    result.append(
        _row(
            "us of a placement decision and booking, each worker more",
            slope((48, 300, 1300), lambda n: placement_cost("best_fit_all", n).mean / 1e6),
            1e6,
        )
    )
    result.append(
        _row(
            "bytes of a report of loads, each runner more",
            slope((24, 100, 400), load_report_bytes),
            1,
        )
    )
    result.extend(_record_rows())
    return result


def _record_rows() -> list[Row]:
    kinds: dict[str, Callable[[int], Sequence[Any]]] = {
        "worker declared": worker_records,
        "task with its share of job and worker": task_records,
        "key with license and outcome": ledger_records,
        "template published": config_records,
    }
    return [
        _row(
            f"bytes in the log, each {name}",
            slope((100, 1000, 5000), lambda n, m=make: float(len(RECORD_CODEC.encode(m(n))))),
            1,
        )
        for name, make in kinds.items()
    ]


def _row(name: str, measured: Slope, factor: float) -> Row:
    totals = ", ".join(f"{size:,}: {total * factor:,.0f}" for size, total in measured.totals)
    return Row("capacity", name, totals, f"{measured.per_item * factor:,.2f}", "", "")
