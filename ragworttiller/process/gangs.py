"""All-or-nothing jobs that wait for room, of this shard and of others."""

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

CLAIM_SECONDS = 10.0
RESERVATION_SECONDS = 0.5
TURN_SECONDS = 300.0


class Claim(NamedTuple):
    """Job of another shard that waits for room here until a monotonic time."""

    wanted: WaitingJob
    key: OrderKey
    until: float


class _Turn(NamedTuple):
    """Monotonic times since which a job waits, and at which it was last seen to."""

    since: float
    seen_at: float


class Gangs:
    """Finds when the first of the waiting jobs can start, so that others do not delay it.

    Parameters
    ----------
    state : CellState
        State of the owner.
    rooms : RoomView
        Free room.
    learner : Learner
        Expected run times.

    Attributes
    ----------
    hold_ends : dict of (str, str) to float
        Monotonic times at which held tasks are expected to end, as far as they are known.
    """

    def __init__(self, state: CellState, rooms: RoomView, learner: Learner) -> None:
        self._state = state
        self._rooms = rooms
        self._learner = learner
        self._claims: dict[str, Claim] = {}
        self._turns: dict[str, _Turn] = {}
        self._latest: Reservation | None = None
        self._latest_at = 0.0
        self.hold_ends: dict[HoldKey, float] = {}

    @property
    def remote_job_count(self) -> int:
        """Number of jobs of other shards that wait here."""
        return len(self._claims)

    def add_remote_job(self, wanted: WaitingJob, key: OrderKey) -> None:
        """Let a job of another shard wait for room here."""
        self._claims[wanted.job] = Claim(wanted, key, self._state.now() + CLAIM_SECONDS)

    def remove_remote_job(self, job: str) -> None:
        """Forget a job of another shard."""
        self._claims.pop(job, None)

    def first_remote_job(self) -> Claim | None:
        """Return the first of the jobs of other shards that wait."""
        now = self._state.now()
        self._claims = {job: claim for job, claim in self._claims.items() if claim.until > now}
        waiting = [
            claim for job, claim in self._claims.items() if not self.reservation_suspended(job)
        ]
        return min(waiting, key=lambda claim: claim.key, default=None)

    def reservation_suspended(self, job: str) -> bool:
        """Return whether nothing is set aside for a waiting job now.

        Room is set aside for one turn and not for the next, so that a job that cannot get all its
        room does not keep others from theirs for ever.
        """
        now = self._state.now()
        turn = self._turns.get(job)
        if turn is None or now - turn.seen_at > TURN_SECONDS:
            turn = _Turn(now, now)
        self._turns[job] = turn._replace(seen_at=now)
        return int((now - turn.since) / TURN_SECONDS) % 2 == 1

    def reservation(self, wanted: WaitingJob) -> Reservation | None:
        """Return when the job can start here, at most with as many tasks as fit here at all."""
        now = self._state.now()
        latest = self._latest
        fresh = now - self._latest_at < RESERVATION_SECONDS
        if latest is not None and latest.job == wanted.job and fresh:
            return latest
        index = self._rooms.index
        part = wanted._replace(tasks=max_concurrent_tasks(wanted, index))
        self._turns = {
            job: turn for job, turn in self._turns.items() if now - turn.seen_at <= TURN_SECONDS
        }
        found = find_reservation(part, index, self._releases(), now) if part.tasks else None
        self._latest, self._latest_at = found, now
        return found

    def _releases(self) -> list[Release]:
        """Return the room that running tasks of this shard's jobs are expected to free."""
        state = self._state
        ahead = state.now() - state.wall()
        found: list[Release] = []
        for row in state.fold.jobs.values():
            run_time = self._learner.run_time(row)
            if run_time is None:
                continue
            for running in row.running.values():
                if running.shard == state.context.shard:
                    at = max(state.now(), running.at + run_time + ahead)
                    found.append(Release(at, running.worker, running.need))
        holds = state.fold.bookings.holds
        for key, end in self.hold_ends.items():
            if key in holds:
                at = max(state.now(), end)
                found.append(Release(at, holds[key].worker, holds[key].need))
        return found

    def expect_hold_end(self, key: HoldKey, run_time: float | None) -> None:
        """Take note of the expected run time of a held task."""
        holds = self._state.fold.bookings.holds
        self.hold_ends = {known: end for known, end in self.hold_ends.items() if known in holds}
        if run_time is not None:
            self.hold_ends[key] = self._state.now() + run_time
