"""Observed speeds of kinds of runners, from the durations of tasks of the same stage."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from statistics import median
from typing import NamedTuple

from ragworttiller.scheduling.records.formats import LearntKind
from ragworttiller.scheduling.state.jobs import StageId

MAX_KINDS = 16
MAX_KIND_CHARACTERS = 64
# Fewer samples may be a few tasks of the tail of 3% that take seven times as long.
MIN_CONFIDENT_SAMPLES = 8
SMOOTHING_FACTOR = 0.05
# One task of that tail moves a ratio by 6% at most; a kind 2.4 times slower shows in full at once.
MAX_LOG_CHANGE = math.log(3.0)
# While a kind is avoided nothing is learnt of it, so its ratio slowly returns to 1.
DECAY_SECONDS = 600.0
MIN_TIME_RATIO = 0.05
MAX_TIME_RATIO = 20.0
MIN_SECONDS = 0.001
# The tasks of a larger stage are compared in parts, so that much is learnt before its end.
MAX_STAGE_SAMPLES = 32
KEEP_EACH = 4


class _Row(NamedTuple):
    """Logarithm of the time ratio of a kind, its samples, and the time of the last in seconds."""

    log_ratio: float
    samples: int
    at: float


class _Sample(NamedTuple):
    """Logarithm of the duration in seconds of a task, and the kind of its runner."""

    kind: str
    log_seconds: float


class KindSpeeds:
    """Relative task durations by kind of runner, 1.0 for the mean of all listed runners.

    A task is compared with the other tasks of its stage, each corrected for the kind of its runner.
    The ratios therefore depend neither on the work of a stage nor on the share of its tasks that a
    kind had. The kind with an empty name, of runners that state none, is not learnt.
    """

    def __init__(self) -> None:
        self._rows: dict[str, _Row] = {}
        self._stages: dict[StageId, list[_Sample]] = {}
        self._ratios: dict[str, float] = {}

    @property
    def known(self) -> list[str]:
        """Kinds of which the ratio rests on sufficient samples, by name."""
        return sorted(self._ratios)

    def samples(self, kind: str) -> int:
        """Return the number of samples of a kind."""
        return self._rows[kind].samples if kind in self._rows else 0

    def time_ratio(self, kind: str) -> float:
        """Return the duration of tasks on a kind relative to the mean, as of the last `refresh`.

        It is 1.0 for a kind of which too little is known.
        """
        return self._ratios.get(kind, 1.0)

    def record_duration(self, kind: str, stage: StageId, seconds: float, now: float) -> float:
        """Record the duration of a task.

        Parameters
        ----------
        kind : str
            Kind of its runner.
        stage : StageId
            Stage of the task.
        seconds : float
            Duration of the task, in seconds.
        now : float
            Time in seconds.

        Returns
        -------
        float
            Duration relative to that of the stage's last tasks, each corrected for its kind, 1.0 if
            there are none.
        """
        if not kind or len(kind) > MAX_KIND_CHARACTERS:
            return 1.0
        samples = self._stages.setdefault(stage, [])
        sample = _Sample(kind, math.log(max(seconds, MIN_SECONDS)))
        others = [self._corrected(other) for other in samples]
        samples.append(sample)
        if len(samples) >= MAX_STAGE_SAMPLES:
            self.end_stage(stage, now)
            # Those that ended first may all be of quick kinds, and the next ones all of slow kinds.
            self._stages[stage] = samples[::KEEP_EACH]
        return math.exp(self._corrected(sample) - sum(others) / len(others)) if others else 1.0

    def end_stage(self, stage: StageId, now: float) -> None:
        """Compare the tasks of a stage that have ended by a time in seconds.

        They are compared at its end: of tasks that started together the quick ones end first, so a
        comparison at each end would find each one slower than those before. The differences add up
        to zero, since otherwise the kinds in use would drift away from those that are avoided.
        """
        samples = self._stages.pop(stage, [])
        if len(samples) < 2:
            return
        corrected = [self._corrected(sample) for sample in samples]
        middle = median(corrected)
        changes = [min(max(c - middle, -MAX_LOG_CHANGE), MAX_LOG_CHANGE) for c in corrected]
        mean = sum(changes) / len(changes)
        by_kind: dict[str, list[float]] = {}
        for sample, change in zip(samples, changes, strict=True):
            by_kind.setdefault(sample.kind, []).append(change - mean)
        for kind, kind_changes in by_kind.items():
            self._update(kind, kind_changes, now)
        while len(self._rows) > MAX_KINDS:
            del self._rows[min(self._rows, key=lambda kind: self._rows[kind].at)]

    def _corrected(self, sample: _Sample) -> float:
        """Return the logarithm of a duration as on a runner of mean speed."""
        row = self._rows.get(sample.kind)
        return sample.log_seconds - (row.log_ratio if row else 0.0)

    def _update(self, kind: str, changes: Sequence[float], now: float) -> None:
        row, count = self._rows.get(kind, _Row(0.0, 0, now)), len(changes)
        share = max(1 - (1 - SMOOTHING_FACTOR) ** count, count / (row.samples + count))
        learnt = row.log_ratio + share * sum(changes) / count
        learnt = min(max(learnt, math.log(MIN_TIME_RATIO)), math.log(MAX_TIME_RATIO))
        self._rows[kind] = _Row(learnt, row.samples + count, now)

    def discard_stage(self, stage: StageId) -> None:
        """Discard the samples of a stage that has ended."""
        self._stages.pop(stage, None)

    def refresh(self, runners: Mapping[str, int], now: float) -> None:
        """Compute the ratios again, once for a planning pass.

        Parameters
        ----------
        runners : mapping of str to int
            Number of listed runners by kind. Their mean is what a task meets on a runner chosen
            without regard to its kind, and so what estimates refer to.
        now : float
            Time in seconds.
        """
        rows = {
            kind: row for kind, row in self._rows.items() if row.samples >= MIN_CONFIDENT_SAMPLES
        }
        weights = {kind: runners.get(kind, 0) for kind in rows}
        total = sum(weights.values())
        if not total:
            self._ratios = {}
            return
        mean = sum(w * math.exp(rows[kind].log_ratio) for kind, w in weights.items()) / total
        self._ratios = {
            kind: 1.0
            + (math.exp(row.log_ratio) / mean - 1.0) * math.exp(-(now - row.at) / DECAY_SECONDS)
            for kind, row in rows.items()
        }

    def learnt(self, now: float) -> list[LearntKind]:
        """Return the ratios to pass to a successor, those with the most samples first."""
        rows = sorted(self._rows.items(), key=lambda row: -row[1].samples)[:MAX_KINDS]
        return [
            LearntKind(
                kind, round(math.exp(row.log_ratio), 4), row.samples, round(max(now - row.at, 0), 1)
            )
            for kind, row in rows
        ]

    def restore(self, rows: Iterable[LearntKind], now: float) -> None:
        """Take over the ratios of an earlier owner; absurd rows are ignored."""
        for row in rows:
            if len(self._rows) >= MAX_KINDS:
                return
            if (
                0 < len(row.kind) <= MAX_KIND_CHARACTERS
                and MIN_TIME_RATIO <= row.ratio <= MAX_TIME_RATIO
                and row.samples > 0
                and 0 <= row.age < math.inf
            ):
                self._rows[row.kind] = _Row(math.log(row.ratio), row.samples, now - row.age)
