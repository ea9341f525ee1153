"""Rules of a job for the placement of its tasks."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ragworttiller.placement.rules import Rules
from ragworttiller.process.cell_rows import JobRow


def rules_of(row: JobRow) -> Rules:
    """Return the placement rules of a job."""
    return rules_in(row.submitted.rules)


def rules_in(body: Mapping[str, Any]) -> Rules:
    """Return the placement rules among the validated rules of a job's record."""
    return Rules(
        tuple(body.get("failure_domain", ())),
        tuple(body.get("labels", ())),
        body.get("spread", ""),
        body.get("max_per_worker", 0),
    )


def movable(row: JobRow) -> bool:
    """Return whether a running task of the job may be stopped and started elsewhere."""
    return row.submitted.idempotent or bool(row.submitted.rules.get("checkpoint"))
