"""Tests of the days of our own that the users' bench plays."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

from tools.days import DISTURBANCES, day_of, toml_of

DAYS = sorted((Path(__file__).resolve().parent.parent / "deploy" / "days").glob("*.toml"))
TRAFFIC = [{"zone": "z", "per_s": 1.5, "mix": {"checks": 2}, "shape": {"kind": "wave"}}]
SITE = {"day": [{"name": "quiet", "seed": 3, "traffic": TRAFFIC, "wall": 2.0, "faults": []}]}


class TestDays:
    def test_traffic_is_the_sites_and_disturbances_are_ours(self):
        ours = {"faults": [{"at": 1.0, "kind": "node_kill"}], "closing": {"kind": "kill_all"}}
        day = day_of(SITE, ours, "owners", 7)
        assert day["traffic"] == TRAFFIC
        assert (day["name"], day["seed"], day["wall"]) == ("owners", 7, 2.0)
        assert day["faults"] == ours["faults"]

    @pytest.mark.parametrize("ours", [{"traffic": []}, {"fautls": []}])
    def test_other_fields_are_refused(self, ours: dict):
        with pytest.raises(ValueError, match="unknown fields"):
            day_of(SITE, ours, "owners", 7)

    def test_a_site_without_a_day_is_refused(self):
        with pytest.raises(ValueError, match="no day"):
            day_of({}, {}, "owners", 7)

    def test_what_is_written_reads_the_same(self):
        values = {"a": 'x "y" \\', "b": [1, 2.5, True], "c": {"d": "e", "f": [{"g": 1}]}}
        text = "\n".join(f"{name} = {toml_of(value)}" for name, value in values.items())
        assert tomllib.loads(text) == values


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
class TestFiles:
    def test_each_disturbance_has_a_time_and_a_kind(self, path: Path):
        day = tomllib.loads(path.read_text())
        assert set(day) <= set(DISTURBANCES)
        assert day["closing"]["kind"]
        for row in [*day["plan"], *day["faults"]]:
            assert row["at"] >= 0
            assert row["kind"]

    def test_disturbances_overlap(self, path: Path):
        faults = sorted(tomllib.loads(path.read_text())["faults"], key=lambda row: row["at"])
        pairs = zip(faults, faults[1:], strict=False)
        assert any(b["at"] < a["at"] + a.get("for_s", 5.0) for a, b in pairs)
