"""Passes what an owner has learnt to its successor, in the claim."""

from __future__ import annotations

import logging

from ragworttiller.exceptions import Unreadable
from ragworttiller.scheduling.records.formats import Learnt, decode, encode
from ragworttiller.scheduling.state.durations import Durations
from ragworttiller.scheduling.state.kind_speeds import KindSpeeds
from ragworttiller.scheduling.state.removed_workspaces import RemovedWorkspaces

log = logging.getLogger(__name__)

# The claim is written twice a second; sorting and encoding all images for each would be waste.
REFRESH_SECONDS = 2.0


class LearntStore:
    """What an owner has learnt, as its claim states it.

    Parameters
    ----------
    kinds : KindSpeeds
        Observed speeds of kinds of runners.
    durations : Durations
        Observed durations of tasks.
    workspaces : RemovedWorkspaces
        Workspaces that the configuration no longer holds.
    """

    def __init__(
        self, kinds: KindSpeeds, durations: Durations, workspaces: RemovedWorkspaces
    ) -> None:
        self._kinds = kinds
        self._durations = durations
        self._workspaces = workspaces
        self._encoded = b""
        self._encoded_at = float("-inf")

    def kind_ratios(self) -> dict[str, float]:
        """Return the duration of tasks on each known kind of runner, relative to the mean."""
        return {kind: self._kinds.time_ratio(kind) for kind in self._kinds.known}

    def kind_samples(self) -> dict[str, float]:
        """Return the number of tasks from which the speed of each known kind was learnt."""
        return {kind: float(self._kinds.samples(kind)) for kind in self._kinds.known}

    def encoded(self, now: float) -> bytes:
        """Return what is learnt at a time in seconds, or shortly before it."""
        if now - self._encoded_at >= REFRESH_SECONDS:
            learnt = Learnt(
                self._kinds.learnt(now), self._durations.learnt(now), self._workspaces.stated()
            )
            self._encoded, self._encoded_at = encode(learnt), now
        return self._encoded

    def restore(self, value: bytes, now: float) -> None:
        """Take over what an earlier owner has learnt; what cannot be read is ignored."""
        if not value:
            return
        try:
            learnt = decode(value, Learnt)
        except Unreadable as exc:
            log.warning("learnt values of a claim ignored", extra={"why": str(exc)})
            return
        self._kinds.restore(learnt.kinds, now)
        self._durations.restore(learnt.images, now)
        self._workspaces.restore(learnt.removed_workspaces)
        extra = {"kinds": {row.kind: row.ratio for row in self._kinds.learnt(now)}}
        log.info("learnt values taken over", extra={**extra, "images": len(self._durations)})
