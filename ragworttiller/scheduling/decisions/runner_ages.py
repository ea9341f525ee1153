"""Tells which runners were born after those that drain, and so should stay for longer."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ragworttiller.scheduling.state.runner_state import RunnerState


class RunnerAges:
    """Compares the births of runners with those of the draining runners of their upstream.

    Load pattern: in a release the old runners leave in turn while new ones are listed. A lasting
    task that moves to another old runner has to move again with it.
    """

    def __init__(self) -> None:
        # Latest birth of the runners that have drained since some runner began to.
        self._drained: dict[str, tuple[int, float]] = {}

    def begin(self, draining: Iterable[RunnerState]) -> None:
        """Start a new planning pass with the runners that drain now."""
        before, self._drained = self._drained, {}
        for runner in draining:
            name = runner.entry.upstream
            latest = self._drained.get(name, before.get(name, runner.birth))
            self._drained[name] = max(latest, runner.birth)

    def drains(self, upstream: str) -> bool:
        """Return whether some runner of an upstream drains."""
        return upstream in self._drained

    def is_younger(self, runner: RunnerState) -> bool:
        """Return whether a runner was born after all that have drained, or none drains."""
        latest = self._drained.get(runner.entry.upstream)
        return latest is None or runner.birth > latest

    def younger_first(
        self, upstream: str, runners: Sequence[RunnerState]
    ) -> list[Sequence[RunnerState]]:
        """Return the younger runners of an upstream and the others, all at once if none drains."""
        if not self.drains(upstream):
            return [runners]
        younger = [runner for runner in runners if self.is_younger(runner)]
        return [younger, [runner for runner in runners if not self.is_younger(runner)]]
