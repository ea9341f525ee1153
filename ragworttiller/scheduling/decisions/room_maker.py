"""Reserves room that waiting stages are about to get, and frees room by stopping other runs."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping

from ragworttiller.resources import Resources
from ragworttiller.scheduling.decisions.forecast import RoomForecast
from ragworttiller.scheduling.decisions.free_resources import FreeResources
from ragworttiller.scheduling.decisions.queue_order import OrderInputs
from ragworttiller.scheduling.decisions.runner_rules import accepts_another, suitable
from ragworttiller.scheduling.decisions.victims import Beneficiary, Candidate, VictimPolicy
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.jobs import StageId
from ragworttiller.scheduling.state.orders import PendingStops, run_fields
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run, Stage

log = logging.getLogger(__name__)

# Room is reserved only when it is expected this soon, which bounds the time that it idles.
RESERVE_AHEAD_SECONDS = 1.5
# Reserved room that is not used, for want of a ticket say, is given to others for as long again.
MAX_RESERVED_SECONDS = 4.0
MAX_TASKS_PER_STAGE = 4
# A search for runs to stop looks at every runner that a stage may use.
PREEMPTION_CHECK_SECONDS = 0.2
# A stage is constrained if it may run on at most this share of the runners of its upstream.
CONSTRAINED_SHARE = 1 / 3


class RoomMaker:
    """Finds the runners that blocked stages will start on soon.

    A reservation lasts for one planning pass: the room is left out for the stages that come later
    in queue order, on that runner alone. Overdue lasting tasks take it all the same.

    Parameters
    ----------
    stops : PendingStops
        Receives the runs to stop.
    victims : VictimPolicy
        Chooses the runs to stop.
    stop_seconds : float
        Longest time that a run takes to stop.
    """

    def __init__(self, stops: PendingStops, victims: VictimPolicy, stop_seconds: float) -> None:
        self._stops = stops
        self._victims = victims
        self._stop_seconds = stop_seconds
        self._jobs: Mapping[str, JobWork] = {}
        self._free = FreeResources(())
        self._forecast = RoomForecast(0.0, stop_seconds)
        self._inputs: dict[StageId, OrderInputs] = {}
        self._now = 0.0
        self._wall = 0.0

    def begin(
        self,
        jobs: Mapping[str, JobWork],
        free: FreeResources,
        now: float,
        wall: float,
    ) -> None:
        """Start a new planning pass.

        Parameters
        ----------
        jobs : mapping
            Active jobs, by identifier.
        free : FreeResources
            Runners on which tasks may start, and their free resources, from which reservations are
            subtracted.
        now, wall : float
            Time of the owner, and time of day in seconds since the epoch.
        """
        self._jobs, self._free = jobs, free
        self._now, self._wall = now, wall
        self._forecast = RoomForecast(now, self._stop_seconds)
        self._inputs = {}

    def make_room(
        self, work: JobWork, stage: Stage, inputs: OrderInputs, ahead: float, allowed: int
    ) -> set[str] | None:
        """Reserve or free room for the waiting tasks of a stage.

        Room is reserved only for a stage that few runners may run. Others soon find room on some
        runner, and what is reserved for them idles.

        Parameters
        ----------
        work, stage, inputs : JobWork, Stage, OrderInputs
            The stage, its job and its inputs of the queue order.
        ahead : float
            Seconds before a start by which its ticket has to be asked for.
        allowed : int
            Number of its tasks that the cap of its workspace allows to start.

        Returns
        -------
        set of str or None
            Runners on which tasks of the stage will fit soon, None if any runner may be the next.
        """
        constrained = self._constrained(work, stage)
        if self._was_checked(stage) and not constrained:
            return None
        runners = {runner.id: runner for runner in self._allowed_runners(work, stage)}
        reserves = constrained and self._may_reserve(stage)
        size, reach = stage.spec.reservation, max(ahead, RESERVE_AHEAD_SECONDS)
        times = {name: self._fits_at(runner, size) for name, runner in runners.items()}
        chosen = self._take_room(stage, inputs, runners, times, reach, reserves, allowed)
        if not constrained:
            stage.preemption_checked_at = self._now
            return None
        self._record_reservation(stage, chosen, len(runners))
        soon = {name for name, at in times.items() if at - self._now <= reach}
        return chosen | soon

    def _take_room(
        self,
        stage: Stage,
        inputs: OrderInputs,
        runners: Mapping[str, RunnerState],
        times: dict[str, float],
        reach: float,
        reserves: bool,
        allowed: int,
    ) -> set[str]:
        """Reserve or free room for the first waiting tasks of a stage, and return the runners.

        ``times`` are the times from which a task fits on the ``runners``; they are updated. Room
        that comes within ``reach`` seconds is reserved if ``reserves``; for later room, runs are
        stopped. Tasks that the cap does not allow get no room.
        """
        running = stage.runs_by_runner()
        chosen: set[str] = set()
        for _ in range(min(len(stage.waiting), allowed, MAX_TASKS_PER_STAGE)):
            accepting = [r for r in runners.values() if accepts_another(r, stage, running[r.id])]
            if not accepting:
                break
            name = min((r.id for r in accepting), key=times.__getitem__)
            freed = None
            if times[name] - self._now > reach:
                beneficiary = Beneficiary(inputs, stage.spec.reservation, times[name])
                freed = self._free_room(stage, beneficiary, accepting)
            if freed is None and not (reserves and times[name] - self._now <= reach):
                break
            name = freed or name
            chosen.add(name)
            running[name] += 1
            self._free.reserve(name, stage.spec.reservation)
            times[name] = self._fits_at(runners[name], stage.spec.reservation)
        return chosen

    def _may_reserve(self, stage: Stage) -> bool:
        """Return whether room is reserved for a stage now, rather than left to others in turn."""
        if stage.reserved_since is None:
            return True
        reserved = self._now - stage.reserved_since
        return reserved < MAX_RESERVED_SECONDS or reserved > 2 * MAX_RESERVED_SECONDS

    def _record_reservation(self, stage: Stage, chosen: set[str], allowed: int) -> None:
        """Record a reservation, with a line for runners on which there was none before."""
        added = chosen - stage.reserved_on
        stage.reserved_on = chosen
        if chosen and (
            stage.reserved_since is None
            or self._now - stage.reserved_since > 2 * MAX_RESERVED_SECONDS
        ):
            stage.reserved_since = self._now
        if added:
            extra = {"stage": str(stage.id), "runners": sorted(added), "allowed": allowed}
            log.info("room reserved", extra=extra)

    def _was_checked(self, stage: Stage) -> bool:
        """Return whether runs to stop for a stage were searched for a moment ago."""
        return self._now < stage.preemption_checked_at + PREEMPTION_CHECK_SECONDS

    def _constrained(self, work: JobWork, stage: Stage) -> bool:
        """Return whether only few of an upstream's runners may run a stage.

        Runners that the advisor was not asked about count as allowed.
        """
        upstream, label = work.queue.upstream, stage.spec.label
        denied = work.denied_runners(stage)
        of_upstream = self._free.of_upstream(upstream)
        most = CONSTRAINED_SHARE * len(of_upstream)
        labelled = self._free.labelled(upstream, label)
        if labelled - len(denied) > most:
            return False
        for runner in map(self._free.runner, denied):
            if runner is not None and runner.entry.upstream == upstream:
                labelled -= not label or label in runner.entry.labels
        return labelled <= most

    def _allowed_runners(self, work: JobWork, stage: Stage) -> list[RunnerState]:
        """Return the runners on which a stage may start, as far as is known."""
        upstream = work.queue.upstream
        if work.queue.advice is None:
            known: Iterable[RunnerState | None] = self._free.of_upstream(upstream)
        else:
            known = map(self._free.runner, sorted(stage.tickets.allowed))
        return suitable([runner for runner in known if runner is not None], upstream, stage.spec)

    def _fits_at(self, runner: RunnerState, size: Resources) -> float:
        return self._forecast.fits_at(runner, size, self._free.of_runner(runner.id))

    def _free_room(
        self, stage: Stage, beneficiary: Beneficiary, runners: Iterable[RunnerState]
    ) -> str | None:
        """Stop runs on the runner where the fewest have to be stopped, and return its name."""
        if self._was_checked(stage):
            return None
        stage.preemption_checked_at = self._now
        if not self._victims.helps(beneficiary, self._now):
            return None
        choices: list[tuple[int, RunnerState, list[Run]]] = []
        for runner in runners:
            candidates = self._candidates(runner, beneficiary.inputs.priority)
            if not candidates:
                continue
            victims = self._victims.choose(
                beneficiary, self._free_after_stops(runner), candidates, self._now
            )
            if victims:
                choices.append((len(victims), runner, victims))
        if not choices:
            return None
        _, runner, victims = min(choices, key=lambda choice: choice[0])
        for run in victims:
            self._stop(run, stage, beneficiary)
        self._forecast.forget(runner)
        return runner.id

    def _stop(self, run: Run, stage: Stage, beneficiary: Beneficiary) -> None:
        self._stops.add(run, f"preempted for {stage.id}")
        self._jobs[run.task.stage.job].stages[run.task.stage].preemptions[run.task.ordinal] += 1
        extra = {**run_fields(run), "stage": str(stage.id), "percent": run.percent}
        extra["wait"] = round(beneficiary.fits_at - self._now, 2)
        log.info("run preempted", extra=extra)

    def _free_after_stops(self, runner: RunnerState) -> Resources:
        free = self._free.of_runner(runner.id)
        for run in runner.runs.values():
            if run in self._stops:
                free = free.plus(run.reservation)
        return free

    def _candidates(self, runner: RunnerState, priority: int) -> list[Candidate]:
        """Return the runs of less urgent jobs that can be stopped at a checkpoint."""
        rows: list[Candidate] = []
        for run in runner.runs.values():
            if not run.spec.checkpoints or run in self._stops:
                continue
            work = self._jobs.get(run.task.stage.job)
            stage = work.stages.get(run.task.stage) if work is not None else None
            if work is None or stage is None or work.queue.priority <= priority:
                continue
            preemptions = stage.preemptions[run.task.ordinal]
            rows.append(Candidate(run, self._order_inputs(work, stage), preemptions))
        return rows

    def _order_inputs(self, work: JobWork, stage: Stage) -> OrderInputs:
        if stage.id not in self._inputs:
            self._inputs[stage.id] = work.order_inputs(stage, self._now, self._wall)
        return self._inputs[stage.id]
