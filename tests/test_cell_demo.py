"""Tests of the failure checks and the plot of the platform demonstration."""

from __future__ import annotations

from tools.cell_demo import Job, plot, problems

GOOD = Job("a", 1.0, 1, 1.01, 2.0)


class TestProblems:
    def test_run_without_failures_has_no_problems(self):
        assert problems([GOOD, Job("b", 1.0, 3, 4.0, 5.0)], []) == []

    def test_each_kind_of_failure_is_reported(self):
        lost = Job("lost", 1.0, 12, -1.0, -1.0)
        stuck = Job("stuck", 1.0, 1, 1.1, -1.0)
        assert problems([GOOD, lost], []) == ["job lost was never accepted"]
        assert problems([GOOD, stuck], []) == ["job stuck never ended"]
        assert problems([GOOD], ["twice"]) == ["rule broken: twice"]

    def test_slow_submissions_are_a_failure(self):
        assert len(problems([GOOD._replace(accepted=1.9)], [])) == 1

    def test_run_without_jobs_is_a_failure(self):
        assert problems([], []) == ["no job was accepted at once"]


class TestPlot:
    def test_a_file_is_drawn(self, tmp_path):
        path = tmp_path / "new" / "day.svg"
        plot([GOOD], path)
        assert path.read_text().count("<svg") == 1
