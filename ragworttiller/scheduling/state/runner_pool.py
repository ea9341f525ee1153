"""Runners of the cell: listing, enrollment, loss and draining."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping

from ragworttiller.platform.boots import replaces
from ragworttiller.platform.listing import RunnerEntry
from ragworttiller.scheduling.decisions.crash_blame import latest_tasks
from ragworttiller.scheduling.records.formats import Claim, Withdrawn
from ragworttiller.scheduling.records.runner_fold import RunnerFold
from ragworttiller.scheduling.state.contained_errors import ContainedErrors
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.runs import Run
from ragworttiller.scheduling.state.takeover import Takeover
from ragworttiller.scheduling.state.work_items import Item, ItemKind, runner_item
from ragworttiller.scheduling.state.workspace_usage import WorkspaceUsage

log = logging.getLogger(__name__)

# Runners that crash of themselves tend to do so again within this time.
UNSOUND_SECONDS = 20.0
# Runners that share a cause, as a rack does, fall silent within this time.
SAME_MOMENT_SECONDS = 0.1


class RunnerPool:
    """Boots of runners known to the owner.

    Parameters
    ----------
    listed : RunnerFold
        Runners listed by the platform.
    takeover : Takeover
        Runners on which an earlier owner's tasks may still run.
    on_lost : Callable
        Called with a runner whose runs have all certainly ended with it, and the current time.
    on_ended : Callable
        Called with a boot in place of which another one answers, also if it was lost before, and
        the current time.
    usage : WorkspaceUsage
        Receives what runs on the runners, by workspace.
    errors : ContainedErrors
        Puts runners aside on which the owner cannot work.

    Attributes
    ----------
    runners : dict
        States by identifier.
    kinds : mapping of str to int
        Number of listed runners by kind.
    owned_at : float
        Latest time at which no later owner had claimed, in seconds. What a runner did since may be
        known to a later owner only, which renews its lease and records its ends.
    """

    def __init__(
        self,
        listed: RunnerFold,
        takeover: Takeover,
        on_lost: Callable[[RunnerState, float], None],
        on_ended: Callable[[RunnerState, float], None],
        usage: WorkspaceUsage,
        errors: ContainedErrors,
    ) -> None:
        self._errors = errors
        # Listed runners whose last entry could not be applied.
        self._unapplied: set[str] = set()
        self._usage = usage
        self._listed = listed
        self._takeover = takeover
        self._on_lost = on_lost
        self._on_ended = on_ended
        # The platform may keep listing a boot for a while after it has ended.
        self._ended_boots: set[str] = set()
        self._list_version = -1
        self._unlisted: list[RunnerState] = []
        # Runners that have missed a call or ended, the only ones whose runs may have ended unseen.
        self._doubtful: dict[str, RunnerState] = {}
        self._unsound_until: dict[str, float] = {}
        self._trials: list[RunnerState] = []
        # Boots without a trial that have not answered since a time, also those that have ended.
        self._silent_since: dict[str, float] = {}
        self.runners: dict[str, RunnerState] = {}
        self.kinds: Mapping[str, int] = {}
        self.owned_at = float("-inf")

    @property
    def awaits_enrollment(self) -> bool:
        """Whether tasks could start on some runner once the stored claim names it."""
        return any(
            runner.awaits_enrollment and not self._takeover.is_unresolved(runner.id)
            for runner in self.runners.values()
            if not runner.enrolled
        )

    @property
    def awaits_withdrawal(self) -> bool:
        """Whether a claim should tell at once what may have ended with some runner."""
        return any(runner.awaits_withdrawal for runner in self._doubtful.values())

    def awaits_ownership(self, now: float) -> bool:
        """Return whether an end of runs counts only once the ownership was proved after it."""
        return self._takeover.expires_between(self.owned_at, now) or any(
            self._has_ended(runner, now) and not self._has_ended(runner, self.owned_at)
            for runner in self._doubtful_runners()
            if not runner.lost
        )

    def accepting_tasks(self, now: float) -> list[RunnerState]:
        """Return the runners on which tasks may start."""
        try:
            rows = [runner for runner in self.runners.values() if runner.accepts_tasks(now)]
        except Exception as exc:
            counted = self._errors.counts.total()
            everyone, step = self.runners.values(), "choice of runners"
            rows = self._errors.select(everyone, lambda r: r.accepts_tasks(now), now, step)
            self._errors.note_transient(exc, now, step, counted)
        return self.without_aside(rows, now)

    def without_aside(self, runners: list[RunnerState], now: float) -> list[RunnerState]:
        """Return which of some runners are not put aside after an unexpected error."""
        if not self._errors.active(now):
            return runners
        return [runner for runner in runners if not self._errors.holds(runner_item(runner), now)]

    def accepting_lasting_tasks_only(self, now: float) -> list[RunnerState]:
        """Return the suspended runners on which a lasting task may be tried."""
        # Each pass asks this of all runners, of which few are suspended.
        suspended = [r for r in self.runners.values() if now < r.suspended_until]
        suspended = self.without_aside(suspended, now)
        return [r for r in suspended if r.accepts_lasting_tasks_only(now)]

    def silent(self) -> set[str]:
        """Return the runners that have missed a call since their last answer."""
        return {name for name, runner in self._doubtful.items() if runner.misses > 0}

    def begin_trial(self, runner: RunnerState, run: Run, until: float) -> None:
        """Let no other task start on a runner until a time in seconds, or the end of the run."""
        runner.begin_trial(run, until)
        if runner not in self._trials:
            self._trials.append(runner)

    def on_trial(self, now: float) -> int:
        """Return the number of runners on which a suspected task is being tried."""
        if self._trials:
            self._trials = self._errors.select(
                self._trials, lambda runner: runner.on_trial(now), now, "trials"
            )
        return len(self._trials)

    def roster(self) -> list[str]:
        """Return the runners that may receive orders or may still run tasks.

        A successor waits for each of them, and so for none that is listed but has never answered.
        """
        known = [r.id for r in self.runners.values() if not r.lost and (r.has_answered or r.runs)]
        return sorted({*known, *self._takeover.unresolved})

    def withdraw(self, now: float) -> list[Withdrawn]:
        """Exclude unreachable and draining runners from further starts, and return them.

        Those that the claim does not name are excluded too: one that was lost or has never answered
        may answer before a later claim names it, and a successor would not wait for it. What runs
        on a runner that has not answered since the takeover is known only from the claim before it.
        """
        named = set(self.roster())
        for runner in self.runners.values():
            runner.enrolled = runner.enrolled and runner.id in named
        withdrawn = self._takeover.withdrawn
        for runner in self.runners.values():
            try:
                row = self._withdraw(runner, now)
            except Exception as exc:
                # A successor then expects that any task may run there.
                self._errors.note(exc, now, "claim", [runner_item(runner)])
            else:
                if row is not None:
                    withdrawn.append(row)
        return withdrawn

    def _withdraw(self, runner: RunnerState, now: float) -> Withdrawn | None:
        """Exclude a runner from further starts if it has to be, and return what runs there."""
        suspect = runner.suspect(now)
        if runner.lost:
            # It may have been enrolled by a claim that was on its way when it was lost.
            runner.enrolled = False
            return None
        leaves = suspect or runner.refuses or runner.entry.draining
        if self._takeover.is_unresolved(runner.id) or not leaves:
            return None
        silent = runner.misses > 0 and not runner.entry.draining
        tasks = latest_tasks(runner, now)
        runner.enrolled = False
        runner.renewal_withheld = runner.renewal_withheld or suspect
        return Withdrawn(
            runner.id,
            tasks.names,
            not suspect,
            silent,
            runner.entry.address,
            tasks.together,
            tasks.seconds,
        )

    def enroll(self, claim: Claim) -> None:
        """Allow starts and renewals on the runners named in a claim that the store has accepted."""
        withdrawn = {row.runner: row for row in claim.withdrawn}
        for name in claim.roster:
            runner, row = self.runners.get(name), withdrawn.get(name)
            if runner is None:
                continue
            if row is None:
                runner.enrolled = True
            if row is None or row.renewed:
                runner.renewal_withheld = False

    def refresh(self, now: float) -> None:
        """Update the runners from the platform's list, and forget those that may be forgotten."""
        if self._listed.version != self._list_version:
            self._list_version = self._listed.version
            self._ended_boots &= self._listed.entries.keys()
            self._apply_entries(self._listed.entries.values(), now)
        elif self._unapplied:
            due = [Item(ItemKind.RUNNER, name) for name in self._unapplied]
            names = [str(item.key) for item in due if not self._errors.holds(item, now)]
            if names:
                self._apply_entries([self._listed.entries[name] for name in names], now)
        for runner in self._unlisted:
            if runner.id in self.runners and self._forgettable(runner, now):
                self._forget(runner)

    def _apply_entries(self, entries: Iterable[RunnerEntry], now: float) -> None:
        """Update the runners from some of the listed entries, and what is derived from all."""
        self._unapplied &= self._listed.entries.keys()
        for entry in entries:
            if entry.runner in self._ended_boots:
                continue
            self._unapplied.discard(entry.runner)
            try:
                self._apply_entry(entry, now)
            except Exception as exc:
                self._unapplied.add(entry.runner)
                item = Item(ItemKind.RUNNER, entry.runner)
                self._errors.put_aside(item, exc, now, "listing")
        self._derive_from_list()

    def _apply_entry(self, entry: RunnerEntry, now: float) -> None:
        runner = self.runners.get(entry.runner)
        if runner is None:
            runner = RunnerState(entry, self._usage, now)
            runner.renewal_withheld = self._takeover.called_not_renewed(runner.id)
            runner.unsound_until = self._unsound_until.get(entry.address, float("-inf"))
            self.runners[entry.runner] = runner
            extra = {"runner": entry.runner, "address": entry.address}
            log.info("runner listed", extra=extra)
        if entry.draining and runner.leaves_at == float("inf"):
            log.info("runner drains", extra={"runner": entry.runner, "left": entry.remaining})
            runner.leaves_at = now + (entry.remaining or 0.0)
        runner.update(entry)

    def _derive_from_list(self) -> None:
        entries = self._listed.entries
        for runner in self.runners.values():
            runner.listed = runner.id in entries
        self._unlisted = [runner for runner in self.runners.values() if not runner.listed]
        self.kinds = Counter(r.entry.kind for r in self.runners.values() if r.listed)

    def record_no_answer(self, runner: RunnerState, now: float, refused: bool = False) -> None:
        """Count a call that a runner did not answer; nothing listens there if it ``refused``."""
        runner.record_miss(now, refused)
        if runner.misses == 1 and not runner.runs_trial:
            recent = now - UNSOUND_SECONDS
            self._silent_since = {k: at for k, at in self._silent_since.items() if at > recent}
            self._silent_since[runner.id] = now
        self._doubtful[runner.id] = runner
        if runner.misses == 1:
            log.info("runner does not answer", extra={"runner": runner.id})

    def was_lost_alone(self, runner: RunnerState) -> bool:
        """Return whether no other runner without a trial fell silent at the same moment."""
        if runner.silent_since is None:
            return True
        return not any(
            abs(at - runner.silent_since) <= SAME_MOMENT_SECONDS
            for name, at in self._silent_since.items()
            if name != runner.id and self._is_silent(name)
        )

    def others_are_unsound(self, addresses: Collection[str], now: float) -> bool:
        """Return whether a boot has lately crashed of itself at none of some addresses."""
        rows = self._unsound_until.items()
        return any(until > now and address not in addresses for address, until in rows)

    def _is_silent(self, name: str) -> bool:
        runner = self.runners.get(name)
        return runner is None or runner.silent_since is not None

    def record_later_boot(self, runner: RunnerState, now: float) -> None:
        """Record that a boot has answered: those of its runner before it have ended."""
        self._takeover.record_later_boot(runner.id, now)
        for other in self.runners.values():
            if replaces(runner.id, other.id):
                self.record_ended_boot(other, now)

    def record_ended_boot(self, runner: RunnerState, now: float) -> None:
        """Record that another boot answers in place of one, which has ended with all its runs."""
        current = self.runners.get(runner.id)
        if current is not None and current.ended_at is None:
            current.ended_at = now
            self._doubtful[current.id] = current
            current.enrolled = False

    def has_ended(self, boot: str) -> bool:
        """Return whether another boot was known to answer in place of one that is listed."""
        return boot in self._ended_boots

    def end_runs(self, now: float) -> None:
        """End the runs of boots and leases that had ended while this owner still owned the cell."""
        self._takeover.expire(min(now, self.owned_at))
        for runner in self._doubtful_runners():
            try:
                self._end_runs_on(runner, now)
            except Exception as exc:
                self._errors.put_aside(runner_item(runner), exc, now, "end of a runner")

    def _end_runs_on(self, runner: RunnerState, now: float) -> None:
        if runner.ended_at is not None and runner.ended_at <= self.owned_at:
            self._remove_ended_boot(runner, now)
        elif not runner.lost and self._has_ended(runner, min(now, self.owned_at)):
            self._mark_lost(runner, now, "its lease has expired")

    def _doubtful_runners(self) -> list[RunnerState]:
        """Return the runners that have missed a call since their last answer, or have ended."""
        doubtful = self._doubtful.values()
        self._doubtful = {
            runner.id: runner
            for runner in doubtful
            if self.runners.get(runner.id) is runner
            and (runner.misses > 0 or runner.ended_at is not None)
        }
        return list(self._doubtful.values())

    def _has_ended(self, runner: RunnerState, by: float) -> bool:
        """Return whether all runs of a silent runner had certainly ended by a time."""
        if runner.ended_at is not None:
            return runner.ended_at <= by
        return runner.misses > 0 and runner.has_answered and runner.lease_expired(by)

    def _remove_ended_boot(self, runner: RunnerState, now: float) -> None:
        reason = "another boot answers"
        self._takeover.resolve(runner.id, reason, now, lost=True)
        del self.runners[runner.id]
        self._record_unsound(runner, now)
        self._mark_lost(runner, now, reason)
        self._ended_boots.add(runner.id)
        self._on_ended(runner, now)

    def _record_unsound(self, runner: RunnerState, now: float) -> None:
        """Record that a boot has ended, unless a trial explains it."""
        if runner.runs_trial:
            return
        rows = self._unsound_until.items()
        self._unsound_until = {address: until for address, until in rows if until > now}
        self._unsound_until[runner.entry.address] = now + UNSOUND_SECONDS
        # The next boot may have been listed before.
        for other in self.runners.values():
            if other.entry.address == runner.entry.address:
                other.unsound_until = now + UNSOUND_SECONDS

    def _forgettable(self, runner: RunnerState, now: float) -> bool:
        """Return whether no run of any owner can be on a runner that does not answer."""
        settled = not self._takeover.is_unresolved(runner.id)
        return settled and runner.removable and runner.lease_expired(now)

    def _forget(self, runner: RunnerState) -> None:
        """Stop calling a runner without runs; it may be listed again if it has not ended."""
        del self.runners[runner.id]
        log.info("runner forgotten", extra={"runner": runner.id})

    def _mark_lost(self, runner: RunnerState, now: float, reason: str) -> None:
        if runner.lost:
            return
        runner.lost = True
        runner.enrolled = False
        try:
            self._log_lost(runner, now, reason)
        except Exception as exc:
            self._errors.note(exc, now, "log of a lost runner", [runner_item(runner)])
        self._on_lost(runner, now)

    def _log_lost(self, runner: RunnerState, now: float, reason: str) -> None:
        log.warning(
            "runner lost",
            extra={
                "runner": runner.id,
                "why": reason,
                "tasks": len(runner.runs),
                "address": runner.entry.address,
                "listed": runner.listed,
                "misses": runner.misses,
                "silent": runner.silent_seconds(now),
                "lease_left": runner.lease_left(now),
            },
        )
