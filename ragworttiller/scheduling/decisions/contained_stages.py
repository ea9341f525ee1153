"""Leaves stages out of planning for which a decision has failed by an unexpected error."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from ragworttiller.scheduling.decisions.fair_order import ReadyStage
from ragworttiller.scheduling.state.contained_errors import ContainedErrors
from ragworttiller.scheduling.state.job_work import JobWork
from ragworttiller.scheduling.state.work_items import job_item, stage_item


class ContainedStages:
    """Ready stages of a planning pass, without those that are put aside.

    Parameters
    ----------
    errors : ContainedErrors
        What is put aside.
    """

    def __init__(self, errors: ContainedErrors) -> None:
        self._errors = errors

    def ready(
        self,
        jobs: Mapping[str, JobWork],
        find: Callable[[Collection[JobWork]], list[ReadyStage]],
        now: float,
    ) -> list[ReadyStage]:
        """Return the ready stages of some jobs.

        Parameters
        ----------
        jobs : mapping of str to JobWork
            The jobs by identifier.
        find : Callable
            Returns the ready stages of jobs.
        now : float
            Time in seconds.
        """
        try:
            rows = find(jobs.values())
        except Exception as exc:
            counted = self._errors.counts.total()
            rows = [row for work in jobs.values() for row in self._ready_of(work, find, now)]
            self._errors.note_transient(exc, now, "ready stages", counted)
        return self.without_aside(rows, now)

    def without_aside(self, rows: list[ReadyStage], now: float) -> list[ReadyStage]:
        """Return the stages that are not put aside."""
        if not self._errors.active(now):
            return rows
        return [row for row in rows if not self._errors.holds(stage_item(row[1]), now)]

    def for_all(
        self,
        rows: list[ReadyStage],
        function: Callable[[list[ReadyStage]], None],
        now: float,
        step: str,
    ) -> None:
        """Do a part of planning for all stages at once; if that fails, for each of them alone.

        Parameters
        ----------
        rows : list of ReadyStage
            The stages.
        function : Callable
            Does it for some stages, and may do it twice for a stage.
        now : float
            Time in seconds.
        step : str
            Name of the part.
        """
        try:
            function(rows)
        except Exception as exc:
            counted = self._errors.counts.total()
            for row in rows:
                self._do_for_one(row, function, now, step)
            self._errors.note_transient(exc, now, step, counted)

    def _do_for_one(
        self,
        row: ReadyStage,
        function: Callable[[list[ReadyStage]], None],
        now: float,
        step: str,
    ) -> None:
        try:
            function([row])
        except Exception as exc:
            self.put_aside(row, exc, now, step)

    def put_aside(
        self, row: ReadyStage, error: Exception, now: float, step: str = "placement"
    ) -> None:
        """Put aside what an error in the planning of a stage is blamed on."""
        item = stage_item(row[1])
        if self._errors.holds(item, now):
            self._errors.note(error, now, step, [item])
        else:
            self._errors.contain(error, now, step, [item])

    def _ready_of(
        self,
        work: JobWork,
        find: Callable[[Collection[JobWork]], list[ReadyStage]],
        now: float,
    ) -> list[ReadyStage]:
        try:
            return find([work])
        except Exception as exc:
            self._errors.put_aside(job_item(work.id), exc, now, "ready stages")
            return []
