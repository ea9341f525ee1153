"""Use of slow kinds of runners: which queues avoid them, and which take them first."""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Mapping

from typing_extensions import override

from ragworttiller.platform.configuration import Queue
from ragworttiller.scheduling.decisions.queue_order import OrderInputs
from ragworttiller.scheduling.state.jobs import StepSpec
from ragworttiller.scheduling.state.kind_speeds import KindSpeeds

log = logging.getLogger(__name__)

NO_COSTS: Mapping[str, float] = {}
# Costs beside time ratios of placement. A slow kind is taken before a fast runner that has turned
# some four times slower, and room on any runner before none.
AVOIDED_KIND_COST = 2.0
PREFERRED_KIND_COST = -3.0
# A queue may allow no slack at all; differences this small come and go with the samples.
MIN_SLOW_RATIO = 1.25
# A kind that has taken effect ceases to below this share of the ratio at which it did.
CEASE_SHARE = 0.9
PATIENT_SLACK_FACTOR = 2.0
MAX_QUEUES = 256


class KindPolicy(ABC):
    """Says what it costs to place the tasks of a stage on each kind of runner."""

    @abstractmethod
    def begin(self, kinds: KindSpeeds) -> None:
        """Start a new planning pass with the observed speeds of kinds."""

    @abstractmethod
    def costs(
        self, queue: Queue, spec: StepSpec, inputs: OrderInputs, expected: float, now: float
    ) -> Mapping[str, float]:
        """Return what placement adds to the score of a runner, by kind; empty for no difference.

        Parameters
        ----------
        queue : Queue
            Queue of the stage.
        spec : StepSpec
            Step of the stage.
        inputs : OrderInputs
            Inputs of the queue order for the stage.
        expected : float
            Expected duration of a task on a runner of mean speed, in seconds.
        now : float
            Time in seconds.
        """

    @abstractmethod
    def in_effect(self, queue: Queue) -> frozenset[str]:
        """Return the kinds that are too slow for the tasks of a queue."""


class IgnoreKinds(KindPolicy):
    """Make no difference between kinds; the baseline."""

    @override
    def begin(self, kinds: KindSpeeds) -> None:
        """Do nothing."""

    @override
    def costs(
        self, queue: Queue, spec: StepSpec, inputs: OrderInputs, expected: float, now: float
    ) -> Mapping[str, float]:
        return NO_COSTS

    @override
    def in_effect(self, queue: Queue) -> frozenset[str]:
        return frozenset()


class AvoidSlowKinds(KindPolicy):
    """Keep a queue off the kinds on which its tasks cannot be on time, while others have room.

    A kind takes effect for a queue once it is slower than the mean by more than the queue's slack
    factor. Stages with time to spare then take that kind first and leave the others free. Lasting
    and filling tasks make no difference between kinds: they have no end, or no room of their own.
    """

    def __init__(self) -> None:
        self._kinds = KindSpeeds()
        # Ratio above which a kind is slow, by queue; the queues that were used last come last.
        self._limits: OrderedDict[str, float] = OrderedDict()
        self._in_effect: dict[str, frozenset[str]] = {}
        self._avoided: dict[str, Mapping[str, float]] = {}
        self._preferred: Mapping[str, float] = NO_COSTS

    @override
    def begin(self, kinds: KindSpeeds) -> None:
        self._kinds = kinds
        for queue in self._limits:
            self._update(queue)
        self._update_costs()

    @override
    def costs(
        self, queue: Queue, spec: StepSpec, inputs: OrderInputs, expected: float, now: float
    ) -> Mapping[str, float]:
        self._register(queue)
        if spec.daemon or spec.fills:
            return NO_COSTS
        avoided = self._avoided.get(queue.key)
        if avoided is not None:
            return avoided
        if not self._preferred:
            return NO_COSTS
        slack = inputs.since + inputs.objective - inputs.remaining - now
        return self._preferred if slack > PATIENT_SLACK_FACTOR * expected else NO_COSTS

    @override
    def in_effect(self, queue: Queue) -> frozenset[str]:
        return self._in_effect.get(queue.key, frozenset())

    def _register(self, queue: Queue) -> None:
        """Remember the limit of a queue that has tasks to place."""
        limit = max(queue.slack_factor, MIN_SLOW_RATIO)
        if self._limits.get(queue.key) == limit:
            return
        self._limits[queue.key] = limit
        if len(self._limits) > MAX_QUEUES:
            dropped, _ = self._limits.popitem(last=False)
            self._in_effect.pop(dropped, None)
        self._update(queue.key)
        self._update_costs()

    def _update(self, queue: str) -> None:
        """Determine which kinds are in effect for a queue, with a line for each that changes."""
        limit, before = self._limits[queue], self._in_effect.get(queue, frozenset())
        slow = frozenset(
            kind
            for kind in self._kinds.known
            if self._kinds.time_ratio(kind) > limit * (CEASE_SHARE if kind in before else 1.0)
        )
        for kind in sorted(slow ^ before):
            extra = {
                "queue": queue,
                "kind": kind,
                "ratio": round(self._kinds.time_ratio(kind), 3),
                "limit": round(limit, 3),
                "samples": self._kinds.samples(kind),
            }
            begins = kind in slow
            log.info("slow kind avoided" if begins else "slow kind used again", extra=extra)
        if slow:
            self._in_effect[queue] = slow
        else:
            self._in_effect.pop(queue, None)

    def _update_costs(self) -> None:
        self._avoided = {
            queue: dict.fromkeys(kinds, AVOIDED_KIND_COST)
            for queue, kinds in self._in_effect.items()
        }
        slow = frozenset[str]().union(*self._in_effect.values())
        self._preferred = dict.fromkeys(slow, PREFERRED_KIND_COST)
