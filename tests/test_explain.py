"""Tests of the command that collects the log lines about one job, and of the lines it reads."""

from __future__ import annotations

import json
import re
from pathlib import Path

from typer.testing import CliRunner

from ragworttiller.__main__ import app
from ragworttiller.commands.explain import OWNER_CHANGE_MESSAGES, job_log_rows

JOB = "00000000000000aa"
ROOT = Path(__file__).resolve().parent.parent


def line(time: str, message: str, **fields: object) -> str:
    row = {"time": time, "level": "INFO", "logger": "x", "message": message, "instance": "e1"}
    return json.dumps({**row, **fields})


class TestExplain:
    def test_lines_of_all_entries_come_in_order(self):
        lines = [
            line("3", "run ended", task=f"{JOB}.0.0.1", how="done"),
            line("1", "request answered", path=f"/q/{JOB}", status=200),
            line("2", "task started", task=f"{JOB}.0.0.1", runner="w1"),
            line("2", "task started", task="00000000000000bb.0.0.1", runner="w1"),
            "not JSON " + JOB,
            '  12.5 e2 {"message": "job ended", "time": "4", "job": "' + JOB + '"}',
        ]
        found = job_log_rows(JOB, lines)
        messages = [row["message"] for row in found]
        assert messages == ["request answered", "task started", "run ended", "job ended"]
        assert found[1]["details"] == f"task={JOB}.0.0.1 runner=w1"

    def test_changes_of_owner_are_shown_between_the_lines_of_a_late_job(self):
        lines = [
            line("1", "ownership released", epoch=1),
            line("2", "request answered", path=f"/q/{JOB}", status=200),
            line("3", "no owner acts", epoch=1, why="released"),
            line("4", "takeover completed", epoch=2, first_start=1.5),
            line("4", "owner pace", epoch=2),
            line("5", "task started", task=f"{JOB}.0.0.1", runner="w1"),
            line("6", "cell claimed", epoch=3),
        ]
        found = [row["message"] for row in job_log_rows(JOB, lines, owner_changes=True)]
        assert found == ["request answered", "no owner acts", "takeover completed", "task started"]
        assert len(job_log_rows(JOB, lines)) == 2
        assert job_log_rows("00000000000000bb", lines, owner_changes=True) == []

    def test_an_unknown_job_is_an_error(self, tmp_path: Path):
        path = tmp_path / "log"
        path.write_text(line("1", "task started", task="x"))
        assert CliRunner().invoke(app, ["explain", JOB, str(path)]).exit_code != 0

    def test_the_command_reads_files(self, tmp_path: Path):
        path = tmp_path / "log"
        path.write_text(line("1", "job ended", job=JOB, state="completed") + "\n")
        found = CliRunner().invoke(app, ["explain", JOB, str(path)])
        assert found.exit_code == 0
        assert "state=completed" in found.output


class TestOwnerChangeMessages:
    def test_each_of_them_is_logged_somewhere(self):
        package = ROOT / "ragworttiller" / "scheduling"
        code = "\n".join(path.read_text() for path in package.rglob("*.py"))
        assert [m for m in OWNER_CHANGE_MESSAGES if f'"{m}"' not in code] == []


class TestOperationsPage:
    def test_every_message_that_it_names_is_logged_somewhere(self):
        page = (ROOT / "docs" / "OPERATIONS.md").read_text()
        package = ROOT / "ragworttiller"
        code = "\n".join(path.read_text() for path in package.rglob("*.py"))
        logged = set(re.findall(r'log\.\w+\(\s*"([^"]+)"', code))
        named = {name for name in re.findall(r"`([a-z ]+)`", page) if " " in name}
        reasons = {"runner drains", "gang incomplete", "serving task on the runner"}
        missing = {name for name in named - reasons if name not in logged and name not in code}
        assert not missing
        assert len(named & logged) > 12
