"""Runs the benchmarks: ``python -m bench [GROUP ...]``, all groups by default."""

from __future__ import annotations

import argparse
import importlib
import importlib.util
import sys
import time

from bench.table import MET, Row, save, show

GROUPS = (
    "decisions",
    "packing",
    "routing",
    "capacity",
    "license",
    "config",
    "membership",
    "cell",
    "owner",
)


def available_groups() -> list[str]:
    """Return the groups whose module exists."""
    return [name for name in GROUPS if importlib.util.find_spec(f"bench.{name}")]


def run_group(group: str) -> list[Row]:
    """Return the rows of one group."""
    started = time.perf_counter()
    rows = list(importlib.import_module(f"bench.{group}").rows())
    print(f"{group}: {time.perf_counter() - started:.1f} s", file=sys.stderr)
    return rows


def main() -> int:
    """Run the chosen groups, print their rows and save them."""
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    parser.add_argument("groups", nargs="*", choices=[[], *available_groups()], metavar="GROUP")
    chosen = parser.parse_args().groups or available_groups()
    rows = [row for group in chosen for row in run_group(group)]
    show(rows)
    save(rows)
    missed = sum(row.verdict.startswith("missed") for row in rows)
    met = sum(row.verdict == MET for row in rows)
    print(f"bench: {met} met, {missed} missed, {len(rows) - met - missed} without target")
    return 0


if __name__ == "__main__":
    sys.exit(main())
