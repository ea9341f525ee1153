"""Tests of what is learnt of images that slow each other down, and of placement by it."""

from __future__ import annotations

import logging
import math
import random

import pytest

from ragworttiller.scheduling.state.cell_view import CellView
from ragworttiller.scheduling.state.interference import MAX_PAIRS, Interference, Sample
from ragworttiller.scheduling.state.neighbours import Neighbours
from ragworttiller.scheduling.state.runs import QUEUE_PREFIX
from tests.interference_rig import InterferenceRig
from tests.scheduling_rig import QUEUE, task

SEED = 5


class Samples:
    """Feeds samples of tasks to a learner, with noise in their durations.

    Parameters
    ----------
    slowdowns : dict
        Factor by which the second image slows down the first.
    speeds : dict
        Factor by which each runner is slower than the others.
    noise : float
        Standard deviation of the logarithm of a duration.
    """

    def __init__(self, slowdowns=None, speeds=None, noise: float = 0.1, seed: int = SEED):
        self.learnt = Interference()
        self.now = 100.0
        self._slowdowns = slowdowns or {}
        self._speeds = speeds or {}
        self._noise = noise
        self._random = random.Random(seed)

    def feed(self, seconds: float, runners: dict[str, tuple[str, ...]], serves=False, load=1.0):
        """Let each task on each runner give a sample in each half second."""
        for _ in range(int(seconds / 0.5)):
            self.now += 0.5
            for runner, images in runners.items():
                for image in images:
                    self._feed_one(runner, image, images, serves, load)

    def _feed_one(self, runner, image, images, serves, load):
        ratio = load * self._speeds.get(runner, 1.0)
        ratio *= math.exp(self._random.gauss(0.0, self._noise))
        beside = {other: 1.0 for other in images if other != image}
        for other in beside:
            ratio *= self._slowdowns.get((image, other), 1.0)
        self.learnt.record(Sample(image, runner, "a", serves, ratio, beside), self.now)

    def slowdown(self, image: str, beside: str) -> float:
        return self.learnt.slowdown(image, beside, self.now)


class TestLearning:
    def test_the_harmful_image_is_found_beside_an_innocent_one_on_a_slow_runner(self):
        """A mean with and without each neighbour would blame the innocent one, or the runner."""
        samples = Samples({("a", "bad"): 2.0}, {"w1": 1.5})
        runners = {"w1": ("a", "bad", "good"), "w2": ("a", "good"), "w3": ("bad", "good")}
        samples.feed(10.0, {**runners, "w4": ("a",)})
        assert samples.slowdown("a", "bad") == pytest.approx(2.0, rel=0.25)
        pairs = samples.learnt.believed(samples.now)
        assert set(pairs) == {("a", "bad")}

    def test_the_effect_has_a_direction(self):
        samples = Samples({("a", "b"): 2.0})
        samples.feed(10.0, {"w1": ("a", "b"), "w2": ("a",), "w3": ("b",)})
        assert samples.slowdown("a", "b") > 1.6
        assert samples.slowdown("b", "a") == 1.0

    @pytest.mark.parametrize("seed", range(5))
    def test_no_pair_is_blamed_while_all_images_on_a_runner_are_slow(self, seed: int):
        samples = Samples(speeds={"w1": 2.0}, seed=seed)
        samples.feed(10.0, {"w1": ("a", "b", "c"), "w2": ("a", "b"), "w3": ("c", "b")})
        assert samples.learnt.believed(samples.now) == {}

    def test_an_image_that_is_slow_alone_on_a_runner_is_no_reason_to_blame_its_neighbour(self):
        """A serving task beside filling ones is the only one there that gives samples."""
        samples = Samples(speeds={"w1": 3.0})
        samples.feed(5.0, {"w1": ("web",), "w2": ("web",)}, serves=True)
        for _ in range(8):
            samples.now += 0.5
            beside = {"batch": 1.0}
            samples.learnt.record(Sample("web", "w1", "a", True, 3.0, beside), samples.now)
            samples.learnt.record(Sample("web", "w2", "a", True, 1.0, {}), samples.now)
        assert samples.slowdown("web", "batch") == 1.0

    def test_the_load_of_a_serving_image_is_no_reason_to_blame_a_neighbour(self):
        samples = Samples()
        runners = {"w1": ("web", "x"), "w2": ("web",), "w3": ("web", "y")}
        samples.feed(10.0, runners, serves=True, load=0.4)
        samples.feed(3.0, runners, serves=True, load=1.2)
        samples.feed(10.0, runners, serves=True, load=0.4)
        assert samples.learnt.believed(samples.now) == {}

    def test_a_neighbour_at_half_pace_shows_half_of_the_effect(self):
        """Samples of paced tasks must not make the effect look smaller than it is."""
        samples = Samples()
        for number in range(40):
            samples.now += 0.25
            share = (1.0, 0.5, 0.0)[number % 3]
            beside = {"batch": share} if share else {}
            sample = Sample("web", "w1", "a", True, 0.4 * 3.0**share, beside)
            samples.learnt.record(sample, samples.now)
        assert samples.slowdown("web", "batch") == pytest.approx(3.0, rel=0.3)

    def test_an_effect_fades(self):
        samples = Samples({("a", "b"): 2.0})
        together = {"w1": ("a", "b"), "w2": ("a",), "w3": ("b",)}
        samples.feed(10.0, together)
        assert samples.slowdown("a", "b") > 1.6
        samples._slowdowns.clear()
        samples.feed(20.0, together)
        assert samples.slowdown("a", "b") == 1.0

    def test_a_pair_that_is_not_seen_any_more_is_forgotten(self):
        """Kept apart for ever, two images could never show that they suit each other now."""
        samples = Samples({("a", "b"): 2.0})
        samples.feed(10.0, {"w1": ("a", "b"), "w2": ("a",), "w3": ("b",)})
        samples.feed(30.0, {"w2": ("a",), "w3": ("b",)})
        assert samples.slowdown("a", "b") == 1.0

    def test_a_single_sample_is_not_believed(self):
        samples = Samples({("a", "b"): 3.0})
        samples.feed(5.0, {"w2": ("a",)})
        samples.feed(0.5, {"w1": ("a", "b")})
        assert samples.slowdown("a", "b") == 1.0

    @pytest.mark.parametrize("seed", range(5))
    def test_noise_makes_few_beliefs(self, seed: int):
        """Durations differ by half of their value with nothing beside them to blame."""
        samples = Samples(noise=0.5, seed=seed)
        rng = random.Random(seed)
        images = [f"i{number}" for number in range(8)]
        wrong = seen = 0
        for _ in range(30):
            samples.feed(0.5, {f"w{n}": tuple(rng.sample(images, 4)) for n in range(6)})
            wrong += len(samples.learnt.believed(samples.now))
            seen += len(samples.learnt.views(samples.now))
        assert wrong < 0.06 * seen

    def test_pairs_are_bounded_and_the_oldest_goes_first(self):
        learnt = Interference()
        learnt.record(Sample("first", "w1", "a", False, 1.0, {}), 1.0)
        for number in range(2, 700):
            beside = {f"b{number}": 1.0}
            for image in ("first", "second"):
                learnt.record(Sample(image, "w1", "a", False, 1.0, beside), float(number))
        views = learnt.views(700.0)
        assert len(views) == MAX_PAIRS
        assert max(view["age"] for view in views) <= MAX_PAIRS / 2 + 1

    def test_a_view_tells_slowdown_samples_and_age(self):
        samples = Samples({("a", "b"): 2.0}, noise=0.0)
        samples.feed(10.0, {"w1": ("a", "b"), "w2": ("a",), "w3": ("b",)})
        view = samples.learnt.views(samples.now + 2.0)[0]
        assert (view["image"], view["beside"], view["age"]) == ("a", "b", 2.0)
        assert 5 < view["samples"] < 15
        assert 0.5 < view["confidence"] < 1


class TestNeighbours:
    def test_shares_count_the_time_beside_a_run(self):
        """A neighbour of the last moment of a long run is not to blame for its duration."""
        rig = InterferenceRig(1)
        neighbours = Neighbours()
        rig.add("a", estimate_ms=60_000)
        rig.run_for(0.2)
        runner = rig.cell.runners["w1"]
        neighbours.advance(runner, rig.now)
        rig.run_for(4.0)
        neighbours.advance(runner, rig.now)
        rig.add("b", estimate_ms=60_000)
        rig.run_for(1.0)
        neighbours.advance(runner, rig.now)
        (run,) = rig.runs("a")
        assert neighbours.beside(runner, run, rig.now) == pytest.approx({"b": 0.2}, abs=0.05)

    def test_a_second_task_of_the_image_is_a_neighbour(self):
        rig = InterferenceRig(1)
        neighbours = Neighbours()
        rig.add("a", 2, estimate_ms=60_000)
        rig.run_for(0.2)
        runner = rig.cell.runners["w1"]
        neighbours.advance(runner, rig.now)
        rig.run_for(2.0)
        neighbours.advance(runner, rig.now)
        run = rig.runs("a")[0]
        assert neighbours.beside(runner, run, rig.now) == pytest.approx({"a": 1.0})

    def test_runs_that_are_gone_are_forgotten(self):
        rig = InterferenceRig(1)
        neighbours = Neighbours()
        rig.add("a")
        rig.run_for(0.2)
        runner = rig.cell.runners["w1"]
        neighbours.advance(runner, rig.now)
        neighbours.retain({})
        assert neighbours.beside(runner, rig.runs("a")[0], rig.now) == {}

    def test_a_step_without_an_image_is_known_by_its_queue(self):
        rig = InterferenceRig(1)
        rig.add("", estimate_ms=60_000)
        rig.run_for(0.2)
        (run,) = rig.cell.runners["w1"].runs.values()
        assert run.image == f"{QUEUE_PREFIX}{QUEUE.key}"


def teach(rig: InterferenceRig, image: str, beside: str) -> None:
    """Let the rig's owner learn that an image suffers from another one."""
    learnt = rig.cell.separation._learnt
    for number in range(20):
        at = rig.now - 2.0 + number / 10
        learnt.record(Sample(image, "x1", "a", False, 1.0, {}), at)
        learnt.record(Sample(image, "x2", "a", False, 3.0, {beside: 1.0}), at)


class TestPlacement:
    def test_an_image_avoids_a_runner_with_one_that_slows_it_down(self):
        rig = InterferenceRig(2)
        rig.add("loud", estimate_ms=60_000)
        rig.run_for(0.3)
        (loud,) = rig.runs("loud")
        teach(rig, "soft", "loud")
        rig.add("soft", 3, estimate_ms=60_000)
        rig.run_for(0.3)
        assert {run.runner for run in rig.runs("soft")} == {"w1", "w2"} - {loud.runner}
        assert rig.cell.separation.counts["placements"] > 0

    def test_an_image_avoids_a_runner_with_one_that_it_slows_down(self):
        rig = InterferenceRig(2)
        rig.add("soft", estimate_ms=60_000)
        rig.run_for(0.3)
        (soft,) = rig.runs("soft")
        teach(rig, "soft", "loud")
        rig.add("loud", 3, estimate_ms=60_000)
        rig.run_for(0.3)
        assert {run.runner for run in rig.runs("loud")} == {"w1", "w2"} - {soft.runner}

    def test_the_cost_yields_to_room(self):
        """A task must not wait for a quiet runner while another one has room."""
        rig = InterferenceRig(2)
        rig.add("loud", 2, cpu=2000, anti_affinity=1, estimate_ms=60_000)
        rig.run_for(0.3)
        teach(rig, "soft", "loud")
        rig.add("soft", 4, cpu=1000, estimate_ms=60_000)
        rig.run_for(0.3)
        assert len(rig.runs("soft")) == 4

    def test_a_late_stage_takes_no_account_of_others(self):
        rig = InterferenceRig(2)
        rig.add("soft", estimate_ms=60_000)
        rig.run_for(0.3)
        (soft,) = rig.runs("soft")
        teach(rig, "soft", "loud")
        rig.run_for(0.3)
        stage = rig.cell.jobs[rig.add("loud", estimate_ms=1000)].stages
        runner = rig.cell.runners[soft.runner]
        (loud,) = stage.values()
        assert rig.cell.separation.cost(loud, runner, late=False) > 1.0
        assert rig.cell.separation.cost(loud, runner, late=True) == 0.0

    def test_the_baseline_adds_no_cost(self):
        rig = InterferenceRig(2, "none")
        rig.add("loud", estimate_ms=60_000)
        rig.run_for(0.3)
        stage = next(iter(rig.cell.jobs[rig.add("soft")].stages.values()))
        for runner in rig.cell.runners.values():
            assert rig.cell.separation.cost(stage, runner, late=False) == 0.0

    def test_a_pair_is_learnt_from_ended_runs(self):
        """Durations alone show the harmful pair, and later tasks are kept apart."""
        rig = InterferenceRig(4)
        rig.slowdowns["soft", "loud"] = 2.0
        rig.add("loud", 2, cpu=1000, anti_affinity=1, estimate_ms=60_000)
        rig.run_for(0.5)
        loud = {run.runner for run in rig.runs("loud")}
        slow = []
        for _ in range(30):
            rig.add("soft", 8, cpu=1000, estimate_ms=800)
            rig.add("calm", 4, cpu=500, estimate_ms=800)
            rig.run_for(0.2)
            slow.append(sum(run.runner in loud for run in rig.runs("soft")))
            rig.run_for(1.8)
        assert ("soft", "loud") in rig.cell.separation._learnt.believed(rig.now)
        assert ("calm", "loud") not in rig.cell.separation._learnt.believed(rig.now)
        assert sum(slow[-10:]) < sum(slow[:3]) / 3 * 10

    def test_work_goes_on_with_all_runners_full(self):
        """The cost never holds a task back, so as many tasks end as the runners can run."""
        ends = {}
        for interference in ("none", "learned"):
            rig = InterferenceRig(2, interference)
            rig.slowdowns["soft", "loud"] = 1.5
            for _ in range(20):
                rig.add("soft", 4, cpu=1000, estimate_ms=1000)
                rig.add("loud", 4, cpu=1000, estimate_ms=1000)
                rig.run_for(1.0)
            ends[interference] = sum(rig.ends.values())
        assert ends["learned"] >= 0.97 * ends["none"]


class TestViews:
    def test_operators_see_the_pairs(self):
        rig = InterferenceRig(2)
        teach(rig, "soft", "loud")
        (row,) = CellView(rig.cell).interference(rig.now)
        assert (row["image"], row["beside"], row["believed"]) == ("soft", "loud", True)
        assert row["slowdown"] > 1.5
        assert row["samples"] > 5
        assert row["age"] == pytest.approx(0.1)

    def test_without_the_feature_there_are_none(self):
        assert CellView(InterferenceRig(1, "none").cell).interference(100.0) == []

    def test_a_belief_that_changes_a_placement_is_logged_once(self, caplog):
        """Operators need the reason; a line for each of hundreds of tasks would hide others."""
        caplog.set_level(logging.INFO)
        rig = InterferenceRig(2)
        rig.add("loud", estimate_ms=60_000)
        rig.run_for(0.3)
        teach(rig, "soft", "loud")
        rig.add("soft", 3, estimate_ms=60_000)
        rig.run_for(0.3)
        message = "placement changed by interference"
        (line,) = [record for record in caplog.records if record.message == message]
        assert (line.image, line.beside) == ("soft", "loud")


class TestSharing:
    def test_filling_tasks_join_calm_serving_ones(self):
        """Kept away from all serving tasks, filling ones would wait beside idle processors."""
        rig = InterferenceRig(2)
        rig.serve(count=2, anti_affinity=1)
        rig.run_for(2.0)
        rig.fill(count=2)
        rig.run_for(3.0)
        assert {run.runner for run in rig.runs("batch")} == {"w1", "w2"}
        rig.run_for(10.0)
        assert rig.stops == [] and rig.paces == []

    def test_no_filling_task_joins_a_serving_one_that_is_not_calm(self):
        rig = InterferenceRig(1)
        rig.load = 0.8
        rig.serve()
        rig.run_for(2.0)
        rig.fill()
        rig.run_for(5.0)
        assert rig.runs("batch") == []

    def test_filling_tasks_join_one_after_the_other(self):
        """Their effect is not known before the next reports."""
        rig = InterferenceRig(1)
        rig.serve()
        rig.run_for(2.0)
        for _ in range(3):
            rig.fill()
        rig.run_for(1.0)
        assert len(rig.runs("batch")) == 1
        rig.run_for(6.0)
        assert len(rig.runs("batch")) == 3

    def test_an_image_that_was_moved_away_does_not_come_back_soon(self):
        """Without orders that are answered, it would be stopped and started in turn."""
        rig = InterferenceRig(1)
        rig.slowdowns["web", "batch"] = 8.0
        rig.fate = lambda order: "lost"
        rig.serve()
        rig.run_for(2.0)
        rig.fill()
        rig.run_for(60.0)
        assert 1 <= len(rig.stops) <= 3
        (_, first), *_ = rig.stops
        assert first.task == task(0, 0, first.task.stage.job)

    def test_tails_show_the_harmful_pair(self):
        rig = InterferenceRig(2)
        rig.slowdowns["web", "batch"] = 8.0
        rig.serve(count=2, anti_affinity=1)
        rig.run_for(2.0)
        rig.fill()
        rig.fill("quiet")
        rig.run_for(12.0)
        believed = rig.cell.separation._learnt.believed(rig.now)
        assert believed.get(("web", "batch"), 0.0) > 1.5
        assert ("web", "quiet") not in believed

    def test_a_successor_learns_again(self):
        """A lost table costs some seconds of knowledge, and no rule."""
        rig = InterferenceRig(2)
        rig.slowdowns["web", "batch"] = 8.0
        rig.serve(count=2, anti_affinity=1)
        rig.run_for(2.0)
        rig.fill()
        rig.run_for(6.0)
        rig.replace_owner()
        assert rig.cell.separation.pairs(rig.now) == []
        rig.run_for(15.0)
        assert rig.cell.separation.pairs(rig.now)
        assert rig.longest_over < 4.5
