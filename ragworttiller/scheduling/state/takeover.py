"""Tasks of an earlier owner that may still run on runners that have not answered yet."""

from __future__ import annotations

import logging
from collections.abc import Collection, Sequence

from ragworttiller.platform.boots import replaces
from ragworttiller.scheduling.records.formats import Claim, Withdrawn
from ragworttiller.scheduling.records.job_fold import JobRow
from ragworttiller.scheduling.state.runs import Stage

log = logging.getLogger(__name__)

# Leases are measured on the runner's clock, which may be 2% slow.
LEASE_STRETCH_FACTOR = 1.03
# An owner grants leases by an estimate of that clock, which may have run ahead for a term.
EXPIRY_MARGIN_SECONDS = 0.3


def longest_wait(claim: Claim, term: float, lease: float, claim_age: float) -> float:
    """Return after how many seconds all runs of the owner of a claim, and of those before, end.

    Parameters
    ----------
    claim : Claim
        Last claim of the owner.
    term, lease, claim_age : float
        As in `Takeover`.
    """
    own = expiry_without_answer(claim, term, lease, claim_age)
    if claim.released:
        own = expiry_seconds(lease) if claim.may_order else 0.0
    if not claim.unsettled:
        return own
    if claim.unsettled_seconds is None:
        return term + expiry_seconds(lease)
    return max(own, claim.unsettled_seconds - claim_age)


def expiry_without_answer(claim: Claim, term: float, lease: float, claim_age: float) -> float:
    """Return by when all leases of the owner of a claim have expired, if it may still act.

    Parameters
    ----------
    claim : Claim
        Last claim of the owner.
    term, lease, claim_age : float
        As in `Takeover`.
    """
    granted = term + lease
    if claim.leases_end:
        granted = min(granted, claim.leases_end - claim_age)
    return max(granted + expiry_seconds(lease) - lease, 0.0)


def expiry_seconds(lease: float) -> float:
    """Return by when a lease has certainly expired after it was granted, in seconds."""
    return lease * LEASE_STRETCH_FACTOR + EXPIRY_MARGIN_SECONDS


class Takeover:
    """Runners that an earlier owner may have used and that have not answered the new owner.

    Until each of them has answered or all its runs have certainly ended, a task of an older job
    that was found on no runner may still run there; see `startable`. Jobs accepted after the claim
    may start at once: no earlier owner may act on them.

    Parameters
    ----------
    claim : Claim or None
        Last claim of the earlier owner.
    accepted_before : int
        Offset below which jobs may have been known to the earlier owner.
    now : float
        Time of the new claim, in seconds.
    term : float
        Seconds for which the earlier owner may still act without an answer from the store.
    lease : float
        Duration of the leases that it granted, in seconds.
    claim_age : float
        Seconds since the last claim was read.

    Attributes
    ----------
    began_at : float
        Time of the new claim, in seconds.
    learnt : bytes
        What the earlier owner has learnt, as encoded in its claim.
    placements_known : bool
        Whether the stored placements of lasting tasks, as read after the claim, name all runners on
        which these may run.
    adopted, lapsed : int
        Runs of earlier owners that were found running, and those whose lease had expired.
    settled : int
        Runners of the earlier owner that have answered or whose runs have certainly ended.
    """

    def __init__(
        self,
        claim: Claim | None,
        accepted_before: int,
        now: float,
        term: float,
        lease: float,
        claim_age: float = 0.0,
    ) -> None:
        self._accepted_before = accepted_before
        self.began_at = now
        self._expiry_seconds = expiry_seconds(lease)
        self._unsettled: frozenset[str] = frozenset()
        self._unsettled_until = float("inf")
        self._unresolved_until: dict[str, float] = {}
        self._withdrawn: dict[str, Withdrawn] = {}
        self._lost: list[Withdrawn] = []
        # Tasks that may run on withdrawn runners, None until they are asked for.
        self._named: set[str] | None = None
        self.adopted = self.lapsed = self.settled = 0
        self.learnt = b""
        self.placements_known = claim is None or claim.stores_placements
        if claim is None:
            return
        self.learnt = claim.learnt
        self._withdrawn = {row.runner: row for row in claim.withdrawn}
        # There, runs of the owners before that one may be at work, by what it knew of them.
        self._unsettled = frozenset(claim.unsettled if claim.may_order else claim.roster)
        if claim.unsettled_seconds is not None:
            self._unsettled_until = now - claim_age + claim.unsettled_seconds
        until = now + expiry_without_answer(claim, term, lease, claim_age)
        self._unresolved_until = dict.fromkeys(claim.roster, until)
        earlier = min(self._unsettled_until, now + term + self._expiry_seconds)
        for name in self._unsettled.intersection(claim.roster):
            self._unresolved_until[name] = max(until, earlier)
        for name in claim.roster:
            if self.called_not_renewed(name):
                latest = self._unresolved_until[name]
                self._unresolved_until[name] = min(latest, now + self._expiry_seconds)
        if claim.released:
            self._end_orders(now + self._expiry_seconds if claim.may_order else now)
        log.info(
            "takeover began",
            extra={
                "owner": claim.owner,
                "epoch": claim.epoch,
                "roster": len(claim.roster),
                "unsettled": len(claim.unsettled),
                "unsettled_seconds": claim.unsettled_seconds,
                "withdrawn": {row.runner: len(row.tasks) for row in claim.withdrawn},
            },
        )

    @property
    def unresolved(self) -> list[str]:
        """Runners that may still run tasks unknown to the new owner."""
        return list(self._unresolved_until)

    @property
    def withdrawn(self) -> list[Withdrawn]:
        """Unresolved runners on which no more than the tasks named may run, as last claimed."""
        return [row for row in self._withdrawn.values() if row.runner in self._unresolved_until]

    @property
    def all_settled(self) -> bool:
        """Whether no runner is unresolved, so that nothing is blocked."""
        return not self._unresolved_until

    @property
    def _any_task_may_run_unseen(self) -> bool:
        """Whether some unresolved runner may run any task."""
        return any(name not in self._withdrawn for name in self._unresolved_until)

    def called_not_renewed(self, runner: str) -> bool:
        """Return whether the last claim says that the lease of a runner is not renewed."""
        row = self._withdrawn.get(runner)
        return row is not None and not row.renewed

    def is_unresolved(self, runner: str) -> bool:
        """Return whether a runner may still run tasks unknown to the new owner."""
        return runner in self._unresolved_until

    def resolve(self, runner: str, reason: str, now: float, lost: bool = False) -> None:
        """Record that a runner has answered the new owner, or that it was ``lost``."""
        if self._unresolved_until.pop(runner, None) is None:
            return
        self._named = None
        self.settled += 1
        row = self._withdrawn.get(runner)
        if lost and row is not None and row.silent:
            self._lost.append(row)
        seconds = round(now - self.began_at, 3)
        extra = {"runner": runner, "why": reason, "after": seconds}
        log.info("runner of an earlier owner settled", extra=extra)

    def record_owner_ended(self, now: float) -> None:
        """Record that the earlier owner has given its last order: its leases remain."""
        self._end_orders(now + self._expiry_seconds)

    def seconds_left(self, now: float) -> float:
        """Return after how many seconds all runs of earlier owners have certainly ended."""
        return self.seconds_held(self._unresolved_until, now)

    def _end_orders(self, leases_end: float) -> None:
        """Record by when the leases of the earlier owner end, which gives no more orders."""
        for name, until in self._unresolved_until.items():
            earlier = self._unsettled_until if name in self._unsettled else leases_end
            self._unresolved_until[name] = min(until, max(leases_end, earlier))

    def record_later_boot(self, boot: str, now: float) -> None:
        """Record that a boot has answered: those of its runner before it have ended."""
        for name, until in self._unresolved_until.items():
            if replaces(boot, name):
                self._unresolved_until[name] = min(until, now)

    def expire(self, by: float) -> None:
        """Resolve the runners on which all runs of the earlier owner had ended by a time."""
        for name in [name for name, until in self._unresolved_until.items() if until <= by]:
            self.resolve(name, "its lease has expired or its runner started again", by, lost=True)

    def take_lost(self) -> list[Withdrawn]:
        """Return the silent runners lost since the last call, and the tasks that were on them."""
        lost, self._lost = self._lost, []
        return lost

    def expires_between(self, start: float, end: float) -> bool:
        """Return whether the runs of the earlier owner on some runner have ended in a time span."""
        return any(start < until <= end for until in self._unresolved_until.values())

    def blocks(self, row: JobRow, stage: Stage) -> bool:
        """Return whether no waiting task of a stage may start yet; ``row`` is that of its job."""
        return self.may_hide_runs_of(row) and bool(stage.waiting) and not self.startable(row, stage)

    def is_inherited(self, row: JobRow) -> bool:
        """Return whether the earlier owner may have started tasks of a job."""
        return row.offset < self._accepted_before

    def may_hide_runs_of(self, row: JobRow) -> bool:
        """Return whether some task of the job may run on a runner that has not answered yet."""
        return bool(self._unresolved_until) and row.offset < self._accepted_before

    def startable(self, row: JobRow, stage: Stage) -> Sequence[int]:
        """Return the waiting tasks of a stage that certainly do not run on any runner.

        Until all runners are settled, of a job that an earlier owner knew these are the tasks in
        `Stage.certain`, and on withdrawn runners those that the last claim does not name there. A
        gang starts whole, so all its tasks have to be certain. A task of a speculative step may
        have a second run on an unsettled runner, so that its first run makes it no more certain.

        A lasting task waits only for the runner of its stored placement, if these are known. A
        start follows its stored placement, and what an earlier owner appends late is refused, since
        this owner has fenced the jobs before it read them. So an order that is carried out late
        goes to the runner named. A task without a placement was never ordered to start.

        A task that this owner found running, on a runner that thereby refuses earlier owners, runs
        nowhere else, neither now nor later:

        - An owner starts another run only once it knows that the one before has ended. An earlier
          owner could learn this end from the runner, which does not answer it any more, or from
          the end of a lease or of a boot, which counts only if it came before the next claim. But
          the run was at work after the claim of this owner.
        - A start that an earlier owner ordered without an answer counts as a run until a deadline
          on the runner's clock. So until then the earlier owner does not order another one, and
          its order that reaches an unsettled runner late is that of another task.
        - The end of an adopted run, also if it lapses or its runner is lost, is known to this owner
          or a later one only.
        - A run that is found later on an unsettled runner, with whatever number, therefore is one
          of a task that was not certain.

        The same holds of a task that this owner started, since it was certain or all its possible
        runners were settled then. An end that a runner lists of a run that this owner has not found
        running proves nothing: the earlier owner may have read it, and started the next run.
        """
        waiting = stage.waiting.in_start_order()
        if not self._unresolved_until or not self.is_inherited(row):
            return waiting
        copied = stage.may_have_copies
        placed = self._is_placed(row, stage)
        if self._any_task_may_run_unseen and not placed and (copied or not stage.certain):
            return []
        certain = frozenset() if copied else stage.certain
        free = [i for i in waiting if i in certain or not self._may_run_unseen(stage, i, placed)]
        return free if not stage.spec.gang or len(free) == len(waiting) else []

    def holding(self, row: JobRow, stage: Stage) -> list[str]:
        """Return the unresolved runners on which some waiting task of a stage may run."""
        if not self.may_hide_runs_of(row) or len(self.startable(row, stage)) == len(stage.waiting):
            return []
        if self._is_placed(row, stage):
            boots = {stage.placements.boots.get(index, "") for index in stage.waiting}
            return sorted(filter(self.is_unresolved, boots))
        names = {f"{stage.id}.{index}" for index in stage.waiting}
        withdrawn = {row.runner for row in self.withdrawn if names.isdisjoint(row.tasks)}
        return sorted(self._unresolved_until.keys() - withdrawn)

    def seconds_held(self, runners: Collection[str], now: float) -> float:
        """Return after how many seconds all runs of earlier owners on some runners have ended."""
        return max([self._unresolved_until[name] - now for name in runners], default=0.0)

    def _is_placed(self, row: JobRow, stage: Stage) -> bool:
        """Return whether stored placements name all runners on which the tasks may run."""
        return stage.spec.daemon and self.placements_known and row.progress_known

    def _may_run_unseen(self, stage: Stage, index: int, placed: bool) -> bool:
        """Return whether a task, whose stage may be ``placed``, may run on an unresolved runner."""
        if placed:
            boot = stage.placements.boots.get(index)
            if boot is None or not self.is_unresolved(boot):
                return False
            if boot not in self._withdrawn:
                return True
        elif self._any_task_may_run_unseen:
            return True
        if self._named is None:
            self._named = {task for row in self.withdrawn for task in row.tasks}
        return f"{stage.id}.{index}" in self._named
