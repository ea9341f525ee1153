"""Stages of an active job, and the runs of their tasks on runners."""

from __future__ import annotations

from ragworttiller.scheduling.state.runs.run import Run, RunState
from ragworttiller.scheduling.state.runs.stage import QUEUE_PREFIX, Stage
from ragworttiller.scheduling.state.runs.task_wait import TaskWait

__all__ = ["QUEUE_PREFIX", "Run", "RunState", "Stage", "TaskWait"]
