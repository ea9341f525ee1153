"""Puts what fails by unexpected errors aside, so that the owner goes on with everything else."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence

from ragworttiller.exceptions import AppendFenced
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.runner_state import RunnerState
from ragworttiller.scheduling.state.work_items import (
    Item,
    ItemKind,
    item_fields,
    items_at_work,
    job_item,
    runner_item,
)

log = logging.getLogger(__name__)

# Shorter than a lease, so that the tasks on a runner outlive a transient error.
FIRST_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 30.0
PAUSE_GROWTH = 2.0
# An item without an error for so long counts as sound.
FORGET_SECONDS = 60.0
MAX_ITEMS = 2000
MAX_PARTNERS = 8
MAX_LINES_PER_INTERVAL = 20
LINE_INTERVAL_SECONDS = 10.0
BLAMABLE = frozenset((ItemKind.STAGE, ItemKind.JOB, ItemKind.RUNNER))


class _Failures:
    """Errors in the work on one item.

    Attributes
    ----------
    partners : set of Item
        Other items that were in work at these errors.
    """

    def __init__(self, now: float) -> None:
        self.last_at = now
        self.until = float("-inf")
        self.pause = 0.0
        self.times = 0
        self.partners: set[Item] = set()


class ContainedErrors:
    """Runners, jobs, stages and steps of planning that are put aside after an unexpected error.

    Load pattern: one odd record that the platform keeps for hours. Each owner that ended of it was
    followed by one that read the same record. The pause of an item doubles with each error, so
    that a transient error heals soon and a lasting one costs little.

    If two items were in work, such as a stage and a runner, the one that has failed beside more
    others is put aside, and of equal ones that which was put aside less often.

    Attributes
    ----------
    counts : Counter
        Contained errors by the kind of what failed.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._failures: dict[Item, _Failures] = {}
        self._active_until = float("-inf")
        self._lines = 0
        self._lines_since = float("-inf")

    def active(self, now: float) -> bool:
        """Return whether anything may be put aside at a time in seconds."""
        return now < self._active_until

    def holds(self, item: Item, now: float) -> bool:
        """Return whether an item is put aside at a time in seconds."""
        row = self._failures.get(item)
        return row is not None and now < row.until

    def open_jobs(self, jobs: Mapping[str, JobWork], now: float) -> Mapping[str, JobWork]:
        """Return the jobs that are not put aside."""
        if not self.active(now):
            return jobs
        return {job: work for job, work in jobs.items() if not self.holds(job_item(job), now)}

    def contain(self, error: Exception, now: float, step: str, items: Iterable[Item] = ()) -> Item:
        """Put what an error is blamed on aside, and return it.

        Parameters
        ----------
        error : Exception
            The error, as it was caught.
        now : float
            Time in seconds.
        step : str
            What the owner was doing.
        items : iterable of Item
            What was in work where the error was caught; without any, the innermost function that
            names an item tells.

        Raises
        ------
        Exception
            The error itself, if nothing can be blamed that is not put aside already.
        """
        if isinstance(error, AppendFenced):
            raise error
        known = dict.fromkeys([*items, *items_at_work(error)])
        free = [i for i in known if i.kind in BLAMABLE and not self.holds(i, now)]
        if not free:
            raise error
        self._record_partners(free, now)
        blamed = max(free, key=self._evidence)
        self._put_aside(blamed, error, now, step, list(known))
        return blamed

    def put_aside(self, item: Item, error: Exception, now: float, step: str) -> None:
        """Put an item aside of whose work alone an error is; one that is aside stays so."""
        if self.holds(item, now):
            self.note(error, now, step, [item])
            return
        if isinstance(error, AppendFenced):
            raise error
        self._row(item, now)
        self._put_aside(item, error, now, step, [item])

    def attempt(
        self, step: str, now: float, function: Callable[..., object], *args: object
    ) -> None:
        """Take a step that planning can do without; after an error it is left out for a time."""
        item = Item(ItemKind.STEP, step)
        if self._failures and self.holds(item, now):
            return
        try:
            function(*args)
        except Exception as exc:
            self.put_aside(item, exc, now, step)

    def select(
        self,
        runners: Iterable[RunnerState],
        accepts: Callable[[RunnerState], bool],
        now: float,
        step: str,
    ) -> list[RunnerState]:
        """Return the runners that are accepted, and put those aside for which this fails."""
        rows: list[RunnerState] = []
        for runner in runners:
            item = runner_item(runner)
            if self.holds(item, now):
                continue
            try:
                if accepts(runner):
                    rows.append(runner)
            except Exception as exc:
                self.put_aside(item, exc, now, step)
        return rows

    def note_transient(self, error: Exception, now: float, step: str, counted: int) -> None:
        """Log and count an error of work on all items that did not recur with any one of them.

        ``counted`` is the total of `counts` before the work was done again item by item.
        """
        if self.counts.total() == counted and not self.active(now):
            self.note(error, now, step, items_at_work(error))

    def contain_call(self, error: Exception, now: float, step: str, items: Sequence[Item]) -> None:
        """Put what a failed call was about aside, unless another call has led to that just now."""
        about = [item for item in items if item.kind in BLAMABLE]
        if not about or any(self.holds(item, now) for item in about):
            self.note(error, now, step, items)
        else:
            self.contain(error, now, step, items)

    def note(self, error: Exception, now: float, step: str, items: Sequence[Item] = ()) -> None:
        """Log and count an error of work that is not repeated."""
        if isinstance(error, AppendFenced):
            raise error
        self._count_and_log(Item(ItemKind.STEP, step), error, now, step, 0.0, items)

    def _evidence(self, item: Item) -> tuple[int, int]:
        """Return what speaks for an item, also that it was not put aside in vain."""
        row = self._failures[item]
        return len(row.partners), -row.times

    def _record_partners(self, items: Sequence[Item], now: float) -> None:
        for item in items:
            partners = self._row(item, now).partners
            if len(partners) < MAX_PARTNERS:
                partners.update(other for other in items if other != item)

    def _row(self, item: Item, now: float) -> _Failures:
        """Return the row of an item that fails now, which becomes the last one to be forgotten."""
        row = self._failures.pop(item, None)
        if row is None or now - max(row.until, row.last_at) > FORGET_SECONDS:
            row = _Failures(now)
        row.last_at = now
        self._failures[item] = row
        if len(self._failures) > MAX_ITEMS:
            del self._failures[next(iter(self._failures))]
        return row

    def _put_aside(
        self, item: Item, error: Exception, now: float, step: str, known: Sequence[Item]
    ) -> None:
        row = self._failures[item]
        row.times += 1
        row.pause = min(row.pause * PAUSE_GROWTH, MAX_PAUSE_SECONDS) or FIRST_PAUSE_SECONDS
        row.until = now + row.pause
        self._active_until = max(self._active_until, row.until)
        self._count_and_log(item, error, now, step, row.pause, known)

    def _count_and_log(
        self,
        item: Item,
        error: Exception,
        now: float,
        step: str,
        pause: float,
        known: Sequence[Item],
    ) -> None:
        self.counts[str(item.kind)] += 1
        if now - self._lines_since >= LINE_INTERVAL_SECONDS:
            self._lines, self._lines_since = 0, now
        self._lines += 1
        if self._lines > MAX_LINES_PER_INTERVAL:
            return
        extra: dict[str, object] = {
            "aside": str(item.kind),
            **item_fields([*items_at_work(error), *known]),
            "step": step,
            "error": type(error).__name__,
            "seconds": pause,
            "total": self.counts.total(),
        }
        log.error("work put aside after an unexpected error", extra=extra, exc_info=error)
