"""Tests of what is learnt of the durations of images, and of its use."""

from __future__ import annotations

import random

import pytest

from ragworttiller.scheduling.records.formats import Learnt, decode
from ragworttiller.scheduling.state.durations import (
    MAX_IMAGES,
    MAX_IMAGES_PASSED,
    MIN_SAMPLES,
    RECENT_SAMPLES,
    DurationKey,
    Durations,
    duration_key,
)
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.runs import Stage
from tests.kinds_rig import PATIENT, QUICK, KindsRig
from tests.scheduling_rig import step

IMAGE = DurationKey("resize", "")
ONE_KIND = {"a": 4}
EQUAL = {"a": 1.0}
MAX_CLAIM_BYTES = 16_000


def record(durations: Durations, *ratios: float, key: DurationKey = IMAGE) -> None:
    """Record tasks with an estimate of two seconds."""
    for ratio in ratios:
        durations.record(key, 2.0 * ratio, 2.0, 100.0)


def rig_with_factor(factor: float, **policies: str) -> KindsRig:
    """Return a cell in which the tasks of one image take a multiple of their estimate."""
    rig = KindsRig(ONE_KIND, EQUAL, **policies)
    rig.work = lambda run: run.spec.estimate * (factor if run.spec.image else 1.0)
    return rig


def learn(rig: KindsRig, tasks: int = 8) -> None:
    """Let tasks of the image end."""
    for _ in range(tasks):
        rig.add_job(step(1, 1000, estimate_ms=1000, image="resize"))
    rig.advance(8.0)


def add_work(rig: KindsRig, **fields: object) -> tuple[JobWork, Stage]:
    """Submit a job of two tasks of the image, and return it with its stage."""
    work = rig.cell.jobs[rig.add_job(step(2, 1000, image="resize", **fields))]
    return work, next(iter(work.stages.values()))


class TestCorrection:
    @pytest.fixture()
    def durations(self) -> Durations:
        return Durations()

    @pytest.mark.parametrize("ratio", [0.1, 1.9])
    def test_estimates_off_by_nine_tenths_are_corrected(self, durations: Durations, ratio: float):
        record(durations, *[ratio] * MIN_SAMPLES)
        assert durations.correction(IMAGE) == pytest.approx(ratio)

    @pytest.mark.parametrize("ratio", [0.7, 1.3])
    def test_estimates_off_by_less_than_a_third_are_kept(self, durations: Durations, ratio: float):
        record(durations, *[ratio] * 50)
        assert durations.correction(IMAGE) == 1.0

    def test_a_few_samples_correct_nothing(self, durations: Durations):
        record(durations, *[3.0] * (MIN_SAMPLES - 1))
        assert durations.correction(IMAGE) == 1.0

    def test_a_tail_does_not_poison_the_ratio(self, durations: Durations):
        """3% of tasks take seven times as long; their mean would be off by a fifth."""
        numbers = random.Random(2)
        for _ in range(2000):
            record(durations, numbers.uniform(0.9, 1.1) * (7 if numbers.random() < 0.03 else 1))
            assert durations.correction(IMAGE) == 1.0
            assert durations.ratio(IMAGE) < 1.15

    def test_tasks_that_vary_without_bias_correct_little(self, durations: Durations):
        """Estimates that are off by up to 0.9 either way tell as much as the image does."""
        numbers = random.Random(3)
        ratios = []
        for _ in range(500):
            record(durations, numbers.uniform(0.1, 1.9))
            ratios.append(durations.ratio(IMAGE))
        assert sum(ratios) / len(ratios) == pytest.approx(1.0, abs=0.1)

    def test_an_image_that_changed_is_relearnt_within_half_of_the_recent_tasks(
        self, durations: Durations
    ):
        record(durations, *[4.0] * 100)
        record(durations, *[1.0] * (RECENT_SAMPLES // 2 + 1))
        assert durations.correction(IMAGE) == 1.0

    def test_the_tail_is_the_ninetieth_percentile(self, durations: Durations):
        record(durations, *([1.0] * 8 + [5.0] * 2) * 6)
        assert durations.tail(IMAGE) == pytest.approx(5.0, rel=0.1)
        record(durations, *[1.0] * 200)
        assert durations.tail(IMAGE) == pytest.approx(1.0, rel=0.1)

    def test_a_tail_of_few_tasks_is_not_known(self, durations: Durations):
        record(durations, *[1.0] * 10)
        assert durations.tail(IMAGE) is None

    @pytest.mark.parametrize("seconds", [0.0, -1.0, 1e-9, 1e9])
    def test_absurd_durations_are_bounded(self, durations: Durations, seconds: float):
        for _ in range(30):
            durations.record(IMAGE, seconds, 1.0, 100.0)
        assert 0.01 <= durations.ratio(IMAGE) <= 64.0
        assert durations.tail(IMAGE) == pytest.approx(durations.ratio(IMAGE), rel=0.1)

    def test_without_an_estimate_nothing_is_learnt(self, durations: Durations):
        durations.record(IMAGE, 1.0, 0.0, 100.0)
        assert len(durations) == 0

    def test_memory_is_bounded_and_the_least_recently_used_are_dropped(self, durations: Durations):
        for number in range(MAX_IMAGES + 100):
            record(durations, *[3.0] * MIN_SAMPLES, key=DurationKey(f"i{number}", ""))
            record(durations, 2.0)
        assert len(durations) == MAX_IMAGES
        assert durations.correction(IMAGE) == 2.0
        assert durations.correction(DurationKey("i0", "")) == 1.0
        assert len(durations._corrections) <= MAX_IMAGES

    def test_a_step_without_image_is_learnt_by_its_queue(self):
        assert duration_key("", "h /q/") == DurationKey("", "h /q/")
        assert duration_key("h /q/", "h /q/") != duration_key("", "h /q/")


class TestSuccessor:
    def test_the_images_with_the_most_samples_are_passed(self):
        durations = Durations()
        for number in range(200):
            record(durations, *[2.0] * (1 + number), key=DurationKey(f"i{number}", ""))
        rows = durations.learnt(100.0)
        assert len(rows) == MAX_IMAGES_PASSED
        assert min(row.samples for row in rows) == 200 - MAX_IMAGES_PASSED + 1

    def test_it_knows_the_images_from_the_claim(self):
        rig = rig_with_factor(3.0)
        learn(rig, 32)
        claim = rig.cell.claim("e1", 1, 0, rig.now)
        later = KindsRig(ONE_KIND, EQUAL, claim._replace(roster=[]))
        work, stage = add_work(later, estimate_ms=2000)
        assert work.expected_seconds(stage) == pytest.approx(6.0, rel=0.1)
        assert later.cell.claim("e2", 1, 0, later.now).learnt

    def test_what_changed_since_is_relearnt(self):
        durations = Durations()
        record(durations, *[4.0] * 1000)
        later = Durations()
        later.restore(durations.learnt(100.0), 100.0)
        assert later.correction(IMAGE) == 4.0
        assert later.tail(IMAGE) == pytest.approx(4.0, rel=0.1)
        record(later, *[1.0] * 25)
        assert later.correction(IMAGE) == 1.0
        assert later.tail(IMAGE) == pytest.approx(1.0, rel=0.1)

    def test_a_claim_stays_small(self):
        rig = KindsRig(ONE_KIND, EQUAL)
        for number in range(300):
            rig.cell._tracker._durations.record(
                duration_key(f"registry/{number:050d}", ""), 1.0, 1.0, 1.0
            )
        learnt = rig.cell.claim("e1", 1, 0, rig.now).learnt
        assert len(decode(learnt, Learnt).images) == MAX_IMAGES_PASSED
        assert len(learnt) < MAX_CLAIM_BYTES


class TestUse:
    def test_the_remaining_time_is_corrected_and_the_objective_is_not(self):
        rig = rig_with_factor(3.0)
        learn(rig)
        work, stage = add_work(rig, estimate_ms=2000)
        inputs = work.order_inputs(stage, rig.now, rig.now)
        assert inputs.remaining == pytest.approx(6.0, rel=0.1)
        assert inputs.objective == pytest.approx(2.0 * QUICK.slack_factor)

    def test_the_baseline_takes_the_estimate(self):
        rig = rig_with_factor(3.0, estimates="submitted")
        learn(rig)
        work, stage = add_work(rig, estimate_ms=2000)
        assert work.order_inputs(stage, rig.now, rig.now).remaining == 2.0

    @pytest.mark.parametrize("factor", [0.1, 1.9])
    def test_a_run_is_expected_to_end_when_its_image_does(self, factor: float):
        rig = rig_with_factor(factor)
        learn(rig)
        add_work(rig, estimate_ms=2000)
        run = rig.start_all()[0].run
        assert run.expected_end - rig.now == pytest.approx(2.0 * factor, rel=0.3)

    def test_ended_tasks_of_the_stage_count_before_the_image(self):
        rig = rig_with_factor(3.0)
        learn(rig)
        rig.work = lambda run: 0.5 * run.spec.estimate
        work = rig.cell.jobs[rig.add_job(step(40, 1000, image="resize", estimate_ms=2000))]
        stage = next(iter(work.stages.values()))
        assert work.expected_seconds(stage) > 4.0
        rig.advance(1.2)
        assert work.expected_seconds(stage) == pytest.approx(1.0, rel=0.1)

    def test_the_stage_with_the_less_slack_starts_first(self):
        """By the estimates the other one would, and the quick job would be late."""
        rig = rig_with_factor(1.9)
        learn(rig)
        rig.add_job(step(16, 1000, estimate_ms=1000))
        rig.advance(0.05)
        long = rig.add_job(step(16, 1000, estimate_ms=1000, image="resize"), queue=PATIENT)
        short = rig.add_job(step(16, 1000, estimate_ms=1010), queue=PATIENT)
        started = rig.advance(1.1)
        assert {run.task.stage.job for run in started} == {long}
        assert rig.cell.jobs[short].ready(rig.now)

    def test_durations_are_those_on_a_runner_of_mean_speed(self):
        """A slow kind does not make an image seem slow."""
        rig = KindsRig({"a": 4, "b": 4, "c": 4}, {"a": 1.0, "b": 2.4, "c": 1.0}, kinds="none")
        for _ in range(20):
            rig.add_job(step(48, 1000, estimate_ms=500, image="resize"))
            rig.advance(1.5)
        usual = rig.cell._tracker._durations.ratio(IMAGE)
        assert usual == pytest.approx(4.4 / 3, rel=0.15)

    def test_a_run_of_an_earlier_owner_tells_no_duration(self):
        rig = KindsRig(ONE_KIND, EQUAL)
        job = rig.add_job(step(1, 1000, estimate_ms=1000, image="resize"))
        stage = next(iter(rig.cell.jobs[job].stages))
        found = rig.cell.runners["a0"]
        task = next(iter(rig.cell.jobs[job].stages.values())).start(0, "a0", 1, rig.now).task
        rig.cell.jobs[job].stages[stage].requeue(
            rig.cell.jobs[job].stages[stage].active_runs[0], rig.now
        )
        rig.hold("a0", running=((task, 7),))
        assert found.runs[task, 7].adopted
        rig.hold("a0", (task, 7, "done"))
        assert len(rig.cell._tracker._durations) == 0
