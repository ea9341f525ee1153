"""Reservations for jobs that wait for room, of this shard and of others."""

from __future__ import annotations

from typing import NamedTuple

from ragworttiller.process.backfill import (
    Release,
    Reservation,
    WaitingJob,
    find_reservation,
    max_concurrent_tasks,
)
from ragworttiller.process.bookings import HoldKey
from ragworttiller.process.cell_state import CellState
from ragworttiller.process.job_queue import OrderKey
from ragworttiller.process.learning import Learner
from ragworttiller.process.room_view import RoomView

REMOTE_JOB_TTL_SECONDS = 10.0
RESERVATION_CACHE_SECONDS = 0.5
RESERVATION_PHASE_SECONDS = 300.0


class RemoteJob(NamedTuple):
    """Job of another shard that waits for room here until a monotonic time."""

    waiting_job: WaitingJob
    key: OrderKey
    until: float


class _WaitTimes(NamedTuple):
    """Monotonic times at which a job began to wait and was last checked."""

    since: float
    checked_at: float


class Gangs:
    """Reserves room for the first waiting job, so that later jobs do not delay its start.

    Parameters
    ----------
    state : CellState
        State of the owner.
    rooms : RoomView
        Free room of the workers.
    learner : Learner
        Expected run times.

    Attributes
    ----------
    hold_ends : dict of (str, str) to float
        Monotonic times at which held tasks are expected to end, where these are known.
    """

    def __init__(self, state: CellState, rooms: RoomView, learner: Learner) -> None:
        self._state = state
        self._rooms = rooms
        self._learner = learner
        self._remote_jobs: dict[str, RemoteJob] = {}
        self._wait_times: dict[str, _WaitTimes] = {}
        self._cached: Reservation | None = None
        self._cached_at = 0.0
        self.hold_ends: dict[HoldKey, float] = {}

    @property
    def remote_job_count(self) -> int:
        """Number of jobs of other shards that wait here."""
        return len(self._remote_jobs)

    def add_remote_job(self, waiting_job: WaitingJob, key: OrderKey) -> None:
        """Add a job of another shard that waits for room here, or extend its wait."""
        self._remote_jobs[waiting_job.job] = RemoteJob(
            waiting_job, key, self._state.now() + REMOTE_JOB_TTL_SECONDS
        )

    def remove_remote_job(self, job: str) -> None:
        """Remove a job of another shard, if it waits here."""
        self._remote_jobs.pop(job, None)

    def first_remote_job(self) -> RemoteJob | None:
        """Return the first waiting job of other shards whose reservation is not suspended."""
        now = self._state.now()
        self._remote_jobs = {
            job: remote for job, remote in self._remote_jobs.items() if remote.until > now
        }
        waiting = [
            remote
            for job, remote in self._remote_jobs.items()
            if not self.reservation_suspended(job)
        ]
        return min(waiting, key=lambda remote: remote.key, default=None)

    def reservation_suspended(self, job: str) -> bool:
        """Return whether no room is reserved for a waiting job at present.

        A reservation is alternately in force and suspended, for `RESERVATION_PHASE_SECONDS` each,
        so that a job that never gets all its room does not block other jobs for ever.
        """
        now = self._state.now()
        times = self._wait_times.get(job)
        if times is None or now - times.checked_at > RESERVATION_PHASE_SECONDS:
            times = _WaitTimes(now, now)
        self._wait_times[job] = times._replace(checked_at=now)
        return int((now - times.since) / RESERVATION_PHASE_SECONDS) % 2 == 1

    def reservation(self, waiting_job: WaitingJob) -> Reservation | None:
        """Return the reservation for a job, limited to as many of its tasks as can fit here."""
        now = self._state.now()
        cached = self._cached
        cache_valid = now - self._cached_at < RESERVATION_CACHE_SECONDS
        if cached is not None and cached.job == waiting_job.job and cache_valid:
            return cached
        index = self._rooms.index
        part = waiting_job._replace(tasks=max_concurrent_tasks(waiting_job, index))
        self._wait_times = {
            job: times
            for job, times in self._wait_times.items()
            if now - times.checked_at <= RESERVATION_PHASE_SECONDS
        }
        reservation = (
            find_reservation(part, index, self._expected_releases(), now) if part.tasks else None
        )
        self._cached, self._cached_at = reservation, now
        return reservation

    def _expected_releases(self) -> list[Release]:
        """Return the room that tasks on this shard's workers are expected to free."""
        state = self._state
        clock_offset = state.now() - state.wall()
        releases: list[Release] = []
        for row in state.fold.jobs.values():
            run_time = self._learner.run_time(row)
            if run_time is None:
                continue
            for running in row.running.values():
                if running.shard == state.context.shard:
                    at = max(state.now(), running.at + run_time + clock_offset)
                    releases.append(Release(at, running.worker, running.need))
        holds = state.fold.bookings.holds
        for key, end in self.hold_ends.items():
            if key in holds:
                at = max(state.now(), end)
                releases.append(Release(at, holds[key].worker, holds[key].need))
        return releases

    def expect_hold_end(self, key: HoldKey, run_time: float | None) -> None:
        """Record when a held task is expected to end, unless its run time is unknown."""
        holds = self._state.fold.bookings.holds
        self.hold_ends = {held: end for held, end in self.hold_ends.items() if held in holds}
        if run_time is not None:
            self.hold_ends[key] = self._state.now() + run_time
