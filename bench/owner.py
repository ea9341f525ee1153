"""Pace of the owner of a cell under a burst of checks, in virtual time; see `bench.owner_model`."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from bench.owner_load import BURST_LOAD, CHECKS
from bench.owner_model import OwnerModel, Second
from bench.table import Row, verdict
from ragworttiller.scheduling.decisions.pass_pace import MAX_PLANNING_SHARE

RECOVERY_SECONDS = 15.0


def rows() -> Iterator[Row]:
    """Yield the rows of the burst, of what was before and of what came after."""
    load = BURST_LOAD
    seconds = OwnerModel(load).run()
    burst_end = load.burst_at + load.burst_seconds
    yield from _rows("before", seconds[2 : int(load.burst_at)])
    yield from _rows("in the burst", seconds[int(load.burst_at) : int(burst_end)])
    yield from _rows("recovered", seconds[int(burst_end + RECOVERY_SECONDS) :])


def _rows(when: str, seconds: Sequence[Second]) -> Iterator[Row]:
    longest = max(second.pass_seconds for second in seconds)
    share = max((second.passes - 1) * second.pass_seconds for second in seconds)
    wait = sum(second.wait for second in seconds) / len(seconds)
    waiting = max(second.most_waiting for second in seconds)
    met = verdict(share <= MAX_PLANNING_SHARE, "passes leave no time for other work")
    yield Row("owner", f"mean pass of a second, at most, {when}", "", f"{longest:.4f} s", "", "")
    target = f"{MAX_PLANNING_SHARE:.2f}"
    yield Row("owner", f"share of passes, at most, {when}", "", f"{share:.2f}", target, met)
    yield Row("owner", f"waiting stages, at most, {when}", "", str(waiting), "", "")
    in_time = "" if when == "in the burst" else verdict(wait <= CHECKS.target_latency, "too slow")
    yield Row("owner", f"first start of a check, {when}", "", f"{wait:.2f} s", "0.25 s", in_time)
