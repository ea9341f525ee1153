"""Cost of rewriting the configuration to the log before its retention drops the records."""

from __future__ import annotations

import random
import time
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

from bench.table import Row, verdict
from ragworttiller.process.commits import MAX_APPEND_BYTES
from ragworttiller.process.snapshots import DEFAULT_RETENTION, split_snapshot
from ragworttiller.records import RECORD_CODEC, Publish
from ragworttiller.version.config_fold import ConfigFold, ItemKey

GROUP = "config"
SEED = 11
CONTROL_BYTES_PER_SECOND = 6 * 1024
DAY_SECONDS = 86_400.0
SIZES = ((20, 370), (100, 1_850), (200, 3_700))
ITEMS_PER_WORKSPACE = 12
ROUND_SECONDS = DEFAULT_RETENTION.seconds / 4
MAX_BUDGET_SHARE = 0.1


class _DayOfChanges(NamedTuple):
    """Configuration after a day of changes, and when each item was last written."""

    fold: ConfigFold
    written_at: dict[ItemKey, float]
    record_bytes: dict[ItemKey, int]
    published_bytes: int


def _body(rng: random.Random) -> dict[str, Any]:
    """Return a template of typical size with random values."""
    return {
        "kind": rng.choice(["service", "batch", "gang"]),
        "tasks": rng.randrange(1, 500),
        "need": {"cpu": rng.randrange(100, 64_000), "memory": rng.randrange(64, 128_000)},
        "urgency": rng.randrange(10),
        "run_time": rng.randrange(1, 100_000) / 7,
        "rules": {
            "failure_domain": [f"fd-{rng.randrange(7)}"],
            "labels": [f"label-{rng.randrange(1000):04x}" for _ in range(rng.randrange(6))],
            "spread": rng.choice(["rack", "failure_domain"]),
        },
        "parameters": {
            f"parameter-{rng.randrange(10_000):x}": {"low": 1, "high": rng.randrange(2, 99_999)}
            for _ in range(rng.randrange(8))
        },
        "image": f"{rng.getrandbits(256):064x}",
    }


def _simulate_day(workspaces: int, changes: int) -> _DayOfChanges:
    """Publish every item once, then a day of changes, most of which go to a few items."""
    rng = random.Random(SEED)
    fold = ConfigFold()
    day = _DayOfChanges(fold, {}, {}, 0)
    keys = [
        ItemKey(f"workspace-{number // ITEMS_PER_WORKSPACE}", "template", f"t-{number}")
        for number in range(workspaces * ITEMS_PER_WORKSPACE)
    ]
    versions: dict[ItemKey, int] = {}
    published_bytes = 0
    for offset in range(1, len(keys) + changes + 1):
        if offset <= len(keys):
            key, at = keys[offset - 1], 0.0
        else:
            key = keys[min(int(rng.paretovariate(0.4)), len(keys)) - 1]
            at = (offset - len(keys)) * DAY_SECONDS / changes
        body = msgspec.json.encode(_body(rng))
        record = Publish(f"entry-3@1764793000000.1:config:{offset}", *key, 0, body, "ann", at)
        record = record._replace(base=versions.get(key, 0))
        assert fold.apply(offset, record).valid
        versions[key], day.written_at[key] = offset, at
        day.record_bytes[key] = len(RECORD_CODEC.encode_one(record))
        published_bytes += day.record_bytes[key] if at else 0
    return day._replace(published_bytes=published_bytes)


def rewrite_rows() -> Iterator[Row]:
    """Compare rewriting whole snapshots with rewriting single records, as the state grows."""
    rounds = DAY_SECONDS / ROUND_SECONDS
    for workspaces, changes in SIZES:
        day = _simulate_day(workspaces, changes)
        data = day.fold.dump()
        parts = split_snapshot(data, 1, "s", lambda: "entry-3@1764793000000.1:config:1")
        snapshot_bytes = sum(len(RECORD_CODEC.encode_one(part)) for part in parts) * rounds
        snapshot_appends = -(-len(data) // MAX_APPEND_BYTES) * rounds
        single_bytes, single_appends = _single_record_cost(day, rounds)
        rate = snapshot_bytes / DAY_SECONDS
        yield Row(
            GROUP,
            f"rewritten a day, {workspaces} workspaces, {changes} changes",
            f"live records only {single_bytes / 1e6:.2f} MB in {single_appends:.0f} appends",
            f"snapshots {snapshot_bytes / 1e6:.2f} MB in {snapshot_appends:.0f} appends,"
            f" {rate:.0f} B/s; changes themselves {day.published_bytes / 1e6:.2f} MB",
            f"{MAX_BUDGET_SHARE:.0%} of {CONTROL_BYTES_PER_SECOND} B/s",
            verdict(rate <= MAX_BUDGET_SHARE * CONTROL_BYTES_PER_SECOND, "snapshots are too large"),
        )


def _single_record_cost(day: _DayOfChanges, rounds: float) -> tuple[float, float]:
    """Return the bytes and appends a day if only records about to expire are rewritten.

    Each round writes the live items that were last written more than half a retention period ago,
    and one record with the offsets of the newer ones. Without these offsets, a reader that starts
    at the oldest kept offset could not validate the changes after it.
    """
    half_retention = DEFAULT_RETENTION.seconds / 2
    written, size, appends = dict.fromkeys(day.written_at, 0.0), 0.0, 0.0
    for number in range(1, int(rounds) + 1):
        now = number * ROUND_SECONDS
        for key, at in day.written_at.items():
            if written[key] < at <= now:
                written[key] = at
        old = [key for key, at in written.items() if now - at >= half_retention]
        batch = sum(day.record_bytes[key] for key in old) + 5.0 * (len(written) - len(old))
        written.update(dict.fromkeys(old, now))
        size += batch
        appends += -(-batch // MAX_APPEND_BYTES)
    return size, appends


def transfer_rows() -> Iterator[Row]:
    """Measure the state that a new instance fetches from a peer, at the largest size."""
    workspaces, changes = SIZES[-1]
    fold = _simulate_day(workspaces, changes).fold
    started = time.process_time()
    data = fold.dump()
    dumped = time.process_time()
    ConfigFold().load(data)
    loaded = time.process_time()
    yield Row(
        GROUP,
        f"state handed to a new instance, {workspaces} workspaces",
        "",
        f"{len(data) / 1e3:.0f} KB, {(dumped - started) * 1e3:.0f} ms to dump,"
        f" {(loaded - dumped) * 1e3:.0f} ms to load",
        "",
        "",
    )
