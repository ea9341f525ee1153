"""Costs of placements beside tasks that are believed to slow each other down."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping

from ragworttiller.scheduling.state.interference import Interference
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Stage
from ragworttiller.scheduling.state.tails import CALM_SHARE, Tails

log = logging.getLogger(__name__)

MAX_COST = 4.0
# Weight of a serving task whose tail stays calm even so.
CALM_WEIGHT = 0.25
# Filling tasks reserve no processors, so nothing else would spread them over the runners.
FILLING_RUN_COST = 0.1
BESIDE_SERVING_COST = 0.3
BELIEFS_SECONDS = 0.25
LOG_AGAIN_SECONDS = 5.0


class PairCosts:
    """Costs of placing tasks, from the slowdowns of pairs that are believed.

    A pass makes this computation for each stage and runner, so the beliefs are read only at
    intervals, and images without a belief cost a look into two tables.

    Parameters
    ----------
    learnt : Interference
        What is known of the pairs.
    tails : Tails
        Reported tails of serving runs.
    """

    def __init__(self, learnt: Interference, tails: Tails) -> None:
        self._learnt = learnt
        self._tails = tails
        self._now = 0.0
        self._read_at = float("-inf")
        # Believed slowdowns by image that suffers, and by image that disturbs.
        self._suffers: dict[str, dict[str, float]] = {}
        self._disturbs: dict[str, dict[str, float]] = {}
        self._images: dict[str, tuple[int, Counter[str]]] = {}
        self._logged: dict[tuple[str, str], float] = {}

    def begin(self, now: float) -> None:
        """Begin a planning pass."""
        self._now = now
        self._images = {}
        if now - self._read_at < BELIEFS_SECONDS:
            return
        self._read_at = now
        self._suffers, self._disturbs = {}, {}
        for (image, beside), slowdown in self._learnt.believed(now).items():
            self._suffers.setdefault(image, {})[beside] = slowdown
            self._disturbs.setdefault(beside, {})[image] = slowdown
        recent = now - LOG_AGAIN_SECONDS
        self._logged = {pair: at for pair, at in self._logged.items() if at > recent}

    def slowdown(self, image: str, beside: str) -> float:
        """Return the believed slowdown of an image by another one, 1 if there is none."""
        return self._suffers.get(image, {}).get(beside, 1.0)

    def knows(self, image: str) -> bool:
        """Return whether an image belongs to a pair that is believed."""
        return image in self._suffers or image in self._disturbs

    def cost(self, stage: Stage, runner: RunnerState, late: bool) -> float:
        """Return the cost of placing a task on a runner, in mean durations.

        A ``late`` stage takes no account of the tasks that it disturbs.
        """
        suffers, disturbs = self._suffers.get(stage.image), self._disturbs.get(stage.image)
        total = 0.0
        if stage.spec.fills:
            total += FILLING_RUN_COST * runner.filling_runs
            total += BESIDE_SERVING_COST * bool(runner.serving_runs)
        if suffers or (disturbs and not late):
            images = self._images_on(runner)
            for image, slowdown in (suffers or {}).items():
                if image in images:
                    total += (slowdown - 1) * self._own_weight(stage, slowdown)
            if disturbs and not late:
                total += self._cost_to_others(disturbs, runner, images)
        return min(total, MAX_COST)

    def _own_weight(self, stage: Stage, slowdown: float) -> float:
        """Return the weight of a task's own slowdown, less for a tail that stays calm."""
        if not stage.spec.target:
            return 1.0
        level = self._learnt.level(stage.image, self._now)
        return 1.0 if level * slowdown > CALM_SHARE else CALM_WEIGHT

    def _cost_to_others(
        self, disturbs: Mapping[str, float], runner: RunnerState, images: Counter[str]
    ) -> float:
        """Return by how much a task slows down those on a runner, in all."""
        total = 0.0
        for image, slowdown in disturbs.items():
            if image not in images:
                continue
            for run in runner.runs.values():
                if run.image != image:
                    continue
                tail = self._tails.get(run) if run.spec.target else None
                calm = tail is not None and tail.share * slowdown <= CALM_SHARE
                total += (slowdown - 1) * (CALM_WEIGHT if calm else 1.0)
        return total

    def _images_on(self, runner: RunnerState) -> Counter[str]:
        """Return the images on a runner, counted once in a pass until something starts there."""
        known = self._images.get(runner.id)
        if known is None or known[0] != len(runner.runs):
            known = (len(runner.runs), Counter(run.image for run in runner.runs.values()))
            self._images[runner.id] = known
        return known[1]

    def log_choice(self, stage: Stage, chosen: str, avoided: RunnerState) -> None:
        """Log the beliefs by which a task was not placed on a runner, each at intervals."""
        for image in self._images_on(avoided):
            for pair in ((stage.image, image), (image, stage.image)):
                slowdown = self.slowdown(*pair)
                if slowdown == 1.0 or pair in self._logged:
                    continue
                self._logged[pair] = self._now
                extra = {"stage": str(stage.id), "runner": chosen, "instead": avoided.id}
                extra |= {"image": pair[0], "beside": pair[1], "slowdown": f"{slowdown:.2f}"}
                log.info("placement changed by interference", extra=extra)
