"""Observed durations of tasks by image, relative to their estimates."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from ragworttiller.scheduling.records.formats import LearntImage

MAX_IMAGES = 256
MAX_IMAGES_PASSED = 64
MAX_NAME_CHARACTERS = 256
# The median of so many follows a change within eight tasks, and a tail of 3% does not move it.
RECENT_SAMPLES = 15
MIN_SAMPLES = 5
# Estimates that are off by less than a third are kept.
KEPT_ESTIMATE_ERROR = 1 / 3
MIN_RATIO = 0.01
MAX_RATIO = 64.0
TAIL_SHARE = 0.9
MIN_TAIL_SAMPLES = 20
# Samples of one histogram. The one before is kept too, so the tail rests on 64 to 128 samples.
HISTOGRAM_SAMPLES = 64
HISTOGRAM_UNITS = 1000
SIGNIFICANT_DIGITS = 1


class DurationKey(NamedTuple):
    """Image of a step, or the key of its queue if the step names none; the other is empty."""

    image: str
    queue: str


def duration_key(image: str, queue: str) -> DurationKey:
    """Return the key under which the durations of a step's tasks are learnt.

    Parameters
    ----------
    image : str
        Image of the step, empty for none.
    queue : str
        Key of its queue.
    """
    return DurationKey(image, "") if image else DurationKey("", queue)


class _Image:
    """Ratios of observed to estimated durations of the tasks of one image."""

    def __init__(self) -> None:
        self.samples = 0
        self.at = 0.0
        self.ratio = 1.0
        self._recent: deque[float] = deque(maxlen=RECENT_SAMPLES)
        self._histograms = [_histogram()]
        self._tail: float | None = None
        self._inherited_tail: float | None = None

    @property
    def correction(self) -> float:
        """Factor by which estimates are corrected."""
        off = abs(self.ratio - 1.0) > KEPT_ESTIMATE_ERROR
        return self.ratio if off and self.samples >= MIN_SAMPLES else 1.0

    def record(self, ratio: float, now: float) -> None:
        """Add a sample."""
        self.samples += 1
        self.at = now
        self._recent.append(ratio)
        self.ratio = median(self._recent)
        self._tail = None
        if self._histograms[-1].get_total_count() >= HISTOGRAM_SAMPLES:
            self._histograms = [self._histograms[-1], _histogram()]
        self._histograms[-1].record_value(int(ratio * HISTOGRAM_UNITS))

    def tail(self) -> float | None:
        """Return the ratio below which 90% of the tasks stay, None if it is not known."""
        if self._tail is None:
            self._tail = self._compute_tail()
        return self._tail

    def _compute_tail(self) -> float | None:
        merged = _histogram()
        for histogram in self._histograms:
            merged.add(histogram)
        if merged.get_total_count() < MIN_TAIL_SAMPLES:
            return self._inherited_tail
        return float(merged.get_value_at_percentile(100 * TAIL_SHARE)) / HISTOGRAM_UNITS

    def restore(self, row: LearntImage, now: float) -> None:
        """Take over what an earlier owner has learnt; a change shows as soon as to that owner."""
        self.samples, self.ratio, self.at = row.samples, row.ratio, now - row.age
        self._recent.extend([row.ratio] * min(row.samples, MIN_SAMPLES))
        self._inherited_tail = row.tail or None


class Durations:
    """Ratios of observed to estimated durations by image, or by queue for steps without an image.

    The images that were least recently used are dropped first.
    """

    def __init__(self) -> None:
        self._images: OrderedDict[DurationKey, _Image] = OrderedDict()
        self._corrections: dict[DurationKey, float] = {}

    def __len__(self) -> int:
        """Return the number of images and queues of which durations are known."""
        return len(self._images)

    def correction(self, key: DurationKey) -> float:
        """Return the factor by which the estimates of an image are to be corrected.

        It is 1.0 until there are sufficient samples, and for estimates that are off by less than a
        third.
        """
        return self._corrections.get(key, 1.0)

    def ratio(self, key: DurationKey) -> float:
        """Return the usual ratio of observed to estimated duration, 1.0 if nothing is known."""
        return self._images[key].ratio if key in self._images else 1.0

    def tail(self, key: DurationKey) -> float | None:
        """Return the 90th percentile of this ratio, None if too little is known."""
        return self._images[key].tail() if key in self._images else None

    def samples(self, key: DurationKey) -> int:
        """Return the number of samples of an image."""
        return self._images[key].samples if key in self._images else 0

    def record(self, key: DurationKey, seconds: float, estimate: float, now: float) -> None:
        """Record the duration of a task.

        Parameters
        ----------
        key : DurationKey
            Image or queue of the task.
        seconds : float
            Duration on a runner of mean speed, in seconds.
        estimate : float
            Estimated duration in seconds; without one, nothing is learnt.
        now : float
            Time in seconds.
        """
        if estimate <= 0 or len(key.image or key.queue) > MAX_NAME_CHARACTERS:
            return
        image = self._images.pop(key, None) or _Image()
        image.record(min(max(seconds / estimate, MIN_RATIO), MAX_RATIO), now)
        self._add(key, image)

    def _add(self, key: DurationKey, image: _Image) -> None:
        self._images[key] = image
        self._set_correction(key, image.correction)
        if len(self._images) > MAX_IMAGES:
            dropped, _ = self._images.popitem(last=False)
            self._corrections.pop(dropped, None)

    def _set_correction(self, key: DurationKey, correction: float) -> None:
        if correction == 1.0:
            self._corrections.pop(key, None)
        else:
            self._corrections[key] = correction

    def learnt(self, now: float) -> list[LearntImage]:
        """Return what to pass to a successor: the images with the most samples."""
        rows = sorted(self._images.items(), key=lambda row: -row[1].samples)[:MAX_IMAGES_PASSED]
        return [
            LearntImage(
                key.image,
                key.queue,
                round(image.ratio, 3),
                round(image.tail() or 0.0, 3),
                image.samples,
                round(max(now - image.at, 0.0), 1),
            )
            for key, image in rows
        ]

    def restore(self, rows: Iterable[LearntImage], now: float) -> None:
        """Take over what an earlier owner has learnt; absurd rows are ignored."""
        valid = [row for row in rows if _is_valid(row)][:MAX_IMAGES_PASSED]
        for row in sorted(valid, key=lambda row: -row.age):
            image = _Image()
            image.restore(row, now)
            self._add(duration_key(row.image, row.queue), image)


def _is_valid(row: LearntImage) -> bool:
    return (
        0 < len(row.image or row.queue) <= MAX_NAME_CHARACTERS
        and MIN_RATIO <= row.ratio <= MAX_RATIO
        and (row.tail == 0 or MIN_RATIO <= row.tail <= MAX_RATIO)
        and row.samples > 0
        and 0 <= row.age < math.inf
    )


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, int(MAX_RATIO * HISTOGRAM_UNITS), SIGNIFICANT_DIGITS)
