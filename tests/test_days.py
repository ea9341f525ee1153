"""Tests of the fault schedules in ``deploy/days``, which the users' benchmark runs under load."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

SCHEDULES = sorted((Path(__file__).resolve().parent.parent / "deploy" / "days").glob("*.toml"))
FIELDS = {"plan", "faults", "closing"}
# Days that the users sent stay as they were sent.
SENT_DAYS = {"deadly"}
SENT_FIELDS = {"name", "faults"}
OWN_SCHEDULES = [path for path in SCHEDULES if path.stem not in SENT_DAYS]


def test_at_least_five_schedules_exist():
    assert len(OWN_SCHEDULES) >= 5


@pytest.mark.parametrize("path", OWN_SCHEDULES, ids=lambda path: path.stem)
def test_own_days_have_planned_work_and_a_final_fault(path: Path):
    schedule = tomllib.loads(path.read_text())
    assert set(schedule) == FIELDS
    assert schedule["closing"]["kind"]


@pytest.mark.parametrize("name", sorted(SENT_DAYS))
def test_sent_days_have_a_name_and_faults(name: str):
    (path,) = [path for path in SCHEDULES if path.stem == name]
    schedule = tomllib.loads(path.read_text())
    assert set(schedule) == SENT_FIELDS
    assert schedule["name"] == name


@pytest.mark.parametrize("path", SCHEDULES, ids=lambda path: path.stem)
class TestFiles:
    def test_each_event_has_a_time_and_a_kind(self, path: Path):
        schedule = tomllib.loads(path.read_text())
        for row in [*schedule.get("plan", []), *schedule["faults"]]:
            assert row["at"] >= 0
            assert row["kind"]

    def test_some_faults_overlap(self, path: Path):
        faults = sorted(tomllib.loads(path.read_text())["faults"], key=lambda row: row["at"])
        pairs = zip(faults, faults[1:], strict=False)
        assert any(b["at"] < a["at"] + a.get("for_s", 5.0) for a, b in pairs)
