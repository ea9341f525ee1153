"""Cost of caps and of the order by shares in a planning pass of a full cell."""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable, Iterator

from bench.owner_load import Load
from bench.owner_model import OwnerModel
from bench.table import Row, verdict
from ragworttiller.scheduling.decisions.fair_order import NoShares, ReadyStage
from ragworttiller.scheduling.decisions.queue_order import SlackOrder

WAITING_STAGES = 150
MAX_SHARE_OF_PASS = 0.1
REPEATS = 200
# Batches arrive faster than they end, so that stages wait from the first seconds on.
FULL_LOAD = Load(runners=176, entries=42, checks=8.0, batches=24.0, seconds=8.0, workspaces=200)


def rows() -> Iterator[Row]:
    """Yield the cost of the orders, of the caps and of a whole pass."""
    model = OwnerModel(FULL_LOAD)
    model.run()
    cell, now = model.cell, FULL_LOAD.seconds
    cell.refresh(now, now)
    ready: list[ReadyStage] = [
        (work, stage, work.order_inputs(stage, now, now))
        for work in cell.jobs.values()
        for stage in work.ready(now)
    ]
    order, capacity = SlackOrder(), cell.capacity
    plain = _median(lambda: list(NoShares().arrange(ready, order, capacity, now)))
    fair = _median(lambda: list(cell.shares.arrange(ready, order, capacity, now)))
    caps = _median(lambda: [cell.caps.allowed(stage) for _, stage, _ in ready])
    whole = _median(lambda: cell.plan(now, now))
    share = (fair - plain + caps) / (whole - fair - caps + plain)
    yield Row("shares", "ready stages measured", "", str(len(ready)), "", "")
    yield Row(
        "shares", "workspaces among them", "", str(len({s.workspace for _, s, _ in ready})), "", ""
    )
    yield Row("shares", "order by slack", "", f"{plain * 1e6:.0f} us", "", "")
    yield Row("shares", "order by shares", "", f"{fair * 1e6:.0f} us", "", "")
    yield Row("shares", "caps of the stages", "", f"{caps * 1e6:.0f} us", "", "")
    yield Row("shares", "whole pass", "", f"{whole * 1e6:.0f} us", "", "")
    met = verdict(share <= MAX_SHARE_OF_PASS, "the order costs too much")
    yield Row("shares", "part added to a pass", "", f"{share:.3f}", f"{MAX_SHARE_OF_PASS}", met)


def _median(action: Callable[[], object]) -> float:
    """Return the median duration of an action, in seconds."""
    durations: list[float] = []
    for _ in range(REPEATS):
        began = time.perf_counter()
        action()
        durations.append(time.perf_counter() - began)
    return statistics.median(durations)
