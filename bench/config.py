"""Configuration: time until a change is in force and until a new instance has loaded it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import anyio

from bench.forward_model import rewrite_rows, transfer_rows
from bench.table import Row, verdict
from ragworttiller.records import Publish
from tests.config_cell import ConfigCell

GROUP = "config"
MAX_IN_FORCE_SECONDS = 4.0
INSTANCES = 13
CHANGES = 20
STEP_SECONDS = 0.02
TIMEOUT_SECONDS = 30.0
MAX_START_SECONDS = 4.0
SETTLE_SECONDS = 10.0
SLOW_READ_SECONDS = 1.0
RECORD_COUNTS = (100, 1_000, 4_000)
PEER_DELAY_SECONDS = 0.0015
APPEND_DELAY_SECONDS = 0.02


def rows() -> list[Row]:
    """Return the rows of this group."""
    return [*_in_force_rows(), *_start_rows(), *rewrite_rows(), *transfer_rows()]


Fault = Callable[[ConfigCell], None]


def _no_fault(_cell: ConfigCell) -> None:
    """Inject no fault."""


def _log_down(cell: ConfigCell) -> None:
    """Make every read and append of the log fail."""
    cell.log.down = True


def _log_down_and_publisher_dead(cell: ConfigCell) -> None:
    """Make the log fail and stop the instance that published the change."""
    cell.log.down = True
    cell.kill("i0")


def _in_force_rows() -> Iterator[Row]:
    cases: list[tuple[str, bool, Fault]] = [
        ("in force, log up", False, _no_fault),
        ("in force, log down right after acceptance", True, _log_down),
        ("the same, publisher dead and cut off but for one", True, _log_down_and_publisher_dead),
    ]
    for name, outage, fault in cases:
        baseline = anyio.run(_longest_time_in_force, False, outage, fault)
        ours = anyio.run(_longest_time_in_force, True, outage, fault)
        yield Row(
            GROUP,
            f"{name}, {INSTANCES} instances, from the call on",
            f"log alone {_format_seconds(baseline)}",
            _format_seconds(ours),
            f"{MAX_IN_FORCE_SECONDS:g} s",
            verdict(ours <= MAX_IN_FORCE_SECONDS, "slower than the target"),
        )


def _format_seconds(value: float) -> str:
    return f"more than {value:.0f} s" if value >= TIMEOUT_SECONDS else f"{value:.2f} s"


async def _longest_time_in_force(spread: bool, outage: bool, fault: Fault) -> float:
    """Return the longest time from the call until every live instance shows a change."""
    cell = ConfigCell()
    cell.network.delay = PEER_DELAY_SECONDS
    cell.log.append_delay = APPEND_DELAY_SECONDS
    worst, version = 0.0, 0
    async with cell.running(*[f"i{number}" for number in range(INSTANCES)], settle=5.0):
        if not spread:
            for instance in cell.instances.values():
                instance.registry._spread.push = _no_transfer  # type: ignore[method-assign]
                instance.registry._spread._fetch = _no_transfer  # type: ignore[method-assign]
        if outage:
            for name, instance in cell.instances.items():
                instance.log.down = name != "i0"
        if fault is _log_down_and_publisher_dead:
            for number in range(2, INSTANCES):
                cell.network.cut("i0", f"i{number}")
        for number in range(1 if outage else CHANGES):
            start = cell.timers.now()
            item = await _publish_change(cell, number, version)
            version = item.version
            fault(cell)
            worst = max(worst, await _time_until_shown(cell, version, start))
    return worst


async def _no_transfer(_argument: Any) -> None:
    """No-op that replaces sending to and fetching from other instances."""


async def _publish_change(cell: ConfigCell, number: int, base: int) -> Any:
    result: list[Any] = []

    async def publish() -> None:
        registry = cell.registry("i0")
        result.append(await registry.publish("ws", "template", "t", base, {"n": number}, "bench"))

    cell.tasks.start_soon(publish)
    while not result:
        await cell.timers.advance(STEP_SECONDS / 10)
    return result[0]


async def _time_until_shown(cell: ConfigCell, version: int, start: float) -> float:
    while set(cell.shown().values()) != {version}:
        if cell.timers.now() - start >= TIMEOUT_SECONDS:
            return TIMEOUT_SECONDS
        await cell.timers.advance(STEP_SECONDS)
    return cell.timers.now() - start


def _start_rows() -> Iterator[Row]:
    for state, down, delay in (
        ("up", False, 0.0),
        ("slow", False, SLOW_READ_SECONDS),
        ("down", True, 0.0),
    ):
        times = [anyio.run(_time_until_ready, records, down, delay) for records in RECORD_COUNTS]
        yield Row(
            GROUP,
            f"new instance has the configuration, log {state}",
            "",
            ", ".join(
                f"{_format_seconds(value)} with {records} records"
                for records, value in zip(RECORD_COUNTS, times, strict=True)
            ),
            f"{MAX_START_SECONDS:g} s",
            verdict(max(times) <= MAX_START_SECONDS, "slower than the target"),
        )


async def _time_until_ready(records: int, down: bool, delay: float) -> float:
    """Return the time from the start of an instance until it shows the configuration."""
    cell = ConfigCell()
    cell.network.delay = PEER_DELAY_SECONDS
    async with cell.running("i0", "i1", "i2"):
        stream = cell.instances["i0"].stream
        for number in range(records):
            key = ("ws", "template", f"t{number}")
            stream.post(Publish(stream.record_id(), *key, 0, b'{"cpu":1000}', "bench", 0.0))
        await cell.timers.advance(SETTLE_SECONDS)
        cell.log.down = down
        new = cell.start("new")
        new.log.delay = delay
        start = cell.timers.now()
        while not new.registry.ready and cell.timers.now() - start < TIMEOUT_SECONDS:
            await cell.timers.advance(STEP_SECONDS)
        assert not new.registry.ready or len(new.registry.items()) == records
        return cell.timers.now() - start
