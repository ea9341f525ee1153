"""Slowdown of the tasks of one image by tasks of another one, as learnt from samples."""

from __future__ import annotations

import math
from collections.abc import Container, Mapping
from typing import NamedTuple, TypedDict

from ragworttiller.scheduling.state.decayed import DecayedSum

HALF_LIFE_SECONDS = 5.0
# Kinds of runners do not change, and few samples come from a rare one.
KIND_HALF_LIFE_SECONDS = 60.0
MAX_PAIRS = 512
MAX_IMAGES = 256
MAX_KINDS = 32
MAX_IMAGES_PER_RUNNER = 32
# Samples without effect that are assumed in advance, so that the first few prove nothing.
PAIR_PRIOR_SAMPLES = 2.0
KIND_PRIOR_SAMPLES = 10.0
NOISE_PRIOR_SAMPLES = 4.0
NOISE_PRIOR = 0.04
# Standard errors added to the least mean of the images on a runner. Without them a pair is often
# blamed for a runner that is slow by itself; with more, true slowdowns are underestimated.
RUNNER_STANDARD_ERRORS = 0.5
# Standard errors by which a slowdown has to exceed 1 to be believed.
MIN_STANDARD_ERRORS = 2.0
MIN_SLOWDOWN = 1.15
# An unknown neighbour makes a sample say so much less of the level of its image.
NEIGHBOUR_DOUBT = 20.0
# Samples that an image needs to count for the slowness of a runner.
MIN_RUNNER_SAMPLES = 0.8
MIN_ALONE_SAMPLES = 1.5
# A single sample is cut off here: the longest ones come from other causes, such as lost packets.
MAX_LOG_RATIO = 3.0


class Sample(NamedTuple):
    """Measurement of a task.

    Parameters
    ----------
    image : str
        Image of the task.
    runner, kind : str
        Runner, and its kind.
    serves : bool
        Whether the ratio is that of a tail latency to its target, rather than that of a duration to
        the expected one.
    ratio : float
        The ratio, over 0.
    beside : mapping of str to float
        Share, 0 to 1, at which each image disturbed the task.
    """

    image: str
    runner: str
    kind: str
    serves: bool
    ratio: float
    beside: Mapping[str, float]


class PairView(TypedDict):
    """What is known of a pair: ``image`` is slowed down by ``beside``.

    ``slowdown`` is 1 for no effect. ``samples`` is the number of samples that still count, and
    ``age`` the time in seconds since the last one. Only pairs that are ``believed`` affect
    placement.
    """

    image: str
    beside: str
    slowdown: float
    samples: float
    confidence: float
    age: float
    believed: bool


class _Image:
    """Level of an image, and the standard deviation of what remains unexplained."""

    def __init__(self) -> None:
        self.level = DecayedSum(HALF_LIFE_SECONDS)
        self.deviation = math.sqrt(NOISE_PRIOR)
        self._noise = DecayedSum(HALF_LIFE_SECONDS)

    def record_rest(self, rest: float, now: float) -> None:
        """Record what remains unexplained of a sample."""
        self._noise.add(rest * rest, 1.0, now)
        seen, square = self._noise.weight_and_mean(now)
        squares = square * seen + NOISE_PRIOR * NOISE_PRIOR_SAMPLES
        self.deviation = math.sqrt(squares / (seen + NOISE_PRIOR_SAMPLES))


class _ImageOnRunner:
    """What an image's samples on a runner have above its level: all of them, and those alone."""

    def __init__(self) -> None:
        self.all = DecayedSum(HALF_LIFE_SECONDS)
        self.alone = DecayedSum(HALF_LIFE_SECONDS)


class Interference:
    """Learns for each pair of images how much tasks of the second slow down tasks of the first.

    The logarithm of a sample is the sum of the level of its image, of the slowness of the kind and
    of the runner, and of the effects of the images beside it. The effects are fitted by regression
    with shrinkage, one sample at a time, so that images that come together share an effect until
    they are seen apart.
    """

    def __init__(self) -> None:
        self._pairs: dict[tuple[str, str], DecayedSum] = {}
        self._images: dict[str, _Image] = {}
        self._kinds: dict[tuple[str, bool], DecayedSum] = {}
        self._all_kinds = {serves: DecayedSum(KIND_HALF_LIFE_SECONDS) for serves in (False, True)}
        self._runners: dict[str, dict[str, _ImageOnRunner]] = {}

    @property
    def size(self) -> int:
        """Number of pairs of which something is known."""
        return len(self._pairs)

    def record(self, sample: Sample, now: float) -> None:
        """Learn from a sample."""
        if sample.ratio <= 0:
            return
        value = max(min(math.log(sample.ratio), MAX_LOG_RATIO), -MAX_LOG_RATIO)
        image, kind = self._image(sample.image), self._kind_sum(sample.kind, sample.serves)
        of_kind = self._of_kind(sample, now)
        effects = {
            other: self._effect(sample.image, other, now) * share
            for other, share in sample.beside.items()
        }
        known = sum(effects.values())
        if image.level.weight(now) > 0:
            rest = value - image.level.mean(now) - of_kind - known
            self._record_on_runner(sample, rest, now)
        common = self._common_slowness(sample.runner, now)
        if image.level.weight(now) > 0:
            alone = self._slowness_alone(sample, now)
            rest -= common if alone is None else alone
            self._record_pairs(sample, rest, effects, now)
            image.record_rest(rest, now)
            for total in (kind, self._all_kinds[sample.serves]):
                total.add(rest + of_kind, 1.0, now)
        weight = self._level_weight(sample, now)
        own = value - of_kind - common - known
        image.level.add(weight * own, weight, now)

    def slowdown(self, image: str, beside: str, now: float) -> float:
        """Return the expected slowdown of an image by another one, 1 if none is believed."""
        pair = self._pairs.get((image, beside))
        if pair is None or not self._believed(image, pair, now):
            return 1.0
        return math.exp(pair.mean(now, PAIR_PRIOR_SAMPLES))

    def level(self, image: str, now: float) -> float:
        """Return the ratio of an image's samples without neighbours, 0 if there are none."""
        known = self._images.get(image)
        if known is None or known.level.weight(now) <= 0:
            return 0.0
        return math.exp(known.level.mean(now))

    def believed(self, now: float) -> dict[tuple[str, str], float]:
        """Return the slowdown of each believed pair."""
        return {
            (image, beside): math.exp(pair.mean(now, PAIR_PRIOR_SAMPLES))
            for (image, beside), pair in self._pairs.items()
            if self._believed(image, pair, now)
        }

    def views(self, now: float) -> list[PairView]:
        """Return what is known of each pair, the largest slowdown first."""
        rows = [
            PairView(
                image=image,
                beside=beside,
                slowdown=round(math.exp(pair.mean(now, PAIR_PRIOR_SAMPLES)), 3),
                samples=round(pair.weight(now), 2),
                confidence=round(_confidence(pair, now), 3),
                age=round(pair.age(now), 3),
                believed=self._believed(image, pair, now),
            )
            for (image, beside), pair in self._pairs.items()
        ]
        return sorted(rows, key=lambda row: (-row["slowdown"], row["image"], row["beside"]))

    def retain_runners(self, runners: Container[str]) -> None:
        """Forget the slowness of the runners that are not among ``runners``."""
        for name in [name for name in self._runners if name not in runners]:
            del self._runners[name]

    def _image(self, name: str) -> _Image:
        image = self._images.pop(name, None) or _Image()
        self._images[name] = image
        if len(self._images) > MAX_IMAGES:
            del self._images[next(iter(self._images))]
        return image

    def _kind_sum(self, name: str, serves: bool) -> DecayedSum:
        kind = self._kinds.pop((name, serves), None) or DecayedSum(KIND_HALF_LIFE_SECONDS)
        self._kinds[name, serves] = kind
        if len(self._kinds) > MAX_KINDS:
            del self._kinds[next(iter(self._kinds))]
        return kind

    def _of_kind(self, sample: Sample, now: float) -> float:
        """Return by how much a kind of runners is slower than all of them."""
        kind, total = self._kinds[sample.kind, sample.serves], self._all_kinds[sample.serves]
        return kind.mean(now, KIND_PRIOR_SAMPLES) - total.mean(now, KIND_PRIOR_SAMPLES)

    def _level_weight(self, sample: Sample, now: float) -> float:
        """Return the weight of a sample for the level of its image: 1 without neighbours.

        If neighbours that are not known yet counted in full, the level would take on their effect.
        """
        doubt = 0.0
        for other, share in sample.beside.items():
            pair = self._pairs.get((sample.image, other))
            doubt += share * (1 - (_confidence(pair, now) if pair is not None else 0.0))
        return 1 / (1 + NEIGHBOUR_DOUBT * doubt)

    def _effect(self, image: str, beside: str, now: float) -> float:
        pair = self._pairs.get((image, beside))
        return pair.mean(now, PAIR_PRIOR_SAMPLES) if pair is not None else 0.0

    def _record_pairs(
        self, sample: Sample, rest: float, effects: Mapping[str, float], now: float
    ) -> None:
        """Attribute to each neighbour what is unexplained, with its own effect so far."""
        for other, share in sample.beside.items():
            key = (sample.image, other)
            pair = self._pairs.pop(key, None) or DecayedSum(HALF_LIFE_SECONDS)
            # The order of the dictionary is that of the last samples.
            self._pairs[key] = pair
            pair.add(share * (rest + effects[other]), share * share, now)
        while len(self._pairs) > MAX_PAIRS:
            del self._pairs[next(iter(self._pairs))]

    def _record_on_runner(self, sample: Sample, above: float, now: float) -> None:
        images = self._runners.setdefault(sample.runner, {})
        known = images.pop(sample.image, None) or _ImageOnRunner()
        images[sample.image] = known
        known.all.add(above, 1.0, now)
        if not sample.beside:
            known.alone.add(above, 1.0, now)
        if len(images) > MAX_IMAGES_PER_RUNNER:
            del images[next(iter(images))]

    def _slowness_alone(self, sample: Sample, now: float) -> float | None:
        """Return what an image showed alone on its runner, None if it was not alone lately.

        This tells the slowness of the runner, and the load of a serving task, without doubt.
        """
        own = self._runners[sample.runner][sample.image]
        samples, mean = own.alone.weight_and_mean(now)
        return mean if samples >= MIN_ALONE_SAMPLES else None

    def _common_slowness(self, runner: str, now: float) -> float:
        """Return the slowness that explains the samples of each image on a runner, 0 or more.

        It is the least mean of an image there, plus part of its standard error: of several means
        with the same expectation, the least is too small. A single image shows nothing: it may
        suffer from its neighbours.
        """
        rows: list[float] = []
        for image, known in self._runners.get(runner, {}).items():
            samples, mean = known.all.weight_and_mean(now)
            if samples >= MIN_RUNNER_SAMPLES:
                error = self._deviation(image) / math.sqrt(samples)
                rows.append(mean + RUNNER_STANDARD_ERRORS * error)
        return max(min(rows), 0.0) if len(rows) > 1 else 0.0

    def _deviation(self, image: str) -> float:
        """Return the standard deviation of an image's samples."""
        known = self._images.get(image)
        return known.deviation if known is not None else math.sqrt(NOISE_PRIOR)

    def _believed(self, image: str, pair: DecayedSum, now: float) -> bool:
        effect, samples = pair.mean(now, PAIR_PRIOR_SAMPLES), pair.weight(now)
        if effect < math.log(MIN_SLOWDOWN) or samples <= 0:
            return False
        return effect > MIN_STANDARD_ERRORS * self._deviation(image) / math.sqrt(samples)


def _confidence(pair: DecayedSum, now: float) -> float:
    """Return the weight of the samples against those assumed in advance, 0 to 1."""
    samples = pair.weight(now)
    return samples / (samples + PAIR_PRIOR_SAMPLES)
