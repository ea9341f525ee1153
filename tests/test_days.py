"""Tests of the fault schedules in ``deploy/days``, which the users' benchmark runs under load."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

SCHEDULES = sorted((Path(__file__).resolve().parent.parent / "deploy" / "days").glob("*.toml"))
FIELDS = {"plan", "faults", "closing"}


def test_at_least_five_schedules_exist():
    assert len(SCHEDULES) >= 5


@pytest.mark.parametrize("path", SCHEDULES, ids=lambda path: path.stem)
class TestFiles:
    def test_each_event_has_a_time_and_a_kind(self, path: Path):
        schedule = tomllib.loads(path.read_text())
        assert set(schedule) == FIELDS
        assert schedule["closing"]["kind"]
        for row in [*schedule["plan"], *schedule["faults"]]:
            assert row["at"] >= 0
            assert row["kind"]

    def test_some_faults_overlap(self, path: Path):
        faults = sorted(tomllib.loads(path.read_text())["faults"], key=lambda row: row["at"])
        pairs = zip(faults, faults[1:], strict=False)
        assert any(b["at"] < a["at"] + a.get("for_s", 5.0) for a, b in pairs)
